//! The state machine of one request, from its admission to the last byte of its answer.
//!
//! Events are what happened to its tries and its caller; effects are what is to be done about it.
//! The record holds no bytes and does no I/O. Every record ends in exactly one effect that tells
//! the caller: [`RequestEffect::Complete`], [`RequestEffect::Refuse`], [`RequestEffect::Abort`] or,
//! where there is no caller left, [`RequestEffect::Drop`].

use crate::{deadline, retry, verdict};
use dahliawood_model::stamp;
use std::time::Duration;

/// Names a try of one request, in the order of their dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct TryKey(pub u32);

/// What is known of a request at its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// Whether its route is idempotent.
    pub idempotent: bool,
    /// Whether its body can be sent again from its start.
    pub body_replayable: bool,
    /// Whether the file allows to cancel it while it may run, though it is not idempotent.
    pub cancel_allowed: bool,
    /// When it must be answered.
    pub deadline: deadline::RequestDeadline,
    /// Bounds of its tries.
    pub retry: retry::RetryOptions,
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// A byte of the request left for a target.
    Sent(TryKey),
    /// A try ended without a whole answer.
    Failed(TryKey, retry::TryFailure),
    /// A try's answer is whole and none of it has gone to the caller.
    Buffered(TryKey),
    /// A try's answer is too large to be held: its head is there.
    Streaming(TryKey),
    /// The answer that is being streamed has gone to the caller whole.
    Streamed(TryKey),
    /// The first try has gone without an answer for long enough to be hedged.
    HedgeDue {
        /// Whether the customer has room in its rate for another request.
        customer_has_room: bool,
    },
    /// The caller is gone.
    CallerDisconnected,
    /// The deadline passed.
    DeadlinePassed,
}

/// Something to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEffect {
    /// Send it to a target.
    Dispatch {
        /// Names the try.
        key: TryKey,
        /// How long it may take.
        timeout: Duration,
        /// Whether another target and a fresh connection are called for.
        fresh: bool,
    },
    /// Stop a try and close its connection.
    Cancel(TryKey),
    /// Send the caller the whole answer of a try.
    Complete(TryKey),
    /// Begin to pass a try's answer on as it comes.
    Forward(TryKey),
    /// Tell the caller that there is no answer.
    Refuse {
        /// Whether it may have run.
        verdict: verdict::RunVerdict,
        /// Why there is no further try; `None` where its deadline passed.
        reason: Option<retry::GiveUpReason>,
    },
    /// End the caller's connection inside the answer.
    Abort,
    /// Tell nobody: the caller is gone.
    Drop {
        /// Whether it may have run.
        verdict: verdict::RunVerdict,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TryState {
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Forwarding(TryKey),
    /// The caller is told, or gone; tries that must not be cancelled still run.
    Told,
}

/// One request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    options: RequestOptions,
    tries: Vec<TryState>,
    progress: Progress,
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
            progress: Progress::Waiting,
            verdict: verdict::RunVerdict::NotRun,
        };
        let first = record.dispatch(false, now);
        (record, vec![first])
    }

    /// Whether it may have run, as far as is known.
    pub fn verdict(&self) -> verdict::RunVerdict {
        self.verdict
    }

    /// Whether it is over: its caller was told or is gone, and none of its tries runs.
    pub fn is_over(&self) -> bool {
        self.progress == Progress::Told && self.running().next().is_none()
    }

    /// Takes in what happened and says what to do about it.
    pub fn advance(
        &mut self,
        event: RequestEvent,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> Vec<RequestEffect> {
        match event {
            RequestEvent::Sent(key) => self.sent(key),
            RequestEvent::Failed(key, failure) => self.failed(key, failure, budget, now),
            RequestEvent::Buffered(key) => self.held(key),
            RequestEvent::Streaming(key) => self.streaming(key),
            RequestEvent::Streamed(key) => self.streamed(key),
            RequestEvent::HedgeDue { customer_has_room } => {
                self.hedge(customer_has_room, budget, now)
            }
            RequestEvent::CallerDisconnected => self.caller_left(),
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
            Progress::Told => Vec::new(),
            Progress::Forwarding(forwarded) if forwarded == key => {
                self.progress = Progress::Told;
                vec![RequestEffect::Abort]
            }
            // Another try still runs and may answer.
            _ if self.running().next().is_some() => Vec::new(),
            _ => vec![self.follow(failure, earlier, budget, now)],
        }
    }

    fn follow(
        &mut self,
        failure: retry::TryFailure,
        earlier: verdict::RunVerdict,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> RequestEffect {
        let question = retry::RetryContext {
            idempotent: self.options.idempotent,
            tries: self.tries.len() as u32,
            failure,
            earlier,
            answer_begun: false,
            body_replayable: self.options.body_replayable,
            deadline: self.options.deadline,
        };
        match retry::decide(&question, &self.options.retry, budget, now) {
            retry::RetryDecision::Retry { .. } => self.dispatch(true, now),
            retry::RetryDecision::GiveUp { verdict, reason } => {
                self.progress = Progress::Told;
                RequestEffect::Refuse {
                    verdict,
                    reason: Some(reason),
                }
            }
        }
    }

    fn held(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if !self.is_running(key) {
            return Vec::new();
        }
        self.end(key, verdict::RunVerdict::Ran);
        if self.progress != Progress::Waiting {
            return Vec::new();
        }
        self.progress = Progress::Told;
        let mut effects = vec![RequestEffect::Complete(key)];
        effects.extend(self.cancel_all());
        effects
    }

    fn streaming(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if self.progress != Progress::Waiting || !self.is_running(key) {
            return Vec::new();
        }
        self.verdict = self.verdict.combine(verdict::RunVerdict::Ran);
        self.progress = Progress::Forwarding(key);
        let mut effects = vec![RequestEffect::Forward(key)];
        effects.extend(self.cancel_others(key));
        effects
    }

    fn streamed(&mut self, key: TryKey) -> Vec<RequestEffect> {
        if !self.is_running(key) {
            return Vec::new();
        }
        self.end(key, verdict::RunVerdict::Ran);
        if self.progress != Progress::Forwarding(key) {
            return Vec::new();
        }
        self.progress = Progress::Told;
        vec![RequestEffect::Complete(key)]
    }

    fn hedge(
        &mut self,
        customer_has_room: bool,
        budget: &mut retry::RetryBudget,
        now: stamp::TimeStamp,
    ) -> Vec<RequestEffect> {
        let question = retry::HedgeContext {
            idempotent: self.options.idempotent,
            tries: self.tries.len() as u32,
            customer_has_room,
            body_replayable: self.options.body_replayable,
            deadline: self.options.deadline,
        };
        let waiting = self.progress == Progress::Waiting;
        if waiting && retry::hedge(&question, &self.options.retry, budget, now) {
            return vec![self.dispatch(true, now)];
        }
        Vec::new()
    }

    fn caller_left(&mut self) -> Vec<RequestEffect> {
        if self.progress == Progress::Told {
            return Vec::new();
        }
        self.progress = Progress::Told;
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

    /// A non-idempotent try that may run goes on, so that its outcome can still be recorded.
    fn deadline_passed(&mut self) -> Vec<RequestEffect> {
        if self.progress != Progress::Waiting {
            return Vec::new();
        }
        self.progress = Progress::Told;
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
