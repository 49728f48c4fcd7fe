//! Candidates that send each request on at once, so that queues form at the targets.

use super::clock::EventClock;
use super::load::{LoadCase, LoadRequest, REGIONS, VMS, near_vms, target_region, vm_region};
use super::score::RunScore;
use dahliawood_steer::split;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// How often targets report their load, microseconds.
const REPORT_US: u64 = 500_000;

/// How a VM picks a target of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum PushPolicy {
    /// In turn.
    #[display("round-robin")]
    RoundRobin,
    /// By nested bracket sequences, one two-way split after another.
    #[display("bracket")]
    Bracket,
    /// The better of two drawn, by the VM's own requests there.
    #[display("two-choices")]
    TwoChoices,
    /// The least loaded by the target's last report.
    #[display("reports")]
    Reports,
    /// One that told this VM of a free slot, else one drawn.
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
    near: Vec<usize>,
    turn: usize,
    splits: Vec<split::WeightSplit>,
    outstanding: Vec<u32>,
    idle: VecDeque<usize>,
}

struct PushBench<'a> {
    case: &'a LoadCase,
    requests: &'a [LoadRequest],
    clock: EventClock<PushEvent>,
    targets: Vec<TargetQueue>,
    vms: Vec<PushVm>,
    reported: Vec<usize>,
    rng: SmallRng,
}

/// Runs a case.
pub fn run(policy: PushPolicy, case: &LoadCase, requests: &[LoadRequest], seed: u64) -> RunScore {
    let mut score = RunScore::new(case, requests);
    let mut bench = PushBench {
        case,
        requests,
        clock: EventClock::new(),
        targets: vec![TargetQueue::default(); case.size.targets],
        vms: (0..VMS).map(|vm| push_vm(case, vm)).collect(),
        reported: vec![0; case.size.targets],
        rng: SmallRng::seed_from_u64(seed),
    };
    for (index, request) in requests.iter().enumerate() {
        bench
            .clock
            .at(request.arrival_us, PushEvent::Arrival(index));
    }
    if policy == PushPolicy::Reports {
        bench.clock.at(0, PushEvent::Report);
    }
    while let Some((now_us, event)) = bench.clock.next() {
        bench.step(policy, now_us, event, &mut score);
    }
    score
}

fn push_vm(case: &LoadCase, vm: usize) -> PushVm {
    let near = case.size.near_targets(vm_region(vm));
    let count = near.len() as u32;
    PushVm {
        turn: vm,
        splits: (0..count)
            .map(|place| split::WeightSplit::new(split::FULL_WEIGHT / (count - place)))
            .collect(),
        outstanding: vec![0; case.size.targets],
        idle: near
            .iter()
            .copied()
            .filter(|target| target / REGIONS % VMS == vm)
            .collect(),
        near,
    }
}

impl PushBench<'_> {
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
        let target = self.pick(policy, vm);
        self.vms[vm].outstanding[target] += 1;
        let way_us = self.way_us(vm, target);
        self.clock
            .at(now_us + way_us, PushEvent::AtTarget { target, index });
    }

    fn pick(&mut self, policy: PushPolicy, vm: usize) -> usize {
        let vm = &mut self.vms[vm];
        let count = vm.near.len();
        match policy {
            PushPolicy::RoundRobin => {
                vm.turn += 1;
                vm.near[vm.turn % count]
            }
            PushPolicy::Bracket => {
                let kept = vm.splits.iter_mut().position(split::WeightSplit::keep_next);
                vm.near[kept.unwrap_or(count - 1)]
            }
            PushPolicy::TwoChoices => {
                let first = vm.near[self.rng.random_range(0..count)];
                let second = vm.near[self.rng.random_range(0..count)];
                if vm.outstanding[second] < vm.outstanding[first] {
                    second
                } else {
                    first
                }
            }
            PushPolicy::Reports => {
                let reported = &self.reported;
                let least = vm.near.iter().min_by_key(|target| reported[**target]);
                least.copied().unwrap_or(vm.near[0])
            }
            PushPolicy::IdleQueue => {
                let drawn = self.rng.random_range(0..count);
                vm.idle.pop_front().unwrap_or(vm.near[drawn])
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
            self.clock
                .at(now_us + service_us, PushEvent::Done { target, index });
        }
    }

    fn done(&mut self, policy: PushPolicy, now_us: u64, target: usize, index: usize) {
        self.targets[target].running -= 1;
        self.start(target, now_us);
        let way_us = self.way_us(self.requests[index].vm, target);
        self.clock
            .at(now_us + way_us, PushEvent::Answer { target, index });
        if policy == PushPolicy::IdleQueue && self.targets[target].running < self.case.size.slots {
            let region = target_region(target);
            let near = near_vms(region);
            let vm = self.rng.random_range(0..near) * REGIONS + region;
            let heard_us = now_us + self.way_us(vm, target);
            self.clock.at(heard_us, PushEvent::Idle { target, vm });
        }
    }

    fn report(&mut self, now_us: u64) {
        let loads = self.targets.iter();
        self.reported = loads
            .map(|target| target.queue.len() + target.running as usize)
            .collect();
        let last_us = self.requests.last().map_or(0, |request| request.arrival_us);
        if now_us < last_us {
            self.clock.at(now_us + REPORT_US, PushEvent::Report);
        }
    }

    fn way_us(&self, vm: usize, target: usize) -> u64 {
        let region = target_region(target);
        self.case.size.way_us(vm_region(vm), region)
    }
}
