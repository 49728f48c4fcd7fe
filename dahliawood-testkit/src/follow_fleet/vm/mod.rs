//! One VM of a simulated fleet and its call for changes.

use crate::follow_fleet::rules::{FollowRules, RelayAnswer, RulePlan};
use crate::follow_fleet::{FollowOptions, start_rules};
use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time between two renewals of a registration.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);
/// How long the store has to answer one.
const RENEW_TIMEOUT: Duration = Duration::from_secs(1);

/// A VM.
#[derive(Debug)]
pub(super) struct SimulatedVm {
    pub rules: FollowRules,
    /// Number of changes that are known, and in force.
    pub revision: usize,
    /// Number of changes that were known when the process started.
    read_revision: usize,
    /// When the changes of each answer came into force: how many were known then.
    applied: Vec<(TimeStamp, usize)>,
    pub call: Option<SimulatedCall>,
    pub idle_until: TimeStamp,
    /// Calls to the store in a row that failed.
    pub failures: u32,
    /// The relay that told a date last, and the date's stamp.
    pub told: Option<(usize, u64)>,
    pub is_killed: bool,
    renews_at: TimeStamp,
    /// When the renewal was sent that is not answered yet.
    renewing_since: Option<TimeStamp>,
}

/// A call for changes.
#[derive(Clone, Debug)]
pub(super) struct SimulatedCall {
    /// Index of the VM that is asked, `None` for the store.
    pub relay: Option<usize>,
    pub asked_at: TimeStamp,
    pub wait: Duration,
    /// When the caller gives up.
    pub ends_at: TimeStamp,
    pub state: CallState,
}

/// Where a call is.
#[derive(Clone, Debug)]
pub(super) enum CallState {
    Sent {
        arrives_at: TimeStamp,
    },
    Held {
        since: TimeStamp,
        until: TimeStamp,
    },
    Answered {
        arrives_at: TimeStamp,
        answer: CallAnswer,
    },
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(super) enum CallAnswer {
    Store {
        revision: usize,
    },
    StoreError,
    Relay {
        answer: RelayAnswer,
        revision: usize,
    },
}

impl SimulatedCall {
    pub fn new(plan: &RulePlan, now: TimeStamp, delay: Duration) -> Self {
        Self {
            relay: plan.relay,
            asked_at: now,
            wait: plan.wait,
            ends_at: now.after(plan.wait + plan.answer_time),
            state: CallState::Sent {
                arrives_at: now.after(delay),
            },
        }
    }
}

impl SimulatedVm {
    /// A VM whose process starts and reads the key space up to `revision`.
    pub fn new(
        record: &VmRecord,
        options: &FollowOptions,
        revision: usize,
        now: TimeStamp,
    ) -> Self {
        Self {
            rules: start_rules(record, options, now),
            revision,
            read_revision: revision,
            applied: Vec::new(),
            call: None,
            idle_until: now,
            failures: 0,
            told: None,
            is_killed: false,
            renews_at: now.after(RENEW_INTERVAL),
            renewing_since: None,
        }
    }

    /// Brings all changes up to `revision` into force.
    pub fn apply(&mut self, revision: usize, now: TimeStamp) {
        if revision > self.revision {
            self.revision = revision;
            self.applied.push((now, revision));
        }
    }

    /// When a change came into force; zero if it was known when the process started.
    pub fn in_force_at(&self, change: usize) -> Option<TimeStamp> {
        if change < self.read_revision {
            return Some(TimeStamp::ZERO);
        }
        let applied = self.applied.iter().find(|(_, known)| *known > change);
        applied.map(|(at, _)| *at)
    }

    /// Makes renewals, and tells whether one has just failed.
    pub fn has_renewal_failed(
        &mut self,
        is_answered: bool,
        is_refused: bool,
        now: TimeStamp,
    ) -> bool {
        let sent_at = match self.renewing_since {
            None if now < self.renews_at => return false,
            sent_at => *self.renewing_since.insert(sent_at.unwrap_or(now)),
        };
        let is_failed = is_refused || now.since(sent_at) >= RENEW_TIMEOUT;
        if is_answered || is_failed {
            self.renewing_since = None;
            self.renews_at = now.after(RENEW_INTERVAL);
        }
        !is_answered && is_failed
    }
}
