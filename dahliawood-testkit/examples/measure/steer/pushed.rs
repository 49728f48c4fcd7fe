//! Policies that forward each request at once, so that queues form at the targets.

use super::event_queue::EventQueue;
use super::load::{LoadCase, LoadRequest, REGIONS, VMS, region_vm_count, target_region, vm_region};
use super::score::RunScore;
use dahliawood_steer::split;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Interval of the targets' load reports, microseconds.
const REPORT_US: u64 = 500_000;

/// How a VM chooses a target of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum PushPolicy {
    /// Round robin.
    #[display("round-robin")]
    RoundRobin,
    /// By a chain of deterministic two-way splits, each of which keeps a bracket sequence of the
    /// requests that reach it ([`split::WeightSplit`]).
    #[display("bracket")]
    Bracket,
    /// Of two targets drawn at random, the one with fewer outstanding requests of this VM.
    #[display("two-choices")]
    TwoChoices,
    /// The target with the least load in its last report.
    #[display("reports")]
    Reports,
    /// A target that reported a free slot to this VM, else one drawn at random (join-idle-queue).
    #[display("idle-queue")]
    IdleQueue,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PushEvent {
    Arrival(usize),
    AtTarget { target: usize, index: usize },
    Done { target: usize, index: usize },
    Answer { target: usize, index: usize },
    Idle { target: usize, vm: usize },
    Report,
}

#[derive(Clone, Default)]
struct TargetQueue {
    running: u32,
    served: u64,
    queue: VecDeque<usize>,
}

#[derive(Clone)]
struct PushVm {
    targets: Vec<usize>,
    next_turn: usize,
    splits: Vec<split::WeightSplit>,
    outstanding: Vec<u32>,
    idle: VecDeque<usize>,
}

struct PushSimulation<'a> {
    case: &'a LoadCase,
    requests: &'a [LoadRequest],
    events: EventQueue<PushEvent>,
    targets: Vec<TargetQueue>,
    vms: Vec<PushVm>,
    reported_loads: Vec<usize>,
    rng: SmallRng,
}

/// Simulates a case with a policy.
pub fn run(policy: PushPolicy, case: &LoadCase, requests: &[LoadRequest], seed: u64) -> RunScore {
    let mut score = RunScore::new(case, requests);
    let mut simulation = PushSimulation {
        case,
        requests,
        events: EventQueue::new(),
        targets: vec![TargetQueue::default(); case.size.targets],
        vms: (0..VMS).map(|vm| push_vm(case, vm)).collect(),
        reported_loads: vec![0; case.size.targets],
        rng: SmallRng::seed_from_u64(seed),
    };
    for (index, request) in requests.iter().enumerate() {
        simulation
            .events
            .schedule(request.arrival_us, PushEvent::Arrival(index));
    }
    if policy == PushPolicy::Reports {
        simulation.events.schedule(0, PushEvent::Report);
    }
    while let Some((now_us, event)) = simulation.events.next() {
        simulation.step(policy, now_us, event, &mut score);
    }
    score
}

fn push_vm(case: &LoadCase, vm: usize) -> PushVm {
    let targets = case.size.region_targets(vm_region(vm));
    let count = targets.len() as u32;
    PushVm {
        next_turn: vm,
        splits: (0..count)
            .map(|place| split::WeightSplit::new(split::FULL_WEIGHT / (count - place)))
            .collect(),
        outstanding: vec![0; case.size.targets],
        idle: targets
            .iter()
            .copied()
            .filter(|target| target / REGIONS % VMS == vm)
            .collect(),
        targets,
    }
}

impl PushSimulation<'_> {
    fn step(&mut self, policy: PushPolicy, now_us: u64, event: PushEvent, score: &mut RunScore) {
        match event {
            PushEvent::Arrival(index) => self.arrive(policy, now_us, index),
            PushEvent::AtTarget { target, index } => {
                self.targets[target].queue.push_back(index);
                self.start(target, now_us);
            }
            PushEvent::Done { target, index } => self.done(policy, now_us, target, index),
            PushEvent::Answer { target, index } => {
                let request = &self.requests[index];
                self.vms[request.vm].outstanding[target] -= 1;
                score.answered(request, now_us);
            }
            PushEvent::Idle { target, vm } => self.vms[vm].idle.push_back(target),
            PushEvent::Report => self.report(now_us),
        }
    }

    fn arrive(&mut self, policy: PushPolicy, now_us: u64, index: usize) {
        let vm = self.requests[index].vm;
        let target = self.choose_target(policy, vm);
        self.vms[vm].outstanding[target] += 1;
        let one_way_us = self.one_way_us(vm, target);
        self.events
            .schedule(now_us + one_way_us, PushEvent::AtTarget { target, index });
    }

    fn choose_target(&mut self, policy: PushPolicy, vm: usize) -> usize {
        let vm = &mut self.vms[vm];
        let count = vm.targets.len();
        match policy {
            PushPolicy::RoundRobin => {
                vm.next_turn += 1;
                vm.targets[vm.next_turn % count]
            }
            PushPolicy::Bracket => {
                let kept = vm.splits.iter_mut().position(split::WeightSplit::keep_next);
                vm.targets[kept.unwrap_or(count - 1)]
            }
            PushPolicy::TwoChoices => {
                let first = vm.targets[self.rng.random_range(0..count)];
                let second = vm.targets[self.rng.random_range(0..count)];
                if vm.outstanding[second] < vm.outstanding[first] {
                    second
                } else {
                    first
                }
            }
            PushPolicy::Reports => {
                let reported_loads = &self.reported_loads;
                let least = vm
                    .targets
                    .iter()
                    .min_by_key(|target| reported_loads[**target]);
                least.copied().unwrap_or(vm.targets[0])
            }
            PushPolicy::IdleQueue => {
                let drawn_index = self.rng.random_range(0..count);
                vm.idle.pop_front().unwrap_or(vm.targets[drawn_index])
            }
        }
    }

    fn start(&mut self, target: usize, now_us: u64) {
        let state = &mut self.targets[target];
        while state.running < self.case.size.slots {
            let Some(index) = state.queue.pop_front() else {
                return;
            };
            let demand_us = self.requests[index].demand_us;
            let service_us = self.case.service_us(target, demand_us, state.served);
            state.running += 1;
            state.served += 1;
            self.events
                .schedule(now_us + service_us, PushEvent::Done { target, index });
        }
    }

    fn done(&mut self, policy: PushPolicy, now_us: u64, target: usize, index: usize) {
        self.targets[target].running -= 1;
        self.start(target, now_us);
        let one_way_us = self.one_way_us(self.requests[index].vm, target);
        self.events
            .schedule(now_us + one_way_us, PushEvent::Answer { target, index });
        if policy == PushPolicy::IdleQueue && self.targets[target].running < self.case.size.slots {
            let region = target_region(target);
            let vm_count = region_vm_count(region);
            let vm = self.rng.random_range(0..vm_count) * REGIONS + region;
            let notified_us = now_us + self.one_way_us(vm, target);
            self.events
                .schedule(notified_us, PushEvent::Idle { target, vm });
        }
    }

    fn report(&mut self, now_us: u64) {
        let loads = self.targets.iter();
        self.reported_loads = loads
            .map(|target| target.queue.len() + target.running as usize)
            .collect();
        let last_us = self.requests.last().map_or(0, |request| request.arrival_us);
        if now_us < last_us {
            self.events.schedule(now_us + REPORT_US, PushEvent::Report);
        }
    }

    fn one_way_us(&self, vm: usize, target: usize) -> u64 {
        let region = target_region(target);
        self.case.size.one_way_us(vm_region(vm), region)
    }
}
