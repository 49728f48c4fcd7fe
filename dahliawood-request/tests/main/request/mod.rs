//! The request state machine over generated histories, checked against a target's log of all runs.

use crate::support;
use dahliawood_model::stamp;
use dahliawood_request::request::{RequestEffect, RequestEvent, TryKey};
use dahliawood_request::verdict::RunVerdict;
use dahliawood_request::{deadline, request, retry};
use proptest::prelude::*;
use std::time::Duration;

/// A step of the simulation, for one running try or for the whole request.
#[derive(Clone, Copy, Debug)]
enum SimulationStep {
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
    CallerDisconnects,
    AdvanceTime(u64),
}

#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TryLog {
    cancelled: bool,
    sent: bool,
    ran: bool,
    over: bool,
}

/// A simulated target with its log, and the effects that the state machine emitted.
struct Simulation {
    record: request::RequestRecord,
    options: request::RequestOptions,
    budget: retry::RetryBudget,
    now: stamp::TimeStamp,
    tries: Vec<TryLog>,
    forwarding: Option<TryKey>,
    final_effects: Vec<RequestEffect>,
    caller_disconnected: bool,
    expired: bool,
}

impl Simulation {
    fn new(options: request::RequestOptions) -> Self {
        let mut budget = retry::RetryBudget::new(20, 1);
        let now = stamp::TimeStamp::ZERO;
        let (record, effects) = request::RequestRecord::admit(options, &mut budget, now);
        let mut simulation = Self {
            record,
            options,
            budget,
            now,
            tries: Vec::new(),
            forwarding: None,
            final_effects: Vec::new(),
            caller_disconnected: false,
            expired: false,
        };
        simulation.apply(&effects);
        simulation
    }

    fn apply(&mut self, effects: &[RequestEffect]) {
        for effect in effects {
            match effect {
                RequestEffect::Dispatch { .. } => self.tries.push(TryLog::default()),
                RequestEffect::Cancel(key) => {
                    let log = &mut self.tries[key.0 as usize];
                    log.cancelled = true;
                    log.over = true;
                }
                RequestEffect::Forward(key) => self.forwarding = Some(*key),
                effect => self.final_effects.push(*effect),
            }
        }
    }

    fn advance(&mut self, event: RequestEvent) -> Result<(), TestCaseError> {
        let effects = self.record.advance(event, &mut self.budget, self.now);
        self.apply(&effects);
        self.check()
    }

    fn step(&mut self, pick: usize, step: SimulationStep) -> Result<(), TestCaseError> {
        match step {
            SimulationStep::AdvanceTime(millis) => {
                self.now = self.now.after(Duration::from_millis(millis));
                if self.now >= self.options.deadline.at && !self.expired {
                    self.expired = true;
                    self.advance(RequestEvent::DeadlinePassed)?;
                }
                return Ok(());
            }
            SimulationStep::HedgeDue => {
                return self.advance(RequestEvent::HedgeDue {
                    customer_has_room: true,
                });
            }
            SimulationStep::CallerDisconnects if !self.caller_disconnected => {
                self.caller_disconnected = true;
                return self.advance(RequestEvent::CallerDisconnected);
            }
            _ => {}
        }
        let running: Vec<_> = (0..self.tries.len())
            .filter(|index| !self.tries[*index].over)
            .collect();
        if running.is_empty() {
            return Ok(());
        }
        let index = running[pick % running.len()];
        self.step_try(index, step)
    }

    fn step_try(&mut self, index: usize, step: SimulationStep) -> Result<(), TestCaseError> {
        let key = TryKey(index as u32);
        let log = &mut self.tries[index];
        let forwarded = self.forwarding == Some(key);
        match step {
            SimulationStep::Connect if !log.sent => {
                log.sent = true;
                self.advance(RequestEvent::Sent(key))
            }
            SimulationStep::Refuse if !log.sent => {
                log.over = true;
                let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
                self.advance(RequestEvent::Failed(key, failure))
            }
            SimulationStep::Run if log.sent => {
                log.ran = true;
                Ok(())
            }
            SimulationStep::Break if log.sent => {
                log.over = true;
                let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
                self.advance(RequestEvent::Failed(key, failure))
            }
            SimulationStep::Shed if log.sent && !forwarded => {
                // The target may be wrong: the request may have run before it was shed.
                log.over = true;
                self.advance(RequestEvent::Failed(key, retry::TryFailure::Shed))
            }
            SimulationStep::AnswerSmall if log.ran && !forwarded => {
                log.over = true;
                self.advance(RequestEvent::Buffered(key))
            }
            SimulationStep::AnswerLarge if log.ran && !forwarded => {
                self.advance(RequestEvent::Streaming(key))
            }
            SimulationStep::LastByte if forwarded => {
                log.over = true;
                self.advance(RequestEvent::Streamed(key))
            }
            _ => Ok(()),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let runs = self.tries.iter().filter(|log| log.ran).count();
        let sent = self.tries.iter().filter(|log| log.sent).count();
        prop_assert!(
            self.final_effects.len() <= 1,
            "two final effects: {:?}",
            self.final_effects
        );
        prop_assert!(self.tries.len() <= self.options.retry.max_tries as usize);
        if !self.options.idempotent {
            prop_assert!(sent <= 1, "sent twice");
            prop_assert!(runs <= 1, "run twice");
            let cancelled_after_send = self.tries.iter().any(|log| log.cancelled && log.sent);
            prop_assert!(
                !cancelled_after_send || self.options.cancel_allowed,
                "cancelled while it may run"
            );
        }
        if self.record.verdict() == RunVerdict::NotRun {
            prop_assert_eq!(sent, 0, "a false not-run");
        }
        match self.final_effects.first() {
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

    /// Runs the simulation to its end: the deadline passes and every try ends.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        self.step(0, SimulationStep::AdvanceTime(1_000_000))?;
        while let Some(index) = (0..self.tries.len()).find(|index| !self.tries[*index].over) {
            self.tries[index].over = true;
            let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
            self.advance(RequestEvent::Failed(TryKey(index as u32), failure))?;
        }
        prop_assert_eq!(self.final_effects.len(), 1, "no final effect");
        prop_assert!(self.record.is_over());
        Ok(())
    }
}

fn any_step() -> impl Strategy<Value = SimulationStep> {
    prop_oneof![
        4 => Just(SimulationStep::Connect),
        1 => Just(SimulationStep::Refuse),
        3 => Just(SimulationStep::Run),
        1 => Just(SimulationStep::Break),
        1 => Just(SimulationStep::Shed),
        1 => Just(SimulationStep::AnswerSmall),
        1 => Just(SimulationStep::AnswerLarge),
        2 => Just(SimulationStep::LastByte),
        1 => Just(SimulationStep::HedgeDue),
        1 => Just(SimulationStep::CallerDisconnects),
        1 => (0..700_u64).prop_map(SimulationStep::AdvanceTime),
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
    fn each_request_has_one_final_effect_with_a_true_verdict(
        options in any_options(),
        history in prop::collection::vec((any::<usize>(), any_step()), 0..40),
    ) {
        let mut simulation = Simulation::new(options);
        for (pick, step) in history {
            simulation.step(pick, step)?;
        }
        simulation.finish()?;
    }
}
