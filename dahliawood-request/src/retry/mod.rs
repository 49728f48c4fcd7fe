//! Retry policy: when a failed try is followed by another one, and when a slow one is hedged.
//!
//! Once a byte of a request has been sent, only idempotent requests are retried: over a fresh
//! connection, and at another target if there is one. A retry budget per service limits retries and
//! hedges to a fixed share of first tries, so that they cannot amplify an overload.

use crate::{deadline, verdict};
use dahliawood_model::stamp;
use std::time::Duration;

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Credit that one first try earns per percent of the budget, in thousandths of a retry.
const PERCENT: u64 = RETRY_COST / 100;

/// Retry budget of a service: a token bucket that first tries fill and retries and hedges drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u32,
    capacity: u64,
    balance: u64,
}

impl RetryBudget {
    /// A full budget of `percent` retries per hundred first tries, with at most `burst` saved up.
    pub fn new(percent: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * RETRY_COST;
        Self {
            percent,
            capacity,
            balance: if percent == 0 { 0 } else { capacity },
        }
    }

    /// A budget with one retry saved up. For one that is a part of a fleet's budget: VMs that start,
    /// or do not know all others yet, together spend little more than first tries earn.
    pub fn starting(percent: u32, burst: u32) -> Self {
        let full = Self::new(percent, burst);
        Self {
            balance: full.balance.min(RETRY_COST),
            ..full
        }
    }

    /// Sets how many retries may be saved up; more are lost.
    pub fn set_burst(&mut self, burst: u32) {
        self.capacity = u64::from(burst) * RETRY_COST;
        self.balance = self.balance.min(self.capacity);
    }

    /// Adds the credit of one first try.
    pub fn earn(&mut self) {
        let earned = u64::from(self.percent) * PERCENT;
        self.balance = self.capacity.min(self.balance + earned);
    }

    /// Takes one retry or hedge from the budget; false if there is none left.
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

    /// Number of whole retries left.
    pub fn left(&self) -> u64 {
        self.balance / RETRY_COST
    }
}

/// Limits on the tries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Maximum tries of one request, including the first.
    pub max_tries: u32,
    /// Minimum remaining time for another try.
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
    /// The try ended without a usable answer; the verdict covers this try alone.
    Broken(verdict::RunVerdict),
    /// The target answered that it did not accept the request.
    Shed,
}

impl TryFailure {
    /// Whether this try may have run the request.
    ///
    /// A shed request counts as one that may have run, because the target's statement may be wrong.
    /// A non-idempotent request is therefore not retried after it.
    pub fn verdict(self) -> verdict::RunVerdict {
        match self {
            Self::Broken(verdict) => verdict,
            Self::Shed => verdict::RunVerdict::MayHaveRun,
        }
    }
}

/// State of a request after a failed try, as input for [`decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether its route is idempotent.
    pub idempotent: bool,
    /// Tries started so far.
    pub tries: u32,
    /// How the last try failed.
    pub failure: TryFailure,
    /// Combined verdict of its earlier tries.
    pub earlier: verdict::RunVerdict,
    /// Whether any byte of an answer was sent to the caller.
    pub answer_begun: bool,
    /// Whether its body can be sent again from its start.
    pub body_replayable: bool,
    /// When it must be answered.
    pub deadline: deadline::RequestDeadline,
}

/// Why there is no further try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum GiveUpReason {
    /// The request is not idempotent and may have run.
    #[display("not-idempotent")]
    NotIdempotent,
    /// The caller has already received part of an answer.
    #[display("answer-begun")]
    AnswerBegun,
    /// The body cannot be sent again.
    #[display("body-gone")]
    BodyGone,
    /// The maximum number of tries is reached.
    #[display("tries")]
    Tries,
    /// Too little time is left before the deadline.
    #[display("deadline")]
    Deadline,
    /// The service's retry budget is exhausted.
    #[display("budget")]
    Budget,
}

/// Decision after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again, over a fresh connection and at another target if there is one.
    Retry {
        /// Time limit of that try.
        timeout: Duration,
    },
    /// No further try; the caller gets the verdict.
    GiveUp {
        /// Whether the request may have run in any try.
        verdict: verdict::RunVerdict,
        /// Why there is no further try.
        reason: GiveUpReason,
    },
}

/// Decides what follows a failed try, and charges a retry to the budget.
///
/// If no byte of the failed try was sent, the next try costs no budget. A non-idempotent request
/// may be tried again as long as that holds for all its tries.
pub fn decide(
    context: &RetryContext,
    options: &RetryOptions,
    budget: &mut RetryBudget,
    now: stamp::TimeStamp,
) -> RetryDecision {
    let verdict = context.earlier.combine(context.failure.verdict());
    let timeout = context.deadline.remaining(now);
    let reason = forbidden_reason(context, verdict)
        .or((context.tries >= options.max_tries).then_some(GiveUpReason::Tries))
        .or((timeout < options.min_time).then_some(GiveUpReason::Deadline))
        .or_else(|| budget_reason(context, budget));
    match reason {
        Some(reason) => RetryDecision::GiveUp { verdict, reason },
        None => RetryDecision::Retry { timeout },
    }
}

fn forbidden_reason(context: &RetryContext, verdict: verdict::RunVerdict) -> Option<GiveUpReason> {
    if context.answer_begun {
        return Some(GiveUpReason::AnswerBegun);
    }
    if !context.idempotent && verdict != verdict::RunVerdict::NotRun {
        return Some(GiveUpReason::NotIdempotent);
    }
    (!context.body_replayable).then_some(GiveUpReason::BodyGone)
}

fn budget_reason(context: &RetryContext, budget: &mut RetryBudget) -> Option<GiveUpReason> {
    let free = context.failure.verdict() == verdict::RunVerdict::NotRun;
    (!free && !budget.spend()).then_some(GiveUpReason::Budget)
}

/// State of a request without an answer yet, as input for [`hedge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeContext {
    /// Whether its route is idempotent.
    pub idempotent: bool,
    /// Tries started so far.
    pub tries: u32,
    /// Whether its customer's rate limit allows another request.
    pub customer_has_room: bool,
    /// Whether its body can be sent again from its start.
    pub body_replayable: bool,
    /// When it must be answered.
    pub deadline: deadline::RequestDeadline,
}

/// Whether a second try may start while the first still runs; charges it to the budget if so.
///
/// A request gets at most one hedge: hedges are meant for connections that stopped responding, not
/// for slow services.
pub fn hedge(
    context: &HedgeContext,
    options: &RetryOptions,
    budget: &mut RetryBudget,
    now: stamp::TimeStamp,
) -> bool {
    context.idempotent
        && context.tries == 1
        && context.customer_has_room
        && context.body_replayable
        && context.deadline.remaining(now) >= options.min_time
        && budget.spend()
}

/// Whether the running tries of a request are cancelled when the caller disconnects.
///
/// A non-idempotent request that may be running continues, so that its outcome becomes known,
/// unless the operators' file allows cancelling it.
pub fn cancels_on_disconnect(
    idempotent: bool,
    verdict: verdict::RunVerdict,
    config_allows: bool,
) -> bool {
    idempotent || config_allows || verdict == verdict::RunVerdict::NotRun
}
