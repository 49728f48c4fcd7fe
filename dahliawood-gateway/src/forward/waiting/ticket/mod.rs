//! The place of one request in the queue, and its wait.

use crate::clock;
use crate::forward::ForwardRun;
use crate::forward::selection::Unplaced;
use crate::forward::waiting::origin::RequestOrigin;
use crate::front::refusal::RefusalCause;
use crate::state::GatewayState;
use async_std::channel::Receiver;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::quarantine::table::RequestAdmission;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_steer::placement::choose::QueueTurn;
use dahliawood_steer::placement::waiting::limit::{RequestTimes, StartLimit};
use dahliawood_steer::placement::waiting::{TurnAnswer, WaitEnd, WaitKey, WaitRequest};
use dahliawood_steer::rendezvous;
use std::cell::Cell;
use std::time::Duration;

/// Place of a request in the queue, until it is dropped: also if the caller leaves.
pub(in crate::forward) struct WaitTicket<'a> {
    state: &'a GatewayState,
    key: WaitKey,
    woken: Receiver<()>,
    joined: TimeStamp,
    /// Takes the time waited.
    waited: &'a Cell<Duration>,
    /// Label of the outcome in the metrics.
    outcome: &'static str,
}

impl WaitTicket<'_> {
    /// Waits until it is the request's turn; false if it is refused instead.
    async fn turn(&mut self) -> bool {
        loop {
            // The queue drops the sender only after the ticket.
            let _woken = self.woken.recv().await;
            let now = clock::now();
            let waiting = &self.state.waiting;
            let (end, answer) = waiting.change(|state| {
                let end = state.tasks.get(&self.key).and_then(|task| task.end);
                (end, state.queue.take_turn(self.key, now))
            });
            match answer {
                TurnAnswer::Granted => return true,
                TurnAnswer::Passed => {}
                TurnAnswer::Late => {
                    self.outcome = end.map_or("late", WaitEnd::label);
                    return false;
                }
            }
        }
    }

    /// Goes on waiting after a turn without room; false if no slot is expected in time any more.
    fn keep(&mut self, room_in: Duration) -> bool {
        let now = clock::now();
        let waiting = &self.state.waiting;
        let is_kept = waiting.change(|state| state.queue.keep(self.key, room_in, now));
        if !is_kept {
            self.outcome = "no-slot-in-time";
        }
        is_kept
    }

    /// Ends the wait, as the request is sent to a target.
    pub(in crate::forward) fn start(mut self) {
        let now = clock::now();
        self.outcome = "started";
        let waiting = &self.state.waiting;
        waiting.change(|state| state.queue.start(self.key, now));
    }

    /// Ends the wait, as another VM is asked to send the request.
    pub(in crate::forward) fn leave_to_helper(mut self) {
        self.outcome = "rerouted";
    }
}

impl Drop for WaitTicket<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        self.state.waiting.change(|state| {
            state.tasks.remove(&self.key);
            state.queue.leave(self.key, now);
        });
        let waited = now.since(self.joined);
        self.waited.set(waited);
        self.state.metrics.waiting.dec();
        self.state.metrics.record_wait(self.outcome, waited);
    }
}

impl ForwardRun<'_> {
    /// Whether the request may take a slot now. Only first tries stand behind waiting requests: a retry
    /// cannot wait.
    pub(in crate::forward) fn queue_turn(&self) -> QueueTurn {
        let waiting = &self.state.waiting;
        if self.has_waited {
            QueueTurn::Waited
        } else if let Some(rank) = self.rank().filter(|_| self.may_wait())
            && !waiting.may_pass(&self.routed.service, rank)
        {
            QueueTurn::Behind
        } else {
            QueueTurn::Arriving
        }
    }

    /// Whether nothing was sent of the request, here or by another VM.
    fn may_wait(&self) -> bool {
        let is_first = self.tried.is_empty() && !self.options.is_retry;
        is_first && self.sent_tries() == 0 && self.verdict == RunVerdict::NotRun
    }

    /// Waits until the request may try again.
    ///
    /// # Errors
    /// The request is refused: waiting is of no use, or its wait ended without a slot.
    pub(in crate::forward) async fn wait_for_turn(
        &mut self,
        unplaced: Unplaced,
    ) -> Result<(), RefusalCause> {
        let Some(room_in) = unplaced.room_in else {
            self.label_wait("no-target");
            return Err(unplaced.cause);
        };
        let is_waiting = match &mut self.ticket {
            Some(ticket) => ticket.keep(room_in),
            None => self.join_queue(room_in),
        };
        if !is_waiting {
            return Err(unplaced.cause);
        }
        if let Some(ticket) = &mut self.ticket
            && !ticket.turn().await
        {
            return Err(unplaced.cause);
        }
        // The request may have become suspect of crashing targets meanwhile.
        if self.is_trial || self.admission() == RequestAdmission::Open {
            return Ok(());
        }
        self.label_wait("quarantined");
        Err(RefusalCause::Quarantined)
    }

    /// Sets the outcome of the wait, if the request waits.
    fn label_wait(&mut self, outcome: &'static str) {
        if let Some(ticket) = &mut self.ticket {
            ticket.outcome = outcome;
        }
    }

    /// Adds the request to the queue; false if it is not to wait.
    fn join_queue(&mut self, room_in: Duration) -> bool {
        let service = &self.routed.service;
        let Some(rank) = self.rank() else {
            return false;
        };
        if !self.may_wait() || self.has_waited {
            return false;
        }
        let now = clock::now();
        let request = WaitRequest {
            service,
            rank,
            customer: self.customer_hash(),
            bytes: self.request.body.len() + self.request.head.target.len(),
            limit: self.start_limit(),
            room_in,
        };
        let key = self.metadata.api_key.as_deref();
        let origin = RequestOrigin::new(self.catalog, self.request, self.routed, key);
        let is_allowed = |origin: &RequestOrigin| {
            let current = self.state.catalog.load();
            let newer = current
                .as_ref()
                .filter(|current| current.version != self.catalog.version);
            newer.is_none_or(|newer| origin.is_allowed_by(newer))
        };
        let Some((key, woken)) = self.state.waiting.join(&request, origin, is_allowed, now) else {
            return false;
        };
        self.state.metrics.waiting.inc();
        self.has_waited = true;
        self.ticket = Some(WaitTicket {
            state: self.state,
            key,
            woken,
            joined: now,
            waited: &self.routed.waited,
            outcome: "left",
        });
        true
    }

    fn customer_hash(&self) -> u64 {
        let customer = self.routed.customer;
        let name = customer.map(|key| self.catalog.customers[key].name.as_bytes());
        name.map_or(0, rendezvous::name_hash)
    }

    fn start_limit(&self) -> StartLimit {
        let now = clock::now();
        let table = self.state.placement();
        StartLimit::new(RequestTimes {
            arrived: self.routed.started,
            deadline: self.routed.deadline,
            target_latency: self.route().target_latency,
            work: self.route_work(&table, self.route(), now),
        })
    }
}
