//! The request's state machine over generated histories, against a target that logs every run.

use crate::support;
use dahliawood_fate::request::{RequestEffect, RequestEvent, TryKey};
use dahliawood_fate::verdict::RunVerdict;
use dahliawood_fate::{deadline, request, retry};
use dahliawood_model::stamp;
use proptest::prelude::*;
use std::time::Duration;

/// What the world does to the try at hand, or to the whole request.
#[derive(Clone, Copy, Debug)]
enum Move {
    Connect,
    Refuse,
    /// The target reads the request and runs it.
    Run,
    Break,
    Shed,
    AnswerSmall,
    AnswerLarge,
    LastByte,
    HedgeDue,
    CallerLeaves,
    Pass(u64),
}

#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TryTruth {
    cancelled: bool,
    sent: bool,
    ran: bool,
    over: bool,
}

/// The target's log and all that the machine said.
struct World {
    record: request::RequestRecord,
    options: request::RequestOptions,
    budget: retry::RetryBudget,
    now: stamp::TimeStamp,
    tries: Vec<TryTruth>,
    forwarding: Option<TryKey>,
    told: Vec<RequestEffect>,
    caller_left: bool,
    expired: bool,
}

impl World {
    fn new(options: request::RequestOptions) -> Self {
        let mut budget = retry::RetryBudget::new(20, 1);
        let now = stamp::TimeStamp::ZERO;
        let (record, effects) = request::RequestRecord::admit(options, &mut budget, now);
        let mut world = Self {
            record,
            options,
            budget,
            now,
            tries: Vec::new(),
            forwarding: None,
            told: Vec::new(),
            caller_left: false,
            expired: false,
        };
        world.apply(&effects);
        world
    }

    fn apply(&mut self, effects: &[RequestEffect]) {
        for effect in effects {
            match effect {
                RequestEffect::Dispatch { .. } => self.tries.push(TryTruth::default()),
                RequestEffect::Cancel(key) => {
                    let truth = &mut self.tries[key.0 as usize];
                    truth.cancelled = true;
                    truth.over = true;
                }
                RequestEffect::Forward(key) => self.forwarding = Some(*key),
                told => self.told.push(*told),
            }
        }
    }

    fn tell(&mut self, event: RequestEvent) -> Result<(), TestCaseError> {
        let effects = self.record.advance(event, &mut self.budget, self.now);
        self.apply(&effects);
        self.check()
    }

    fn step(&mut self, pick: usize, step: Move) -> Result<(), TestCaseError> {
        match step {
            Move::Pass(millis) => {
                self.now = self.now.after(Duration::from_millis(millis));
                if self.now >= self.options.deadline.at && !self.expired {
                    self.expired = true;
                    self.tell(RequestEvent::DeadlinePassed)?;
                }
                return Ok(());
            }
            Move::HedgeDue => {
                return self.tell(RequestEvent::HedgeDue {
                    customer_has_room: true,
                });
            }
            Move::CallerLeaves if !self.caller_left => {
                self.caller_left = true;
                return self.tell(RequestEvent::CallerDisconnected);
            }
            _ => {}
        }
        let alive: Vec<_> = (0..self.tries.len())
            .filter(|index| !self.tries[*index].over)
            .collect();
        if alive.is_empty() {
            return Ok(());
        }
        let index = alive[pick % alive.len()];
        self.move_try(index, step)
    }

    fn move_try(&mut self, index: usize, step: Move) -> Result<(), TestCaseError> {
        let key = TryKey(index as u32);
        let truth = &mut self.tries[index];
        let forwarded = self.forwarding == Some(key);
        match step {
            Move::Connect if !truth.sent => {
                truth.sent = true;
                self.tell(RequestEvent::Sent(key))
            }
            Move::Refuse if !truth.sent => {
                truth.over = true;
                let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
                self.tell(RequestEvent::Failed(key, failure))
            }
            Move::Run if truth.sent => {
                truth.ran = true;
                Ok(())
            }
            Move::Break if truth.sent => {
                truth.over = true;
                let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
                self.tell(RequestEvent::Failed(key, failure))
            }
            Move::Shed if truth.sent && !forwarded => {
                // It may have run all the same: its report may be wrong.
                truth.over = true;
                self.tell(RequestEvent::Failed(key, retry::TryFailure::Shed))
            }
            Move::AnswerSmall if truth.ran && !forwarded => {
                truth.over = true;
                self.tell(RequestEvent::Buffered(key))
            }
            Move::AnswerLarge if truth.ran && !forwarded => self.tell(RequestEvent::Streaming(key)),
            Move::LastByte if forwarded => {
                truth.over = true;
                self.tell(RequestEvent::Streamed(key))
            }
            _ => Ok(()),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let runs = self.tries.iter().filter(|truth| truth.ran).count();
        let sent = self.tries.iter().filter(|truth| truth.sent).count();
        prop_assert!(self.told.len() <= 1, "told twice: {:?}", self.told);
        prop_assert!(self.tries.len() <= self.options.retry.max_tries as usize);
        if !self.options.idempotent {
            prop_assert!(sent <= 1, "sent twice");
            prop_assert!(runs <= 1, "run twice");
            let cut = self.tries.iter().any(|truth| truth.cancelled && truth.sent);
            prop_assert!(
                !cut || self.options.cancel_allowed,
                "cancelled while it may run"
            );
        }
        if self.record.verdict() == RunVerdict::NotRun {
            prop_assert_eq!(sent, 0, "a false not-run");
        }
        match self.told.first() {
            Some(RequestEffect::Complete(key)) => prop_assert!(self.tries[key.0 as usize].ran),
            Some(RequestEffect::Refuse { verdict, .. } | RequestEffect::Drop { verdict }) => {
                prop_assert!(
                    *verdict != RunVerdict::NotRun || runs == 0,
                    "a false not-run"
                );
            }
            Some(RequestEffect::Abort) => prop_assert!(self.forwarding.is_some()),
            _ => {}
        }
        Ok(())
    }

    /// Lets the world come to rest: every try ends and the deadline passes.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        self.step(0, Move::Pass(1_000_000))?;
        while let Some(index) = (0..self.tries.len()).find(|index| !self.tries[*index].over) {
            self.tries[index].over = true;
            let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
            self.tell(RequestEvent::Failed(TryKey(index as u32), failure))?;
        }
        prop_assert_eq!(self.told.len(), 1, "nobody was told");
        prop_assert!(self.record.is_over());
        Ok(())
    }
}

fn any_move() -> impl Strategy<Value = Move> {
    prop_oneof![
        4 => Just(Move::Connect),
        1 => Just(Move::Refuse),
        3 => Just(Move::Run),
        1 => Just(Move::Break),
        1 => Just(Move::Shed),
        1 => Just(Move::AnswerSmall),
        1 => Just(Move::AnswerLarge),
        2 => Just(Move::LastByte),
        1 => Just(Move::HedgeDue),
        1 => Just(Move::CallerLeaves),
        1 => (0..700_u64).prop_map(Move::Pass),
    ]
}

fn any_options() -> impl Strategy<Value = request::RequestOptions> {
    (any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
        |(idempotent, body_replayable, cancel_allowed)| request::RequestOptions {
            idempotent,
            body_replayable,
            cancel_allowed,
            deadline: deadline::RequestDeadline {
                at: stamp::TimeStamp::from_millis(2_000),
            },
            retry: retry::RetryOptions::default(),
        },
    )
}

proptest! {
    #![proptest_config(support::property_config(4_000))]

    #[test]
    fn a_request_is_told_once_and_truly(
        options in any_options(),
        history in prop::collection::vec((any::<usize>(), any_move()), 0..40),
    ) {
        let mut world = World::new(options);
        for (pick, step) in history {
            world.step(pick, step)?;
        }
        world.settle()?;
    }
}
