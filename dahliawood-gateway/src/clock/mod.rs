//! Clock readings; the decision packages read no clock and get these values as `now`.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::clock;

/// Time since the machine booted, including suspends: a lease must expire during a suspend too.
pub fn now() -> TimeStamp {
    clock::boot_now()
}

/// Wall-clock time, milliseconds since the Unix epoch; may jump when the clock is set.
pub fn wall_millis() -> u64 {
    u64::try_from(clock::wall_now().as_millis()).unwrap_or(u64::MAX)
}
