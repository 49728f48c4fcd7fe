//! The package's policy: each VM sends no more than its slots and queues the rest itself.
//!
//! The slots of a region are dealt out over its VMs. With loans, a VM that has requests waiting
//! asks the others of its region, and those of other regions once the wait is longer than the way
//! there; a VM without requests waiting hands over a free slot. The loans are a stand-in for those
//! of `dahliawood-quota`: one message each way, none lost.

use super::clock::EventClock;
use super::load::{
    LARGE_CUSTOMERS, LoadCase, LoadRequest, REGIONS, VMS, near_vms, target_region, vm_region,
};
use super::score::RunScore;
use dahliawood_model::keys::{CustomerKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::{choice, health, lookup, queue, target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SERVICE: ServiceKey = ServiceKey(0);
/// The shortest time between two asks of one VM, microseconds.
const ASK_US: u64 = 5_000;
/// How long an ask is remembered, microseconds.
const ASK_LASTS_US: u64 = 50_000;
/// How often late requests are looked for, microseconds.
const TICK_US: u64 = 20_000;
/// The latest start of a request after its arrival, microseconds: the deadline without the time
/// that all but one in a hundred of the heavy requests take.
const LATEST_START_US: u64 = 750_000;

/// Whether slots move between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SlotPolicy {
    /// They stay where they were dealt.
    #[display("split")]
    Split,
    /// They move to where requests wait.
    #[display("loans")]
    Loans,
}

/// What a run cost and whether it kept its bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotCost {
    /// Asks and grants sent.
    pub messages: u64,
    /// The most requests above its slots that a target ran at once.
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
    Ask {
        from: usize,
        to: usize,
        ask: OpenAsk,
    },
    Grant {
        to: usize,
        target: usize,
    },
    Tick,
}

/// What a VM asked for: at most `count` slots, for customers of `weight` on `slots` slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct OpenAsk {
    count: usize,
    weight: u64,
    slots: u32,
    until_us: u64,
}

struct SlotVm {
    table: target::TargetTable,
    waiting: queue::WaitQueue<usize>,
    asks: [OpenAsk; VMS],
    next_ask_us: u64,
    dealt_rate: f64,
}

struct SlotBench<'a> {
    case: &'a LoadCase,
    requests: &'a [LoadRequest],
    loans: bool,
    clock: EventClock<SlotEvent>,
    vms: Vec<SlotVm>,
    running: Vec<u32>,
    served: Vec<u64>,
    sent_us: Vec<u64>,
    flights: Vec<Option<target::FlightKey>>,
    cost: SlotCost,
    rng: SmallRng,
}

/// Runs a case.
pub fn run(
    policy: SlotPolicy,
    case: &LoadCase,
    requests: &[LoadRequest],
    seed: u64,
) -> (RunScore, SlotCost) {
    let mut score = RunScore::new(case, requests);
    let mut bench = SlotBench {
        case,
        requests,
        loans: policy == SlotPolicy::Loans,
        clock: EventClock::new(),
        vms: dealt_vms(case),
        running: vec![0; case.size.targets],
        served: vec![0; case.size.targets],
        sent_us: vec![0; requests.len()],
        flights: vec![None; requests.len()],
        cost: SlotCost::default(),
        rng: SmallRng::seed_from_u64(seed),
    };
    for (index, request) in requests.iter().enumerate() {
        bench
            .clock
            .at(request.arrival_us, SlotEvent::Arrival(index));
    }
    bench.clock.at(0, SlotEvent::Tick);
    while let Some((now_us, event)) = bench.clock.next() {
        bench.step(now_us, event, &mut score);
    }
    (score, bench.cost)
}

/// VMs with the slots of their region dealt out one by one.
fn dealt_vms(case: &LoadCase) -> Vec<SlotVm> {
    let config = case.size.config();
    let mut vms: Vec<SlotVm> = (0..VMS)
        .map(|vm| SlotVm {
            table: target::TargetTable::build(
                &config,
                RegionKey(vm_region(vm) as u32),
                TimeStamp::ZERO,
            ),
            waiting: queue::WaitQueue::default(),
            asks: [OpenAsk::default(); VMS],
            next_ask_us: 0,
            dealt_rate: 0.0,
        })
        .collect();
    let mut dealt = [0; REGIONS];
    for target in 0..case.size.targets {
        let region = target_region(target);
        let near = near_vms(region);
        for _ in 0..case.size.slots {
            let vm = dealt[region] % near * REGIONS + region;
            dealt[region] += 1;
            change_limit(&mut vms[vm].table, target, 1);
        }
    }
    for vm in &mut vms {
        vm.dealt_rate = choice::slot_rate(vm.table.service(SERVICE));
    }
    vms
}

fn change_limit(table: &mut target::TargetTable, target: usize, by: i32) {
    let key = TargetKey(target as u32);
    let limit = table.get(key).map_or(0, |state| state.limit);
    table.set_slot_limit(key, limit.saturating_add_signed(by));
}

/// The weight of a customer at one VM: a large one shares its weight out over its homes.
fn weight(request: &LoadRequest) -> u32 {
    let homes = match request.customer {
        large if large < LARGE_CUSTOMERS => near_vms(vm_region(request.vm)) as u32,
        _ => 1,
    };
    lookup::WEIGHT_UNIT / homes
}

fn stamp(now_us: u64) -> TimeStamp {
    TimeStamp::from_micros(now_us)
}

fn wide(_region: RegionKey) -> choice::SpilloverHeadroom {
    choice::SpilloverHeadroom {
        link: 1.0,
        region: 1.0,
    }
}

impl SlotBench<'_> {
    fn step(&mut self, now_us: u64, event: SlotEvent, score: &mut RunScore) {
        match event {
            SlotEvent::Arrival(index) => self.arrive(now_us, index, score),
            SlotEvent::Done { target } => self.running[target] -= 1,
            SlotEvent::Answer { index, target } => self.answer(now_us, index, target, score),
            SlotEvent::Ask { from, to, ask } => {
                self.vms[to].asks[from] = ask;
                self.lend(now_us, to);
            }
            SlotEvent::Grant { to, target } => {
                change_limit(&mut self.vms[to].table, target, 1);
                self.serve(now_us, to);
                self.give_back(now_us, to, target);
            }
            SlotEvent::Tick => self.tick(now_us, score),
        }
    }

    fn arrive(&mut self, now_us: u64, index: usize, score: &mut RunScore) {
        let request = self.requests[index];
        if self.vms[request.vm].waiting.is_empty() && self.place(now_us, index).is_none() {
            return;
        }
        let entry = queue::WaitEntry {
            customer: Some(CustomerKey(request.customer as u32)),
            weight: weight(&request),
            deadline: stamp(request.arrival_us + LATEST_START_US),
            item: index,
        };
        let vm = &mut self.vms[request.vm];
        let rate = choice::slot_rate(vm.table.service(SERVICE)).max(vm.dealt_rate);
        if queue::push(&mut vm.waiting, entry, rate, stamp(now_us)).is_err() {
            score.refused(&request);
        }
        self.serve(now_us, request.vm);
    }

    /// Sends a request to a target, or returns how long it is expected to wait.
    fn place(&mut self, now_us: u64, index: usize) -> Option<Duration> {
        let vm = &mut self.vms[self.requests[index].vm];
        let query = choice::ChoiceQuery {
            service: SERVICE,
            exclude: &[],
            idempotent: true,
            waiting: vm.waiting.len() as u32,
            headroom: &wide,
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
        let way_us = self.case.size.way_us(vm_region(request.vm), region);
        let service_us = self
            .case
            .service_us(target, request.demand_us, self.served[target]);
        self.sent_us[index] = now_us;
        self.served[target] += 1;
        self.running[target] += 1;
        let above = self.running[target].saturating_sub(self.case.size.slots);
        self.cost.above_slots = self.cost.above_slots.max(above);
        let done_us = now_us + way_us + service_us;
        self.clock.at(done_us, SlotEvent::Done { target });
        self.clock
            .at(done_us + way_us, SlotEvent::Answer { index, target });
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
        self.serve(now_us, request.vm);
        self.give_back(now_us, request.vm, target);
    }

    /// Places what waits at a VM, and asks for slots for the rest.
    fn serve(&mut self, now_us: u64, vm: usize) {
        let mut expected = Duration::ZERO;
        while let Some(entry) = queue::pop(&mut self.vms[vm].waiting) {
            if let Some(wait) = self.place(now_us, entry.item) {
                queue::requeue(&mut self.vms[vm].waiting, entry);
                expected = wait;
                break;
            }
        }
        if self.loans && !self.vms[vm].waiting.is_empty() {
            self.ask(now_us, vm, expected);
        }
    }

    fn ask(&mut self, now_us: u64, from: usize, expected: Duration) {
        if now_us < self.vms[from].next_ask_us {
            return;
        }
        self.vms[from].next_ask_us = now_us + ASK_US;
        let pressure = self.pressure(from);
        let ask = OpenAsk {
            count: self.vms[from].waiting.len(),
            weight: pressure.weight,
            slots: pressure.slots,
            until_us: now_us + ASK_LASTS_US,
        };
        let far = expected > Duration::from_micros(2 * self.case.size.far_us);
        for to in (0..VMS).filter(|to| *to != from) {
            let near = vm_region(to) == vm_region(from);
            if near || far {
                let way_us = self.case.size.way_us(vm_region(from), vm_region(to));
                self.cost.messages += 1;
                self.clock
                    .at(now_us + way_us, SlotEvent::Ask { from, to, ask });
            }
        }
    }

    /// Hands free slots of a VM to those that asked and need them more.
    fn lend(&mut self, now_us: u64, vm: usize) {
        while self.loans {
            let here = self.pressure(vm);
            let asks = &self.vms[vm].asks;
            let near = |from: &usize| vm_region(*from) == vm_region(vm);
            let open = (0..VMS).filter(|from| {
                let ask = asks[*from];
                let there = queue::QueuePressure {
                    weight: ask.weight,
                    slots: ask.slots,
                };
                let fair = here.weight == 0 || (near(from) && here.yields_to(there));
                ask.count > 0 && ask.until_us > now_us && fair
            });
            let most = open.max_by_key(|from| {
                (
                    near(from),
                    asks[*from].weight / u64::from(asks[*from].slots + 1),
                )
            });
            let Some((to, target)) = most.zip(self.free_target(vm)) else {
                return;
            };
            let ask = &mut self.vms[vm].asks[to];
            ask.count -= 1;
            ask.slots += 1;
            self.grant(now_us, vm, to, target);
        }
    }

    fn pressure(&self, vm: usize) -> queue::QueuePressure {
        let vm = &self.vms[vm];
        let slots = vm.table.service(SERVICE).map(|state| state.limit).sum();
        vm.waiting.pressure(slots)
    }

    /// A target of a VM's region of which it has a free slot.
    fn free_target(&self, vm: usize) -> Option<usize> {
        let region = RegionKey(vm_region(vm) as u32);
        let states = self.vms[vm].table.iter();
        let free = states.filter(|state| state.region == region && state.in_flight < state.limit);
        free.max_by_key(|state| state.limit - state.in_flight)
            .map(|state| state.key.0 as usize)
    }

    fn grant(&mut self, now_us: u64, from: usize, to: usize, target: usize) {
        change_limit(&mut self.vms[from].table, target, -1);
        self.cost.messages += 1;
        let way_us = self.case.size.way_us(vm_region(from), vm_region(to));
        self.clock
            .at(now_us + way_us, SlotEvent::Grant { to, target });
    }

    /// Returns a free slot of another region to a VM there.
    fn give_back(&mut self, now_us: u64, vm: usize, target: usize) {
        let region = target_region(target);
        let state = self.vms[vm].table.get(TargetKey(target as u32));
        let free = state.is_some_and(|state| state.in_flight < state.limit);
        if !free || region == vm_region(vm) {
            return;
        }
        let near = near_vms(region);
        let to = self.rng.random_range(0..near) * REGIONS + region;
        self.grant(now_us, vm, to, target);
    }

    fn tick(&mut self, now_us: u64, score: &mut RunScore) {
        for vm in 0..VMS {
            let state = &mut self.vms[vm];
            let rate = choice::slot_rate(state.table.service(SERVICE)).max(state.dealt_rate);
            for late in queue::refuse_late(&mut state.waiting, rate, stamp(now_us)) {
                score.refused(&self.requests[late.item]);
            }
            self.serve(now_us, vm);
        }
        let last_us = self.requests.last().map_or(0, |request| request.arrival_us);
        let waiting = self.vms.iter().any(|vm| !vm.waiting.is_empty());
        if now_us < last_us || waiting {
            self.clock.at(now_us + TICK_US, SlotEvent::Tick);
        }
    }
}
