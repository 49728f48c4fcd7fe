//! How the VMs of a simulated fleet decide whom to follow: as the product does, or as it did before
//! knowledge had a date.

use crate::follow_fleet::former::FormerRules;
use crate::follow_fleet::undated;
use crate::follow_fleet::vm::SimulatedCall;
use dahliawood_gateway::control::source::budget::FreshnessBudget;
use dahliawood_gateway::control::source::tracker::{SourceTracker, StoreAnswer, TrackerOptions};
use dahliawood_gateway::control::source::{RelayFailure, SourceRank};
use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_gateway::settings::FleetBounds;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Which rules VMs follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleKind {
    /// Those of the product.
    Dated,
    /// Those before knowledge had a date.
    Former,
}

/// The rules of one VM with their state.
#[derive(Debug)]
pub(super) enum FollowRules {
    Dated(Box<SourceTracker>),
    Former(Box<FormerRules>),
}

/// The next call.
#[derive(Clone, Copy, Debug)]
pub(super) struct RulePlan {
    /// Index of the VM to ask, `None` for the store.
    pub relay: Option<usize>,
    pub wait: Duration,
    pub answer_time: Duration,
}

/// What a relay tells of its copy.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayAnswer {
    pub is_current: bool,
    pub offset_millis: Option<i32>,
    pub stamp: u64,
}

impl FollowRules {
    pub fn start(kind: RuleKind, record: &VmRecord, bounds: &FleetBounds, now: TimeStamp) -> Self {
        match kind {
            RuleKind::Dated => Self::Dated(Box::new(SourceTracker::new(TrackerOptions {
                name: record.name.clone(),
                domain: record.domain.clone(),
                started: now,
                budget: FreshnessBudget::new(bounds),
            }))),
            RuleKind::Former => Self::Former(Box::new(FormerRules::new(record, now))),
        }
    }

    pub fn plan(&mut self, vms: &[VmRecord], now: TimeStamp) -> RulePlan {
        let (relay, wait, answer_time) = match self {
            Self::Dated(tracker) => {
                let plan = tracker.plan(vms, now);
                (plan.relay, plan.wait, plan.answer_time)
            }
            Self::Former(rules) => rules.plan(vms, now),
        };
        let place = |relay: &VmRecord| vms.iter().position(|vm| vm.name == relay.name);
        RulePlan {
            relay: relay.and_then(place),
            wait,
            answer_time,
        }
    }

    /// Whether the VM that this one would follow may still be starting.
    pub fn is_starting(&self, now: TimeStamp) -> bool {
        match self {
            Self::Dated(tracker) => tracker.is_starting(now),
            Self::Former(rules) => rules.is_starting(now),
        }
    }

    /// The pause after a failed call to the store.
    pub fn backoff(&self, vms: &[VmRecord], failures: u32, now: TimeStamp) -> Duration {
        let rank = match self {
            Self::Dated(tracker) => tracker.rank(vms, now),
            Self::Former(rules) => rules.rank(vms, now),
        };
        let (initial, longest) = match rank {
            SourceRank::Follower => (400, 1_600),
            SourceRank::Alone | SourceRank::Relay => (150, 500),
        };
        Duration::from_millis((initial << failures.min(8)).min(longest))
    }

    /// Records an answer of the store; returns the pause before the next call.
    pub fn record_store_answer(
        &mut self,
        call: &SimulatedCall,
        has_changes: bool,
        vms: usize,
        now: TimeStamp,
    ) -> Duration {
        match self {
            Self::Dated(tracker) => {
                tracker.set_confirmed();
                tracker.record_store_answer(StoreAnswer {
                    asked_at: call.asked_at,
                    wait: call.wait,
                    answered_at: now,
                    has_changes,
                });
                let interval = tracker.budget().batch_interval(vms);
                match has_changes {
                    true => interval.saturating_sub(now.since(call.asked_at)),
                    false => Duration::ZERO,
                }
            }
            Self::Former(rules) => rules.record_store_answer(has_changes, vms),
        }
    }

    pub fn record_store_failure(&mut self, now: TimeStamp) {
        match self {
            Self::Dated(tracker) => {
                tracker.set_confirmed();
                tracker.record_store_failure();
            }
            Self::Former(rules) => rules.record_store_failure(now),
        }
    }

    pub fn record_relay_answer(
        &mut self,
        asked_at: TimeStamp,
        answer: RelayAnswer,
        now: TimeStamp,
    ) {
        match self {
            Self::Dated(tracker) => {
                tracker.set_confirmed();
                if let Some(offset_millis) = answer.offset_millis {
                    tracker.record_relay_answer(asked_at, offset_millis, now);
                }
            }
            Self::Former(rules) => rules.record_relay_answer(asked_at, now),
        }
    }

    pub fn record_relay_failure(&mut self, name: &str, is_silent: bool, now: TimeStamp) {
        let failure = match is_silent {
            true => RelayFailure::Silent,
            false => RelayFailure::Refused,
        };
        match self {
            Self::Dated(tracker) => tracker.record_relay_failure(name, failure, now),
            Self::Former(rules) => rules.record_relay_failure(name, failure, now),
        }
    }

    /// What the VM answers to one that follows it, whose call arrived at `since`.
    pub fn answer(&self, since: TimeStamp, now: TimeStamp) -> RelayAnswer {
        match self {
            Self::Dated(tracker) => RelayAnswer {
                is_current: tracker.is_current(now),
                offset_millis: tracker.offset_millis(since, now),
                stamp: tracker.current_at().map_or(0, TimeStamp::as_micros),
            },
            Self::Former(rules) => undated(rules.is_current(now)),
        }
    }
}
