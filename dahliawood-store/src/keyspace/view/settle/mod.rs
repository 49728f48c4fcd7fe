//! Until when what is gone from the service is still held: after an outage, and after the service has
//! returned to an older state.
//!
//! The hold after an outage ends [`SETTLE_TIME`] after the service was first known to answer again, by
//! anybody up the chain of relays: it does not add up along the chain, and ends at once when another VM
//! tells that there was no outage.

use crate::keyspace::availability::{AnswerHistory, AnswerSpan};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time after the service is back until its leased keys are settled: holders that are alive write
/// them again within two seconds, and this VM receives the writes a little later.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_400);
/// Time after a restoration until the key space is settled: writers have written again what was
/// lost, and what they don't renew is gone.
pub const RESTORE_TIME: Duration = Duration::from_secs(6);

/// What is known of the service's availability.
#[derive(Clone, Debug, Default)]
pub struct SettleClock {
    answers: AnswerHistory,
    /// Until when a VM of an earlier version, which tells no answers, holds removals back.
    told_until: TimeStamp,
    /// Until when a restoration of the service is not settled.
    restored_until: TimeStamp,
}

impl SettleClock {
    /// Records that the service answered, this VM or another one that tells of it.
    pub fn record_answers(&mut self, span: AnswerSpan) {
        self.answers.record(span);
    }

    /// Records that a call of this VM got no answer.
    pub fn record_failure(&mut self) {
        self.answers.record_failure();
    }

    /// The latest span in which the service answered, `None` before the first answer.
    pub fn answers(&self) -> Option<AnswerSpan> {
        self.answers.latest()
    }

    /// How long the service was away last; `None` if it was not since the first answer that is known.
    pub fn outage(&self) -> Option<Duration> {
        self.answers.outage()
    }

    /// Holds back removals of leased keys until `settles_at` at least.
    pub fn hold_until(&mut self, settles_at: TimeStamp) {
        self.told_until = self.told_until.max(settles_at);
    }

    /// When removals of leased keys are no longer held back, if no outage begins before.
    fn settles_at(&self) -> TimeStamp {
        let returned = self.answers().filter(|span| span.is_after_outage);
        let settles_at = returned.map(|span| span.since.after(SETTLE_TIME));
        self.told_until.max(settles_at.unwrap_or_default())
    }

    /// How much longer removals of leased keys are held back.
    pub fn settles_in(&self, now: TimeStamp) -> Duration {
        self.settles_at().since(now)
    }

    /// Whether removals of leased keys are held back: leases may have ended because the service is away, or
    /// was until a moment ago.
    pub fn is_settling(&self, now: TimeStamp) -> bool {
        self.answers.is_away(now) || now < self.settles_at()
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
