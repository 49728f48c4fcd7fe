//! Keeps the tasks of a VM running that work on data of others: one that panics is started again.
//!
//! The runtime keeps a panic in its task. Without this the VM would go on without the task, for example
//! without following the store, until its restart.

use async_std::task;
use futures::FutureExt;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

/// Pause before a task that panicked is started again, so that a panic which recurs costs little.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Runs the future that `start` returns, and a new one each time that it panics, until one ends.
pub async fn run<F: Future<Output = ()>>(name: &'static str, start: impl Fn() -> F) {
    // State is behind locks and cells whose holders never wait, so that a panic leaves it usable.
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        log::error!("the task '{name}' panicked and is started again");
        task::sleep(RESTART_PAUSE).await;
    }
}
