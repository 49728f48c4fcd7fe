//! The time and the sleep that drivers are given.

use async_std::task;
use dahliawood_model::stamp;
use futures::future::BoxFuture;
use rustix::time::{ClockId, clock_gettime};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What tells the time to a driver, lets it sleep and spreads its waits; a test passes its own.
#[derive(Clone)]
pub struct TimeSource {
    /// The time now.
    pub now: Arc<dyn Fn() -> stamp::TimeStamp + Send + Sync>,
    /// Resolves after a while.
    pub sleep: Arc<dyn Fn(Duration) -> BoxFuture<'static, ()> + Send + Sync>,
    /// A number in `0.0..1.0` that spreads waits.
    pub jitter: Arc<dyn Fn() -> f64 + Send + Sync>,
}

impl fmt::Debug for TimeSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TimeSource").finish_non_exhaustive()
    }
}

/// The machine's clock since its start, which goes on while the machine is suspended.
///
/// A virtual machine that its host stops without telling it sees no time pass.
pub fn boot_now() -> stamp::TimeStamp {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    stamp::TimeStamp::from_micros(micros)
}

/// Wall time since the Unix epoch; it may step.
pub fn wall_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// [`boot_now`] and the sleep of the runtime.
pub fn boot() -> TimeSource {
    TimeSource {
        now: Arc::new(boot_now),
        sleep: Arc::new(|span| Box::pin(task::sleep(span))),
        jitter: Arc::new(rand::random),
    }
}
