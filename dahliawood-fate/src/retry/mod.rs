//! When a failed try is followed by another, and when a slow one is hedged.
//!
//! Only idempotent requests are sent again once a byte of them has left, always to another target
//! where there is one and over a fresh connection. A budget for each service keeps retries and
//! hedges a fixed share of first tries, so that they cannot multiply an overload.

use crate::{deadline, verdict};
use dahliawood_model::stamp;
use std::time::Duration;

/// Thousandths of a retry that one retry costs.
const RETRY_COST: u64 = 1_000;
/// Thousandths of a retry in one percent of a first try.
const PERCENT: u64 = RETRY_COST / 100;

/// What a service may spend on retries and hedges: a share of its first tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u32,
    most: u64,
    balance: u64,
}

impl RetryBudget {
    /// A full budget: `percent` retries for a hundred first tries, `burst` at most at once.
    pub fn new(percent: u32, burst: u32) -> Self {
        let most = u64::from(burst) * RETRY_COST;
        Self {
            percent,
            most,
            balance: if percent == 0 { 0 } else { most },
        }
    }

    /// Adds what one first try earns.
    pub fn earn(&mut self) {
        let earned = u64::from(self.percent) * PERCENT;
        self.balance = self.most.min(self.balance + earned);
    }

    /// Takes one retry or hedge out; false where there is none left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(balance) => {
                self.balance = balance;
                true
            }
            None => false,
        }
    }

    /// Whole retries that are left.
    pub fn left(&self) -> u64 {
        self.balance / RETRY_COST
    }
}

/// Bounds of the tries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Tries of one request, the first included.
    pub max_tries: u32,
    /// Less time than this left is not worth a try.
    pub min_time: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            max_tries: 3,
            min_time: Duration::from_millis(20),
        }
    }
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryFailure {
    /// It ended without a usable answer; the verdict is of this try alone.
    Broken(verdict::RunVerdict),
    /// The target answered that it would not run it.
    Shed,
}

impl TryFailure {
    /// Whether this try may have run the request.
    ///
    /// A target that says it shed a request is not believed for non-idempotent ones: its report
    /// may be wrong.
    pub fn verdict(self) -> verdict::RunVerdict {
        match self {
            Self::Broken(verdict) => verdict,
            Self::Shed => verdict::RunVerdict::MayHaveRun,
        }
    }
}

/// A request one try of which has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether its route is idempotent.
    pub idempotent: bool,
    /// Tries begun so far.
    pub tries: u32,
    /// How the last one failed.
    pub failure: TryFailure,
    /// What its earlier tries came to.
    pub earlier: verdict::RunVerdict,
    /// Whether any byte of an answer has gone to the caller.
    pub answer_begun: bool,
    /// Whether its body can be sent again from its start.
    pub body_replayable: bool,
    /// When it must be answered.
    pub deadline: deadline::RequestDeadline,
}

/// Why there is no further try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum GiveUpReason {
    /// It is not idempotent and may have run.
    #[display("not-idempotent")]
    NotIdempotent,
    /// Its caller already has a part of an answer.
    #[display("answer-begun")]
    AnswerBegun,
    /// Its body is gone.
    #[display("body-gone")]
    BodyGone,
    /// It has had its tries.
    #[display("tries")]
    Tries,
    /// Too little time is left.
    #[display("deadline")]
    Deadline,
    /// The service's budget is spent.
    #[display("budget")]
    Budget,
}

/// What follows a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another try, over a fresh connection and to another target where there is one.
    Retry {
        /// How long that try may take.
        timeout: Duration,
    },
    /// None; the caller is told the verdict.
    GiveUp {
        /// Whether the request may have run in any try.
        verdict: verdict::RunVerdict,
        /// Why.
        reason: GiveUpReason,
    },
}

/// Decides what follows a failed try, and takes it out of the budget.
///
/// A try of which no byte left is not a retry: it costs no budget, and a non-idempotent request may
/// have another one as long as that holds for all its tries.
pub fn decide(
    question: &RetryContext,
    options: &RetryOptions,
    budget: &mut RetryBudget,
    now: stamp::TimeStamp,
) -> RetryDecision {
    let verdict = question.earlier.combine(question.failure.verdict());
    let timeout = question.deadline.remaining(now);
    let reason = forbidden(question, verdict)
        .or((question.tries >= options.max_tries).then_some(GiveUpReason::Tries))
        .or((timeout < options.min_time).then_some(GiveUpReason::Deadline))
        .or_else(|| unaffordable(question, budget));
    match reason {
        Some(reason) => RetryDecision::GiveUp { verdict, reason },
        None => RetryDecision::Retry { timeout },
    }
}

fn forbidden(question: &RetryContext, verdict: verdict::RunVerdict) -> Option<GiveUpReason> {
    if question.answer_begun {
        return Some(GiveUpReason::AnswerBegun);
    }
    if !question.idempotent && verdict != verdict::RunVerdict::NotRun {
        return Some(GiveUpReason::NotIdempotent);
    }
    (!question.body_replayable).then_some(GiveUpReason::BodyGone)
}

fn unaffordable(question: &RetryContext, budget: &mut RetryBudget) -> Option<GiveUpReason> {
    let free = question.failure.verdict() == verdict::RunVerdict::NotRun;
    (!free && !budget.spend()).then_some(GiveUpReason::Budget)
}

/// A request whose answer has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeContext {
    /// Whether its route is idempotent.
    pub idempotent: bool,
    /// Tries begun so far.
    pub tries: u32,
    /// Whether its customer has room in its rate for another request.
    pub customer_has_room: bool,
    /// Whether its body can be sent again from its start.
    pub body_replayable: bool,
    /// When it must be answered.
    pub deadline: deadline::RequestDeadline,
}

/// Whether a second try may run beside the first, and takes it out of the budget.
///
/// One hedge at most: it serves against a connection that has gone silent, not against a service
/// that is slow.
pub fn hedge(
    question: &HedgeContext,
    options: &RetryOptions,
    budget: &mut RetryBudget,
    now: stamp::TimeStamp,
) -> bool {
    question.idempotent
        && question.tries == 1
        && question.customer_has_room
        && question.body_replayable
        && question.deadline.remaining(now) >= options.min_time
        && budget.spend()
}

/// Whether a target is told to stop when the caller has left.
///
/// A non-idempotent request that may be running is left to run, so that its outcome is known,
/// unless the operators' file says otherwise.
pub fn cancels_on_disconnect(
    idempotent: bool,
    verdict: verdict::RunVerdict,
    file_allows: bool,
) -> bool {
    idempotent || file_allows || verdict == verdict::RunVerdict::NotRun
}
