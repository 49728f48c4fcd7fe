//! Properties of the retry policy.

use crate::support;
use dahliawood_model::stamp;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_request::{deadline, retry};
use proptest::prelude::*;
use std::time::Duration;

fn any_verdict() -> impl Strategy<Value = RunVerdict> {
    prop_oneof![
        Just(RunVerdict::NotRun),
        Just(RunVerdict::MayHaveRun),
        Just(RunVerdict::Ran)
    ]
}

fn any_context() -> impl Strategy<Value = retry::RetryContext> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (flags, 1..5_u32, any_verdict(), any_verdict(), 0..100_u64).prop_map(
        |((idempotent, shed, answer_begun, body_replayable), tries, last, earlier, millis)| {
            retry::RetryContext {
                idempotent,
                tries,
                failure: if shed {
                    retry::TryFailure::Shed
                } else {
                    retry::TryFailure::Broken(last)
                },
                earlier,
                answer_begun,
                body_replayable,
                deadline: deadline::RequestDeadline {
                    at: stamp::TimeStamp::from_millis(millis),
                },
            }
        },
    )
}

proptest! {
    #![proptest_config(support::property_config(512))]

    #[test]
    fn a_request_that_may_have_run_is_retried_only_if_idempotent(
        context in any_context(),
        now in 0..100_u64,
    ) {
        let mut budget = retry::RetryBudget::new(20, 10);
        let now = stamp::TimeStamp::from_millis(now);
        let options = retry::RetryOptions::default();
        match retry::decide(&context, &options, &mut budget, now) {
            retry::RetryDecision::Retry { timeout } => {
                let unsent = context.earlier.combine(context.failure.verdict())
                    == RunVerdict::NotRun;
                prop_assert!(context.idempotent || unsent);
                prop_assert!(!context.answer_begun && context.body_replayable);
                prop_assert!(now.after(timeout) <= context.deadline.at);
            }
            retry::RetryDecision::GiveUp { verdict, .. } => {
                prop_assert!(verdict >= context.earlier);
                prop_assert!(verdict >= context.failure.verdict());
            }
        }
    }

    #[test]
    fn retries_stay_a_share_of_first_tries(
        percent in 0..=100_u32,
        burst in 0..20_u32,
        firsts in prop::collection::vec(any::<bool>(), 0..400),
    ) {
        let mut budget = retry::RetryBudget::new(percent, burst);
        let mut first_tries = 0_u64;
        let mut retries = 0_u64;
        for first in firsts {
            if first {
                budget.earn();
                first_tries += 1;
            } else if budget.spend() {
                retries += 1;
            }
            let share = first_tries * u64::from(percent) / 100;
            prop_assert!(retries <= share + u64::from(burst));
        }
    }
}

#[test]
fn a_caller_can_only_shorten_the_deadline() {
    let arrival = stamp::TimeStamp::from_millis(5);
    let service = Duration::from_secs(2);
    let longer = deadline::RequestDeadline::new(arrival, service, Some(Duration::from_secs(9)));
    assert_eq!(longer.at, arrival.after(service));
    let shorter = Duration::from_millis(300);
    let shorter = deadline::RequestDeadline::new(arrival, service, Some(shorter));
    assert_eq!(shorter.at, stamp::TimeStamp::from_millis(305));
    assert_eq!(shorter.remaining(shorter.at), Duration::ZERO);
}

#[test]
fn a_shed_non_idempotent_request_may_have_run_and_is_not_retried() {
    let context = retry::RetryContext {
        idempotent: false,
        tries: 1,
        failure: retry::TryFailure::Shed,
        earlier: RunVerdict::NotRun,
        answer_begun: false,
        body_replayable: true,
        deadline: deadline::RequestDeadline {
            at: stamp::TimeStamp::MAX,
        },
    };
    let mut budget = retry::RetryBudget::new(20, 10);
    let options = retry::RetryOptions::default();
    let decision = retry::decide(&context, &options, &mut budget, stamp::TimeStamp::ZERO);
    let expected = retry::RetryDecision::GiveUp {
        verdict: RunVerdict::MayHaveRun,
        reason: retry::GiveUpReason::NotIdempotent,
    };
    assert_eq!(decision, expected);
}
