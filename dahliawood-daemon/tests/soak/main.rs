//! A short soak test with fixed seeds, and fault plans that once violated a guarantee.
//!
//! With `DAHLIAWOOD_SOAK_SEEDS=FROM..TO`, or `DAHLIAWOOD_SOAK_STATEMENTS=FROM..TO` for plans in which
//! targets state limits, pauses and their leaving and the store is restored, runs those seeds instead, for a longer time and with time
//! bounds in seconds; such runs need an otherwise idle machine. `DAHLIAWOOD_SOAK_CUTS=FROM..TO` does the
//! same for plans in which VMs lose their links to all targets, `DAHLIAWOOD_SOAK_RELAYS=FROM..TO` for
//! those in which VMs of one failure domain lose the store, are paused and killed one after another, and
//! `DAHLIAWOOD_SOAK_GROWTH=FROM..TO` for those in which the configuration grows meanwhile.
//! `DAHLIAWOOD_SOAK_SIZE=FROM..TO` runs 60 VMs in six failure domains, one seed after the other.

use async_std::task;
use dahliawood_testkit::soak::plan::size::FleetSize;
use dahliawood_testkit::soak::plan::{SoakEvent, SoakPlan, SoakStep, TARGETS_PER_SERVICE};
use dahliawood_testkit::soak::{self, SoakOptions, SoakOutcome};
use std::ops::Range;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Seeds that run by default.
const FIXED_SEEDS: [u64; 2] = [1, 2];
/// The same for plans with statements; other ones, as runs of one seed share a directory.
const STATEMENT_SEEDS: [u64; 2] = [301, 302];
/// The same for plans with VMs that lose their links to targets.
const CUT_SEEDS: [u64; 2] = [401, 402];
/// The same for plans with VMs of one failure domain that fail one after another.
const RELAY_SEEDS: [u64; 2] = [501, 502];
/// The same for plans with a configuration that grows.
const GROWTH_SEEDS: [u64; 2] = [601, 602];
/// Period in which faults begin, for the fixed seeds and for seeds requested by the variable.
const FIXED_FAULT_TIME: Duration = Duration::from_secs(5);
const REQUESTED_FAULT_TIME: Duration = Duration::from_secs(10);
/// Number of VMs in a fleet, and of its failure domains.
const VMS: usize = 3;
const DOMAINS: usize = 2;
/// Number of VMs in a fleet with one failure domain.
const RELAY_VMS: usize = 5;
/// The large fleet: VMs, failure domains, targets, and callers.
const SIZE: FleetSize = FleetSize {
    vms: 60,
    domains: 6,
    targets: 24,
};
const SIZE_CALLERS: usize = 64;
/// The same in CI, which has less time.
const SHORT_SIZE: FleetSize = FleetSize {
    vms: 24,
    domains: 6,
    targets: 12,
};
const SHORT_SIZE_CALLERS: usize = 16;
/// The seed of the run in CI.
const SIZE_SEED: u64 = 701;
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 4;

/// Draws a plan from a seed, for a number of VMs and a period in which faults begin.
type DrawPlan = fn(u64, usize, Duration) -> SoakPlan;

/// A step of a plan: start and duration in milliseconds, and the fault.
type StepSpec = (u64, u64, SoakEvent);

/// The quota coordinator is killed and restarts at once, so that it has lost its own usage. Once
/// violated a guarantee (seed 214 of the first plan generator).
const KILLED_COORDINATOR: &[StepSpec] = &[(801, 725, SoakEvent::VmKilled(0))];

/// All VMs are replaced within one quota window, so that no VM knows the usage before. Once
/// violated a guarantee (seed 231 of the first plan generator).
const ALL_REPLACED: &[StepSpec] = &[
    (3_366, 1_278, SoakEvent::VmTerminated(2)),
    (4_755, 2_292, SoakEvent::VmKilled(1)),
    (5_869, 1_065, SoakEvent::VmKilled(0)),
];

fn plan(steps: &[StepSpec]) -> SoakPlan {
    let steps = steps.iter().map(|(at, duration, event)| SoakStep {
        at: Duration::from_millis(*at),
        duration: Duration::from_millis(*duration),
        event: *event,
    });
    SoakPlan {
        steps: steps.collect(),
    }
}

/// The daemon under test; `DAHLIAWOOD_SOAK_PROGRAM` names another one, such as an earlier version.
fn program() -> PathBuf {
    let requested = std::env::var_os("DAHLIAWOOD_SOAK_PROGRAM");
    requested.map_or_else(|| env!("CARGO_BIN_EXE_dahliawoodd").into(), PathBuf::from)
}

fn options(seed: u64, plan: SoakPlan, check_time_bounds: bool) -> SoakOptions {
    SoakOptions {
        program: program(),
        seed,
        plan,
        vms: VMS,
        domains: DOMAINS,
        targets: 2 * TARGETS_PER_SERVICE,
        has_target_links: true,
        has_peer_links: false,
        callers: 8,
        check_time_bounds,
    }
}

/// The runs without requested seeds.
fn fixed_runs() -> Vec<SoakOptions> {
    let drawn = FIXED_SEEDS.map(|seed| (seed, SoakPlan::draw(seed, VMS, FIXED_FAULT_TIME)));
    let written = [(214, plan(KILLED_COORDINATOR)), (231, plan(ALL_REPLACED))];
    let all = drawn.into_iter().chain(written);
    all.map(|(seed, plan)| options(seed, plan, false)).collect()
}

fn requested_runs(seeds: Range<u64>, draw: DrawPlan) -> Vec<SoakOptions> {
    let drawn = seeds.map(|seed| (seed, draw(seed, VMS, REQUESTED_FAULT_TIME)));
    drawn
        .map(|(seed, plan)| options(seed, plan, true))
        .collect()
}

fn requested_seeds(variable: &str) -> Option<Range<u64>> {
    let text = std::env::var(variable).ok()?;
    let (from, to) = text.split_once("..").expect("seeds as FROM..TO");
    Some(from.parse().expect("a number")..to.parse().expect("a number"))
}

fn run_plan(options: &SoakOptions) -> SoakOutcome {
    let outcome = task::block_on(soak::run(options)).expect("the soak starts");
    println!(
        "seed {}: {} requests, {} served, {} events, judged {:?}, versions {:?} late, departures {:?}, broken: {:#?}",
        options.seed,
        outcome.requests,
        outcome.served,
        options.plan.steps.len(),
        outcome.judged,
        outcome.version_delay,
        outcome.departure_delay,
        outcome.violations
    );
    if !outcome.violations.is_empty() {
        println!("{:#?}, logs in {}", options.plan, outcome.logs.display());
    }
    outcome
}

/// Runs some plans at the same time.
fn run_parallel(options: &[SoakOptions]) -> Vec<SoakOutcome> {
    thread::scope(|scope| {
        let handles = options
            .iter()
            .map(|options| scope.spawn(|| run_plan(options)));
        let handles: Vec<_> = handles.collect();
        let outcomes = handles
            .into_iter()
            .map(|handle| handle.join().expect("the run does not panic"));
        outcomes.collect()
    })
}

#[test]
fn guarantees_hold_while_links_and_processes_fail() {
    let requested = requested_seeds("DAHLIAWOOD_SOAK_SEEDS");
    let requested = requested.map(|seeds| requested_runs(seeds, SoakPlan::draw));
    check_runs(&requested.unwrap_or_else(fixed_runs));
}

#[test]
fn guarantees_hold_while_targets_make_statements_and_the_store_is_restored() {
    let requested = requested_seeds("DAHLIAWOOD_SOAK_STATEMENTS");
    let requested = requested.map(|seeds| requested_runs(seeds, SoakPlan::draw_statements));
    let fixed = || {
        let drawn = STATEMENT_SEEDS.map(|seed| {
            let plan = SoakPlan::draw_statements(seed, VMS, FIXED_FAULT_TIME);
            options(seed, plan, false)
        });
        drawn.into()
    };
    check_runs(&requested.unwrap_or_else(fixed));
}

#[test]
fn guarantees_hold_while_vms_lose_their_links_to_targets() {
    let requested = requested_seeds("DAHLIAWOOD_SOAK_CUTS");
    let requested = requested.map(|seeds| requested_runs(seeds, SoakPlan::draw_cuts));
    let fixed = || {
        let drawn = CUT_SEEDS.map(|seed| {
            let plan = SoakPlan::draw_cuts(seed, VMS, FIXED_FAULT_TIME);
            options(seed, plan, false)
        });
        drawn.into()
    };
    check_runs(&requested.unwrap_or_else(fixed));
}

/// The runs of plans with VMs of one failure domain.
fn relay_runs(
    seeds: impl Iterator<Item = u64>,
    time: Duration,
    is_timed: bool,
) -> Vec<SoakOptions> {
    let run = |seed| {
        let plan = SoakPlan::draw_relays(seed, RELAY_VMS, time);
        SoakOptions {
            vms: RELAY_VMS,
            domains: 1,
            ..options(seed, plan, is_timed)
        }
    };
    seeds.map(run).collect()
}

#[test]
fn guarantees_hold_while_vms_that_others_follow_fail_one_after_another() {
    let requested = requested_seeds("DAHLIAWOOD_SOAK_RELAYS");
    let runs = match requested {
        Some(seeds) => relay_runs(seeds, REQUESTED_FAULT_TIME, true),
        None => relay_runs(RELAY_SEEDS.into_iter(), FIXED_FAULT_TIME, false),
    };
    check_runs(&runs);
}

#[test]
fn guarantees_hold_while_the_configuration_grows_beside_vms_that_fail() {
    let growth = |seed, time, is_timed| SoakOptions {
        vms: RELAY_VMS,
        domains: 1,
        ..options(seed, SoakPlan::draw_growth(seed, RELAY_VMS, time), is_timed)
    };
    let runs: Vec<SoakOptions> = match requested_seeds("DAHLIAWOOD_SOAK_GROWTH") {
        Some(seeds) => seeds
            .map(|seed| growth(seed, REQUESTED_FAULT_TIME, true))
            .collect(),
        None => GROWTH_SEEDS
            .into_iter()
            .map(|seed| growth(seed, FIXED_FAULT_TIME, false))
            .collect(),
    };
    check_runs(&runs);
}

/// The run of a large fleet.
fn size_run(
    seed: u64,
    size: FleetSize,
    callers: usize,
    time: Duration,
    is_timed: bool,
) -> SoakOptions {
    SoakOptions {
        vms: size.vms,
        domains: size.domains,
        targets: size.targets,
        has_target_links: false,
        has_peer_links: true,
        callers,
        ..options(seed, SoakPlan::draw_size(seed, size, time), is_timed)
    }
}

#[test]
fn guarantees_hold_in_a_large_fleet_while_many_vms_fail_at_once() {
    let outcomes: Vec<SoakOutcome> = match requested_seeds("DAHLIAWOOD_SOAK_SIZE") {
        // One after another: each takes half of the machine.
        Some(seeds) => seeds
            .map(|seed| size_run(seed, SIZE, SIZE_CALLERS, REQUESTED_FAULT_TIME, true))
            .map(|options| run_plan(&options))
            .collect(),
        None => vec![run_plan(&size_run(
            SIZE_SEED,
            SHORT_SIZE,
            SHORT_SIZE_CALLERS,
            FIXED_FAULT_TIME,
            false,
        ))],
    };
    check_outcomes(outcomes);
}

fn check_runs(runs: &[SoakOptions]) {
    check_outcomes(runs.chunks(PARALLEL_RUNS).flat_map(run_parallel).collect());
}

fn check_outcomes(outcomes: Vec<SoakOutcome>) {
    let failed: Vec<SoakOutcome> = outcomes
        .into_iter()
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
