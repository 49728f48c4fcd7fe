//! The daemon's clocks, read only at the edge: systems get what is read here as `now`.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::clock;

/// Time since the machine started, suspends included.
///
/// `std::time::Instant` stops while a VM is suspended, and a lease must not outlive a suspend.
pub fn now() -> TimeStamp {
    clock::boot_now()
}

/// Wall time, microseconds since the Unix epoch; it may step.
pub fn wall_micros() -> u64 {
    u64::try_from(clock::wall_now().as_micros()).unwrap_or(u64::MAX)
}
