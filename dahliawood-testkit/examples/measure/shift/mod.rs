//! Traffic that moves between regions: one that is lost and comes back cold, one that is drained.
//!
//! A short event loop around the real tables, at the sizes of the ledgers in Colombia. The VMs of a
//! region stand as one. A link is paced by a bucket, and slots move once after a fault: stand-ins
//! for the allowances of `dahliawood-quota`.

mod bench;
mod case;
mod link;

use case::{ShiftCase, ShiftFault, ShiftWay};
use dahliawood_testkit::figures::{FigureReport, FigureTarget};

/// An answer that the links can carry for all that moves, bytes.
const FITTING_BYTES: f64 = 15e3;
/// An answer that the links can carry for a part of what moves, bytes.
const LINK_BOUND_BYTES: f64 = 100e3;
/// Load before a loss, percent.
const LOST_PERCENT: u32 = 50;
/// Load before a drain, percent.
const DRAINED_PERCENT: u32 = 20;

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    for way in [ShiftWay::Direct, ShiftWay::HandedOver] {
        lost("fitting", FITTING_BYTES, way, seed, report);
        lost("link-bound", LINK_BOUND_BYTES, way, seed, report);
    }
    drained(seed, report);
}

/// The targets of a region refuse connections from one moment to the next, and come back cold.
fn lost(name: &str, answer_bytes: f64, way: ShiftWay, seed: u64, report: &mut FigureReport) {
    let case = ShiftCase {
        fault: ShiftFault::Lost,
        way,
        answer_bytes,
        percent: LOST_PERCENT,
    };
    let outcome = bench::run(case, seed);
    let prefix = format!("shift.lost.{name}.{way}");
    let mut info = |label: &str, value: f64, unit: &str| {
        report.figure(format!("{prefix}.{label}"), value, unit, FigureTarget::None);
    };
    info("sent-while-lost", outcome.sent_in_fault as f64, "requests");
    info("failed", outcome.failed as f64, "requests");
    info("refused", outcome.refused as f64, "requests");
    info(
        "refused-outside",
        outcome.refused_outside as f64,
        "requests",
    );
    info("small-refused", outcome.small_refused, "share");
    info("large-refused", outcome.large_refused, "share");
    info("before-p99", outcome.before_p99_ms, "ms");
    info("lost-p99", outcome.fault_p99_ms, "ms");
    info("return-p99", outcome.return_p99_ms, "ms");
    info("return-to-full-share", outcome.returned_ms, "ms");
    bounds(&prefix, &outcome, report);
}

/// A planned drain of the region.
fn drained(seed: u64, report: &mut FigureReport) {
    let case = ShiftCase {
        fault: ShiftFault::Drained,
        way: ShiftWay::Direct,
        answer_bytes: FITTING_BYTES,
        percent: DRAINED_PERCENT,
    };
    let outcome = bench::run(case, seed);
    let prefix = "shift.drained";
    let none = FigureTarget::AtMost(0.0);
    report.figure(
        format!("{prefix}.failed"),
        outcome.failed as f64,
        "requests",
        none,
    );
    report.figure(
        format!("{prefix}.refused"),
        outcome.refused as f64,
        "requests",
        none,
    );
    let planned_ms = case::DRAIN_OVER.as_secs_f64() * 1e3;
    let held = FigureTarget::AtMost(planned_ms + outcome.longest_ms);
    report.figure(
        format!("{prefix}.last-answer"),
        outcome.drained_ms,
        "ms",
        held,
    );
    let info = FigureTarget::None;
    report.figure(format!("{prefix}.p99"), outcome.fault_p99_ms, "ms", info);
    report.figure(
        format!("{prefix}.before-p99"),
        outcome.before_p99_ms,
        "ms",
        info,
    );
    bounds(prefix, &outcome, report);
}

fn bounds(prefix: &str, outcome: &bench::ShiftOutcome, report: &mut FigureReport) {
    let whole = FigureTarget::AtMost(1.0);
    report.figure(
        format!("{prefix}.peak-link"),
        outcome.peak_link,
        "of-cap",
        whole,
    );
    report.figure(
        format!("{prefix}.peak-target"),
        outcome.peak_region,
        "of-slots",
        whole,
    );
}
