//! The simulation's state and its event handlers.

mod outcome;
mod tick;

pub use outcome::ShiftOutcome;

use super::case::{FAULT_US, RETURN_US, ShiftCase, ShiftFault, ShiftRouting};
use super::link::PacedLink;
use crate::steer::event_queue::EventQueue;
use crate::steer::load::{
    COLOMBIA, CUSTOMERS, LoadCase, LoadFault, LoadRequest, REGIONS, ServiceDistribution, requests,
    target_region, vm_region,
};
use dahliawood_model::keys::{CustomerKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_steer::{admission, choice, health, queue, target};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const SERVICE: ServiceKey = ServiceKey(0);
const SECONDS: u64 = 100;
const LINK_BYTES_PER_US: f64 = 35.0;
const TICK_US: u64 = 10_000;
const LATEST_START_US: u64 = 800_000;
const TRIES: usize = 3;
/// Time from the fault until the moved slots are free for use by the first region, microseconds.
const SLOTS_MOVED_AFTER_US: u64 = 1_000_000;
/// Interval of the regions' reports of their free slots, in ticks; also the delay of the first
/// reaction to the fault.
const REPORT_INTERVAL_TICKS: u64 = 20;
/// Extra service time of a cold target, as a multiple of a warm target's; it falls to 1/e of that
/// after [`WARMING_ANSWERS`] answers.
const COLD_EXTRA: f64 = 3.0;
const WARMING_ANSWERS: f64 = 200.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShiftEvent {
    Arrival(usize),
    HandedOver { index: usize, to: usize },
    Failed { index: usize, target: usize },
    Answer { index: usize, target: usize },
    Tick,
}

/// The VMs of one region.
struct RegionVms {
    table: target::TargetTable,
    waiting: queue::WaitQueue<usize>,
    gate: admission::AdmissionGate,
    links: Vec<PacedLink>,
}

struct RequestState {
    /// The region whose VMs it was handed over to.
    handed_to: Option<usize>,
    flight: Option<target::FlightKey>,
    tried: Vec<TargetKey>,
    sent_us: u64,
}

struct ShiftSimulation {
    case: ShiftCase,
    /// Free share of each region's slots, as last reported.
    reported_headroom: [f64; REGIONS],
    config: tables::FleetConfig,
    requests: Vec<LoadRequest>,
    states: Vec<RequestState>,
    events: EventQueue<ShiftEvent>,
    regions: Vec<RegionVms>,
    running: Vec<u32>,
    cold_served: f64,
    sent: [u64; CUSTOMERS],
    refused: [u64; CUSTOMERS],
    before: Histogram<u64>,
    during: Histogram<u64>,
    after: Histogram<u64>,
    /// Answers from targets of the first region to callers of that region, for each second.
    local_answers: Vec<u32>,
    outcome: ShiftOutcome,
    rng: SmallRng,
}

/// Simulates one case.
pub fn run(case: ShiftCase, seed: u64) -> ShiftOutcome {
    let load = LoadCase {
        size: COLOMBIA,
        distribution: ServiceDistribution::Light,
        percent: case.percent,
        fault: LoadFault::None,
        seconds: SECONDS,
    };
    let requests = requests(&load, seed);
    let mut simulation = simulation(case, requests, seed);
    for (index, request) in simulation.requests.iter().enumerate() {
        simulation
            .events
            .schedule(request.arrival_us, ShiftEvent::Arrival(index));
    }
    simulation.events.schedule(0, ShiftEvent::Tick);
    while let Some((now_us, event)) = simulation.events.next() {
        simulation.step(now_us, event);
    }
    simulation.into_outcome()
}

fn simulation(case: ShiftCase, requests: Vec<LoadRequest>, seed: u64) -> ShiftSimulation {
    let config = COLOMBIA.config();
    let state = |_: &LoadRequest| RequestState {
        handed_to: None,
        flight: None,
        tried: Vec::new(),
        sent_us: 0,
    };
    ShiftSimulation {
        case,
        reported_headroom: [1.0; REGIONS],
        states: requests.iter().map(state).collect(),
        requests,
        events: EventQueue::new(),
        regions: (0..REGIONS)
            .map(|region| region_vms(&config, &case, region))
            .collect(),
        running: vec![0; COLOMBIA.targets],
        cold_served: 0.0,
        sent: [0; CUSTOMERS],
        refused: [0; CUSTOMERS],
        before: histogram(),
        during: histogram(),
        after: histogram(),
        local_answers: vec![0; SECONDS as usize + 2],
        outcome: ShiftOutcome::default(),
        rng: SmallRng::seed_from_u64(seed),
        config,
    }
}

fn region_vms(config: &tables::FleetConfig, case: &ShiftCase, region: usize) -> RegionVms {
    let home = RegionKey(region as u32);
    let mut table = target::TargetTable::build(config, home, TimeStamp::ZERO);
    for key in config.targets.keys() {
        let (local_slots, remote_slots) = case.slot_limits(false);
        let is_local = config.target_region(key) == home;
        table.set_slot_limit(key, if is_local { local_slots } else { remote_slots });
    }
    RegionVms {
        table,
        waiting: queue::WaitQueue::default(),
        gate: admission::AdmissionGate::default(),
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

impl ShiftSimulation {
    fn step(&mut self, now_us: u64, event: ShiftEvent) {
        match event {
            ShiftEvent::Arrival(index) => self.arrive(now_us, index),
            ShiftEvent::HandedOver { index, to } => {
                self.states[index].handed_to = Some(to);
                self.dispatch_or_wait(now_us, index);
            }
            ShiftEvent::Failed { index, target } => self.connect_failed(now_us, index, target),
            ShiftEvent::Answer { index, target } => self.answer(now_us, index, target),
            ShiftEvent::Tick => self.tick(now_us),
        }
    }

    /// The region of the VM that holds the request.
    fn region(&self, index: usize) -> usize {
        let handed_to = self.states[index].handed_to;
        handed_to.unwrap_or_else(|| self.caller_region(index))
    }

    fn caller_region(&self, index: usize) -> usize {
        vm_region(self.requests[index].vm)
    }

    fn arrive(&mut self, now_us: u64, index: usize) {
        let region = self.region(index);
        let customer = self.requests[index].customer;
        if region == 0 && self.case.in_fault(now_us) {
            self.outcome.sent_in_fault += 1;
            self.sent[customer] += 1;
        }
        let key = Some(CustomerKey(customer as u32));
        if !admission::admit(&mut self.regions[region].gate, key, 1) {
            self.refuse(index);
            return;
        }
        self.dispatch_or_wait(now_us, index);
    }

    fn dispatch_or_wait(&mut self, now_us: u64, index: usize) {
        let waiting = &self.regions[self.region(index)].waiting;
        if !waiting.is_empty() || !self.dispatch(now_us, index) {
            self.wait(now_us, index);
        }
    }

    /// Sends a request to a target, hands it over or refuses it; returns `false` if it has to wait.
    fn dispatch(&mut self, now_us: u64, index: usize) -> bool {
        let region = self.region(index);
        let headrooms = self.headrooms(now_us, region);
        let vms = &mut self.regions[region];
        let headroom = move |to: RegionKey| headrooms[to.0 as usize];
        let query = choice::ChoiceQuery {
            service: SERVICE,
            exclude: &self.states[index].tried,
            idempotent: true,
            waiting: vms.waiting.len() as u32,
            headroom: &headroom,
        };
        let chosen = choice::choose(&mut vms.table, &query, stamp(now_us), &mut self.rng);
        let expected = match chosen {
            choice::Choice::Target(key, to) => {
                self.states[index].flight = choice::begin(&mut vms.table, key);
                if to.0 as usize != region {
                    vms.links[to.0 as usize].send(self.case.answer_bytes, now_us);
                }
                self.send(now_us, index, key.0 as usize);
                return true;
            }
            choice::Choice::Wait { expected, .. } => Some(expected),
            choice::Choice::None { .. } => None,
        };
        let may_hand_over =
            self.case.routing == ShiftRouting::HandedOver && self.states[index].handed_to.is_none();
        let to = choice::choose_handover_region(&vms.table, &query, expected, &mut self.rng);
        if let Some(to) = to.filter(|_| may_hand_over) {
            let to = to.0 as usize;
            vms.links[to].send(self.case.answer_bytes, now_us);
            let handed_us = now_us + COLOMBIA.between_regions_us;
            self.events
                .schedule(handed_us, ShiftEvent::HandedOver { index, to });
            return true;
        }
        if expected.is_none() {
            admission::record_shortage(&mut vms.gate);
            self.refuse(index);
        }
        expected.is_none()
    }

    /// Headroom for requests from `region` to each region.
    fn headrooms(&mut self, now_us: u64, region: usize) -> [choice::SpilloverHeadroom; REGIONS] {
        let bytes = self.case.answer_bytes;
        let links = &mut self.regions[region].links;
        // With direct routing, the slots held in the other region already bound its load.
        let reported_headroom = match self.case.routing {
            ShiftRouting::Direct => [1.0; REGIONS],
            ShiftRouting::HandedOver => self.reported_headroom,
        };
        std::array::from_fn(|to| choice::SpilloverHeadroom {
            link: links[to].headroom(bytes, now_us),
            region: reported_headroom[to],
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

    fn send(&mut self, now_us: u64, index: usize, target: usize) {
        let one_way_us = COLOMBIA.one_way_us(self.region(index), target_region(target));
        self.states[index].sent_us = now_us;
        if self.case.is_unreachable(target, now_us) {
            let failed_us = now_us + 2 * one_way_us;
            self.events
                .schedule(failed_us, ShiftEvent::Failed { index, target });
            return;
        }
        self.running[target] += 1;
        let slot_use = f64::from(self.running[target]) / f64::from(COLOMBIA.slots);
        self.outcome.peak_region = self.outcome.peak_region.max(slot_use);
        let service_us = self.service_us(now_us, index, target);
        let done_us = now_us + 2 * one_way_us + service_us;
        self.events
            .schedule(done_us, ShiftEvent::Answer { index, target });
    }

    fn service_us(&mut self, now_us: u64, index: usize, target: usize) -> u64 {
        let demand_us = self.requests[index].demand_us;
        if self.case.fault != ShiftFault::Lost || target_region(target) != 0 || now_us < RETURN_US {
            return demand_us;
        }
        let targets = (COLOMBIA.targets / REGIONS) as f64;
        self.cold_served += 1.0;
        let warmth = (-self.cold_served / targets / WARMING_ANSWERS).exp();
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
        self.dispatch_or_wait(now_us, index);
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
        self.record_latency(now_us, index, target);
        self.dispatch_waiting(now_us, region);
    }

    fn dispatch_waiting(&mut self, now_us: u64, region: usize) {
        while let Some(entry) = queue::pop(&mut self.regions[region].waiting) {
            if !self.dispatch(now_us, entry.item) {
                queue::requeue(&mut self.regions[region].waiting, entry);
                return;
            }
        }
    }
}
