//! Leases as their holder judges them.

use dahliawood_model::stamp;
use std::time::Duration;

/// A lease that this process holds.
///
/// The service counts from when it handled the grant or the last keep, which is after that call
/// was sent, so counting from the sending ends here first. Pass a `now` that goes on through a
/// suspend, such as [`crate::clock::boot_now`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// Id at the service.
    pub lease: u64,
    ttl: Duration,
    sent_at: stamp::TimeStamp,
}

impl LeaseClaim {
    /// A lease whose grant was asked for at `sent_at`.
    pub fn new(lease: u64, ttl: Duration, sent_at: stamp::TimeStamp) -> Self {
        Self {
            lease,
            ttl,
            sent_at,
        }
    }

    /// Notes that a keep sent at `sent_at` was answered.
    ///
    /// Answers may come out of order: an older keep changes nothing.
    pub fn kept(&mut self, sent_at: stamp::TimeStamp) {
        self.sent_at = self.sent_at.max(sent_at);
    }

    /// Whether the lease surely holds at `now`.
    pub fn holds(&self, now: stamp::TimeStamp) -> bool {
        now < self.ends_at()
    }

    /// When it ceases to be sure.
    pub fn ends_at(&self) -> stamp::TimeStamp {
        self.sent_at.after(self.ttl)
    }

    /// When the next keep is to be sent: after a third of the time, which leaves room for two more.
    pub fn keep_at(&self) -> stamp::TimeStamp {
        self.sent_at.after(self.ttl / 3)
    }
}
