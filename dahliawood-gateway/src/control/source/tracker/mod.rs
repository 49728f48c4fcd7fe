//! Whom a VM asks for changes of the key space, and how old its knowledge is.
//!
//! This handles relays that fail one after another or all together: a VM can't tell a relay that lost
//! the store from a store without changes, and neither can the relay at once. So knowledge counts
//! by its date, the time of the latest answer of the store that shows that no change is missing; a
//! relay passes that date on, and a VM whose knowledge is too old asks the store, whatever it was
//! told by others.
//!
//! Decides only; [`crate::control::follow`] makes the calls.

use crate::control::source::budget::FreshnessBudget;
use crate::control::source::{RelayFailure, SourceRank, SourceSelector};
use crate::control::vms::VmRecord;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How long after its start a VM waits for the VM that it would follow to be ready.
const START_TIME: Duration = Duration::from_secs(2);
/// Shortest time that a VM gets to answer; a VM that has less time left asks the store.
const MIN_RELAY_TIME: Duration = Duration::from_millis(100);

/// What a VM knows of the age of its copy of the key space, and of the VMs that it could follow.
#[derive(Clone, Debug)]
pub struct SourceTracker {
    /// Name of this VM.
    own: String,
    /// Its failure domain.
    domain: String,
    budget: FreshnessBudget,
    selector: SourceSelector,
    started: TimeStamp,
    /// Every change that the store acknowledged before this time is known.
    current_at: Option<TimeStamp>,
    is_confirmed: bool,
    /// Age up to which the latest call to the store may let this VM's knowledge get, zero if it follows
    /// another VM.
    expected_age: Duration,
    /// Calls to the store in a row that failed.
    failures: u32,
}

/// Arguments of [`SourceTracker::new`].
#[derive(Clone, Debug)]
pub struct TrackerOptions {
    /// Name of this VM.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// When its process was started.
    pub started: TimeStamp,
    /// The delays that are allowed.
    pub budget: FreshnessBudget,
}

/// The next call for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskPlan<'a> {
    /// The VM to ask, `None` for the store.
    pub relay: Option<&'a VmRecord>,
    /// How long the callee may wait for a change.
    pub wait: Duration,
    /// How long the answer may take beyond that.
    pub answer_time: Duration,
}

/// An answer of the store to a call for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreAnswer {
    /// When the call was made.
    pub asked_at: TimeStamp,
    /// How long the store could wait for a change.
    pub wait: Duration,
    /// When the answer was received.
    pub answered_at: TimeStamp,
    /// Whether it has changes.
    pub has_changes: bool,
}

impl SourceTracker {
    /// The tracker of a VM that knows nothing yet.
    pub fn new(options: TrackerOptions) -> Self {
        Self {
            own: options.name,
            domain: options.domain,
            budget: options.budget,
            selector: SourceSelector::default(),
            started: options.started,
            current_at: None,
            is_confirmed: false,
            expected_age: Duration::ZERO,
            failures: 0,
        }
    }

    /// The delays that are allowed.
    pub fn budget(&self) -> &FreshnessBudget {
        &self.budget
    }

    /// The time before which every acknowledged change is known, `None` if no answer has shown one.
    pub fn current_at(&self) -> Option<TimeStamp> {
        self.current_at
    }

    /// How old this VM's knowledge is.
    pub fn age(&self, now: TimeStamp) -> Duration {
        let current_at = self.current_at;
        current_at.map_or(Duration::MAX, |current_at| now.since(current_at))
    }

    /// Whether this VM's knowledge is in force and recent enough for others to rely on it.
    pub fn is_current(&self, now: TimeStamp) -> bool {
        let expected = self.expected_age + self.budget.overdue_answer_time;
        self.is_confirmed && self.age(now) <= expected.max(self.budget.max_age)
    }

    /// Whether what the first read found was confirmed, or can't be.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Records that what the first read found is in force.
    pub fn set_confirmed(&mut self) {
        self.is_confirmed = true;
    }

    /// Whether the VM that this one would follow may still be starting.
    pub fn is_starting(&self, now: TimeStamp) -> bool {
        !self.is_confirmed && now.since(self.started) < START_TIME
    }

    /// This VM's place in its failure domain.
    pub fn rank(&self, vms: &[VmRecord], now: TimeStamp) -> SourceRank {
        let choice = self.selector.select(vms, &self.own, &self.domain, now);
        choice.rank
    }

    /// Whether knowledge of this age leaves no time for a relay.
    fn is_overdue(&self, age: Duration) -> bool {
        age.saturating_add(MIN_RELAY_TIME) > self.budget.max_age
    }

    /// Decides whom to ask next.
    pub fn plan<'a>(&mut self, vms: &'a [VmRecord], now: TimeStamp) -> AskPlan<'a> {
        let choice = self.selector.select(vms, &self.own, &self.domain, now);
        if let Some(relay) = choice.relay {
            if self.is_starting(now) || !self.is_overdue(self.age(now)) {
                return self.relay_plan(relay, now);
            }
            // Waiting for another relay would delay changes too long.
            self.record_relay_failure(&relay.name, RelayFailure::Silent, now);
        }
        self.store_plan(choice.rank, now)
    }

    fn relay_plan<'a>(&mut self, relay: &'a VmRecord, now: TimeStamp) -> AskPlan<'a> {
        self.expected_age = Duration::ZERO;
        let (wait, answer_time) = if self.is_starting(now) {
            (Duration::ZERO, self.budget.answer_time)
        } else {
            let left = self.budget.max_age.saturating_sub(self.age(now));
            (left, Duration::ZERO)
        };
        AskPlan {
            relay: Some(relay),
            wait,
            answer_time,
        }
    }

    fn store_plan<'a>(&mut self, rank: SourceRank, now: TimeStamp) -> AskPlan<'a> {
        self.expected_age = match rank {
            SourceRank::Relay => self.budget.relay_age,
            SourceRank::Alone | SourceRank::Follower => self.budget.watch_wait,
        };
        let age = self.age(now);
        let (wait, answer_time) = if self.is_confirmed && self.is_overdue(age) {
            let doubled = self.budget.overdue_answer_time * (1 << self.failures.min(4));
            (Duration::ZERO, doubled.min(self.budget.answer_time))
        } else {
            let wait = self.expected_age.saturating_sub(age);
            (wait, self.budget.answer_time)
        };
        AskPlan {
            relay: None,
            wait,
            answer_time,
        }
    }

    /// Records an answer of the store to a call for changes.
    pub fn record_store_answer(&mut self, answer: StoreAnswer) {
        self.failures = 0;
        let waited = answer.answered_at.since(answer.asked_at);
        // The store answers without changes only once the wait is over.
        let is_waited_out = !answer.has_changes && waited >= answer.wait;
        let current_at = match is_waited_out {
            true => answer.asked_at.after(answer.wait),
            false => answer.asked_at,
        };
        self.record_current(current_at);
    }

    /// Records that the whole key space was read from the store in calls from `asked_at` on.
    pub fn record_read(&mut self, asked_at: TimeStamp) {
        self.failures = 0;
        self.record_current(asked_at);
    }

    /// Records that the store did not answer a call for changes.
    pub fn record_store_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records what another VM, asked at `asked_at`, told of the date of its copy, which this VM now
    /// has: milliseconds from the arrival of the call.
    pub fn record_relay_answer(&mut self, asked_at: TimeStamp, offset_millis: i32, now: TimeStamp) {
        let offset = Duration::from_millis(offset_millis.unsigned_abs().into());
        let current_at = match offset_millis < 0 {
            true => asked_at.before(offset),
            false => asked_at.after(offset).min(now),
        };
        self.record_current(current_at);
    }

    /// Records that a VM failed as a relay.
    pub fn record_relay_failure(&mut self, name: &str, failure: RelayFailure, now: TimeStamp) {
        self.selector.record_failure(name, failure, now);
    }

    /// The date of this VM's copy in milliseconds from `arrived_at`, the arrival of a call; `None` if
    /// others can't rely on it.
    pub fn offset_millis(&self, arrived_at: TimeStamp, now: TimeStamp) -> Option<i32> {
        let current_at = self.current_at.filter(|_| self.is_current(now))?;
        let after = current_at.since(arrived_at).as_micros() / 1_000;
        let before = arrived_at.since(current_at).as_micros().div_ceil(1_000);
        let millis = i64::try_from(after).ok()? - i64::try_from(before).ok()?;
        i32::try_from(millis).ok()
    }

    fn record_current(&mut self, current_at: TimeStamp) {
        self.current_at = self.current_at.max(Some(current_at));
    }
}
