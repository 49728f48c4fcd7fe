//! Until when what is gone from the service is still held: after an outage, and after the service has
//! returned to an older state.

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time after the service is back until its leased keys are settled: holders that are alive write
/// them again within two seconds, and this VM receives the writes a little later.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_400);
/// Time after a restoration until the key space is settled: writers have written again what was
/// lost, and what they don't renew is gone.
pub const RESTORE_TIME: Duration = Duration::from_secs(6);
/// Shortest time that leases last without renewal, as when the service is unavailable.
const MIN_LEASE_TIME: Duration = Duration::from_secs(2);

/// What is known of the service's availability; by default it has always answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettleClock {
    settles_at: TimeStamp,
    unavailable_since: Option<TimeStamp>,
    /// When the service was last known to answer.
    answered_at: TimeStamp,
    /// Until when a restoration of the service is not settled.
    restored_until: TimeStamp,
}

impl SettleClock {
    /// Records whether the service is unavailable. Between two answers within two seconds no
    /// lease can have expired, so that a short failure holds back nothing.
    pub fn set_unavailable(&mut self, is_unavailable: bool, now: TimeStamp) {
        if is_unavailable {
            self.unavailable_since.get_or_insert(now);
            return;
        }
        let answered_at = std::mem::replace(&mut self.answered_at, now);
        let was_unavailable = self.unavailable_since.take().is_some();
        if was_unavailable && now.since(answered_at) > MIN_LEASE_TIME {
            self.settles_at = now.after(SETTLE_TIME);
        }
    }

    /// Holds back removals of leased keys until `settles_at` at least.
    pub fn hold_until(&mut self, settles_at: TimeStamp) {
        self.settles_at = self.settles_at.max(settles_at);
    }

    /// How much longer removals of leased keys are held back.
    pub fn settles_in(&self, now: TimeStamp) -> Duration {
        self.settles_at.since(now)
    }

    /// Whether removals of leased keys are held back.
    pub fn is_settling(&self, now: TimeStamp) -> bool {
        self.unavailable_since.is_some() || now < self.settles_at
    }

    /// Records that the service has returned to an older state.
    pub fn begin_restoration(&mut self, now: TimeStamp) {
        self.restored_until = now.after(RESTORE_TIME);
    }

    /// Whether what a restoration lost may still be written again.
    pub fn is_restoring(&self, now: TimeStamp) -> bool {
        now < self.restored_until
    }
}
