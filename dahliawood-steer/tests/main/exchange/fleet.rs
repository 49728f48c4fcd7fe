//! Replays the load of a region: 20 VMs, 60 targets with bounded queues, and objects of which few get
//! most requests; with the exchange, without it, and with a partition.

use super::{CALL_INTERVAL, HOP, OWN, TestVm};
use crate::placement::support::{SERVICE, START, numbered_location, query};
use dahliawood_model::catalog::{TargetLoad, TargetReport};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose::{self, PlacementChoice, PlacementQuery, VmLocation};
use dahliawood_steer::placement::exchange::collector;
use dahliawood_steer::placement::ranking::OrderKey;
use dahliawood_steer::placement::table::TargetResult;
use dahliawood_steer::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

const VMS: usize = 20;
const TARGETS: usize = 60;
const TARGET_SLOTS: u32 = 4;
const QUEUE: usize = 12;
const OBJECTS: f64 = 400.0;
const FIRST: Duration = Duration::from_millis(833);
const LATER: Duration = Duration::from_millis(250);
const AIM: Duration = Duration::from_millis(800);
const LENGTH: Duration = Duration::from_secs(12);
/// Retries of a request that a target refused.
const RETRIES: usize = 1;

/// How VMs share loads in a replay.
#[derive(Clone, Copy, PartialEq)]
enum Sharing {
    Nothing,
    Exchange,
    /// Half of the VMs do not reach the collector, and take the second one.
    Partition,
}

struct TestRequest {
    vm: usize,
    visit: ObjectVisit,
    key: TargetKey,
    target: usize,
    arrived: TimeStamp,
    sent: TimeStamp,
    tried: Vec<TargetKey>,
}

enum TestEvent {
    Arrival,
    End(TestRequest),
    Refused(TestRequest),
    Call(usize),
}

#[derive(Default)]
struct TestTarget {
    running: u32,
    queue: VecDeque<TestRequest>,
    cached: HashSet<u64>,
}

#[derive(Debug, Default)]
struct FleetOutcome {
    requests: u32,
    sent: u32,
    refused: u32,
    in_time: u32,
    /// Seconds that requests queued at targets.
    waited: f64,
    /// Sum over the sent requests of the standard deviation of the queue lengths at that time.
    spread: f64,
}

impl FleetOutcome {
    fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.sent)
    }

    fn mean_wait(&self) -> f64 {
        self.waited / f64::from(self.sent - self.refused)
    }

    fn mean_spread(&self) -> f64 {
        self.spread / f64::from(self.sent)
    }
}

struct TestFleet {
    vms: Vec<TestVm>,
    locations: Vec<VmLocation>,
    targets: Vec<TestTarget>,
    events: BTreeMap<(TimeStamp, u64), TestEvent>,
    random: StdRng,
    serial: u64,
    outcome: FleetOutcome,
}

impl TestFleet {
    fn schedule(&mut self, at: TimeStamp, event: TestEvent) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn load(&self, target: usize, now: TimeStamp) -> TargetLoad {
        let target = &self.targets[target];
        TargetLoad {
            running: target.running,
            waiting: target.queue.len() as u32,
            slots: TARGET_SLOTS,
            pace: None,
            received_at: now,
        }
    }

    /// A request arrives at a random VM, with an object of which the first are the most popular.
    fn arrive(&mut self, now: TimeStamp) {
        self.outcome.requests += 1;
        let object = OBJECTS.powf(self.random.random::<f64>().powf(0.5)) as u64;
        let visit = ObjectVisit {
            object: rendezvous::name_hash(&object.to_le_bytes()),
            is_preferred: false,
        };
        let request = TestRequest {
            vm: self.random.random_range(0..VMS),
            visit,
            key: TargetKey(0),
            target: 0,
            arrived: now,
            sent: now,
            tried: Vec::new(),
        };
        self.send(request, now);
    }

    fn send(&mut self, mut request: TestRequest, now: TimeStamp) {
        let vm = &mut self.vms[request.vm];
        let clock = vm.clock(now);
        let service_time = vm.table.cached_service_time(SERVICE);
        let query = PlacementQuery {
            tried: &request.tried,
            max_wait: AIM.saturating_sub(service_time).max(AIM / 4),
            ..query(request.visit.object)
        };
        let location = &self.locations[request.vm];
        let PlacementChoice::Target(key) = choose::choose(&mut vm.table, location, &query, clock)
        else {
            return;
        };
        vm.table.begin(key, clock);
        let order = OrderKey {
            object: request.visit.object,
            is_bulk: false,
        };
        request.visit.is_preferred = vm.table.is_preferred(key, order);
        let id = &vm.table.get(key).unwrap().entry.id;
        request.target = id.trim_start_matches("target-").parse().unwrap();
        (request.key, request.sent) = (key, now);
        let queued: Vec<f64> = self
            .targets
            .iter()
            .map(|target| target.queue.len() as f64)
            .collect();
        let mean = queued.iter().sum::<f64>() / TARGETS as f64;
        let variance = queued
            .iter()
            .map(|queued| (queued - mean).powi(2))
            .sum::<f64>();
        self.outcome.spread += (variance / TARGETS as f64).sqrt();
        self.outcome.sent += 1;
        let target = &mut self.targets[request.target];
        if target.running < TARGET_SLOTS {
            self.start(request, now);
        } else if target.queue.len() < QUEUE {
            target.queue.push_back(request);
        } else {
            self.schedule(now.after(HOP), TestEvent::Refused(request));
        }
    }

    fn start(&mut self, request: TestRequest, now: TimeStamp) {
        self.outcome.waited += now.since(request.sent).as_secs_f64();
        let target = &mut self.targets[request.target];
        target.running += 1;
        let is_first = target.cached.insert(request.visit.object);
        let taken = if is_first { FIRST } else { LATER };
        self.schedule(now.after(taken), TestEvent::End(request));
    }

    /// Tells the VM how its request ended, with the load of the target.
    fn finish(&mut self, request: &TestRequest, kind: ResultKind, now: TimeStamp) {
        let vm = &mut self.vms[request.vm];
        let clock = vm.clock(now);
        let load = self.load(request.target, clock);
        let result = TargetResult {
            expected_wait: Duration::ZERO,
            connect_time: None,
            route: 0,
            kind,
            latency: now.since(request.sent),
            report: Some(TargetReport {
                load: Some(load),
                ..TargetReport::default()
            }),
            visit: Some(request.visit),
            slack: AIM.saturating_sub(LATER),
        };
        self.vms[request.vm]
            .table
            .finish(request.key, result, clock);
    }

    fn handle(&mut self, event: TestEvent, sharing: Sharing, now: TimeStamp) {
        match event {
            TestEvent::Arrival => self.arrive(now),
            TestEvent::End(request) => {
                self.targets[request.target].running -= 1;
                if let Some(next) = self.targets[request.target].queue.pop_front() {
                    self.start(next, now);
                }
                self.outcome.in_time += u32::from(now.since(request.arrived) <= AIM);
                self.finish(&request, ResultKind::Answered, now);
            }
            TestEvent::Refused(mut request) => {
                self.outcome.refused += 1;
                self.finish(&request, ResultKind::Shed, now);
                request.tried.push(request.key);
                if request.tried.len() <= RETRIES {
                    self.send(request, now);
                }
            }
            TestEvent::Call(caller) => {
                let collector = usize::from(sharing == Sharing::Partition && caller % 2 == 1);
                let mut vm = std::mem::replace(&mut self.vms[caller], TestVm::new(0, 0));
                super::call(&mut vm, &mut self.vms[collector], OWN, now, (HOP, HOP));
                self.vms[caller] = vm;
                self.schedule(now.after(CALL_INTERVAL), TestEvent::Call(caller));
            }
        }
    }
}

/// Replays `demand` times as many requests as the targets serve.
fn replay(sharing: Sharing, demand: f64, seed: u64) -> FleetOutcome {
    let mut fleet = TestFleet {
        vms: (0..VMS as u64).map(|vm| TestVm::new(vm, TARGETS)).collect(),
        locations: (0..VMS)
            .map(|vm| numbered_location("a-1", vm, VMS))
            .collect(),
        targets: (0..TARGETS).map(|_| TestTarget::default()).collect(),
        events: BTreeMap::new(),
        random: StdRng::seed_from_u64(seed),
        serial: 0,
        outcome: FleetOutcome::default(),
    };
    for vm in 2..VMS {
        let delay = collector::first_delay(rendezvous::name_hash(&vm.to_le_bytes()), CALL_INTERVAL);
        if sharing != Sharing::Nothing {
            fleet.schedule(START.after(delay), TestEvent::Call(vm));
        }
    }
    let per_second = demand * f64::from(TARGET_SLOTS) * TARGETS as f64 / LATER.as_secs_f64();
    let mut now = START;
    while now.since(START) < LENGTH {
        let gap = -(1.0 - fleet.random.random::<f64>()).ln() / per_second;
        now = now.after(Duration::from_secs_f64(gap));
        fleet.schedule(now, TestEvent::Arrival);
    }
    while let Some(((at, _), event)) = fleet.events.pop_first() {
        if at.since(START) > LENGTH {
            break;
        }
        fleet.handle(event, sharing, at);
    }
    fleet.outcome
}

/// A VM that knows only its own responses fills queues that are full, and leaves others empty.
#[test]
fn shared_loads_spread_requests_over_queues() {
    for (demand, seed) in [(0.8, 0), (0.8, 1), (1.0, 0), (1.0, 1), (1.3, 0), (2.0, 0)] {
        let alone = replay(Sharing::Nothing, demand, seed);
        let shared = replay(Sharing::Exchange, demand, seed);
        let context = format!("{demand}, seed {seed}: {alone:?}, shared {shared:?}");
        assert!(
            shared.refused_share() < alone.refused_share() * 0.65,
            "{context}"
        );
        assert!(shared.mean_wait() < alone.mean_wait() * 0.95, "{context}");
        assert!(shared.in_time > alone.in_time, "{context}");
        let is_spread = shared.mean_spread() < alone.mean_spread() * 0.95;
        // Far above the capacity all queues are full without the exchange.
        assert!(is_spread || demand > 1.0, "{context}");
    }
}

/// The VMs that do not reach the collector must still gain from what they tell each other.
#[test]
fn both_sides_of_a_partition_share_loads() {
    for demand in [0.8, 1.0, 1.3, 2.0] {
        let alone = replay(Sharing::Nothing, demand, 0);
        let parted = replay(Sharing::Partition, demand, 0);
        let context = format!("{demand}: {alone:?}, parted {parted:?}");
        assert!(
            parted.refused_share() < alone.refused_share() * 0.75,
            "{context}"
        );
        assert!(parted.in_time > alone.in_time, "{context}");
    }
}
