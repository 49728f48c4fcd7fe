//! Lets the holder of a lease decide, without asking the service, whether the lease is still valid.

use dahliawood_model::stamp;
use std::time::Duration;

/// A lease that this process holds.
///
/// The service starts the lease's time when it handles the grant or the last renewal, which is
/// after the call was sent. Counting from the time of sending therefore never overestimates the
/// lease. Pass a `now` that keeps advancing while the machine is suspended, such as
/// [`crate::clock::boot_now`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The lease's id at the service.
    pub id: u64,
    ttl: Duration,
    sent_at: stamp::TimeStamp,
}

impl HeldLease {
    /// A lease whose grant was requested at `sent_at`.
    pub fn new(id: u64, ttl: Duration, sent_at: stamp::TimeStamp) -> Self {
        Self { id, ttl, sent_at }
    }

    /// Records that a renewal sent at `sent_at` succeeded.
    ///
    /// Responses may arrive out of order: an older renewal changes nothing.
    pub fn renewed(&mut self, sent_at: stamp::TimeStamp) {
        self.sent_at = self.sent_at.max(sent_at);
    }

    /// Whether the lease is certain to be valid at `now`.
    pub fn is_valid(&self, now: stamp::TimeStamp) -> bool {
        now < self.expires_at()
    }

    /// Time from which the lease may have expired.
    pub fn expires_at(&self) -> stamp::TimeStamp {
        self.sent_at.after(self.ttl)
    }

    /// Time to send the next renewal: after a third of the lease time, which leaves room for two
    /// more attempts.
    pub fn renew_at(&self) -> stamp::TimeStamp {
        self.sent_at.after(self.ttl / 3)
    }
}
