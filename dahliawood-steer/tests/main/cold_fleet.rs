//! A cold target beside a fleet whose VMs start, die, lose their registrations and are cut off: what
//! all VMs together send it stays within its limit.
//!
//! Each VM knows the registered VMs only as of some time before, and sends as much as it may.

use crate::fleet;
use crate::placement::support::{START, entry, query, regions};
use dahliawood_model::catalog::TargetEntry;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::choose::{
    self, ColdLimit, PlacementChoice, PlacementQuery, VmLocation,
};
use dahliawood_steer::placement::table::PlacementTable;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
/// How often a VM looks at what it knows of the others.
const LEARN_STEPS: u32 = 5;
/// Requests a second that the cold target tolerates.
const LIMIT: f64 = 15.35;
/// Requests that each VM has to send in each step.
const DEMAND: usize = 16;
/// How long a registration outlasts its VM.
const LEASE: Duration = Duration::from_secs(4);
/// The longest time until a VM in touch knows a change.
const MAX_LAG_MILLIS: u64 = 2_000;
/// The longest time until a VM that starts, or has lost its registration, is registered.
const MAX_REGISTER_MILLIS: u64 = 1_800;

/// What happens to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VmEvent {
    Start,
    Kill,
    /// Its registration is lost while it runs on, as when the store returns to an older state.
    LoseRegistration,
    /// It hears nothing more of the others, and they nothing of it.
    Cut,
    Heal,
}

/// An event, when, and the VM's number.
type PlannedEvent = (Duration, usize, VmEvent);

struct SimulatedVm {
    location: VmLocation,
    table: PlacementTable,
    is_running: bool,
    is_cut: bool,
    lag: Duration,
    /// When it knew the registered VMs last.
    known_at: TimeStamp,
    register_at: Option<TimeStamp>,
    lapse_at: Option<TimeStamp>,
}

/// The registered VMs from each moment on at which they changed.
type RegistryHistory = Vec<(TimeStamp, Vec<bool>)>;

struct SimulatedFleet {
    random: StdRng,
    vms: Vec<SimulatedVm>,
    registry: RegistryHistory,
    sent: Vec<TimeStamp>,
    steps: u32,
}

fn cold_target() -> TargetEntry {
    TargetEntry {
        slots: 1_000_000,
        cold_for: Duration::from_secs(3_600),
        ..entry(0, "a-1")
    }
}

fn new_table(now: TimeStamp) -> PlacementTable {
    let mut table = PlacementTable::new(regions());
    table.upsert(cold_target(), now);
    table
}

/// Where VM `own` is; it knows of no other VM yet.
fn new_location(own: usize) -> VmLocation {
    VmLocation::new(&name(own), "a-1", "a")
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

/// A VM learns which VMs are registered; `is_current` unless it is cut off.
fn learn(vm: &mut SimulatedVm, registered: &[bool], is_current: bool, now: TimeStamp) {
    let listed = registered.iter().enumerate();
    let listed = listed.filter(|(_, is_registered)| **is_registered);
    let names: Vec<String> = listed.map(|(vm, _)| name(vm)).collect();
    let sharers = &mut vm.location.sharers;
    sharers.set_listed(names.iter().map(String::as_str), now);
    if is_current {
        sharers.confirm(now);
    }
}

impl SimulatedFleet {
    fn new(vms: usize, seed: u64) -> Self {
        let new_vm = |number| SimulatedVm {
            location: new_location(number),
            table: new_table(START),
            is_running: false,
            is_cut: false,
            lag: Duration::ZERO,
            known_at: START,
            register_at: None,
            lapse_at: None,
        };
        Self {
            random: StdRng::seed_from_u64(seed),
            vms: (0..vms).map(new_vm).collect(),
            registry: vec![(START, vec![false; vms])],
            sent: Vec::new(),
            steps: 0,
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn set_registered(&mut self, vm: usize, is_registered: bool, now: TimeStamp) {
        let (_, latest) = self.registry.last().unwrap();
        if latest[vm] != is_registered {
            let mut registered = latest.clone();
            registered[vm] = is_registered;
            self.registry.push((now, registered));
        }
    }

    fn registered(&self, at: TimeStamp) -> &[bool] {
        let next = self.registry.partition_point(|(since, _)| *since <= at);
        &self.registry[next.saturating_sub(1)].1
    }

    fn happen(&mut self, number: usize, event: VmEvent, now: TimeStamp) {
        let (lag, register_in) = (
            self.millis(50..MAX_LAG_MILLIS),
            self.millis(10..MAX_REGISTER_MILLIS),
        );
        let vm = &mut self.vms[number];
        match event {
            VmEvent::Start => {
                vm.location = new_location(number);
                vm.table = new_table(now);
                vm.is_running = true;
                vm.lag = lag;
                vm.known_at = now;
                vm.register_at = Some(now.after(register_in));
                vm.lapse_at = None;
            }
            VmEvent::Kill => {
                vm.is_running = false;
                vm.register_at = None;
                vm.lapse_at = Some(now.after(LEASE));
            }
            VmEvent::LoseRegistration => {
                vm.register_at = Some(now.after(register_in));
                self.set_registered(number, false, now);
            }
            VmEvent::Cut => {
                vm.is_cut = true;
                vm.lapse_at = Some(now.after(LEASE));
            }
            VmEvent::Heal => {
                vm.is_cut = false;
                vm.register_at = Some(now.after(register_in));
            }
        }
    }

    fn step(&mut self, now: TimeStamp) {
        self.steps += 1;
        for number in 0..self.vms.len() {
            let vm = &mut self.vms[number];
            if vm.register_at.is_some_and(|at| now >= at) {
                (vm.register_at, vm.lapse_at) = (None, None);
                self.set_registered(number, true, now);
            } else if vm.lapse_at.is_some_and(|at| now >= at) {
                vm.lapse_at = None;
                self.set_registered(number, false, now);
            }
        }
        for number in 0..self.vms.len() {
            if !self.vms[number].is_running {
                continue;
            }
            if self.steps.is_multiple_of(LEARN_STEPS) {
                self.learn(number, now);
            }
            self.send(number, now);
        }
    }

    fn learn(&mut self, number: usize, now: TimeStamp) {
        let vm = &mut self.vms[number];
        if !vm.is_cut {
            vm.known_at = vm.known_at.max(now.before(vm.lag));
        }
        let known_at = vm.known_at;
        let registered = self.registered(known_at).to_vec();
        let vm = &mut self.vms[number];
        let is_current = !vm.is_cut;
        learn(vm, &registered, is_current, now);
    }

    /// A VM sends as many requests as it may.
    fn send(&mut self, number: usize, now: TimeStamp) {
        let vm = &mut self.vms[number];
        let query = cold_query(self.random.random());
        for _ in 0..DEMAND {
            let choice = choose::choose(&mut vm.table, &vm.location, &query, now);
            let PlacementChoice::Target(key) = choice else {
                break;
            };
            vm.table.begin(key, now);
            self.sent.push(now);
        }
    }

    /// Plays `length`, with events in order of time.
    fn play(&mut self, length: Duration, events: &[PlannedEvent]) {
        let mut events = events.iter().peekable();
        let mut now = START;
        while now.since(START) < length {
            while let Some((_, vm, event)) = events.next_if(|(at, ..)| START.after(*at) <= now) {
                self.happen(*vm, *event, now);
            }
            self.step(now);
            now = now.after(STEP);
        }
    }

    /// The most requests that the target received in a second.
    fn most_in_a_second(&self) -> usize {
        let window = Duration::from_secs(1);
        let count = |(index, end): (usize, &TimeStamp)| {
            let first = self.sent.partition_point(|at| end.since(*at) >= window);
            index + 1 - first
        };
        self.sent.iter().enumerate().map(count).max().unwrap_or(0)
    }

    fn sent_after(&self, start: Duration) -> usize {
        let start = START.after(start);
        self.sent.iter().filter(|at| **at >= start).count()
    }
}

fn cold_query(object: u64) -> PlacementQuery<'static> {
    PlacementQuery {
        cold: ColdLimit {
            per_second: LIMIT,
            lasts: Duration::from_secs(3),
        },
        ..query(object)
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// All VMs start within 0.3 s of `at`.
fn start_all(vms: usize, at: f64, seed: u64) -> Vec<PlannedEvent> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events: Vec<PlannedEvent> = (0..vms)
        .map(|vm| {
            let at = at + random.random_range(0.0..0.3);
            (seconds(at), vm, VmEvent::Start)
        })
        .collect();
    events.sort_by_key(|(at, ..)| *at);
    events
}

fn assert_within_limit(fleet: &SimulatedFleet, case: &str) {
    let most = fleet.most_in_a_second();
    assert!(most <= LIMIT as usize, "{case}: {most} in a second");
}

#[test]
fn vms_that_start_together_flood_no_cold_target() {
    for seed in 0..8 {
        for vms in [2, 4, 31] {
            let mut fleet = SimulatedFleet::new(vms, seed);
            fleet.play(seconds(12.0), &start_all(vms, 0.0, seed));
            assert_within_limit(&fleet, &format!("seed {seed}, {vms} VMs"));
        }
    }
}

#[test]
fn vms_that_start_while_registrations_are_lost_flood_no_cold_target() {
    let vms = 31;
    for seed in 0..8 {
        let mut events = start_all(vms, 0.0, seed);
        let lost = |vm| (seconds(15.0), vm, VmEvent::LoseRegistration);
        events.extend((0..vms).map(lost));
        events.extend((0..10).map(|vm| (seconds(15.0), vm, VmEvent::Kill)));
        events.extend((0..10).map(|vm| (seconds(15.2), vm, VmEvent::Start)));
        let mut fleet = SimulatedFleet::new(vms, seed);
        fleet.play(seconds(25.0), &events);
        assert_within_limit(&fleet, &format!("seed {seed}"));
    }
}

#[test]
fn no_history_of_starts_kills_cuts_and_lost_registrations_floods_a_cold_target() {
    for case in 0..16 {
        let seed = fleet::seed().wrapping_add(case);
        let mut random = StdRng::seed_from_u64(seed);
        let vms = random.random_range(2..24);
        let mut events = start_all(vms, 0.0, seed);
        let mut at = 3.0;
        while at < 60.0 {
            let first = random.random_range(0..vms);
            let count = random.random_range(1..=vms);
            let until = at + random.random_range(0.2..25.0);
            let (event, end) = match random.random_range(0..3) {
                0 => (VmEvent::Kill, Some(VmEvent::Start)),
                1 => (VmEvent::Cut, Some(VmEvent::Heal)),
                _ => (VmEvent::LoseRegistration, None),
            };
            for vm in (first..first + count).map(|vm| vm % vms) {
                events.push((seconds(at), vm, event));
                events.extend(end.map(|end| (seconds(until), vm, end)));
            }
            at = until + random.random_range(0.0..4.0);
        }
        events.sort_by_key(|(at, ..)| *at);
        let mut fleet = SimulatedFleet::new(vms, seed);
        fleet.play(seconds(70.0), &events);
        assert_within_limit(&fleet, &format!("seed {seed}, {vms} VMs"));
    }
}

#[test]
fn a_cold_target_is_used_however_many_vms_share_it() {
    for vms in [1, 2, 5, 12, 13, 31, 100] {
        let mut fleet = SimulatedFleet::new(vms, 7);
        fleet.play(seconds(25.0), &start_all(vms, 0.0, 7));
        assert_within_limit(&fleet, &format!("{vms} VMs"));
        let sent = fleet.sent_after(seconds(15.0));
        assert!(
            sent as f64 > LIMIT * 10.0 * 0.5,
            "{vms} VMs: {sent} in 10 s"
        );
    }
}
