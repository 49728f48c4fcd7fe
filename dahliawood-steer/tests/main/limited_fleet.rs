//! A target that states a limit in its responses, beside a fleet whose VMs all send it as much as
//! they may: the VMs that were told stay within the limit together, use it, and return once it is
//! lifted.

use crate::placement::support::{START, answered, entry, query, regions};
use dahliawood_model::catalog::{TargetEntry, TargetReport};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::choose::{self, PlacementChoice, VmLocation};
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);
/// The window of the rule, and when it begins to bind after the first statement.
const WINDOW: Duration = Duration::from_secs(4);
/// A VM counts from this long after the first response that tells it.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// When the target begins to state the limit, and when it ends.
const STATED_AT: Duration = Duration::from_secs(5);
const LIFTED_AT: Duration = Duration::from_secs(35);
const LENGTH: Duration = Duration::from_secs(40);

struct RunningRequest {
    vm: usize,
    key: TargetKey,
    started: TimeStamp,
    end: TimeStamp,
}

struct SimulatedVm {
    location: VmLocation,
    table: PlacementTable,
    told_at: Option<TimeStamp>,
}

/// The times at which requests were sent to the target.
#[derive(Default)]
struct ReplayOutcome {
    /// All of them.
    all: Vec<TimeStamp>,
    /// Those of VMs that had been told before.
    told: Vec<TimeStamp>,
}

fn new_vm(number: usize, vms: usize) -> SimulatedVm {
    let names: Vec<String> = (0..vms).map(|vm| format!("vm-{vm}")).collect();
    // One VM in three is in another region.
    let region = |vm: usize| if vm % 3 == 2 { "b" } else { "a" };
    let domain = format!("{}-1", region(number));
    let mut location = VmLocation::new(&names[number], &domain, region(number));
    for at in [START.before(Duration::from_secs(60)), START] {
        let near = (0..vms).filter(|vm| region(*vm) == region(number));
        let near = near.map(|vm| names[vm].as_str());
        location.sharers.set_listed(near, at);
        let all = names.iter().map(String::as_str);
        location.fleet_sharers.set_listed(all, at);
    }
    let mut table = PlacementTable::new(regions());
    table.upsert(target(), START);
    SimulatedVm {
        location,
        table,
        told_at: None,
    }
}

fn target() -> TargetEntry {
    TargetEntry {
        slots: 1_000_000,
        ..entry(0, "a-1")
    }
}

/// Each VM sends what it may, up to ten a step, while the target states `limit`.
fn replay(vms: usize, limit: f64, seed: u64) -> ReplayOutcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<SimulatedVm> = (0..vms).map(|vm| new_vm(vm, vms)).collect();
    let mut running: Vec<RunningRequest> = Vec::new();
    let mut outcome = ReplayOutcome::default();
    let mut now = START;
    while now.since(START) < LENGTH {
        let stated = now.since(START) >= STATED_AT && now.since(START) < LIFTED_AT;
        let report = TargetReport {
            limit: stated.then_some(limit),
            ..TargetReport::default()
        };
        for request in running.extract_if(.., |request| request.end <= now) {
            let vm = &mut fleet[request.vm];
            finish(vm, &request, report, now);
        }
        for (number, vm) in fleet.iter_mut().enumerate() {
            vm.location.sharers.confirm(now);
            vm.location.fleet_sharers.confirm(now);
            for _ in 0..10 {
                let choice = choose::choose(&mut vm.table, &vm.location, &query(7), now);
                let PlacementChoice::Target(key) = choice else {
                    break;
                };
                vm.table.begin(key, now);
                let taken = Duration::from_millis(random.random_range(20..300));
                running.push(RunningRequest {
                    vm: number,
                    key,
                    started: now,
                    end: now.after(taken),
                });
                outcome.all.push(now);
                if vm.told_at.is_some_and(|at| now.since(at) >= TOLD_DELAY) {
                    outcome.told.push(now);
                }
            }
        }
        now = now.after(STEP);
    }
    outcome
}

fn finish(vm: &mut SimulatedVm, request: &RunningRequest, report: TargetReport, now: TimeStamp) {
    let result = TargetResult {
        latency: now.since(request.started),
        report: Some(report),
        ..answered(None)
    };
    vm.table.finish(request.key, result, now);
    match report.limit {
        Some(_) => vm.told_at = vm.told_at.or(Some(now)),
        None => vm.told_at = None,
    }
}

/// The most requests within a window that ends after the rule binds.
fn most_in_window(sent: &[TimeStamp]) -> usize {
    let binds_at = START.after(STATED_AT + WINDOW);
    let ends = sent.iter().enumerate().filter(|(_, end)| **end >= binds_at);
    let within = ends.map(|(index, end)| {
        let first = sent.partition_point(|at| end.since(*at) >= WINDOW);
        index + 1 - first
    });
    within.max().unwrap_or(0)
}

fn count_between(sent: &[TimeStamp], from: Duration, to: Duration) -> usize {
    let is_within = |at: &&TimeStamp| (from..to).contains(&at.since(START));
    sent.iter().filter(is_within).count()
}

#[test]
fn vms_that_were_told_a_limit_stay_within_it_together() {
    for vms in [1, 10, 91] {
        for limit in [0.0, 0.1, 0.7, 2.3, 3.6, 25.0, 200.0] {
            let outcome = replay(vms, limit, 5);
            let most = most_in_window(&outcome.told) as f64;
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            let case = format!("{vms} VMs, limit {limit}");
            assert!(most <= allowed, "{case}: {most} of {allowed}");
        }
    }
}

#[test]
fn a_stated_limit_is_used_and_left_once_it_is_lifted() {
    for vms in [1, 10, 91] {
        for limit in [0.7, 2.3, 25.0, 200.0] {
            let case = format!("{vms} VMs, limit {limit}");
            let sent = replay(vms, limit, 6).all;
            let used = count_between(&sent, Duration::from_secs(15), LIFTED_AT) as f64;
            let least = 0.5 * limit * 20.0;
            assert!(used >= least, "{case}: {used} of {least}");
            let before = count_between(&sent, Duration::ZERO, Duration::from_secs(4));
            let after = count_between(&sent, Duration::from_secs(36), LENGTH);
            let is_back = after * vms >= before;
            assert!(is_back, "{case}: {after} after, {before} before");
        }
    }
}
