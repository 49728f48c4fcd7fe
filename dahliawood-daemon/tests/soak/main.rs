//! A short soak with fixed seeds, and histories that broke a promise once; with
//! `DAHLIAWOOD_SOAK_SEEDS=FROM..TO` those seeds instead, longer and with bounds in seconds, on a
//! machine that does little else.

use async_std::task;
use dahliawood_testkit::soak::plan::{SoakEvent, SoakPlan, SoakStep};
use dahliawood_testkit::soak::{self, SoakOptions, SoakOutcome};
use std::ops::Range;
use std::thread;
use std::time::Duration;

/// The seeds that are always played.
const FIXED_SEEDS: [u64; 2] = [1, 2];
/// How long faults begin in those, and in the seeds that are asked for.
const FIXED_FAULT_TIME: Duration = Duration::from_secs(5);
const REQUESTED_FAULT_TIME: Duration = Duration::from_secs(10);
/// VMs of a fleet.
const VMS: usize = 3;
/// Histories that are played at a time.
const PARALLEL_RUNS: usize = 4;

/// A step: when, how long, what.
type StepSpec = (u64, u64, SoakEvent);

/// The head was killed and started again at once, and knew nothing of what it had used itself (seed
/// 214 of the first form of histories).
const KILLED_COORDINATOR: &[StepSpec] = &[(801, 725, SoakEvent::Killed(0))];

/// All VMs were replaced within a window, and nobody knew what had been used before (seed 231 of the
/// first form).
const ALL_REPLACED: &[StepSpec] = &[
    (3_366, 1_278, SoakEvent::Ended(2)),
    (4_755, 2_292, SoakEvent::Killed(1)),
    (5_869, 1_065, SoakEvent::Killed(0)),
];

fn plan(steps: &[StepSpec]) -> SoakPlan {
    let steps = steps.iter().map(|(at, lasts, event)| SoakStep {
        at: Duration::from_millis(*at),
        lasts: Duration::from_millis(*lasts),
        event: *event,
    });
    SoakPlan {
        steps: steps.collect(),
    }
}

fn options(seed: u64, plan: SoakPlan, with_bounds: bool) -> SoakOptions {
    SoakOptions {
        program: env!("CARGO_BIN_EXE_dahliawoodd").into(),
        seed,
        plan,
        vms: VMS,
        callers: 8,
        with_bounds,
    }
}

/// What is always played.
fn fixed_runs() -> Vec<SoakOptions> {
    let drawn = FIXED_SEEDS.map(|seed| (seed, SoakPlan::draw(seed, VMS, FIXED_FAULT_TIME)));
    let written = [(214, plan(KILLED_COORDINATOR)), (231, plan(ALL_REPLACED))];
    let all = drawn.into_iter().chain(written);
    all.map(|(seed, plan)| options(seed, plan, false)).collect()
}

fn requested(requested_seeds: Range<u64>) -> Vec<SoakOptions> {
    let drawn = requested_seeds.map(|seed| (seed, SoakPlan::draw(seed, VMS, REQUESTED_FAULT_TIME)));
    drawn
        .map(|(seed, plan)| options(seed, plan, true))
        .collect()
}

fn requested_seeds() -> Option<Range<u64>> {
    let text = std::env::var("DAHLIAWOOD_SOAK_SEEDS").ok()?;
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
        outcome.broken
    );
    if !outcome.broken.is_empty() {
        println!("{:#?}, logs in {}", options.plan, outcome.logs.display());
    }
    outcome
}

/// Plays some histories at the same time.
fn run_parallel(options: &[SoakOptions]) -> Vec<SoakOutcome> {
    thread::scope(|scope| {
        let handles = options
            .iter()
            .map(|options| scope.spawn(|| run_plan(options)));
        let handles: Vec<_> = handles.collect();
        let outcomes = handles
            .into_iter()
            .map(|handle| handle.join().expect("a seed"));
        outcomes.collect()
    })
}

#[test]
fn guarantees_hold_while_links_and_processes_fail() {
    let outcomes = requested_seeds().map_or_else(fixed_runs, requested);
    let failed: Vec<SoakOutcome> = outcomes
        .chunks(PARALLEL_RUNS)
        .flat_map(run_parallel)
        .filter(|outcome| !outcome.broken.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
