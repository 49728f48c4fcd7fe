//! Clock, sleep and random jitter, passed in so that tests can replace them.

use async_std::task;
use dahliawood_model::stamp;
use futures::future::BoxFuture;
use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Clock, sleep and jitter for code that makes calls in a loop; tests pass their own.
#[derive(Clone)]
pub struct TimeSource {
    /// Returns the current time.
    pub now: Arc<dyn Fn() -> stamp::TimeStamp + Send + Sync>,
    /// Returns a future that resolves after the given time.
    pub sleep: Arc<dyn Fn(Duration) -> BoxFuture<'static, ()> + Send + Sync>,
    /// Returns a random number in `0.0..1.0`, for randomizing waits.
    pub jitter: Arc<dyn Fn() -> f64 + Send + Sync>,
}

impl fmt::Debug for TimeSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TimeSource").finish_non_exhaustive()
    }
}

/// Time since the machine booted, including time while it was suspended.
///
/// A virtual machine that its host pauses without notice does not see that time pass.
pub fn boot_now() -> stamp::TimeStamp {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    stamp::TimeStamp::from_micros(micros)
}

/// Wall clock time since the Unix epoch; it may jump.
pub fn wall_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// [`boot_now`], the runtime's sleep and random jitter.
pub fn boot() -> TimeSource {
    TimeSource {
        now: Arc::new(boot_now),
        sleep: Arc::new(|span| Box::pin(task::sleep(span))),
        jitter: Arc::new(rand::random),
    }
}
