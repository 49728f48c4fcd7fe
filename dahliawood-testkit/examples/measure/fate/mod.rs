//! What becomes of filings and look-ups while VMs, targets, connections and the store fail.
//!
//! A short event loop around the real tickets, journal, retry policy and request state machine.
//! Network, targets, callers and the store are stand-ins with a seeded generator; time is virtual.

mod faults;
mod vm;
mod world;

use dahliawood_fate::verdict::RunVerdict;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use world::{CallKind, Loss, World};

/// Calls of each kind.
const CALLS: usize = 100_000;

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    let mut world = World::new(seed, CALLS);
    world.run();
    let zero = FigureTarget::AtMost(0.0);
    let none = FigureTarget::None;
    let filings = || {
        world
            .calls
            .iter()
            .filter(|call| call.kind == CallKind::Filing)
    };
    let lookups = || {
        world
            .calls
            .iter()
            .filter(|call| call.kind == CallKind::Lookup)
    };
    let count = |count: usize| count as f64;

    report.figure("filings", count(filings().count()), "filings", none);
    report.figure("lookups", count(lookups().count()), "lookups", none);
    report.figure("vm-deaths", count(world.faults.vm_deaths), "deaths", none);
    report.figure(
        "target-deaths",
        count(world.faults.target_deaths),
        "deaths",
        none,
    );
    report.figure("silences", count(world.faults.silences), "times", none);
    report.figure(
        "store-outages",
        count(world.faults.outages),
        "outages",
        none,
    );
    report.figure("caller-resends", count(world.resends), "requests", none);

    let twice = filings().filter(|call| call.runs > 1).count();
    report.figure("run-twice", count(twice), "filings", zero);
    let untrue = filings()
        .filter(|call| !call.whole && call.last == Some(RunVerdict::NotRun))
        .filter(|call| call.runs > 0)
        .count();
    report.figure(
        "false-not-run",
        count(untrue + world.false_not_run),
        "replies",
        zero,
    );
    report.figure("wrong-answers", count(world.wrong_answers), "answers", zero);
    let missing = lookups().filter(|call| !call.whole).count();
    let share = 100.0 * count(missing) / count(lookups().count());
    report.figure(
        "lookups-not-answered",
        share,
        "%",
        FigureTarget::AtMost(0.01),
    );

    let doubtful = |loss: Loss| {
        let doubtful = filings().filter(|call| call.in_doubt && call.loss == loss);
        count(doubtful.count())
    };
    report.figure(
        "in-doubt-vm-died-in-between",
        doubtful(Loss::Vm),
        "filings",
        none,
    );
    report.figure(
        "in-doubt-target-died",
        doubtful(Loss::Target),
        "filings",
        none,
    );
    report.figure(
        "in-doubt-otherwise",
        doubtful(Loss::Nothing),
        "filings",
        zero,
    );
    let unread = filings()
        .filter(|call| call.in_doubt && call.loss == Loss::Target && call.runs == 0)
        .count();
    report.figure(
        "in-doubt-target-died-before-reading",
        count(unread),
        "filings",
        zero,
    );
    let refused = filings()
        .filter(|call| !call.whole && !call.in_doubt)
        .count();
    report.figure("filings-refused-not-run", count(refused), "filings", none);
}
