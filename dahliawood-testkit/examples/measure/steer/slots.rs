//! The policy of `dahliawood-steer`: each VM sends no more requests to a target than it holds slots
//! there, and queues the rest itself.
//!
//! The slots of a region are distributed over its VMs. With loans, a VM with waiting requests asks
//! the other VMs of its region for slots, and also the VMs of other regions once the expected wait
//! is longer than the round trip there. A VM without waiting requests lends a free slot. The loans
//! are a stand-in for those of `dahliawood-quota`: one message each way, and no message is lost.

use super::event_queue::EventQueue;
use super::load::{
    LARGE_CUSTOMERS, LoadCase, LoadRequest, REGIONS, VMS, region_vm_count, target_region, vm_region,
};
use super::score::RunScore;
use dahliawood_model::keys::{CustomerKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::{choice, health, lookup, queue, target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SERVICE: ServiceKey = ServiceKey(0);
/// The shortest time between two loan requests of one VM, microseconds.
const LOAN_REQUEST_INTERVAL_US: u64 = 5_000;
/// How long a loan request stays valid, microseconds.
const LOAN_REQUEST_VALID_US: u64 = 50_000;
/// Interval of the check for requests that waited too long, microseconds.
const TICK_US: u64 = 20_000;
/// The latest start of a request after its arrival, microseconds: the deadline less the service
/// time that 99 of 100 requests of the heavy distribution stay within.
const LATEST_START_US: u64 = 750_000;

/// Whether slots move between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SlotPolicy {
    /// Each slot stays at the VM that it was first assigned to.
    #[display("split")]
    Split,
    /// Slots move on loan to VMs with waiting requests.
    #[display("loans")]
    Loans,
}

/// Messages sent in a run, and whether the slot limits were kept.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotCost {
    /// Loan requests and grants sent.
    pub messages: u64,
    /// The largest number of requests that a target ran at once beyond its slots.
    pub above_slots: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SlotEvent {
    Arrival(usize),
    Done {
        target: usize,
    },
    Answer {
        index: usize,
        target: usize,
    },
    LoanRequest {
        from: usize,
        to: usize,
        loan: LoanRequest,
    },
    Grant {
        to: usize,
        target: usize,
    },
    Tick,
}

/// A VM's request for at most `count` slots; its waiting customers have `weight` in total, and it
/// holds `slots` slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LoanRequest {
    count: usize,
    weight: u64,
    slots: u32,
    valid_until_us: u64,
}

struct SlotVm {
    table: target::TargetTable,
    waiting: queue::WaitQueue<usize>,
    loan_requests: [LoanRequest; VMS],
    next_loan_request_us: u64,
    initial_rate: f64,
}

struct SlotSimulation<'a> {
    case: &'a LoadCase,
    requests: &'a [LoadRequest],
    has_loans: bool,
    events: EventQueue<SlotEvent>,
    vms: Vec<SlotVm>,
    running: Vec<u32>,
    served: Vec<u64>,
    sent_us: Vec<u64>,
    flights: Vec<Option<target::FlightKey>>,
    cost: SlotCost,
    rng: SmallRng,
}

/// Simulates a case with a policy.
pub fn run(
    policy: SlotPolicy,
    case: &LoadCase,
    requests: &[LoadRequest],
    seed: u64,
) -> (RunScore, SlotCost) {
    let mut score = RunScore::new(case, requests);
    let mut simulation = SlotSimulation {
        case,
        requests,
        has_loans: policy == SlotPolicy::Loans,
        events: EventQueue::new(),
        vms: initial_vms(case),
        running: vec![0; case.size.targets],
        served: vec![0; case.size.targets],
        sent_us: vec![0; requests.len()],
        flights: vec![None; requests.len()],
        cost: SlotCost::default(),
        rng: SmallRng::seed_from_u64(seed),
    };
    for (index, request) in requests.iter().enumerate() {
        simulation
            .events
            .schedule(request.arrival_us, SlotEvent::Arrival(index));
    }
    simulation.events.schedule(0, SlotEvent::Tick);
    while let Some((now_us, event)) = simulation.events.next() {
        simulation.step(now_us, event, &mut score);
    }
    (score, simulation.cost)
}

/// All VMs, with the slots of each region assigned to its VMs in turn.
fn initial_vms(case: &LoadCase) -> Vec<SlotVm> {
    let config = case.size.config();
    let mut vms: Vec<SlotVm> = (0..VMS)
        .map(|vm| SlotVm {
            table: target::TargetTable::build(
                &config,
                RegionKey(vm_region(vm) as u32),
                TimeStamp::ZERO,
            ),
            waiting: queue::WaitQueue::default(),
            loan_requests: [LoanRequest::default(); VMS],
            next_loan_request_us: 0,
            initial_rate: 0.0,
        })
        .collect();
    let mut assigned = [0; REGIONS];
    for target in 0..case.size.targets {
        let region = target_region(target);
        let vm_count = region_vm_count(region);
        for _ in 0..case.size.slots {
            let vm = assigned[region] % vm_count * REGIONS + region;
            assigned[region] += 1;
            adjust_limit(&mut vms[vm].table, target, 1);
        }
    }
    for vm in &mut vms {
        vm.initial_rate = choice::slot_rate(vm.table.service(SERVICE));
    }
    vms
}

fn adjust_limit(table: &mut target::TargetTable, target: usize, by: i32) {
    let key = TargetKey(target as u32);
    let limit = table.get(key).map_or(0, |state| state.limit);
    table.set_slot_limit(key, limit.saturating_add_signed(by));
}

/// The weight of a customer at one VM: that of a large customer is divided by the number of its
/// home VMs in the region.
fn weight(request: &LoadRequest) -> u32 {
    let homes = match request.customer {
        large if large < LARGE_CUSTOMERS => region_vm_count(vm_region(request.vm)) as u32,
        _ => 1,
    };
    lookup::WEIGHT_UNIT / homes
}

fn stamp(now_us: u64) -> TimeStamp {
    TimeStamp::from_micros(now_us)
}

fn full_headroom(_region: RegionKey) -> choice::SpilloverHeadroom {
    choice::SpilloverHeadroom {
        link: 1.0,
        region: 1.0,
    }
}

impl SlotSimulation<'_> {
    fn step(&mut self, now_us: u64, event: SlotEvent, score: &mut RunScore) {
        match event {
            SlotEvent::Arrival(index) => self.arrive(now_us, index, score),
            SlotEvent::Done { target } => self.running[target] -= 1,
            SlotEvent::Answer { index, target } => self.answer(now_us, index, target, score),
            SlotEvent::LoanRequest { from, to, loan } => {
                self.vms[to].loan_requests[from] = loan;
                self.lend(now_us, to);
            }
            SlotEvent::Grant { to, target } => {
                adjust_limit(&mut self.vms[to].table, target, 1);
                self.send_waiting(now_us, to);
                self.return_slot(now_us, to, target);
            }
            SlotEvent::Tick => self.tick(now_us, score),
        }
    }

    fn arrive(&mut self, now_us: u64, index: usize, score: &mut RunScore) {
        let request = self.requests[index];
        if self.vms[request.vm].waiting.is_empty() && self.try_send(now_us, index).is_none() {
            return;
        }
        let entry = queue::WaitEntry {
            customer: Some(CustomerKey(request.customer as u32)),
            weight: weight(&request),
            deadline: stamp(request.arrival_us + LATEST_START_US),
            item: index,
        };
        let vm = &mut self.vms[request.vm];
        let rate = choice::slot_rate(vm.table.service(SERVICE)).max(vm.initial_rate);
        if queue::push(&mut vm.waiting, entry, rate, stamp(now_us)).is_err() {
            score.refused(&request);
        }
        self.send_waiting(now_us, request.vm);
    }

    /// Sends a request to a target, or returns how long it is expected to wait.
    fn try_send(&mut self, now_us: u64, index: usize) -> Option<Duration> {
        let vm = &mut self.vms[self.requests[index].vm];
        let query = choice::ChoiceQuery {
            service: SERVICE,
            exclude: &[],
            idempotent: true,
            waiting: vm.waiting.len() as u32,
            headroom: &full_headroom,
        };
        match choice::choose(&mut vm.table, &query, stamp(now_us), &mut self.rng) {
            choice::Choice::Target(key, _) => {
                self.flights[index] = choice::begin(&mut vm.table, key);
                self.send(now_us, index, key.0 as usize);
                None
            }
            choice::Choice::Wait { expected, .. } => Some(expected),
            choice::Choice::None { retry_after, .. } => Some(retry_after),
        }
    }

    fn send(&mut self, now_us: u64, index: usize, target: usize) {
        let request = &self.requests[index];
        let region = target_region(target);
        let one_way_us = self.case.size.one_way_us(vm_region(request.vm), region);
        let service_us = self
            .case
            .service_us(target, request.demand_us, self.served[target]);
        self.sent_us[index] = now_us;
        self.served[target] += 1;
        self.running[target] += 1;
        let above = self.running[target].saturating_sub(self.case.size.slots);
        self.cost.above_slots = self.cost.above_slots.max(above);
        let done_us = now_us + one_way_us + service_us;
        self.events.schedule(done_us, SlotEvent::Done { target });
        self.events
            .schedule(done_us + one_way_us, SlotEvent::Answer { index, target });
    }

    fn answer(&mut self, now_us: u64, index: usize, target: usize, score: &mut RunScore) {
        let request = &self.requests[index];
        score.answered(request, now_us);
        let report = health::ResultReport {
            kind: health::ResultKind::Answered,
            latency: Duration::from_micros(now_us - self.sent_us[index]),
        };
        if let Some(flight) = self.flights[index].take() {
            choice::finish(
                &mut self.vms[request.vm].table,
                flight,
                report,
                stamp(now_us),
            );
        }
        self.lend(now_us, request.vm);
        self.send_waiting(now_us, request.vm);
        self.return_slot(now_us, request.vm, target);
    }

    /// Sends the waiting requests of a VM as far as slots are free, and asks for loans for the
    /// rest.
    fn send_waiting(&mut self, now_us: u64, vm: usize) {
        let mut expected = Duration::ZERO;
        while let Some(entry) = queue::pop(&mut self.vms[vm].waiting) {
            if let Some(wait) = self.try_send(now_us, entry.item) {
                queue::requeue(&mut self.vms[vm].waiting, entry);
                expected = wait;
                break;
            }
        }
        if self.has_loans && !self.vms[vm].waiting.is_empty() {
            self.request_loans(now_us, vm, expected);
        }
    }

    fn request_loans(&mut self, now_us: u64, from: usize, expected: Duration) {
        if now_us < self.vms[from].next_loan_request_us {
            return;
        }
        self.vms[from].next_loan_request_us = now_us + LOAN_REQUEST_INTERVAL_US;
        let pressure = self.pressure(from);
        let loan = LoanRequest {
            count: self.vms[from].waiting.len(),
            weight: pressure.weight,
            slots: pressure.slots,
            valid_until_us: now_us + LOAN_REQUEST_VALID_US,
        };
        let asks_far = expected > Duration::from_micros(2 * self.case.size.between_regions_us);
        for to in (0..VMS).filter(|to| *to != from) {
            let is_near = vm_region(to) == vm_region(from);
            if is_near || asks_far {
                let one_way_us = self.case.size.one_way_us(vm_region(from), vm_region(to));
                self.cost.messages += 1;
                self.events.schedule(
                    now_us + one_way_us,
                    SlotEvent::LoanRequest { from, to, loan },
                );
            }
        }
    }

    /// Lends free slots of a VM to VMs that requested them and have a greater need.
    fn lend(&mut self, now_us: u64, vm: usize) {
        while self.has_loans {
            let here = self.pressure(vm);
            let loan_requests = &self.vms[vm].loan_requests;
            let is_near = |from: &usize| vm_region(*from) == vm_region(vm);
            let open = (0..VMS).filter(|from| {
                let loan = loan_requests[*from];
                let there = queue::QueuePressure {
                    weight: loan.weight,
                    slots: loan.slots,
                };
                let may_lend = here.weight == 0 || (is_near(from) && here.should_lend_to(there));
                loan.count > 0 && loan.valid_until_us > now_us && may_lend
            });
            let most = open.max_by_key(|from| {
                (
                    is_near(from),
                    loan_requests[*from].weight / u64::from(loan_requests[*from].slots + 1),
                )
            });
            let Some((to, target)) = most.zip(self.free_target(vm)) else {
                return;
            };
            let loan = &mut self.vms[vm].loan_requests[to];
            loan.count -= 1;
            loan.slots += 1;
            self.grant(now_us, vm, to, target);
        }
    }

    fn pressure(&self, vm: usize) -> queue::QueuePressure {
        let vm = &self.vms[vm];
        let slots = vm.table.service(SERVICE).map(|state| state.limit).sum();
        vm.waiting.pressure(slots)
    }

    /// The target of the VM's region at which the VM has the most free slots, if any.
    fn free_target(&self, vm: usize) -> Option<usize> {
        let region = RegionKey(vm_region(vm) as u32);
        let states = self.vms[vm].table.iter();
        let free = states.filter(|state| state.region == region && state.in_flight < state.limit);
        free.max_by_key(|state| state.limit - state.in_flight)
            .map(|state| state.key.0 as usize)
    }

    fn grant(&mut self, now_us: u64, from: usize, to: usize, target: usize) {
        adjust_limit(&mut self.vms[from].table, target, -1);
        self.cost.messages += 1;
        let one_way_us = self.case.size.one_way_us(vm_region(from), vm_region(to));
        self.events
            .schedule(now_us + one_way_us, SlotEvent::Grant { to, target });
    }

    /// Returns a free slot at a target of another region to a VM of that region.
    fn return_slot(&mut self, now_us: u64, vm: usize, target: usize) {
        let region = target_region(target);
        let state = self.vms[vm].table.get(TargetKey(target as u32));
        let free = state.is_some_and(|state| state.in_flight < state.limit);
        if !free || region == vm_region(vm) {
            return;
        }
        let vm_count = region_vm_count(region);
        let to = self.rng.random_range(0..vm_count) * REGIONS + region;
        self.grant(now_us, vm, to, target);
    }

    fn tick(&mut self, now_us: u64, score: &mut RunScore) {
        for vm in 0..VMS {
            let state = &mut self.vms[vm];
            let rate = choice::slot_rate(state.table.service(SERVICE)).max(state.initial_rate);
            for late in queue::refuse_late(&mut state.waiting, rate, stamp(now_us)) {
                score.refused(&self.requests[late.item]);
            }
            self.send_waiting(now_us, vm);
        }
        let last_us = self.requests.last().map_or(0, |request| request.arrival_us);
        let waiting = self.vms.iter().any(|vm| !vm.waiting.is_empty());
        if now_us < last_us || waiting {
            self.events.schedule(now_us + TICK_US, SlotEvent::Tick);
        }
    }
}
