//! The daemon's clocks, read only at the edge: systems get what is read here as `now`.

use dahliawood_model::stamp::TimeStamp;
use rustix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Time since the machine started, suspends included.
///
/// `std::time::Instant` stops while a VM is suspended, and a lease must not outlive a suspend.
pub fn now() -> TimeStamp {
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or(0);
    let micros = u64::try_from(read.tv_nsec).unwrap_or(0) / 1_000;
    TimeStamp::from_micros(seconds * MICROS_PER_SECOND + micros)
}

/// Wall time, microseconds since the Unix epoch; it may step.
pub fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
