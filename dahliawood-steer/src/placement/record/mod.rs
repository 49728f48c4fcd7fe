//! One target, with the state that this VM keeps for it.

use crate::placement::breaker::CircuitBreaker;
use crate::placement::choose::VmLocation;
use crate::placement::cold::{ColdUsage, ColdWindow};
use crate::placement::load::LoadEstimate;
use crate::placement::stated_limit::{LimitedTarget, StatedLimit};
use crate::placement::warmup::{TargetWarmup, WarmupCause, WarmupChange};
use crate::rendezvous;
use dahliawood_model::catalog::{TargetEntry, TargetReport};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Most changes of a warm-up that are kept for the log.
const MAX_CHANGES: usize = 16;

/// Hash of a target's process, by the hash of the target's id and when the process started.
pub(super) fn process(id: u64, started_millis: u64) -> u64 {
    rendezvous::score(id, started_millis)
}

/// A target and the state that this VM keeps for it.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// Its registration.
    pub entry: TargetEntry,
    /// Hash of its id.
    pub hash: u64,
    /// Its region, empty if its failure domain is unknown.
    pub region: String,
    /// When it stops being cold, by its entry.
    pub cold_until: TimeStamp,
    /// When this VM saw it return, and its entry may not say yet that it is cold.
    pub returned_at: Option<TimeStamp>,
    /// Recent requests sent to it.
    pub cold_window: ColdWindow,
    /// Requests sent to it while it was cold, for the log.
    pub cold_usage: ColdUsage,
    /// Its estimated load.
    pub load: LoadEstimate,
    /// Whether it stated that it is leaving. Holds until its process ends, whatever its entry says.
    pub is_leaving: bool,
    /// The limit that it states.
    pub stated_limit: StatedLimit,
    /// Its circuit breaker.
    pub breaker: CircuitBreaker,
    /// Its slow start.
    pub warmup: TargetWarmup,
    /// Changes of its slow start, for the log.
    pub warmup_changes: Vec<WarmupChange>,
}

impl TargetRecord {
    /// Takes over what the target says of itself; returns whether something is new.
    pub(super) fn record_report(&mut self, report: &TargetReport, now: TimeStamp) -> bool {
        let is_leaving = report.is_leaving && !self.is_leaving;
        self.is_leaving |= is_leaving;
        let is_pausing = report
            .pause
            .is_some_and(|pause| self.breaker.ask_pause(pause, now));
        if is_pausing {
            self.begin_warmup(WarmupCause::Pause, self.breaker.asked_until());
        }
        self.stated_limit.set(report.limit, now) || is_leaving || is_pausing
    }

    /// Begins a warm-up of which responses count from `from` on.
    pub(super) fn begin_warmup(&mut self, cause: WarmupCause, from: TimeStamp) {
        if self.warmup.begin(from) {
            self.record_change(WarmupChange::Begun(cause));
        }
    }

    /// Keeps a change of the warm-up for the log.
    pub(super) fn record_change(&mut self, change: WarmupChange) {
        if self.warmup_changes.len() < MAX_CHANGES {
            self.warmup_changes.push(change);
        }
    }

    /// Hash of its process, the same at all VMs.
    pub fn process(&self) -> u64 {
        process(self.hash, self.entry.started_millis)
    }

    /// Changes the breaker for a contact that began at `begun`. A process that takes part in one that
    /// began after a process was gone is a new one, which is cold; one that answers an earlier
    /// request was never gone.
    pub(super) fn record_contact(
        &mut self,
        begun: TimeStamp,
        change: impl FnOnce(&mut CircuitBreaker),
        now: TimeStamp,
    ) {
        let down_since = self.breaker.down_since();
        let was_tripped = self.breaker.is_tripped();
        change(&mut self.breaker);
        if !was_tripped && self.breaker.is_tripped() {
            self.begin_warmup(WarmupCause::Failures, now);
        }
        let is_new = down_since.is_some_and(|down_since| begun >= down_since);
        if is_new && !self.breaker.is_down() {
            self.returned_at = Some(now);
        }
    }

    /// Whether it is cold, or may be: it has returned less than `lasts` ago, the time that a target is
    /// cold after its start.
    pub fn is_cold(&self, lasts: Duration, now: TimeStamp) -> bool {
        let is_new = |returned_at: TimeStamp| now.since(returned_at) < lasts;
        now < self.cold_until || self.returned_at.is_some_and(is_new)
    }

    /// When this VM may send the target its next request, by what the target says of itself.
    pub fn open_at(&self, location: &VmLocation, now: TimeStamp) -> TimeStamp {
        let limited = self.limited(location);
        let next_at = self.stated_limit.next_at(location, limited, now);
        next_at.unwrap_or_default().max(self.breaker.asked_until())
    }

    /// Its place in the division of the limit that it states.
    pub fn limited(&self, location: &VmLocation) -> LimitedTarget {
        LimitedTarget {
            hash: self.hash,
            is_local: self.region == location.region,
        }
    }
}
