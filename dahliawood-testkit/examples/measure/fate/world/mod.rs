//! The stand-ins and the event loop.

mod carry;
mod failing;

use super::faults::FaultCount;
use super::vm::{Carried, Vm};
use dahliawood_fate::request::TryKey;
use dahliawood_fate::ticket::{self, outcome};
use dahliawood_fate::verdict::RunVerdict;
use dahliawood_fate::{journal, retry};
use dahliawood_model::stamp::TimeStamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// VMs.
pub const VMS: usize = 11;
/// Targets of filings.
pub const FILING_TARGETS: usize = 12;
/// Targets of look-ups.
pub const LOOKUP_TARGETS: usize = 18;
/// Calls of each kind a second.
const RATE: u64 = 500;
/// One way between any two processes.
pub const HOP: Duration = Duration::from_millis(1);
/// When a caller sends again what it is in doubt about.
const RESEND: Duration = Duration::from_millis(300);
/// When a filing that is still in doubt counts as such.
const JUDGED: Duration = Duration::from_secs(10);
/// How long a caller goes on with a look-up.
const LOOKUP_PATIENCE: Duration = Duration::from_secs(6);
/// How long a ticket may be used.
const TICKET_LIFE: Duration = Duration::from_secs(60);

/// What a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A non-idempotent request with a ticket.
    Filing,
    /// An idempotent request.
    Lookup,
}

/// What died between a call's dispatch and its answer; the VM goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Nothing.
    Nothing,
    /// The target.
    Target,
    /// The VM.
    Vm,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A whole answer to this call.
    Whole(usize),
    /// None, and whether the request may have run.
    Refused(RunVerdict),
    /// The VM could not be reached.
    Unreachable,
}

/// One call and all that is known of it.
pub struct Call {
    /// Kind.
    pub kind: CallKind,
    /// The ticket in use.
    pub ticket: Option<ticket::RequestTicket>,
    /// Arrival.
    pub began: TimeStamp,
    /// Sends.
    pub sends: u32,
    /// Whether any send has reached a VM.
    pub reached: bool,
    /// Runs at targets.
    pub runs: u32,
    /// Whether it was answered whole.
    pub whole: bool,
    /// The last verdict told without an answer.
    pub last: Option<RunVerdict>,
    /// Whether it was in doubt when judged.
    pub in_doubt: bool,
    /// What died between its dispatch and its answer.
    pub loss: Loss,
}

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A caller begins the next call.
    Arrive,
    /// A caller sends.
    Send { call: usize },
    /// A send reaches a VM.
    AtVm { call: usize, send: u32, vm: usize },
    /// A caller is told.
    Told {
        call: usize,
        send: u32,
        reply: Reply,
    },
    /// The target asks for a filing's body.
    Asked { carried: u64, key: TryKey },
    /// The target takes in a try whole and runs it.
    Run { carried: u64, key: TryKey },
    /// A try's answer arrives.
    Answer { carried: u64, key: TryKey },
    /// A try fails.
    Fail {
        carried: u64,
        key: TryKey,
        failure: retry::TryFailure,
        silent: bool,
    },
    /// A look-up has waited long enough to be hedged.
    Hedge { carried: u64 },
    /// A deadline passes.
    Deadline { carried: u64 },
    /// A filing is judged.
    Judge { call: usize },
    /// A VM sweeps its table and writes its journal.
    Tick { vm: usize },
    /// A VM dies.
    KillVm,
    /// A VM starts at an address.
    StartVm { vm: usize },
    /// A target dies.
    KillTarget,
    /// A target starts again.
    StartTarget { target: usize },
    /// The pooled connections to a target go silent.
    Silence,
    /// The store goes down or comes back.
    Store { up: bool },
}

/// A target: look-ups' first, then filings'.
pub struct Target {
    /// Whether it runs.
    pub alive: bool,
    /// Raised with each death.
    pub life: u64,
}

/// Everything.
pub struct World {
    pub(super) rng: StdRng,
    pub(super) now: TimeStamp,
    queue: BTreeMap<Reverse<(TimeStamp, u64)>, Event>,
    number: u64,
    left: usize,
    pub(super) vms: Vec<Vm>,
    pub(super) deaths: HashMap<ticket::VmIncarnation, TimeStamp>,
    pub(super) targets: Vec<Target>,
    pub(super) carried: HashMap<u64, Carried>,
    pub(super) running: HashMap<(ticket::VmIncarnation, u64), u64>,
    pub(super) store: HashMap<(ticket::VmIncarnation, u64), journal::JournalEntry>,
    pub(super) store_up: bool,
    /// All calls.
    pub calls: Vec<Call>,
    /// What failed.
    pub faults: FaultCount,
    /// Sends beyond the first.
    pub resends: usize,
    /// Answers to another call.
    pub wrong_answers: usize,
    /// Replies that said "not run" of a filing that had run.
    pub false_not_run: usize,
}

impl World {
    /// A fleet at rest, with `calls` of each kind to come.
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
            number: 0,
            left: calls * 2,
            vms,
            deaths: HashMap::new(),
            targets: (0..targets)
                .map(|_| Target {
                    alive: true,
                    life: 0,
                })
                .collect(),
            carried: HashMap::new(),
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

    /// Plays all calls to their ends.
    pub fn run(&mut self) {
        self.after(Duration::ZERO, Event::Arrive);
        (0..VMS).for_each(|vm| self.after(Duration::ZERO, Event::Tick { vm }));
        self.schedule_faults();
        while let Some((Reverse((at, _)), event)) = self.queue.pop_last() {
            self.now = at;
            if self.left == 0
                && self
                    .calls
                    .iter()
                    .rev()
                    .take(1)
                    .all(|call| self.is_old(call))
            {
                break;
            }
            self.handle(event);
        }
    }

    fn is_old(&self, call: &Call) -> bool {
        self.now.since(call.began) > JUDGED * 2
    }

    /// Queues an event.
    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.number += 1;
        let at = self.now.after(delay);
        self.queue.insert(Reverse((at, self.number)), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Send { call } => self.send(call),
            Event::AtVm { call, send, vm } => self.at_vm(call, send, vm),
            Event::Told { call, send, reply } => self.told(call, send, reply),
            Event::Judge { call } => self.judge(call),
            Event::Asked { .. }
            | Event::Run { .. }
            | Event::Answer { .. }
            | Event::Fail { .. }
            | Event::Hedge { .. }
            | Event::Deadline { .. } => self.handle_carried(event),
            _ => self.handle_fault(event),
        }
    }

    fn arrive(&mut self) {
        let kind = if self.left.is_multiple_of(2) {
            CallKind::Filing
        } else {
            CallKind::Lookup
        };
        self.left -= 1;
        let call = self.calls.len();
        self.calls.push(Call {
            kind,
            ticket: None,
            began: self.now,
            sends: 0,
            reached: false,
            runs: 0,
            whole: false,
            last: None,
            in_doubt: false,
            loss: Loss::Nothing,
        });
        self.after(Duration::ZERO, Event::Send { call });
        if kind == CallKind::Filing {
            self.after(JUDGED, Event::Judge { call });
        }
        if self.left > 0 {
            self.after(Duration::from_secs(1) / (2 * RATE as u32), Event::Arrive);
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
                .issue(&customer(call), TICKET_LIFE, now);
            self.calls[call].ticket = Some(ticket);
        }
        let call_state = &mut self.calls[call];
        call_state.sends += 1;
        let send = call_state.sends;
        self.resends += usize::from(send > 1);
        self.after(HOP, Event::AtVm { call, send, vm });
    }

    fn told(&mut self, call: usize, send: u32, reply: Reply) {
        let state = &mut self.calls[call];
        if state.whole || send != state.sends {
            return;
        }
        match reply {
            Reply::Whole(answered) => {
                self.wrong_answers += usize::from(answered != call);
                state.whole = true;
                return;
            }
            Reply::Refused(verdict) => state.last = Some(verdict),
            Reply::Unreachable if !state.reached => state.ticket = None,
            Reply::Unreachable => state.last = Some(RunVerdict::MayHaveRun),
        }
        let patience = match state.kind {
            CallKind::Filing => JUDGED,
            CallKind::Lookup => LOOKUP_PATIENCE,
        };
        if self.now.since(state.began) + RESEND < patience {
            self.after(RESEND, Event::Send { call });
        }
    }

    fn judge(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.in_doubt = !state.whole && state.last != Some(RunVerdict::NotRun);
    }

    /// Answers a send.
    pub(super) fn reply(&mut self, call: usize, send: u32, reply: Reply) {
        let not_run = reply == Reply::Refused(RunVerdict::NotRun);
        if not_run && self.calls[call].kind == CallKind::Filing && self.calls[call].runs > 0 {
            self.false_not_run += 1;
        }
        self.after(HOP, Event::Told { call, send, reply });
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
