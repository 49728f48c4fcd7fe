//! A short soak test with fixed seeds, and fault plans that once violated a guarantee.
//!
//! With `DAHLIAWOOD_SOAK_SEEDS=FROM..TO`, or `DAHLIAWOOD_SOAK_STATEMENTS=FROM..TO` for plans in which
//! targets state limits, pauses and their leaving and the store is restored, runs those seeds instead, for a longer time and with time
//! bounds in seconds; such runs need an otherwise idle machine. `DAHLIAWOOD_SOAK_CUTS=FROM..TO` does the
//! same for plans in which VMs lose their links to all targets, and `DAHLIAWOOD_SOAK_RELAYS=FROM..TO` for
//! those in which VMs of one failure domain lose the store, are paused and killed one after another, and
//! `DAHLIAWOOD_SOAK_GROWTH=FROM..TO` for those in which the configuration grows meanwhile.

use async_std::task;
use dahliawood_testkit::soak::plan::{SoakEvent, SoakPlan, SoakStep};
use dahliawood_testkit::soak::{self, SoakOptions, SoakOutcome};
use std::ops::Range;
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

fn options(seed: u64, plan: SoakPlan, check_time_bounds: bool) -> SoakOptions {
    SoakOptions {
        program: env!("CARGO_BIN_EXE_dahliawoodd").into(),
        seed,
        plan,
        vms: VMS,
        domains: DOMAINS,
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
        "seed {}: {} requests, {} served, {} events, broken: {:#?}",
        options.seed,
        outcome.requests,
        outcome.served,
        options.plan.steps.len(),
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

fn check_runs(runs: &[SoakOptions]) {
    let failed: Vec<SoakOutcome> = runs
        .chunks(PARALLEL_RUNS)
        .flat_map(run_parallel)
        .filter(|outcome| !outcome.violations.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
