//! How a VM processes a request: ticket admission, tries at targets, and replies.

use super::{
    CallKind, CallReply, FILING_TARGETS, FateEvent, FateSimulation, HOP_LATENCY, LOOKUP_TARGETS,
    LossCause, customer, digest,
};
use crate::fate::faults;
use crate::fate::vm::{ActiveRequest, TryRecord};
use dahliawood_request::request::{RequestEffect, RequestEvent, TryKey};
use dahliawood_request::ticket::{self, outcome, table};
use dahliawood_request::verdict::RunVerdict;
use dahliawood_request::{deadline, journal, request, retry};
use rand::Rng;
use std::time::Duration;

/// Timeout of both services.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which a look-up without an answer is hedged.
const HEDGE_AFTER: Duration = Duration::from_millis(100);
/// Time limit for a target to request a filing's body.
const BODY_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

impl FateSimulation {
    /// Handles a send that reaches a VM: processes it there, forwards it to the ticket's holder, or
    /// answers it from the journal.
    pub(super) fn at_vm(&mut self, call: usize, send: u32, vm: usize) {
        if !self.vms[vm].alive {
            return self.reply(call, send, CallReply::Unreachable);
        }
        let Some(ticket) = self.calls[call].ticket else {
            return self.start_request(call, send, vm);
        };
        let deaths = &self.deaths;
        let now = self.now;
        let presence = |holder| match deaths.get(&holder) {
            Some(died) if now.since(*died) > faults::LIST_LAG => ticket::HolderPresence::Gone,
            _ => ticket::HolderPresence::Possible,
        };
        match ticket::route(&ticket, self.vms[vm].own, presence) {
            ticket::TicketRoute::Here => self.begin_ticket(call, send, vm, ticket),
            ticket::TicketRoute::Forward(address) => {
                let holder = self.vms.iter().position(|vm| vm.own.address == address);
                let holder = holder.filter(|holder| self.vms[*holder].alive);
                match holder {
                    Some(holder) => self.after(
                        HOP_LATENCY,
                        FateEvent::AtVm {
                            call,
                            send,
                            vm: holder,
                        },
                    ),
                    None => self.reply(call, send, CallReply::Refused(RunVerdict::MayHaveRun)),
                }
            }
            ticket::TicketRoute::Journal => self.query_journal(call, send, ticket),
        }
    }

    fn query_journal(&mut self, call: usize, send: u32, ticket: ticket::RequestTicket) {
        let key = (ticket.holder, ticket.serial);
        let entry = self.store.get(&key).filter(|_| self.store_up);
        let reply = entry.map_or(CallReply::Refused(RunVerdict::MayHaveRun), |entry| {
            outcome_reply(&entry.outcome)
        });
        self.reply(call, send, reply);
    }

    fn begin_ticket(&mut self, call: usize, send: u32, vm: usize, ticket: ticket::RequestTicket) {
        self.calls[call].has_reached_vm = true;
        let now = self.now;
        let tickets = &mut self.vms[vm].tickets;
        match tickets.begin(&ticket, &customer(call), digest(call), now) {
            table::TicketAdmission::Run => self.start_request(call, send, vm),
            table::TicketAdmission::Wait => {
                let request = self.running[&(ticket.holder, ticket.serial)];
                let request = self
                    .active_requests
                    .get_mut(&request)
                    .expect("a ticket in use has an active request");
                request.waiting.push(send);
            }
            table::TicketAdmission::Repeat(outcome) => {
                self.reply(call, send, outcome_reply(&outcome));
            }
            table::TicketAdmission::Refuse(refusal) => {
                self.reply(call, send, CallReply::Refused(refusal.verdict()));
            }
        }
    }

    fn start_request(&mut self, call: usize, send: u32, vm: usize) {
        let kind = self.calls[call].kind;
        let options = request::RequestOptions {
            idempotent: kind == CallKind::Lookup,
            body_replayable: true,
            cancel_allowed: false,
            deadline: deadline::RequestDeadline::new(self.now, TIMEOUT, None),
            retry: retry::RetryOptions::default(),
        };
        let now = self.now;
        let budget = self.vms[vm].budget(kind);
        let (record, effects) = request::RequestRecord::admit(options, budget, now);
        // The lower 16 bits hold the send that started the request, the upper bits its call.
        let key = (call as u64) << 16 | u64::from(send);
        let own = self.vms[vm].own;
        if let Some(ticket) = self.calls[call].ticket {
            self.running.insert((own, ticket.serial), key);
        }
        let request = ActiveRequest {
            call,
            vm,
            own,
            record,
            tries: Vec::new(),
            waiting: vec![send],
        };
        self.active_requests.insert(key, request);
        self.after(TIMEOUT, FateEvent::Deadline { request: key });
        if kind == CallKind::Lookup {
            self.after(HEDGE_AFTER, FateEvent::Hedge { request: key });
        }
        self.apply(key, &effects);
    }

    /// Handles an event of an active request.
    pub(super) fn handle_request_event(&mut self, event: FateEvent) {
        match event {
            FateEvent::BodyRequested { request, key } => self.send_body(request, key),
            FateEvent::Run { request, key } => self.run_at_target(request, key),
            FateEvent::Answer { request, key } => self.receive_answer(request, key),
            FateEvent::Fail {
                request,
                key,
                failure,
                silent,
            } => {
                if silent {
                    self.discard_silent_connections(request);
                }
                self.advance(request, RequestEvent::Failed(key, failure));
            }
            FateEvent::Hedge { request } => {
                let customer_has_room = true;
                self.advance(request, RequestEvent::HedgeDue { customer_has_room });
            }
            FateEvent::Deadline { request } => self.advance(request, RequestEvent::DeadlinePassed),
            _ => {}
        }
    }

    fn advance(&mut self, key: u64, event: RequestEvent) {
        let Some(request) = self.active_requests.get_mut(&key) else {
            return;
        };
        let kind = self.calls[request.call].kind;
        let budget = self.vms[request.vm].budget(kind);
        let effects = request.record.advance(event, budget, self.now);
        self.apply(key, &effects);
        self.finish_request(key, event);
    }

    fn apply(&mut self, key: u64, effects: &[RequestEffect]) {
        for effect in effects {
            match *effect {
                RequestEffect::Dispatch {
                    key: try_key,
                    fresh,
                    ..
                } => {
                    self.dispatch(key, try_key, fresh);
                }
                RequestEffect::Complete(_) => {
                    let call = self.active_requests[&key].call;
                    self.reply_to_waiting(key, CallReply::Answered(call));
                }
                RequestEffect::Refuse { verdict, .. } => {
                    self.reply_to_waiting(key, CallReply::Refused(verdict));
                }
                _ => {}
            }
        }
    }

    /// If the request is over, records a filing's outcome, replies to the waiting sends and removes
    /// the request.
    fn finish_request(&mut self, key: u64, event: RequestEvent) {
        let request = &self.active_requests[&key];
        let (call, vm) = (request.call, request.vm);
        let over = request.record.is_over();
        let verdict = request.record.verdict();
        if let Some(ticket) = self.calls[call].ticket
            && over
        {
            let outcome = match event {
                RequestEvent::Buffered(_) => outcome::TicketOutcome::Answered(answer(call)),
                _ => outcome::TicketOutcome::Failed { verdict },
            };
            self.finish_ticket(call, vm, &ticket, outcome);
            self.running.remove(&(ticket.holder, ticket.serial));
        }
        if over {
            let reply = match event {
                RequestEvent::Buffered(_) => CallReply::Answered(call),
                _ => CallReply::Refused(verdict),
            };
            self.reply_to_waiting(key, reply);
            self.active_requests.remove(&key);
        }
    }

    fn finish_ticket(
        &mut self,
        call: usize,
        vm: usize,
        ticket: &ticket::RequestTicket,
        outcome: outcome::TicketOutcome,
    ) {
        let now = self.now;
        let state = &mut self.vms[vm];
        if let Some(outcome) = state.tickets.finish(ticket, outcome, now) {
            state.journal.add(journal::JournalEntry {
                serial: ticket.serial,
                customer: customer(call),
                outcome,
            });
        }
    }

    fn reply_to_waiting(&mut self, key: u64, reply: CallReply) {
        let Some(request) = self.active_requests.get_mut(&key) else {
            return;
        };
        let call = request.call;
        for send in std::mem::take(&mut request.waiting) {
            self.reply(call, send, reply);
        }
    }

    fn dispatch(&mut self, key: u64, try_key: TryKey, fresh: bool) {
        let (call, vm) = (
            self.active_requests[&key].call,
            self.active_requests[&key].vm,
        );
        let filing = self.calls[call].kind == CallKind::Filing;
        let target = if filing {
            LOOKUP_TARGETS + self.rng.random_range(0..FILING_TARGETS)
        } else {
            self.rng.random_range(0..LOOKUP_TARGETS)
        };
        let incarnation = self.targets[target].incarnation;
        let alive = self.targets[target].alive;
        let request = self
            .active_requests
            .get_mut(&key)
            .expect("the request is active");
        request.tries.push(TryRecord {
            target,
            incarnation,
        });
        let silent = !fresh && self.vms[vm].silent[target];
        if !alive {
            let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
            let refused = FateEvent::Fail {
                request: key,
                key: try_key,
                failure,
                silent: false,
            };
            self.after(HOP_LATENCY, refused);
        } else if filing && silent {
            // The target never gets the head, so it does not request the body, and the VM does not
            // send it.
            let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
            let given_up = FateEvent::Fail {
                request: key,
                key: try_key,
                failure,
                silent: true,
            };
            self.after(BODY_REQUEST_TIMEOUT, given_up);
        } else if silent {
            self.advance(key, RequestEvent::Sent(try_key));
            let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
            let timed_out = FateEvent::Fail {
                request: key,
                key: try_key,
                failure,
                silent: true,
            };
            self.after(TIMEOUT, timed_out);
        } else {
            // A filing takes one more round trip: the VM sends the head, and the target requests
            // the body.
            let next = if filing {
                FateEvent::BodyRequested {
                    request: key,
                    key: try_key,
                }
            } else {
                FateEvent::Run {
                    request: key,
                    key: try_key,
                }
            };
            self.after(if filing { HOP_LATENCY * 2 } else { HOP_LATENCY }, next);
        }
    }

    fn is_same_incarnation(&self, key: u64, try_key: TryKey) -> bool {
        self.active_requests.get(&key).is_none_or(|request| {
            let tried = request.tries[try_key.0 as usize];
            self.targets[tried.target].incarnation == tried.incarnation
        })
    }

    /// Sends the body that the target requested, unless the VM died or ended the request.
    fn send_body(&mut self, key: u64, try_key: TryKey) {
        if !self.active_requests.contains_key(&key) {
            return;
        }
        if !self.is_same_incarnation(key, try_key) {
            // The target died before the body was sent.
            let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
            return self.advance(key, RequestEvent::Failed(try_key, failure));
        }
        self.advance(key, RequestEvent::Sent(try_key));
        self.after(
            HOP_LATENCY,
            FateEvent::Run {
                request: key,
                key: try_key,
            },
        );
    }

    fn run_at_target(&mut self, key: u64, try_key: TryKey) {
        let call = (key >> 16) as usize;
        if !self.is_same_incarnation(key, try_key) {
            let state = &mut self.calls[call];
            state.loss = state.loss.max(LossCause::Target);
            let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
            return self.advance(key, RequestEvent::Failed(try_key, failure));
        }
        self.calls[call].runs += 1;
        self.advance(key, RequestEvent::Sent(try_key));
        let late = self.rng.random_range(0..1_000) < faults::LATE_ANSWERS_PER_MILLE;
        let millis = if late {
            self.rng.random_range(3_000..6_000)
        } else {
            self.rng.random_range(5..80)
        };
        let answered = FateEvent::Answer {
            request: key,
            key: try_key,
        };
        self.after(Duration::from_millis(millis), answered);
    }

    fn receive_answer(&mut self, key: u64, try_key: TryKey) {
        if self.is_same_incarnation(key, try_key) {
            self.discard_silent_connections(key);
            return self.advance(key, RequestEvent::Buffered(try_key));
        }
        let call = &mut self.calls[(key >> 16) as usize];
        call.loss = call.loss.max(LossCause::Target);
        let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
        self.advance(key, RequestEvent::Failed(try_key, failure));
    }

    /// Discards the silent connections to all targets that the request was sent to, once another
    /// try was answered or one timed out.
    fn discard_silent_connections(&mut self, key: u64) {
        if let Some(request) = self.active_requests.get(&key) {
            let silent = &mut self.vms[request.vm].silent;
            request
                .tries
                .iter()
                .for_each(|tried| silent[tried.target] = false);
        }
    }

    /// Drops a request whose VM died; its targets continue to run it.
    pub(super) fn lose_request(&mut self, key: u64) {
        if let Some(request) = self.active_requests.remove(&key) {
            self.calls[request.call].loss = LossCause::Vm;
            for send in request.waiting {
                self.reply(request.call, send, CallReply::Unreachable);
            }
        }
    }
}

fn answer(call: usize) -> outcome::KeptAnswer {
    outcome::KeptAnswer {
        status: 201,
        headers: Vec::new(),
        body: call.to_be_bytes().to_vec(),
    }
}

fn outcome_reply(outcome: &outcome::TicketOutcome) -> CallReply {
    match outcome {
        outcome::TicketOutcome::Answered(answer) => {
            let body = answer.body[..].try_into().expect("eight bytes");
            CallReply::Answered(usize::from_be_bytes(body))
        }
        other => CallReply::Refused(other.verdict()),
    }
}
