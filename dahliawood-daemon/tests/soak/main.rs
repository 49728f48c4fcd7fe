//! A short soak with fixed seeds; with `DAHLIAWOOD_SOAK_SEEDS=FROM..TO` those seeds instead, longer
//! and with bounds in seconds, on a machine that does little else.

use async_std::task;
use dahliawood_testkit::soak::{self, SoakOptions, SoakOutcome};
use std::ops::Range;
use std::thread;
use std::time::Duration;

/// The seeds that are always played.
const FIXED: [u64; 2] = [1, 2];

/// Seeds that are played at a time.
const LANES: usize = 4;

/// Seeds that broke a promise once, each with its cause.
const REGRESSIONS: [(u64, &str); 2] = [
    (
        214,
        "the head was killed and started again at once, and knew nothing of what it had used itself",
    ),
    (
        231,
        "all VMs were replaced within a window, and nobody knew what had been used before",
    ),
];

fn options(seed: u64, faults_for: Duration, with_bounds: bool) -> SoakOptions {
    SoakOptions {
        program: env!("CARGO_BIN_EXE_dahliawoodd").into(),
        seed,
        vms: 3,
        callers: 8,
        faults_for,
        with_bounds,
    }
}

fn seeds() -> Option<Range<u64>> {
    let text = std::env::var("DAHLIAWOOD_SOAK_SEEDS").ok()?;
    let (from, to) = text.split_once("..").expect("seeds as FROM..TO");
    Some(from.parse().expect("a number")..to.parse().expect("a number"))
}

fn play(options: &SoakOptions) -> SoakOutcome {
    let outcome = task::block_on(soak::run(options)).expect("the soak starts");
    println!(
        "seed {}: {} requests, {} served, {} events, broken: {:#?}",
        options.seed,
        outcome.requests,
        outcome.served,
        outcome.plan.steps.len(),
        outcome.broken
    );
    if !outcome.broken.is_empty() {
        println!("{:#?}, logs in {}", outcome.plan, outcome.logs.display());
    }
    outcome
}

/// Plays some seeds at the same time.
fn play_together(options: &[SoakOptions]) -> Vec<SoakOutcome> {
    thread::scope(|scope| {
        let lanes = options.iter().map(|options| scope.spawn(|| play(options)));
        let lanes: Vec<_> = lanes.collect();
        let played = lanes.into_iter().map(|lane| lane.join().expect("a seed"));
        played.collect()
    })
}

#[test]
fn no_promise_is_broken_while_links_and_processes_fail() {
    let regressions = REGRESSIONS.map(|(seed, _)| seed);
    let played: Vec<SoakOptions> = match seeds() {
        Some(seeds) => seeds
            .map(|seed| options(seed, Duration::from_secs(10), true))
            .collect(),
        None => FIXED
            .into_iter()
            .chain(regressions)
            .map(|seed| options(seed, Duration::from_secs(7), false))
            .collect(),
    };
    let failed: Vec<SoakOutcome> = played
        .chunks(LANES)
        .flat_map(play_together)
        .filter(|outcome| !outcome.broken.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
