//! A VM carries a request to targets and back.

use super::{
    CallKind, Event, FILING_TARGETS, HOP, LOOKUP_TARGETS, Loss, Reply, World, customer, digest,
};
use crate::fate::faults;
use crate::fate::vm::{Carried, Try};
use dahliawood_fate::request::{RequestEffect, RequestEvent, TryKey};
use dahliawood_fate::ticket::{self, outcome, table};
use dahliawood_fate::verdict::RunVerdict;
use dahliawood_fate::{deadline, journal, request, retry};
use rand::Rng;
use std::time::Duration;

/// The services' timeout.
const TIMEOUT: Duration = Duration::from_secs(2);
/// When a look-up without an answer is hedged.
const HEDGE: Duration = Duration::from_millis(100);
/// How long a target may take to ask for a filing's body.
const ASK: Duration = Duration::from_millis(300);

impl World {
    /// A send reaches a VM.
    pub(super) fn at_vm(&mut self, call: usize, send: u32, vm: usize) {
        if !self.vms[vm].alive {
            return self.reply(call, send, Reply::Unreachable);
        }
        let Some(ticket) = self.calls[call].ticket else {
            return self.carry(call, send, vm);
        };
        let deaths = &self.deaths;
        let now = self.now;
        let presence = |holder| match deaths.get(&holder) {
            Some(died) if now.since(*died) > faults::LIST_LAG => ticket::HolderPresence::Gone,
            _ => ticket::HolderPresence::Possible,
        };
        match ticket::route(&ticket, self.vms[vm].own, presence) {
            ticket::TicketRoute::Here => self.begin(call, send, vm, ticket),
            ticket::TicketRoute::Forward(address) => {
                let holder = self.vms.iter().position(|vm| vm.own.address == address);
                let holder = holder.filter(|holder| self.vms[*holder].alive);
                match holder {
                    Some(holder) => self.after(
                        HOP,
                        Event::AtVm {
                            call,
                            send,
                            vm: holder,
                        },
                    ),
                    None => self.reply(call, send, Reply::Refused(RunVerdict::MayHaveRun)),
                }
            }
            ticket::TicketRoute::Journal => self.ask_journal(call, send, ticket),
        }
    }

    fn ask_journal(&mut self, call: usize, send: u32, ticket: ticket::RequestTicket) {
        let key = (ticket.holder, ticket.serial);
        let entry = self.store.get(&key).filter(|_| self.store_up);
        let reply = entry.map_or(Reply::Refused(RunVerdict::MayHaveRun), |entry| {
            outcome_reply(&entry.outcome)
        });
        self.reply(call, send, reply);
    }

    fn begin(&mut self, call: usize, send: u32, vm: usize, ticket: ticket::RequestTicket) {
        self.calls[call].reached = true;
        let now = self.now;
        let tickets = &mut self.vms[vm].tickets;
        match tickets.begin(&ticket, &customer(call), digest(call), now) {
            table::TicketAdmission::Run => self.carry(call, send, vm),
            table::TicketAdmission::Wait => {
                let carried = self.running[&(ticket.holder, ticket.serial)];
                let carried = self.carried.get_mut(&carried).expect("it runs");
                carried.waiting.push(send);
            }
            table::TicketAdmission::Repeat(outcome) => {
                self.reply(call, send, outcome_reply(&outcome));
            }
            table::TicketAdmission::Refuse(refusal) => {
                self.reply(call, send, Reply::Refused(refusal.verdict()));
            }
        }
    }

    fn carry(&mut self, call: usize, send: u32, vm: usize) {
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
        let key = (call as u64) << 16 | u64::from(send);
        let own = self.vms[vm].own;
        if let Some(ticket) = self.calls[call].ticket {
            self.running.insert((own, ticket.serial), key);
        }
        let carried = Carried {
            call,
            vm,
            own,
            record,
            tries: Vec::new(),
            waiting: vec![send],
        };
        self.carried.insert(key, carried);
        self.after(TIMEOUT, Event::Deadline { carried: key });
        if kind == CallKind::Lookup {
            self.after(HEDGE, Event::Hedge { carried: key });
        }
        self.apply(key, &effects);
    }

    /// Takes in what happened to a try.
    pub(super) fn handle_carried(&mut self, event: Event) {
        match event {
            Event::Asked { carried, key } => self.target_asks(carried, key),
            Event::Run { carried, key } => self.target_runs(carried, key),
            Event::Answer { carried, key } => self.target_answers(carried, key),
            Event::Fail {
                carried,
                key,
                failure,
                silent,
            } => {
                if silent {
                    self.forget_silent(carried);
                }
                self.advance(carried, RequestEvent::Failed(key, failure));
            }
            Event::Hedge { carried } => {
                let customer_has_room = true;
                self.advance(carried, RequestEvent::HedgeDue { customer_has_room });
            }
            Event::Deadline { carried } => self.advance(carried, RequestEvent::DeadlinePassed),
            _ => {}
        }
    }

    fn advance(&mut self, key: u64, event: RequestEvent) {
        let Some(carried) = self.carried.get_mut(&key) else {
            return;
        };
        let kind = self.calls[carried.call].kind;
        let budget = self.vms[carried.vm].budget(kind);
        let effects = carried.record.advance(event, budget, self.now);
        self.apply(key, &effects);
        self.settle(key, event);
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
                    let call = self.carried[&key].call;
                    self.tell_waiting(key, Reply::Whole(call));
                }
                RequestEffect::Refuse { verdict, .. } => {
                    self.tell_waiting(key, Reply::Refused(verdict));
                }
                _ => {}
            }
        }
    }

    /// Records a filing's outcome once it is known, and forgets what is over.
    fn settle(&mut self, key: u64, event: RequestEvent) {
        let carried = &self.carried[&key];
        let (call, vm) = (carried.call, carried.vm);
        let over = carried.record.is_over();
        let verdict = carried.record.verdict();
        if let Some(ticket) = self.calls[call].ticket
            && over
        {
            let outcome = match event {
                RequestEvent::Buffered(_) => outcome::TicketOutcome::Answered(answer(call)),
                _ => outcome::TicketOutcome::Failed { verdict },
            };
            self.finish(call, vm, &ticket, outcome);
            self.running.remove(&(ticket.holder, ticket.serial));
        }
        if over {
            let late = match event {
                RequestEvent::Buffered(_) => Reply::Whole(call),
                _ => Reply::Refused(verdict),
            };
            self.tell_waiting(key, late);
            self.carried.remove(&key);
        }
    }

    fn finish(
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

    fn tell_waiting(&mut self, key: u64, reply: Reply) {
        let Some(carried) = self.carried.get_mut(&key) else {
            return;
        };
        let call = carried.call;
        for send in std::mem::take(&mut carried.waiting) {
            self.reply(call, send, reply);
        }
    }

    fn dispatch(&mut self, key: u64, try_key: TryKey, fresh: bool) {
        let (call, vm) = (self.carried[&key].call, self.carried[&key].vm);
        let filing = self.calls[call].kind == CallKind::Filing;
        let target = if filing {
            LOOKUP_TARGETS + self.rng.random_range(0..FILING_TARGETS)
        } else {
            self.rng.random_range(0..LOOKUP_TARGETS)
        };
        let life = self.targets[target].life;
        let alive = self.targets[target].alive;
        let carried = self.carried.get_mut(&key).expect("it was just dispatched");
        carried.tries.push(Try { target, life });
        let silent = !fresh && self.vms[vm].silent[target];
        if !alive {
            let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
            let refused = Event::Fail {
                carried: key,
                key: try_key,
                failure,
                silent: false,
            };
            self.after(HOP, refused);
        } else if filing && silent {
            // Nobody asks for the body, which never leaves.
            let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
            let given_up = Event::Fail {
                carried: key,
                key: try_key,
                failure,
                silent: true,
            };
            self.after(ASK, given_up);
        } else if silent {
            self.advance(key, RequestEvent::Sent(try_key));
            let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
            let timed_out = Event::Fail {
                carried: key,
                key: try_key,
                failure,
                silent: true,
            };
            self.after(TIMEOUT, timed_out);
        } else {
            // A filing takes a round trip more: its head asks before its body goes.
            let next = if filing {
                Event::Asked {
                    carried: key,
                    key: try_key,
                }
            } else {
                Event::Run {
                    carried: key,
                    key: try_key,
                }
            };
            self.after(if filing { HOP * 2 } else { HOP }, next);
        }
    }

    fn is_same_life(&self, key: u64, try_key: TryKey) -> bool {
        self.carried.get(&key).is_none_or(|carried| {
            let tried = carried.tries[try_key.0 as usize];
            self.targets[tried.target].life == tried.life
        })
    }

    /// The body goes, unless its VM is gone or has given the try up.
    fn target_asks(&mut self, key: u64, try_key: TryKey) {
        if !self.carried.contains_key(&key) {
            return;
        }
        if !self.is_same_life(key, try_key) {
            // It died before the body went.
            let failure = retry::TryFailure::Broken(RunVerdict::NotRun);
            return self.advance(key, RequestEvent::Failed(try_key, failure));
        }
        self.advance(key, RequestEvent::Sent(try_key));
        self.after(
            HOP,
            Event::Run {
                carried: key,
                key: try_key,
            },
        );
    }

    fn target_runs(&mut self, key: u64, try_key: TryKey) {
        let call = (key >> 16) as usize;
        if !self.is_same_life(key, try_key) {
            let state = &mut self.calls[call];
            state.loss = state.loss.max(Loss::Target);
            let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
            return self.advance(key, RequestEvent::Failed(try_key, failure));
        }
        self.calls[call].runs += 1;
        self.advance(key, RequestEvent::Sent(try_key));
        let late = self.rng.random_range(0..1_000) < faults::LATE_PER_MILLE;
        let millis = if late {
            self.rng.random_range(3_000..6_000)
        } else {
            self.rng.random_range(5..80)
        };
        let answered = Event::Answer {
            carried: key,
            key: try_key,
        };
        self.after(Duration::from_millis(millis), answered);
    }

    fn target_answers(&mut self, key: u64, try_key: TryKey) {
        if self.is_same_life(key, try_key) {
            self.forget_silent(key);
            return self.advance(key, RequestEvent::Buffered(try_key));
        }
        let call = &mut self.calls[(key >> 16) as usize];
        call.loss = call.loss.max(Loss::Target);
        let failure = retry::TryFailure::Broken(RunVerdict::MayHaveRun);
        self.advance(key, RequestEvent::Failed(try_key, failure));
    }

    /// Another try has answered or this one has timed out: what was silent is not used again.
    fn forget_silent(&mut self, key: u64) {
        if let Some(carried) = self.carried.get(&key) {
            let silent = &mut self.vms[carried.vm].silent;
            carried
                .tries
                .iter()
                .for_each(|tried| silent[tried.target] = false);
        }
    }

    /// A request is lost with its VM; targets go on.
    pub(super) fn lose(&mut self, key: u64) {
        if let Some(carried) = self.carried.remove(&key) {
            self.calls[carried.call].loss = Loss::Vm;
            for send in carried.waiting {
                self.reply(carried.call, send, Reply::Unreachable);
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

fn outcome_reply(outcome: &outcome::TicketOutcome) -> Reply {
    match outcome {
        outcome::TicketOutcome::Answered(answer) => {
            let body = answer.body[..].try_into().expect("eight bytes");
            Reply::Whole(usize::from_be_bytes(body))
        }
        other => Reply::Refused(other.verdict()),
    }
}
