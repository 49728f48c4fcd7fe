//! Measures the outcomes of filings (non-idempotent requests) and look-ups (idempotent requests)
//! while VMs, targets, connections and the store fail.
//!
//! A simulation in virtual time around the real tickets, journal, retry policy and request state
//! machine. Network, targets, callers and the store are stand-ins with a seeded random number
//! generator.

mod faults;
mod simulation;
mod vm;

use dahliawood_request::verdict::RunVerdict;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use simulation::{CallKind, FateSimulation, LossCause};

/// Number of calls of each kind.
const CALLS: usize = 100_000;

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    let mut sim = FateSimulation::new(seed, CALLS);
    sim.run();
    let zero = FigureTarget::AtMost(0.0);
    let none = FigureTarget::None;
    let filings = || {
        sim.calls
            .iter()
            .filter(|call| call.kind == CallKind::Filing)
    };
    let lookups = || {
        sim.calls
            .iter()
            .filter(|call| call.kind == CallKind::Lookup)
    };
    let count = |count: usize| count as f64;

    report.figure("filings", count(filings().count()), "filings", none);
    report.figure("lookups", count(lookups().count()), "lookups", none);
    report.figure("vm-deaths", count(sim.faults.vm_deaths), "deaths", none);
    report.figure(
        "target-deaths",
        count(sim.faults.target_deaths),
        "deaths",
        none,
    );
    report.figure("silences", count(sim.faults.silences), "times", none);
    report.figure("store-outages", count(sim.faults.outages), "outages", none);
    report.figure("caller-resends", count(sim.resends), "requests", none);

    let twice = filings().filter(|call| call.runs > 1).count();
    report.figure("run-twice", count(twice), "filings", zero);
    let false_verdicts = filings()
        .filter(|call| !call.is_answered && call.last_verdict == Some(RunVerdict::NotRun))
        .filter(|call| call.runs > 0)
        .count();
    report.figure(
        "false-not-run",
        count(false_verdicts + sim.false_not_run),
        "replies",
        zero,
    );
    report.figure("wrong-answers", count(sim.wrong_answers), "answers", zero);
    let missing = lookups().filter(|call| !call.is_answered).count();
    let share = 100.0 * count(missing) / count(lookups().count());
    report.figure(
        "lookups-not-answered",
        share,
        "%",
        FigureTarget::AtMost(0.01),
    );

    let doubtful = |loss: LossCause| {
        let doubtful = filings().filter(|call| call.in_doubt && call.loss == loss);
        count(doubtful.count())
    };
    report.figure(
        "in-doubt-vm-died-in-between",
        doubtful(LossCause::Vm),
        "filings",
        none,
    );
    report.figure(
        "in-doubt-target-died",
        doubtful(LossCause::Target),
        "filings",
        none,
    );
    report.figure(
        "in-doubt-otherwise",
        doubtful(LossCause::Nothing),
        "filings",
        zero,
    );
    let unread = filings()
        .filter(|call| call.in_doubt && call.loss == LossCause::Target && call.runs == 0)
        .count();
    report.figure(
        "in-doubt-target-died-before-reading",
        count(unread),
        "filings",
        zero,
    );
    let refused = filings()
        .filter(|call| !call.is_answered && !call.in_doubt)
        .count();
    report.figure("filings-refused-not-run", count(refused), "filings", none);
}
