//! State machine of one request, from admission to the last byte of the answer.
//!
//! Events report what happened to the tries and the caller; effects tell the driver what to do. The
//! record holds no bytes and does no I/O. Each record emits exactly one final effect for the
//! caller: [`RequestEffect::Complete`], [`RequestEffect::Refuse`], [`RequestEffect::Abort`], or
//! [`RequestEffect::Drop`] if the caller has disconnected.

use crate::{deadline, retry, verdict};
use dahliawood_model::stamp;
use std::time::Duration;

/// Index of a try of one request, in order of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct TryKey(pub u32);

/// Properties of a request that are known at its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// Whether its route is idempotent.
    pub idempotent: bool,
    /// Whether its body can be sent again from its start.
    pub body_replayable: bool,
    /// Whether the operators' file allows cancelling it while it may be running, although it is not
    /// idempotent.
    pub cancel_allowed: bool,
    /// When it must be answered.
    pub deadline: deadline::RequestDeadline,
    /// Limits on its tries.
    pub retry: retry::RetryOptions,
}

/// An event in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// A byte of the request was sent to a target.
    Sent(TryKey),
    /// A try ended without a complete answer.
    Failed(TryKey, retry::TryFailure),
    /// A try's answer is completely buffered, and none of it was sent to the caller.
    Buffered(TryKey),
    /// The head of a try's answer arrived; the answer is too large to be buffered.
    Streaming(TryKey),
    /// The streamed answer was completely sent to the caller.
    Streamed(TryKey),
    /// The first try has been without an answer for the hedging delay.
    HedgeDue {
        /// Whether the customer's rate limit allows another request.
        customer_has_room: bool,
    },
    /// The caller disconnected.
    CallerDisconnected,
    /// The deadline passed.
    DeadlinePassed,
}

/// An action that the driver must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEffect {
    /// Send the request to a target.
    Dispatch {
        /// Key of the new try.
        key: TryKey,
        /// Time limit of the try.
        timeout: Duration,
        /// Whether to use a fresh connection, and another target if there is one.
        fresh: bool,
    },
    /// Stop a try and close its connection.
    Cancel(TryKey),
    /// Finish the caller's answer with that of a try: send the buffered one, or end the streamed
    /// one.
    Complete(TryKey),
    /// Start streaming a try's answer to the caller.
    Forward(TryKey),
    /// Send the caller a refusal, as there is no answer.
    Refuse {
        /// Whether the request may have run.
        verdict: verdict::RunVerdict,
        /// Why there is no further try; `None` if the deadline passed.
        reason: Option<retry::GiveUpReason>,
    },
    /// Close the caller's connection in the middle of the answer.
    Abort,
    /// Send nothing, as the caller has disconnected.
    Drop {
        /// Whether the request may have run.
        verdict: verdict::RunVerdict,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TryState {
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerProgress {
    Waiting,
    Forwarding(TryKey),
    /// The final effect was emitted; tries that must not be cancelled may still run.
    Finished,
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    options: RequestOptions,
    tries: Vec<TryState>,
    progress: AnswerProgress,
    verdict: verdict::RunVerdict,
}

impl RequestRecord {
    /// Admits a request and dispatches its first try.
    pub fn admit(
        options: RequestOptions,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> (Self, Vec<RequestEffect>) {
        budget.earn();
        let mut record = Self {
            options,
            tries: Vec::new(),
            progress: AnswerProgress::Waiting,
            verdict: verdict::RunVerdict::NotRun,
        };
        let first = record.dispatch(false, now);
        (record, vec![first])
    }

    /// Verdict so far on whether the request may have run.
    pub fn verdict(&self) -> verdict::RunVerdict {
        self.verdict
    }

    /// Whether the final effect was emitted and no try is running.
    pub fn is_over(&self) -> bool {
        self.progress == AnswerProgress::Finished && self.running().next().is_none()
    }

    /// Applies an event and returns the resulting effects.
    pub fn advance(
        &mut self,
        event: RequestEvent,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> Vec<RequestEffect> {
        match event {
            RequestEvent::Sent(key) => self.sent(key),
            RequestEvent::Failed(key, failure) => self.failed(key, failure, budget, now),
            RequestEvent::Buffered(key) => self.buffered(key),
            RequestEvent::Streaming(key) => self.streaming(key),
            RequestEvent::Streamed(key) => self.streamed(key),
            RequestEvent::HedgeDue { customer_has_room } => {
                self.hedge(customer_has_room, budget, now)
            }
            RequestEvent::CallerDisconnected => self.caller_disconnected(),
            RequestEvent::DeadlinePassed => self.deadline_passed(),
        }
    }

    fn dispatch(&mut self, fresh: bool, now: stamp::TimeStamp) -> RequestEffect {
        let key = TryKey(self.tries.len() as u32);
        self.tries.push(TryState::Running);
        RequestEffect::Dispatch {
            key,
            timeout: self.options.deadline.remaining(now),
            fresh,
        }
    }

    fn running(&self) -> impl Iterator<Item = TryKey> + '_ {
        self.tries
            .iter()
            .enumerate()
            .filter(|(_, state)| **state != TryState::Ended)
            .map(|(index, _)| TryKey(index as u32))
    }

    fn is_running(&self, key: TryKey) -> bool {
        self.running().any(|running| running == key)
    }

    fn end(&mut self, key: TryKey, verdict: verdict::RunVerdict) {
        self.tries[key.0 as usize] = TryState::Ended;
        self.verdict = self.verdict.combine(verdict);
    }

    fn sent(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if self.is_running(key) {
            self.verdict = self.verdict.combine(verdict::RunVerdict::MayHaveRun);
        }
        Vec::new()
    }

    fn failed(
        &mut self,
        key: TryKey,
        failure: retry::TryFailure,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> Vec<RequestEffect> {
        if !self.is_running(key) {
            return Vec::new();
        }
        let earlier = self.verdict;
        self.end(key, failure.verdict());
        match self.progress {
            AnswerProgress::Finished => Vec::new(),
            AnswerProgress::Forwarding(forwarded) if forwarded == key => {
                self.progress = AnswerProgress::Finished;
                vec![RequestEffect::Abort]
            }
            // Another try still runs and may answer.
            _ if self.running().next().is_some() => Vec::new(),
            _ => vec![self.retry_or_refuse(failure, earlier, budget, now)],
        }
    }

    fn retry_or_refuse(
        &mut self,
        failure: retry::TryFailure,
        earlier: verdict::RunVerdict,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> RequestEffect {
        let context = retry::RetryContext {
            idempotent: self.options.idempotent,
            tries: self.tries.len() as u32,
            failure,
            earlier,
            answer_begun: false,
            body_replayable: self.options.body_replayable,
            deadline: self.options.deadline,
        };
        match retry::decide(&context, &self.options.retry, budget, now) {
            retry::RetryDecision::Retry { .. } => self.dispatch(true, now),
            retry::RetryDecision::GiveUp { verdict, reason } => {
                self.progress = AnswerProgress::Finished;
                RequestEffect::Refuse {
                    verdict,
                    reason: Some(reason),
                }
            }
        }
    }

    fn buffered(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if !self.is_running(key) {
            return Vec::new();
        }
        self.end(key, verdict::RunVerdict::Ran);
        if self.progress != AnswerProgress::Waiting {
            return Vec::new();
        }
        self.progress = AnswerProgress::Finished;
        let mut effects = vec![RequestEffect::Complete(key)];
        effects.extend(self.cancel_all());
        effects
    }

    fn streaming(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if self.progress != AnswerProgress::Waiting || !self.is_running(key) {
            return Vec::new();
        }
        self.verdict = self.verdict.combine(verdict::RunVerdict::Ran);
        self.progress = AnswerProgress::Forwarding(key);
        let mut effects = vec![RequestEffect::Forward(key)];
        effects.extend(self.cancel_others(key));
        effects
    }

    fn streamed(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if !self.is_running(key) {
            return Vec::new();
        }
        self.end(key, verdict::RunVerdict::Ran);
        if self.progress != AnswerProgress::Forwarding(key) {
            return Vec::new();
        }
        self.progress = AnswerProgress::Finished;
        vec![RequestEffect::Complete(key)]
    }

    fn hedge(
        &mut self,
        customer_has_room: bool,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> Vec<RequestEffect> {
        let context = retry::HedgeContext {
            idempotent: self.options.idempotent,
            tries: self.tries.len() as u32,
            customer_has_room,
            body_replayable: self.options.body_replayable,
            deadline: self.options.deadline,
        };
        let waiting = self.progress == AnswerProgress::Waiting;
        if waiting && retry::hedge(&context, &self.options.retry, budget, now) {
            return vec![self.dispatch(true, now)];
        }
        Vec::new()
    }

    fn caller_disconnected(&mut self) -> Vec<RequestEffect> {
        if self.progress == AnswerProgress::Finished {
            return Vec::new();
        }
        self.progress = AnswerProgress::Finished;
        let cancels = retry::cancels_on_disconnect(
            self.options.idempotent,
            self.verdict,
            self.options.cancel_allowed,
        );
        let mut effects = vec![RequestEffect::Drop {
            verdict: self.verdict,
        }];
        if cancels {
            effects.extend(self.cancel_all());
        }
        effects
    }

    /// A non-idempotent try that may be running continues, so that its outcome can still be
    /// recorded.
    fn deadline_passed(&mut self) -> Vec<RequestEffect> {
        if self.progress != AnswerProgress::Waiting {
            return Vec::new();
        }
        self.progress = AnswerProgress::Finished;
        let mut effects = vec![RequestEffect::Refuse {
            verdict: self.verdict,
            reason: None,
        }];
        if self.options.idempotent || self.verdict == verdict::RunVerdict::NotRun {
            effects.extend(self.cancel_all());
        }
        effects
    }

    fn cancel_all(&mut self) -> Vec<RequestEffect> {
        let running: Vec<_> = self.running().collect();
        self.cancel(&running)
    }

    fn cancel_others(&mut self, kept: TryKey) -> Vec<RequestEffect> {
        let others: Vec<_> = self.running().filter(|key| *key != kept).collect();
        self.cancel(&others)
    }

    fn cancel(&mut self, keys: &[TryKey]) -> Vec<RequestEffect> {
        for key in keys {
            self.tries[key.0 as usize] = TryState::Ended;
        }
        keys.iter().copied().map(RequestEffect::Cancel).collect()
    }
}
