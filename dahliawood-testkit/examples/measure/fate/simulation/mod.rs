//! State, events and callers of the simulation.

mod fault_events;
mod requests;

use super::faults::FaultCount;
use super::vm::{ActiveRequest, Vm};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::request::TryKey;
use dahliawood_request::ticket::{self, outcome};
use dahliawood_request::verdict::RunVerdict;
use dahliawood_request::{journal, retry};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Number of VMs.
pub const VMS: usize = 11;
/// Number of targets of the filing service.
pub const FILING_TARGETS: usize = 12;
/// Number of targets of the look-up service.
pub const LOOKUP_TARGETS: usize = 18;
/// Calls of each kind per second.
const RATE: u64 = 500;
/// One-way latency between any two processes.
pub const HOP_LATENCY: Duration = Duration::from_millis(1);
/// Delay after which a caller resends a call without an answer.
const RESEND_DELAY: Duration = Duration::from_millis(300);
/// Time from arrival to the assessment of a filing, at which it counts as in doubt if its outcome
/// is still unknown to the caller.
const ASSESS_AFTER: Duration = Duration::from_secs(10);
/// Time after which a caller no longer resends a look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a ticket is valid.
const TICKET_LIFETIME: Duration = Duration::from_secs(60);

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A non-idempotent request with a ticket.
    Filing,
    /// An idempotent request.
    Lookup,
}

/// What died between a call's dispatch and its answer. If both died, the VM counts, which is the
/// greater value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Neither.
    Nothing,
    /// The target.
    Target,
    /// The VM.
    Vm,
}

/// Reply to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// A complete answer; the value is the call that the answer belongs to.
    Answered(usize),
    /// No answer; the verdict says whether the request may have run.
    Refused(RunVerdict),
    /// The VM could not be reached.
    Unreachable,
}

/// State of one call.
pub struct CallRecord {
    /// Kind.
    pub kind: CallKind,
    /// The ticket in use, if any.
    pub ticket: Option<ticket::RequestTicket>,
    /// Time of arrival.
    pub arrived_at: TimeStamp,
    /// Number of sends so far.
    pub sends: u32,
    /// Whether any send has reached a VM.
    pub has_reached_vm: bool,
    /// Number of times that a target ran it.
    pub runs: u32,
    /// Whether the caller got a complete answer.
    pub is_answered: bool,
    /// The last verdict that the caller got without an answer.
    pub last_verdict: Option<RunVerdict>,
    /// Whether its outcome was unknown to the caller at its assessment.
    pub in_doubt: bool,
    /// What died between its dispatch and its answer.
    pub loss: LossCause,
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum FateEvent {
    /// The next call arrives.
    Arrive,
    /// A caller sends or resends a call.
    Send { call: usize },
    /// A send reaches a VM.
    AtVm { call: usize, send: u32, vm: usize },
    /// A reply reaches the caller.
    Replied {
        call: usize,
        send: u32,
        reply: CallReply,
    },
    /// The target's request for a filing's body reaches the VM.
    BodyRequested { request: u64, key: TryKey },
    /// The target receives a complete try and runs it.
    Run { request: u64, key: TryKey },
    /// The answer to a try reaches the VM.
    Answer { request: u64, key: TryKey },
    /// A try fails.
    Fail {
        request: u64,
        key: TryKey,
        failure: retry::TryFailure,
        silent: bool,
    },
    /// A look-up has waited long enough for a hedge.
    Hedge { request: u64 },
    /// The deadline of a request passes.
    Deadline { request: u64 },
    /// A filing is assessed.
    Assess { call: usize },
    /// A VM sweeps its ticket table and writes its journal.
    Tick { vm: usize },
    /// A VM dies.
    KillVm,
    /// A new VM incarnation starts.
    StartVm { vm: usize },
    /// A target dies.
    KillTarget,
    /// A target restarts.
    StartTarget { target: usize },
    /// All pooled connections to a target go silent.
    SilenceConnections,
    /// The store goes down or comes back.
    StoreChange { up: bool },
}

/// State of a target. Targets of look-ups come first, then those of filings.
pub struct TargetState {
    /// Whether it runs.
    pub alive: bool,
    /// Incremented with each death.
    pub incarnation: u64,
}

/// The simulation.
pub struct FateSimulation {
    pub(super) rng: StdRng,
    pub(super) now: TimeStamp,
    queue: BTreeMap<Reverse<(TimeStamp, u64)>, FateEvent>,
    event_count: u64,
    remaining_calls: usize,
    pub(super) vms: Vec<Vm>,
    pub(super) deaths: HashMap<ticket::VmIncarnation, TimeStamp>,
    pub(super) targets: Vec<TargetState>,
    pub(super) active_requests: HashMap<u64, ActiveRequest>,
    /// The active request of each ticket, by the ticket's holder and serial.
    pub(super) running: HashMap<(ticket::VmIncarnation, u64), u64>,
    pub(super) store: HashMap<(ticket::VmIncarnation, u64), journal::JournalEntry>,
    pub(super) store_up: bool,
    /// All calls.
    pub calls: Vec<CallRecord>,
    /// Injected faults.
    pub faults: FaultCount,
    /// Number of sends beyond the first of each call.
    pub resends: usize,
    /// Number of answers that belong to another call.
    pub wrong_answers: usize,
    /// Number of replies with verdict "not run" for a filing that had run.
    pub false_not_run: usize,
}

impl FateSimulation {
    /// An idle fleet, with `calls` of each kind still to arrive.
    pub fn new(seed: u64, calls: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let targets = FILING_TARGETS + LOOKUP_TARGETS;
        let vms = (0..VMS)
            .map(|index| Vm::new(index, 1, VMS as u32, targets, &mut rng))
            .collect();
        Self {
            rng,
            now: TimeStamp::from_millis(1),
            queue: BTreeMap::new(),
            event_count: 0,
            remaining_calls: calls * 2,
            vms,
            deaths: HashMap::new(),
            targets: (0..targets)
                .map(|_| TargetState {
                    alive: true,
                    incarnation: 0,
                })
                .collect(),
            active_requests: HashMap::new(),
            running: HashMap::new(),
            store: HashMap::new(),
            store_up: true,
            calls: Vec::with_capacity(calls * 2),
            faults: FaultCount::default(),
            resends: 0,
            wrong_answers: 0,
            false_not_run: 0,
        }
    }

    /// Runs the simulation until all calls are settled.
    pub fn run(&mut self) {
        self.after(Duration::ZERO, FateEvent::Arrive);
        (0..VMS).for_each(|vm| self.after(Duration::ZERO, FateEvent::Tick { vm }));
        self.schedule_faults();
        while let Some((Reverse((at, _)), event)) = self.queue.pop_last() {
            self.now = at;
            if self.remaining_calls == 0
                && self
                    .calls
                    .iter()
                    .rev()
                    .take(1)
                    .all(|call| self.is_settled(call))
            {
                break;
            }
            self.handle(event);
        }
    }

    fn is_settled(&self, call: &CallRecord) -> bool {
        self.now.since(call.arrived_at) > ASSESS_AFTER * 2
    }

    /// Schedules an event after `delay`.
    pub(super) fn after(&mut self, delay: Duration, event: FateEvent) {
        self.event_count += 1;
        let at = self.now.after(delay);
        self.queue.insert(Reverse((at, self.event_count)), event);
    }

    fn handle(&mut self, event: FateEvent) {
        match event {
            FateEvent::Arrive => self.arrive(),
            FateEvent::Send { call } => self.send(call),
            FateEvent::AtVm { call, send, vm } => self.at_vm(call, send, vm),
            FateEvent::Replied { call, send, reply } => self.receive_reply(call, send, reply),
            FateEvent::Assess { call } => self.assess(call),
            FateEvent::BodyRequested { .. }
            | FateEvent::Run { .. }
            | FateEvent::Answer { .. }
            | FateEvent::Fail { .. }
            | FateEvent::Hedge { .. }
            | FateEvent::Deadline { .. } => self.handle_request_event(event),
            _ => self.handle_fault(event),
        }
    }

    fn arrive(&mut self) {
        let kind = if self.remaining_calls.is_multiple_of(2) {
            CallKind::Filing
        } else {
            CallKind::Lookup
        };
        self.remaining_calls -= 1;
        let call = self.calls.len();
        self.calls.push(CallRecord {
            kind,
            ticket: None,
            arrived_at: self.now,
            sends: 0,
            has_reached_vm: false,
            runs: 0,
            is_answered: false,
            last_verdict: None,
            in_doubt: false,
            loss: LossCause::Nothing,
        });
        self.after(Duration::ZERO, FateEvent::Send { call });
        if kind == CallKind::Filing {
            self.after(ASSESS_AFTER, FateEvent::Assess { call });
        }
        if self.remaining_calls > 0 {
            self.after(
                Duration::from_secs(1) / (2 * RATE as u32),
                FateEvent::Arrive,
            );
        }
    }

    fn alive_vm(&mut self) -> usize {
        loop {
            let vm = self.rng.random_range(0..VMS);
            if self.vms[vm].alive {
                return vm;
            }
        }
    }

    fn send(&mut self, call: usize) {
        let vm = self.alive_vm();
        let now = self.now;
        let filing = self.calls[call].kind == CallKind::Filing;
        if filing && self.calls[call].ticket.is_none() {
            let ticket = self.vms[vm]
                .tickets
                .issue(&customer(call), TICKET_LIFETIME, now);
            self.calls[call].ticket = Some(ticket);
        }
        let call_state = &mut self.calls[call];
        call_state.sends += 1;
        let send = call_state.sends;
        self.resends += usize::from(send > 1);
        self.after(HOP_LATENCY, FateEvent::AtVm { call, send, vm });
    }

    fn receive_reply(&mut self, call: usize, send: u32, reply: CallReply) {
        let state = &mut self.calls[call];
        if state.is_answered || send != state.sends {
            return;
        }
        match reply {
            CallReply::Answered(answered) => {
                self.wrong_answers += usize::from(answered != call);
                state.is_answered = true;
                return;
            }
            CallReply::Refused(verdict) => state.last_verdict = Some(verdict),
            CallReply::Unreachable if !state.has_reached_vm => state.ticket = None,
            CallReply::Unreachable => state.last_verdict = Some(RunVerdict::MayHaveRun),
        }
        let resend_limit = match state.kind {
            CallKind::Filing => ASSESS_AFTER,
            CallKind::Lookup => LOOKUP_TIMEOUT,
        };
        if self.now.since(state.arrived_at) + RESEND_DELAY < resend_limit {
            self.after(RESEND_DELAY, FateEvent::Send { call });
        }
    }

    fn assess(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.in_doubt = !state.is_answered && state.last_verdict != Some(RunVerdict::NotRun);
    }

    /// Sends a reply for one send of a call.
    pub(super) fn reply(&mut self, call: usize, send: u32, reply: CallReply) {
        let not_run = reply == CallReply::Refused(RunVerdict::NotRun);
        if not_run && self.calls[call].kind == CallKind::Filing && self.calls[call].runs > 0 {
            self.false_not_run += 1;
        }
        self.after(HOP_LATENCY, FateEvent::Replied { call, send, reply });
    }
}

/// The customer of a call.
pub fn customer(call: usize) -> String {
    format!("customer-{}", call % 8)
}

/// The digest of a call's request.
pub fn digest(call: usize) -> outcome::RequestDigest {
    outcome::RequestDigest::new("POST", "/filings", &call.to_be_bytes())
}
