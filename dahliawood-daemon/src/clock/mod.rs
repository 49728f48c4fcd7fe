//! The clocks of the daemon. Only its outer layers read them and pass the time on as `now`.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::clock;

/// Time since the machine booted, including the time that it was suspended.
///
/// `std::time::Instant` does not advance while a VM is suspended, so a lease measured with it could
/// outlast its real end.
pub fn now() -> TimeStamp {
    clock::boot_now()
}

/// Wall-clock time in microseconds since the Unix epoch; it may jump.
pub fn wall_micros() -> u64 {
    u64::try_from(clock::wall_now().as_micros()).unwrap_or(u64::MAX)
}
