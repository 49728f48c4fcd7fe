//! Judges by this VM's own connections whether it reaches targets.
//!
//! Two targets that fail without a connection being made since raise a suspicion, which a sample of
//! connections over all failure domains settles: a service or a failure domain that is down leaves
//! others that accept, a VM that is cut off reaches none. The answer to a load pattern in which each
//! request of a VM would otherwise fail at one target after the other for as long as the cut lasts.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Different targets that fail in a row before a VM suspects that it is cut off.
const MIN_FAILED_TARGETS: usize = 2;
/// How long a failed target counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Least time between the end of a suspicion and the next one.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);
/// How long a VM whose links are back sends a part of its requests through other VMs.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Share of the requests that a VM sends to targets itself as soon as its links are back.
const FIRST_DIRECT_SHARE: f64 = 0.2;
/// Connections of the first sample that is to settle a suspicion.
const FIRST_SAMPLE: usize = 6;
/// Connections of each further one: where most targets are down, the first may miss all that are left.
const NEXT_SAMPLE: usize = 14;
/// Connections that must have failed before a VM takes itself for cut off.
const MIN_CHECKED: usize = FIRST_SAMPLE + NEXT_SAMPLE;
/// Connections that a VM which is cut off opens in each round.
const CHECK_SIZE: usize = 2;
/// Time between two rounds.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether this VM reaches targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachState {
    /// As far as is known, it does.
    Reachable,
    /// Several targets have failed; a sample of connections is being opened.
    Suspected {
        /// When the first of them failed.
        since: TimeStamp,
        /// Connections of the samples that have failed so far.
        checked: usize,
    },
    /// It reaches none.
    CutOff {
        /// When the first target failed.
        since: TimeStamp,
    },
    /// It reaches targets again.
    Returning {
        /// Since when.
        since: TimeStamp,
    },
}

/// Outcome of a round of connections that were opened to learn whether this VM reaches targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckOutcome {
    /// When the round began.
    pub begun: TimeStamp,
    /// Connections that were made.
    pub made: usize,
    /// Connections that failed.
    pub failed: usize,
}

/// This VM's view of its links to targets.
#[derive(Clone, Debug)]
pub struct ReachTracker {
    state: ReachState,
    /// When each target failed last, of those that did since a connection was made.
    failed: FastMap<u64, TimeStamp>,
    /// Until when no further suspicion begins.
    settled_until: TimeStamp,
    /// When the latest attempt began by which a connection was made.
    made_at: TimeStamp,
}

impl Default for ReachTracker {
    fn default() -> Self {
        Self {
            state: ReachState::Reachable,
            failed: FastMap::default(),
            settled_until: TimeStamp::ZERO,
            made_at: TimeStamp::ZERO,
        }
    }
}

impl ReachTracker {
    /// The state.
    pub fn state(&self) -> ReachState {
        self.state
    }

    /// Whether requests may go to targets as far as is known.
    pub fn is_reachable(&self) -> bool {
        matches!(
            self.state,
            ReachState::Reachable | ReachState::Returning { .. }
        )
    }

    /// Whether this VM has found that it reaches no target.
    pub fn is_cut_off(&self) -> bool {
        matches!(self.state, ReachState::CutOff { .. })
    }

    /// Whether a request is sent to a target by this VM itself; `draw` is a random number from 0 to 1.
    pub fn sends_direct(&self, draw: f64, now: TimeStamp) -> bool {
        match self.state {
            ReachState::Reachable => true,
            ReachState::Suspected { .. } | ReachState::CutOff { .. } => false,
            ReachState::Returning { since } => {
                let elapsed = now.since(since).as_secs_f64() / RETURN_TIME.as_secs_f64();
                draw < FIRST_DIRECT_SHARE + elapsed * (1.0 - FIRST_DIRECT_SHARE)
            }
        }
    }

    /// Records that a new connection was made, of an attempt that began at `begun`. One that began before
    /// the failures proves nothing.
    pub fn record_made(&mut self, begun: TimeStamp, now: TimeStamp) {
        self.made_at = self.made_at.max(begun);
        self.failed.retain(|_, failed_at| *failed_at > begun);
        self.state = match self.state {
            ReachState::Suspected { since, .. } if begun >= since => {
                self.settled_until = now.after(SUSPICION_INTERVAL);
                ReachState::Reachable
            }
            ReachState::CutOff { since } if begun > since => ReachState::Returning { since: now },
            ReachState::Returning { since } if now.since(since) >= RETURN_TIME => {
                ReachState::Reachable
            }
            state => state,
        };
    }

    /// Whether a connection was made by an attempt that began later than `at`.
    pub fn has_made_since(&self, at: TimeStamp) -> bool {
        self.made_at > at
    }

    /// Begins a suspicion although nothing has failed, since something else depends on whether this VM
    /// reaches targets; returns whether one begins.
    pub fn suspect(&mut self, now: TimeStamp) -> bool {
        let begins = self.is_reachable();
        if begins {
            self.state = ReachState::Suspected {
                since: now,
                checked: 0,
            };
        }
        begins
    }

    /// Records that a connection to a target, given by its hash, could not be made, of `known` targets in
    /// all. Returns whether a suspicion begins: a sample of connections is to be opened.
    pub fn record_failed(&mut self, target: u64, known: usize, now: TimeStamp) -> bool {
        if !self.is_reachable() {
            return false;
        }
        self.failed
            .retain(|_, failed_at| now.since(*failed_at) < FAILURE_MEMORY);
        self.failed.insert(target, now);
        if self.failed.len() < MIN_FAILED_TARGETS.min(known) || now < self.settled_until {
            return false;
        }
        let since = self.failed.values().min().copied().unwrap_or(now);
        self.state = ReachState::Suspected { since, checked: 0 };
        true
    }

    /// How many connections to open in the next round, zero if none are needed.
    pub fn check_size(&self) -> usize {
        match self.state {
            ReachState::Suspected { checked: 0, .. } => FIRST_SAMPLE,
            ReachState::Suspected { .. } => NEXT_SAMPLE,
            ReachState::CutOff { .. } => CHECK_SIZE,
            ReachState::Reachable | ReachState::Returning { .. } => 0,
        }
    }

    /// Records a round of connections, with `known` targets in all.
    pub fn record_check(&mut self, outcome: CheckOutcome, known: usize, now: TimeStamp) {
        if outcome.made > 0 {
            self.record_made(outcome.begun, now);
            return;
        }
        let ReachState::Suspected { since, checked } = self.state else {
            return;
        };
        let checked = checked + outcome.failed;
        self.state = match outcome.failed {
            // Without a target to try there is nothing that could be reached.
            0 => ReachState::Reachable,
            _ if checked >= MIN_CHECKED.min(known) => ReachState::CutOff { since },
            _ => ReachState::Suspected { since, checked },
        };
        if self.state != (ReachState::Suspected { since, checked }) {
            self.failed.clear();
        }
    }
}
