//! The event loop.

use super::link::PacedLink;
use crate::steer::clock::EventClock;
use crate::steer::load::{
    COLOMBIA, CUSTOMERS, LARGE_CUSTOMERS, LoadCase, LoadFault, LoadRequest, REGIONS, ServiceSpread,
    requests, target_region, vm_region,
};
use dahliawood_model::keys::{CustomerKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_steer::{choice, drain, fair, health, queue, target};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// The time that a planned drain is given.
pub const DRAIN_OVER: Duration = Duration::from_secs(30);
const SERVICE: ServiceKey = ServiceKey(0);
const FAULT_US: u64 = 20_000_000;
const RETURN_US: u64 = 60_000_000;
const SECONDS: u64 = 100;
const LINK_BYTES_PER_US: f64 = 35.0;
const TICK_US: u64 = 10_000;
const LATEST_START_US: u64 = 800_000;
const TRIES: usize = 3;
/// When slots that move have come free, after the fault, microseconds.
const RETURNED_US: u64 = 1_000_000;
/// The oldest that a region's own figure of its free slots gets, in ticks.
const LAG_TICKS: u64 = 20;
/// Time of a cold target as a multiple of a warm one's, above one, and how many answers warm it.
const COLD_EXTRA: f64 = 3.0;
const WARMING_ANSWERS: f64 = 200.0;

/// What happens to the first region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShiftFault {
    /// Its targets refuse connections for a while and come back cold.
    Lost,
    /// It is drained.
    Drained,
}

/// How a request reaches another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ShiftWay {
    /// Straight to a target, on a slot that is taken for the way as well.
    #[display("direct")]
    Direct,
    /// Handed over to a VM there.
    #[display("handed-over")]
    HandedOver,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub struct ShiftCase {
    /// What happens.
    pub fault: ShiftFault,
    /// How requests reach another region.
    pub way: ShiftWay,
    /// Size of an answer, bytes.
    pub answer_bytes: f64,
    /// Requests, percent of what all slots can serve.
    pub percent: u32,
}

impl ShiftCase {
    /// Slots of a target that the VMs of its own region hold, and those of each other one.
    fn held(&self, is_moved: bool) -> (u32, u32) {
        match (self.way, is_moved) {
            (ShiftWay::HandedOver, _) => (8, 0),
            (ShiftWay::Direct, false) => (6, 1),
            (ShiftWay::Direct, true) => (4, 4),
        }
    }
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct ShiftOutcome {
    pub sent_in_fault: u64,
    pub failed: u64,
    /// Of requests of the region that were sent while it was lost or drained.
    pub refused: u64,
    /// Of all others: of other regions, before and after.
    pub refused_outside: u64,
    pub small_refused: f64,
    pub large_refused: f64,
    pub last_failed_try_ms: f64,
    pub returned_ms: f64,
    pub return_p99_ms: f64,
    pub before_p99_ms: f64,
    pub fault_p99_ms: f64,
    pub drained_ms: f64,
    pub longest_ms: f64,
    pub peak_link: f64,
    pub peak_region: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShiftEvent {
    Arrival(usize),
    Handed { index: usize, to: usize },
    Failed { index: usize, target: usize },
    Answer { index: usize, target: usize },
    Tick,
}

/// The VMs of one region.
struct RegionVms {
    table: target::TargetTable,
    waiting: queue::WaitQueue<usize>,
    gate: fair::FairGate,
    links: Vec<PacedLink>,
}

struct RequestState {
    /// The region that it was handed over to.
    handed: Option<usize>,
    flight: Option<target::FlightKey>,
    tried: Vec<TargetKey>,
    sent_us: u64,
}

struct ShiftBench {
    case: ShiftCase,
    /// Free share of each region, as last heard.
    heard: [f64; REGIONS],
    config: tables::FleetConfig,
    requests: Vec<LoadRequest>,
    states: Vec<RequestState>,
    clock: EventClock<ShiftEvent>,
    regions: Vec<RegionVms>,
    running: Vec<u32>,
    served_cold: f64,
    sent: [u64; CUSTOMERS],
    refused: [u64; CUSTOMERS],
    before: Histogram<u64>,
    during: Histogram<u64>,
    after: Histogram<u64>,
    /// Answers of the first region to its own callers in each second.
    near_answers: Vec<u32>,
    outcome: ShiftOutcome,
    rng: SmallRng,
}

/// Runs one case.
pub fn run(case: ShiftCase, seed: u64) -> ShiftOutcome {
    let load = LoadCase {
        size: COLOMBIA,
        spread: ServiceSpread::Light,
        percent: case.percent,
        fault: LoadFault::None,
        seconds: SECONDS,
    };
    let requests = requests(&load, seed);
    let mut bench = bench(case, requests, seed);
    for (index, request) in bench.requests.iter().enumerate() {
        bench
            .clock
            .at(request.arrival_us, ShiftEvent::Arrival(index));
    }
    bench.clock.at(0, ShiftEvent::Tick);
    while let Some((now_us, event)) = bench.clock.next() {
        bench.step(now_us, event);
    }
    bench.into_outcome()
}

fn bench(case: ShiftCase, requests: Vec<LoadRequest>, seed: u64) -> ShiftBench {
    let config = COLOMBIA.config();
    let state = |_: &LoadRequest| RequestState {
        handed: None,
        flight: None,
        tried: Vec::new(),
        sent_us: 0,
    };
    ShiftBench {
        case,
        heard: [1.0; REGIONS],
        states: requests.iter().map(state).collect(),
        requests,
        clock: EventClock::new(),
        regions: (0..REGIONS)
            .map(|region| region_vms(&config, &case, region))
            .collect(),
        running: vec![0; COLOMBIA.targets],
        served_cold: 0.0,
        sent: [0; CUSTOMERS],
        refused: [0; CUSTOMERS],
        before: histogram(),
        during: histogram(),
        after: histogram(),
        near_answers: vec![0; SECONDS as usize + 2],
        outcome: ShiftOutcome::default(),
        rng: SmallRng::seed_from_u64(seed),
        config,
    }
}

fn region_vms(config: &tables::FleetConfig, case: &ShiftCase, region: usize) -> RegionVms {
    let home = RegionKey(region as u32);
    let mut table = target::TargetTable::build(config, home, TimeStamp::ZERO);
    for key in config.targets.keys() {
        let (near, far) = case.held(false);
        let is_near = config.target_region(key) == home;
        table.set_slot_limit(key, if is_near { near } else { far });
    }
    RegionVms {
        table,
        waiting: queue::WaitQueue::default(),
        gate: fair::FairGate::default(),
        links: (0..REGIONS)
            .map(|_| PacedLink::new(LINK_BYTES_PER_US))
            .collect(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(100_000_000, 3).expect("three digits are valid")
}

fn stamp(now_us: u64) -> TimeStamp {
    TimeStamp::from_micros(now_us)
}

impl ShiftBench {
    fn step(&mut self, now_us: u64, event: ShiftEvent) {
        match event {
            ShiftEvent::Arrival(index) => self.arrive(now_us, index),
            ShiftEvent::Handed { index, to } => {
                self.states[index].handed = Some(to);
                self.place_or_wait(now_us, index);
            }
            ShiftEvent::Failed { index, target } => self.connect_failed(now_us, index, target),
            ShiftEvent::Answer { index, target } => self.answer(now_us, index, target),
            ShiftEvent::Tick => self.tick(now_us),
        }
    }

    fn is_lost(&self, target: usize, now_us: u64) -> bool {
        let lost = self.case.fault == ShiftFault::Lost && (FAULT_US..RETURN_US).contains(&now_us);
        lost && target_region(target) == 0
    }

    fn in_fault(&self, now_us: u64) -> bool {
        let end_us = match self.case.fault {
            ShiftFault::Lost => RETURN_US,
            ShiftFault::Drained => FAULT_US + DRAIN_OVER.as_micros() as u64,
        };
        (FAULT_US..end_us).contains(&now_us)
    }

    /// The region of the VM that has the request now.
    fn region(&self, index: usize) -> usize {
        let handed = self.states[index].handed;
        handed.unwrap_or_else(|| self.caller_region(index))
    }

    fn caller_region(&self, index: usize) -> usize {
        vm_region(self.requests[index].vm)
    }

    fn arrive(&mut self, now_us: u64, index: usize) {
        let region = self.region(index);
        let customer = self.requests[index].customer;
        if region == 0 && self.in_fault(now_us) {
            self.outcome.sent_in_fault += 1;
            self.sent[customer] += 1;
        }
        let key = Some(CustomerKey(customer as u32));
        if !fair::admit(&mut self.regions[region].gate, key, 1) {
            self.refuse(index);
            return;
        }
        self.place_or_wait(now_us, index);
    }

    fn place_or_wait(&mut self, now_us: u64, index: usize) {
        let waiting = &self.regions[self.region(index)].waiting;
        if !waiting.is_empty() || !self.place(now_us, index) {
            self.wait(now_us, index);
        }
    }

    /// Sends a request, hands it over or refuses it; `false` where it has to wait.
    fn place(&mut self, now_us: u64, index: usize) -> bool {
        let region = self.region(index);
        let rooms = self.rooms(now_us, region);
        let vms = &mut self.regions[region];
        let room = move |to: RegionKey| rooms[to.0 as usize];
        let query = choice::ChoiceQuery {
            service: SERVICE,
            exclude: &self.states[index].tried,
            idempotent: true,
            waiting: vms.waiting.len() as u32,
            room: &room,
        };
        let chosen = choice::choose(&mut vms.table, &query, stamp(now_us), &mut self.rng);
        let expected = match chosen {
            choice::Choice::Target(key, to) => {
                self.states[index].flight = choice::begin(&mut vms.table, key);
                if to.0 as usize != region {
                    vms.links[to.0 as usize].take(self.case.answer_bytes, now_us);
                }
                self.send(now_us, index, key.0 as usize);
                return true;
            }
            choice::Choice::Wait { expected, .. } => Some(expected),
            choice::Choice::None { .. } => None,
        };
        let may_hand = self.case.way == ShiftWay::HandedOver && self.states[index].handed.is_none();
        let to = choice::hand_over(&vms.table, &query, expected, &mut self.rng);
        if let Some(to) = to.filter(|_| may_hand) {
            let to = to.0 as usize;
            vms.links[to].take(self.case.answer_bytes, now_us);
            let handed_us = now_us + COLOMBIA.far_us;
            self.clock.at(handed_us, ShiftEvent::Handed { index, to });
            return true;
        }
        if expected.is_none() {
            fair::note_short(&mut vms.gate);
            self.refuse(index);
        }
        expected.is_none()
    }

    /// Headroom on the way from a region to each.
    fn rooms(&mut self, now_us: u64, region: usize) -> [choice::SpillRoom; REGIONS] {
        let bytes = self.case.answer_bytes;
        let links = &mut self.regions[region].links;
        // Slots that are held over there are headroom of that region already.
        let heard = match self.case.way {
            ShiftWay::Direct => [1.0; REGIONS],
            ShiftWay::HandedOver => self.heard,
        };
        std::array::from_fn(|to| choice::SpillRoom {
            link: links[to].room(bytes, now_us),
            region: heard[to],
        })
    }

    fn wait(&mut self, now_us: u64, index: usize) {
        let request = self.requests[index];
        let region = self.region(index);
        let vms = &mut self.regions[region];
        let entry = queue::WaitEntry {
            customer: Some(CustomerKey(request.customer as u32)),
            weight: 1,
            deadline: stamp(request.arrival_us + LATEST_START_US),
            item: index,
        };
        let rate = choice::slot_rate(vms.table.service(SERVICE));
        if queue::push(&mut vms.waiting, entry, rate, stamp(now_us)).is_err() {
            self.refuse(index);
        }
    }

    fn refuse(&mut self, index: usize) {
        let request = self.requests[index];
        if self.caller_region(index) != 0 || !self.in_fault(request.arrival_us) {
            self.outcome.refused_outside += 1;
            return;
        }
        self.outcome.refused += 1;
        self.refused[request.customer] += 1;
    }

    fn send(&mut self, now_us: u64, index: usize, target: usize) {
        let way_us = COLOMBIA.way_us(self.region(index), target_region(target));
        self.states[index].sent_us = now_us;
        if self.is_lost(target, now_us) {
            let failed_us = now_us + 2 * way_us;
            self.clock
                .at(failed_us, ShiftEvent::Failed { index, target });
            return;
        }
        self.running[target] += 1;
        let use_of_slots = f64::from(self.running[target]) / f64::from(COLOMBIA.slots);
        self.outcome.peak_region = self.outcome.peak_region.max(use_of_slots);
        let service_us = self.service_us(now_us, index, target);
        let done_us = now_us + 2 * way_us + service_us;
        self.clock.at(done_us, ShiftEvent::Answer { index, target });
    }

    fn service_us(&mut self, now_us: u64, index: usize, target: usize) -> u64 {
        let demand_us = self.requests[index].demand_us;
        if self.case.fault != ShiftFault::Lost || target_region(target) != 0 || now_us < RETURN_US {
            return demand_us;
        }
        let targets = (COLOMBIA.targets / REGIONS) as f64;
        self.served_cold += 1.0;
        let warmth = (-self.served_cold / targets / WARMING_ANSWERS).exp();
        (demand_us as f64 * (1.0 + COLD_EXTRA * warmth)) as u64
    }

    fn connect_failed(&mut self, now_us: u64, index: usize, target: usize) {
        self.finish(now_us, index, health::ResultKind::ConnectFailed);
        self.outcome.last_failed_try_ms = (now_us - FAULT_US) as f64 / 1e3;
        let state = &mut self.states[index];
        state.tried.push(TargetKey(target as u32));
        if state.tried.len() >= TRIES {
            self.outcome.failed += 1;
            return;
        }
        self.place_or_wait(now_us, index);
    }

    fn finish(&mut self, now_us: u64, index: usize, kind: health::ResultKind) {
        let region = self.region(index);
        let state = &mut self.states[index];
        let report = health::ResultReport {
            kind,
            latency: Duration::from_micros(now_us - state.sent_us),
        };
        if let Some(flight) = state.flight.take() {
            choice::finish(
                &mut self.regions[region].table,
                flight,
                report,
                stamp(now_us),
            );
        }
    }

    fn answer(&mut self, now_us: u64, index: usize, target: usize) {
        self.running[target] -= 1;
        self.finish(now_us, index, health::ResultKind::Answered);
        let region = self.region(index);
        self.note_latency(now_us, index, target);
        self.serve(now_us, region);
    }

    fn note_latency(&mut self, now_us: u64, index: usize, target: usize) {
        if self.caller_region(index) != 0 {
            return;
        }
        let back_us = self.states[index].handed.map_or(0, |_| COLOMBIA.far_us);
        let latency_us = now_us + back_us - self.requests[index].arrival_us;
        let latencies = match now_us {
            before if before < FAULT_US => &mut self.before,
            during if self.in_fault(during) => &mut self.during,
            _ => &mut self.after,
        };
        latencies.saturating_record(latency_us);
        let longest_ms = self.outcome.longest_ms;
        self.outcome.longest_ms = longest_ms.max(latency_us as f64 / 1e3);
        if target_region(target) == 0 {
            let second = (now_us / 1_000_000) as usize;
            if let Some(answers) = self.near_answers.get_mut(second) {
                *answers += 1;
            }
            if now_us > FAULT_US {
                self.outcome.drained_ms = (now_us - FAULT_US) as f64 / 1e3;
            }
        }
    }

    fn serve(&mut self, now_us: u64, region: usize) {
        while let Some(entry) = queue::pop(&mut self.regions[region].waiting) {
            if !self.place(now_us, entry.item) {
                queue::push_back(&mut self.regions[region].waiting, entry);
                return;
            }
        }
    }

    fn tick(&mut self, now_us: u64) {
        if self.case.fault == ShiftFault::Drained && now_us == FAULT_US {
            self.start_drain(now_us);
        }
        if now_us == FAULT_US + LAG_TICKS * TICK_US {
            self.move_slots(false);
        }
        if now_us == FAULT_US + RETURNED_US {
            self.move_slots(true);
        }
        if now_us.is_multiple_of(LAG_TICKS * TICK_US) {
            self.hear();
        }
        for region in 0..REGIONS {
            let rooms = self.rooms(now_us, region);
            let room = move |to: RegionKey| rooms[to.0 as usize];
            let vms = &mut self.regions[region];
            drain::tick(&mut vms.table, &room, stamp(now_us));
            fair::tick(&mut vms.gate, stamp(now_us));
            let rate = choice::slot_rate(vms.table.service(SERVICE));
            for late in queue::refuse_late(&mut vms.waiting, rate, stamp(now_us)) {
                self.refuse(late.item);
            }
            self.serve(now_us, region);
        }
        if now_us < SECONDS * 1_000_000 {
            self.clock.at(now_us + TICK_US, ShiftEvent::Tick);
        }
    }

    /// Slots move to the region in need, which has them once those that ran have ended: a stand-in
    /// for loans.
    fn move_slots(&mut self, are_free: bool) {
        let (near, far) = self.case.held(true);
        for key in self.config.targets.keys() {
            let home = self.config.target_region(key).0 as usize;
            for (region, vms) in self.regions.iter_mut().enumerate() {
                let slots = match region {
                    region if region == home => near,
                    0 if are_free => far,
                    _ => 0,
                };
                vms.table.set_slot_limit(key, slots);
            }
        }
    }

    /// Takes in how many slots each region has free.
    fn hear(&mut self) {
        for (region, heard) in self.heard.iter_mut().enumerate() {
            let targets = COLOMBIA.near_targets(region);
            let running: u32 = targets.iter().map(|target| self.running[*target]).sum();
            let slots = targets.len() as u32 * COLOMBIA.slots;
            *heard = 1.0 - f64::from(running) / f64::from(slots);
        }
    }

    fn start_drain(&mut self, now_us: u64) {
        self.config.drains.push(tables::DrainSpec {
            subject: tables::DrainSubject::Region(RegionKey(0)),
            over: DRAIN_OVER,
        });
        for (region, vms) in self.regions.iter_mut().enumerate() {
            let home = RegionKey(region as u32);
            vms.table.reconfigure(&self.config, home, stamp(now_us));
        }
    }

    fn into_outcome(self) -> ShiftOutcome {
        let p99_ms = |latencies: &Histogram<u64>| latencies.value_at_quantile(0.99) as f64 / 1e3;
        let share = |customers: std::ops::Range<usize>| {
            let refused: u64 = self.refused[customers.clone()].iter().sum();
            let sent: u64 = self.sent[customers].iter().sum();
            refused as f64 / sent.max(1) as f64
        };
        let links = self.regions.iter().flat_map(|vms| &vms.links);
        ShiftOutcome {
            small_refused: share(LARGE_CUSTOMERS..CUSTOMERS),
            large_refused: share(0..LARGE_CUSTOMERS),
            before_p99_ms: p99_ms(&self.before),
            fault_p99_ms: p99_ms(&self.during),
            return_p99_ms: p99_ms(&self.after),
            returned_ms: self.returned_ms(),
            peak_link: links.map(|link| link.peak).fold(0.0, f64::max),
            ..self.outcome
        }
    }

    /// From the return until the region answers nine tenths of what it answered before.
    fn returned_ms(&self) -> f64 {
        let before = &self.near_answers[5..(FAULT_US / 1_000_000) as usize];
        let usual = f64::from(before.iter().sum::<u32>()) / before.len() as f64;
        let first = (RETURN_US / 1_000_000) as usize;
        let back = self.near_answers[first..].iter();
        let seconds = back.take_while(|answers| f64::from(**answers) < 0.9 * usual);
        seconds.count() as f64 * 1e3
    }
}
