//! A simulated fleet whose VMs follow the key space, without a network: finds out how late changes are
//! in force while VMs lose the store, are paused, killed, refused or slow, one after another and
//! together.
//!
//! Time passes in steps. The store itself never fails; VMs register once and stay registered. A VM that
//! has lost the store does not copy from VMs other than its relays, so a relay knows less than
//! in the product.

pub mod fault;
pub mod former;
pub mod rules;
pub mod vm;

use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_gateway::settings::FleetBounds;
use dahliawood_model::stamp::TimeStamp;
use fault::{FaultKind, FaultWindow};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rules::{FollowRules, RelayAnswer, RuleKind};
use std::net::SocketAddr;
use std::time::Duration;
use vm::{CallAnswer, CallState, SimulatedVm};

/// Length of a step.
const STEP: Duration = Duration::from_millis(10);
/// When the first change is written, and the first fault may begin.
const CALM_START: Duration = Duration::from_secs(4);
/// Time for which the fleet runs on after the last change.
const END_TIME: Duration = Duration::from_secs(4);
/// Range of the time that a message takes one way, milliseconds.
const DELAY_MS: std::ops::Range<u64> = 5..25;
/// Pause before a VM that is not ready is asked again.
const START_PAUSE: Duration = Duration::from_millis(150);
/// How old the key space may be that a VM reads when it starts.
const FIRST_READ_AGE: Duration = Duration::from_secs(1);
/// Steps of which a slow VM uses one.
const SLOW_STEPS: u64 = 20;

/// The fleet to simulate.
#[derive(Clone, Debug)]
pub struct FollowOptions {
    /// Number of VMs.
    pub vms: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// How VMs decide whom to follow.
    pub rules: RuleKind,
    /// The times within which changes must be in force.
    pub bounds: FleetBounds,
    /// Mean time between two changes.
    pub change_interval: Duration,
    /// For how long changes are written.
    pub length: Duration,
    /// The faults of VMs.
    pub faults: Vec<FaultWindow>,
    /// Seed of delays and pauses.
    pub seed: u64,
}

/// How late changes were in force, and what that cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowOutcome {
    /// Pairs of a change and a VM in touch.
    pub checked: usize,
    /// Those in which the change was not in force in time.
    pub late: usize,
    /// The longest time until a change was in force at a VM that was in touch when it was due.
    pub worst: Duration,
    /// Calls for changes to the store.
    pub store_calls: usize,
    /// Calls for changes to other VMs.
    pub relay_calls: usize,
}

/// A fleet during its run.
struct FollowFleet<'a> {
    options: &'a FollowOptions,
    rng: StdRng,
    records: Vec<VmRecord>,
    vms: Vec<SimulatedVm>,
    /// The faults of each VM.
    faults: Vec<Vec<FaultWindow>>,
    /// When each change is acknowledged.
    changes: Vec<TimeStamp>,
    outcome: FollowOutcome,
}

/// Simulates a fleet.
pub fn run(options: &FollowOptions) -> FollowOutcome {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let changes = draw_changes(options, &mut rng);
    let records: Vec<VmRecord> = (0..options.vms)
        .map(|index| record(index, options.domains))
        .collect();
    let vms = records
        .iter()
        .map(|record| SimulatedVm::new(record, options, 0, TimeStamp::ZERO));
    let mut fleet = FollowFleet {
        options,
        vms: vms.collect(),
        faults: faults_by_vm(options),
        rng,
        records,
        changes,
        outcome: FollowOutcome::default(),
    };
    let end = CALM_START + options.length + END_TIME;
    let steps = end.as_millis() / STEP.as_millis();
    for step in 0..steps as u64 {
        let now = TimeStamp::ZERO.after(STEP * step as u32);
        for index in 0..fleet.vms.len() {
            fleet.step_vm(index, step, now);
        }
    }
    fleet.check();
    fleet.outcome
}

fn faults_by_vm(options: &FollowOptions) -> Vec<Vec<FaultWindow>> {
    let mut faults = vec![Vec::new(); options.vms];
    for fault in &options.faults {
        faults[fault.vm].push(*fault);
    }
    faults
}

fn draw_changes(options: &FollowOptions, rng: &mut StdRng) -> Vec<TimeStamp> {
    let mut changes = Vec::new();
    let mut at = CALM_START;
    while at < CALM_START + options.length {
        changes.push(TimeStamp::ZERO.after(at));
        at += options
            .change_interval
            .mul_f64(rng.random_range(0.2..1.8_f64));
    }
    changes
}

fn record(index: usize, domains: usize) -> VmRecord {
    let any = SocketAddr::from(([127, 0, 0, 1], 80));
    VmRecord {
        name: format!("vm-{index}"),
        front: any,
        peer: any,
        forward: None,
        domain: format!("a-{}", index % domains),
        region: "a".to_owned(),
        processor_millis: 500,
        born_millis: 1,
    }
}

impl FollowFleet<'_> {
    fn has_fault(&self, vm: usize, now: TimeStamp, kinds: &[FaultKind]) -> bool {
        let mut faults = self.faults[vm].iter();
        faults.any(|fault| fault.is_present(now) && kinds.contains(&fault.kind))
    }

    fn reaches_store(&self, vm: usize, now: TimeStamp) -> bool {
        let cuts = [FaultKind::CutFromStore, FaultKind::CutFromAll];
        !self.has_fault(vm, now, &cuts)
    }

    fn reaches(&self, from: usize, to: usize, now: TimeStamp) -> bool {
        let is_cut = |vm| self.has_fault(vm, now, &[FaultKind::CutFromAll, FaultKind::Killed]);
        !is_cut(from) && !is_cut(to)
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(DELAY_MS))
    }

    /// Number of changes that are acknowledged.
    fn revision(&self, now: TimeStamp) -> usize {
        self.changes.partition_point(|at| *at <= now)
    }

    /// What a VM does in a step.
    fn step_vm(&mut self, index: usize, step: u64, now: TimeStamp) {
        if self.has_fault(index, now, &[FaultKind::Killed]) {
            self.vms[index].is_killed = true;
            return;
        }
        if self.vms[index].is_killed {
            // What it reads first may be some seconds old.
            let read = self.revision(now.before(FIRST_READ_AGE));
            let record = &self.records[index];
            self.vms[index] = SimulatedVm::new(record, self.options, read, now);
        }
        let is_slow = self.has_fault(index, now, &[FaultKind::Slow]);
        let is_idle = is_slow && !step.is_multiple_of(SLOW_STEPS);
        if is_idle || self.has_fault(index, now, &[FaultKind::Paused]) {
            return;
        }
        self.step_renewal(index, now);
        match self.vms[index].call.take() {
            None if now >= self.vms[index].idle_until => self.start_call(index, now),
            None => {}
            Some(call) => self.step_call(index, call, now),
        }
    }

    /// The renewals of a VM's registration, whose failure ends its call to the store.
    fn step_renewal(&mut self, index: usize, now: TimeStamp) {
        let is_refused = self.has_fault(index, now, &[FaultKind::Refused]);
        let is_answered = self.reaches_store(index, now) && !is_refused;
        let vm = &mut self.vms[index];
        if !vm.has_renewal_failed(is_answered, is_refused, now) {
            return;
        }
        if vm.call.as_ref().is_some_and(|call| call.relay.is_none()) {
            vm.call = None;
            self.finish_store_failure(index, now);
        }
    }

    fn start_call(&mut self, index: usize, now: TimeStamp) {
        let plan = self.vms[index].rules.plan(&self.records, now);
        let call = vm::SimulatedCall::new(&plan, now, self.delay());
        match plan.relay {
            Some(_) => self.outcome.relay_calls += 1,
            None => self.outcome.store_calls += 1,
        }
        self.vms[index].call = Some(call);
    }

    fn step_call(&mut self, index: usize, mut call: vm::SimulatedCall, now: TimeStamp) {
        let is_linked = match call.relay {
            Some(relay) => self.reaches(index, relay, now),
            None => self.reaches_store(index, now),
        };
        match call.state.clone() {
            CallState::Sent { arrives_at } if is_linked && now >= arrives_at => {
                let until = now.after(call.wait);
                call.state = CallState::Held { since: now, until };
            }
            CallState::Held { since, until } => {
                let answer = match call.relay {
                    Some(relay) => self.relay_answer(index, relay, &call, (since, until), now),
                    None => self.store_answer(index, until, now),
                };
                if let Some(answer) = answer {
                    let arrives_at = now.after(self.delay());
                    call.state = CallState::Answered { arrives_at, answer };
                }
            }
            CallState::Answered { arrives_at, answer } if is_linked && now >= arrives_at => {
                return self.finish_call(index, &call, answer, now);
            }
            _ => {}
        }
        if now >= call.ends_at {
            return match call.relay {
                Some(relay) => self.finish_relay_failure(index, relay, true, now),
                None => self.finish_store_failure(index, now),
            };
        }
        self.vms[index].call = Some(call);
    }

    fn store_answer(&self, index: usize, until: TimeStamp, now: TimeStamp) -> Option<CallAnswer> {
        if self.has_fault(index, now, &[FaultKind::Refused]) {
            return Some(CallAnswer::StoreError);
        }
        if self.has_fault(index, now, &[FaultKind::Stalled]) {
            return None;
        }
        let revision = self.revision(now);
        let has_changes = revision > self.vms[index].revision;
        (has_changes || now >= until).then_some(CallAnswer::Store { revision })
    }

    fn relay_answer(
        &self,
        index: usize,
        relay: usize,
        call: &vm::SimulatedCall,
        (since, until): (TimeStamp, TimeStamp),
        now: TimeStamp,
    ) -> Option<CallAnswer> {
        let is_stopped = [FaultKind::Paused, FaultKind::Killed];
        if self.has_fault(relay, now, &is_stopped) {
            return None;
        }
        let callee = &self.vms[relay];
        let answer = callee.rules.answer(since, now);
        let (told, known) = (&self.vms[index].told, self.vms[index].revision);
        let is_later = told.as_ref() != Some(&(relay, answer.stamp));
        let is_news = !answer.is_current || callee.revision > known;
        let is_due = call.wait.is_zero() || now >= until;
        let is_due = is_due || is_news || (answer.stamp > 0 && is_later);
        is_due.then_some(CallAnswer::Relay {
            answer,
            revision: callee.revision,
        })
    }

    fn finish_call(
        &mut self,
        index: usize,
        call: &vm::SimulatedCall,
        answer: CallAnswer,
        now: TimeStamp,
    ) {
        match (answer, call.relay) {
            (CallAnswer::StoreError, _) => self.finish_store_failure(index, now),
            (CallAnswer::Store { revision }, _) => {
                let vm = &mut self.vms[index];
                let has_changes = revision > vm.revision;
                vm.apply(revision, now);
                let rest = vm
                    .rules
                    .record_store_answer(call, has_changes, self.options.vms, now);
                vm.idle_until = now.after(rest);
                vm.failures = 0;
            }
            (CallAnswer::Relay { answer, revision }, Some(relay)) if answer.is_current => {
                let vm = &mut self.vms[index];
                vm.apply(revision, now);
                vm.told = Some((relay, answer.stamp));
                vm.rules.record_relay_answer(call.asked_at, answer, now);
                vm.idle_until = now;
                vm.failures = 0;
            }
            (CallAnswer::Relay { .. }, relay) => {
                let relay = relay.unwrap_or_default();
                self.finish_relay_failure(index, relay, false, now);
            }
        }
    }

    fn finish_relay_failure(
        &mut self,
        index: usize,
        relay: usize,
        is_silent: bool,
        now: TimeStamp,
    ) {
        let vm = &mut self.vms[index];
        if vm.rules.is_starting(now) {
            vm.idle_until = now.after(START_PAUSE);
            return;
        }
        let name = &self.records[relay].name;
        vm.rules.record_relay_failure(name, is_silent, now);
        vm.idle_until = now;
    }

    fn finish_store_failure(&mut self, index: usize, now: TimeStamp) {
        let vm = &mut self.vms[index];
        vm.rules.record_store_failure(now);
        let spread = self.rng.random_range(0.5..1.5_f64);
        let pause = vm.rules.backoff(&self.records, vm.failures, now);
        vm.failures += 1;
        vm.idle_until = now.after(pause.mul_f64(spread));
    }

    /// Compares when changes were in force with when they are due, at VMs that were in touch then.
    fn check(&mut self) {
        let bounds = &self.options.bounds;
        for (index, vm) in self.vms.iter().enumerate() {
            let own = &self.faults[index];
            for (change, acked_at) in self.changes.iter().enumerate() {
                let due = acked_at.after(bounds.change_time());
                let since = due.before(bounds.recovery_time);
                if own
                    .iter()
                    .any(|fault| fault.from <= due && fault.until > since)
                {
                    continue;
                }
                let lag = vm.in_force_at(change).map(|at| at.since(*acked_at));
                self.outcome.checked += 1;
                let is_late = lag.is_none_or(|lag| lag > bounds.change_time());
                self.outcome.late += usize::from(is_late);
                self.outcome.worst = self.outcome.worst.max(lag.unwrap_or(Duration::MAX));
            }
        }
    }
}

/// The rules of a VM that starts at `now`.
fn start_rules(record: &VmRecord, options: &FollowOptions, now: TimeStamp) -> FollowRules {
    FollowRules::start(options.rules, record, &options.bounds, now)
}

/// What a relay answers without dates.
fn undated(is_current: bool) -> RelayAnswer {
    RelayAnswer {
        is_current,
        offset_millis: None,
        stamp: 0,
    }
}
