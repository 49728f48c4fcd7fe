//! Requests that crash targets, beside ordinary ones, at a fleet whose VMs tell each other of crashes.
//!
//! Targets work on a few requests at a time, and others wait there; a crash meets all of them. Each
//! request is sent to at most two targets.

use dahliawood_gateway::crashes::{CrashRecords, FleetSighting};
use dahliawood_gossip::partner;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::quarantine::identity::RequestIdentity;
use dahliawood_request::quarantine::table::{CrashSighting, RequestAdmission};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const START: TimeStamp = TimeStamp::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(10);
const ROUND_STEPS: u32 = 25;
/// Share of calls between VMs that fail.
const LOSS: f64 = 0.05;
const TARGETS: usize = 18;
/// Requests that a target works on at a time.
const SLOTS: usize = 9;
/// How long a request takes, and after how long one crashes its target.
const SERVICE_TIME: Duration = Duration::from_millis(300);
const CRASH_TIME: Duration = Duration::from_millis(60);
const RESTART_TIME: Duration = Duration::from_millis(1_200);
/// Requests a second that crash nothing.
const DEMAND: f64 = 200.0;
/// Different ones among them, beside which as many again come just once.
const POPULAR: u128 = 600;
const GUILTY: u128 = u128::MAX;
/// Time after which all VMs know of a request that has crashed three targets.
const CONTACT_TIME: Duration = Duration::from_secs(4);
const LATER_SENDS: usize = 3;
const MAX_TRIES: u32 = 2;

#[derive(Clone, Copy)]
struct Request {
    identity: u128,
    vm: usize,
    sent_at: TimeStamp,
    tries: u32,
    begun_at: Option<TimeStamp>,
}

#[derive(Default)]
struct Target {
    process: u64,
    requests: Vec<Request>,
    down_until: TimeStamp,
}

struct CrashFleet {
    random: StdRng,
    ring: Vec<u64>,
    vms: Vec<CrashRecords>,
    targets: Vec<Target>,
    processes: u64,
    guilty_sends: Vec<TimeStamp>,
    guilty_crashes: Vec<TimeStamp>,
    healthy_refusals: usize,
    healthy_completions: usize,
}

impl CrashFleet {
    fn new(vms: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut ring: Vec<u64> = (0..vms).map(|_| random.random()).collect();
        ring.sort_unstable();
        let target = |process| Target {
            process: process as u64,
            ..Target::default()
        };
        Self {
            random,
            ring,
            vms: vec![CrashRecords::default(); vms],
            targets: (0..TARGETS).map(target).collect(),
            processes: TARGETS as u64,
            guilty_sends: Vec::new(),
            guilty_crashes: Vec::new(),
            healthy_refusals: 0,
            healthy_completions: 0,
        }
    }

    /// A caller's request at a random VM, or its retry at the same one.
    fn send(&mut self, request: Request, now: TimeStamp) {
        let identity = RequestIdentity(request.identity);
        let quarantine = &mut self.vms[request.vm].quarantine;
        if quarantine.admit(identity, || false, now) != RequestAdmission::Open {
            self.healthy_refusals += usize::from(request.identity != GUILTY);
            return;
        }
        let up: Vec<usize> = (0..TARGETS)
            .filter(|target| now >= self.targets[*target].down_until)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.random_range(0..up.len())];
        self.targets[target].requests.push(Request {
            sent_at: now,
            tries: request.tries + 1,
            begun_at: None,
            ..request
        });
        if request.identity == GUILTY {
            self.guilty_sends.push(now);
        }
    }

    fn call(&mut self, identity: u128, now: TimeStamp) {
        let vm = self.random.random_range(0..self.vms.len());
        let request = Request {
            identity,
            vm,
            sent_at: now,
            tries: 0,
            begun_at: None,
        };
        self.send(request, now);
    }

    fn crash(&mut self, target: usize, now: TimeStamp) {
        let process = self.targets[target].process;
        let lost = std::mem::take(&mut self.targets[target].requests);
        self.processes += 1;
        self.targets[target].process = self.processes;
        self.targets[target].down_until = now.after(RESTART_TIME);
        for request in &lost {
            let crash = CrashSighting {
                identity: RequestIdentity(request.identity),
                process,
                sent_at: request.sent_at,
                crashed_at: now,
            };
            self.vms[request.vm].hear(FleetSighting::Crash(crash), now);
        }
        for request in lost.into_iter().filter(|lost| lost.tries < MAX_TRIES) {
            self.send(request, now);
        }
    }

    fn complete(&mut self, request: Request, now: TimeStamp) {
        self.healthy_completions += 1;
        let identity = RequestIdentity(request.identity);
        let vm = &mut self.vms[request.vm];
        if vm.quarantine.is_suspect(identity) {
            vm.hear(FleetSighting::Completion { identity, at: now }, now);
        }
    }

    fn work(&mut self, target: usize, now: TimeStamp) {
        for request in self.targets[target].requests.iter_mut().take(SLOTS) {
            request.begun_at.get_or_insert(now);
        }
        let has_taken = |request: &Request, time: Duration| {
            request
                .begun_at
                .is_some_and(|begun| now.since(begun) >= time)
        };
        let requests = &mut self.targets[target].requests;
        let done = requests.extract_if(.., |request| {
            request.identity != GUILTY && has_taken(request, SERVICE_TIME)
        });
        let done: Vec<Request> = done.collect();
        let requests = &self.targets[target].requests;
        let is_crash = requests
            .iter()
            .any(|request| request.identity == GUILTY && has_taken(request, CRASH_TIME));
        for request in done {
            self.complete(request, now);
        }
        if is_crash {
            self.guilty_crashes.push(now);
            self.crash(target, now);
        }
    }

    fn gossip(&mut self, now: TimeStamp) {
        for vm in 0..self.vms.len() {
            let told = self.vms[vm].take_round();
            if told.is_empty() {
                continue;
            }
            for partner in partner::select(&self.ring, self.ring[vm], &mut self.random) {
                if self.random.random_bool(LOSS) {
                    continue;
                }
                for sighting in &told {
                    self.vms[partner].hear(*sighting, now);
                }
                for sighting in self.vms[partner].answer(false) {
                    self.vms[vm].hear(sighting, now);
                }
            }
            self.vms[vm].expire(now);
        }
    }

    /// Plays `seconds`; the guilty request comes `guilty` times a second from second 2 on, and in
    /// each second of `crashes` half of the targets crash for causes of their own.
    fn play(&mut self, seconds: u32, guilty: f64, crashes: &[u32]) {
        let step = STEP.as_secs_f64();
        for number in 0..seconds * 100 {
            let now = START.after(STEP * number);
            if self.random.random::<f64>() < 0.5 {
                for _ in 0..(DEMAND * step * 2.0) as usize {
                    let is_popular = self.random.random_bool(0.5);
                    let range = if is_popular {
                        0..POPULAR
                    } else {
                        POPULAR..GUILTY
                    };
                    let identity = self.random.random_range(range);
                    self.call(identity, now);
                }
            }
            if number >= 200 && self.random.random::<f64>() < guilty * step {
                self.call(GUILTY, now);
            }
            if number.is_multiple_of(100) && crashes.contains(&(number / 100)) {
                for target in (0..TARGETS).step_by(2) {
                    self.crash(target, now);
                }
            }
            for target in 0..TARGETS {
                self.work(target, now);
            }
            if number.is_multiple_of(ROUND_STEPS) {
                self.gossip(now);
            }
        }
    }

    /// Sends of the guilty request later than the contact time after its third crash.
    fn later_sends(&self) -> usize {
        let Some(third) = self.guilty_crashes.get(2) else {
            return 0;
        };
        let known_at = third.after(CONTACT_TIME);
        self.guilty_sends
            .iter()
            .filter(|at| **at > known_at)
            .count()
    }
}

#[test]
fn a_request_that_crashes_targets_reaches_few_of_them_however_many_vms_there_are() {
    for vms in [1, 2, 10, 31, 91, 300] {
        for (seed, guilty) in [(1, 0.5), (2, 2.0), (3, 7.0), (4, 20.0)] {
            let mut fleet = CrashFleet::new(vms, seed);
            fleet.play(30, guilty, &[]);
            let case = format!("{vms} VMs, {guilty} a second");
            assert!(fleet.guilty_crashes.len() >= 3, "{case}");
            let later = fleet.later_sends();
            assert!(later <= LATER_SENDS, "{case}: {later}");
            assert_eq!(fleet.healthy_refusals, 0, "{case}");
            assert!(fleet.healthy_completions > 5_000, "{case}");
        }
    }
}

#[test]
fn requests_that_are_there_when_half_of_the_targets_crash_are_not_refused() {
    for vms in [2, 10, 91] {
        for seed in 0..8 {
            let mut fleet = CrashFleet::new(vms, seed);
            fleet.play(20, 0.0, &[2, 4, 5, 8, 9, 10, 11, 14]);
            assert_eq!(fleet.healthy_refusals, 0, "{vms} VMs, seed {seed}");
        }
    }
}

#[test]
fn a_vm_that_starts_is_told_of_quarantined_requests() {
    let mut fleet = CrashFleet::new(10, 1);
    fleet.play(10, 7.0, &[]);
    let now = START.after(Duration::from_secs(10));
    let mut new = CrashRecords::default();
    for sighting in fleet.vms[3].answer(true) {
        new.hear(sighting, now);
    }
    let admission = new.quarantine.admit(RequestIdentity(GUILTY), || false, now);
    assert_eq!(admission, RequestAdmission::Quarantined);
}
