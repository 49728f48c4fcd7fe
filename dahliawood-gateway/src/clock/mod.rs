//! The gateway's clock, read only at the edge: systems get what is read here as `now`.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::clock;

/// Time since the machine started, suspends included: a lease must not outlive a suspend.
pub fn now() -> TimeStamp {
    clock::boot_now()
}

/// Wall time, milliseconds since the Unix epoch; it may step.
pub fn wall_millis() -> u64 {
    u64::try_from(clock::wall_now().as_millis()).unwrap_or(u64::MAX)
}
