//! Measures how traffic moves between regions when one region is lost and returns cold, and when
//! one region is drained.
//!
//! A simulation in virtual time around the real target tables of `dahliawood-steer`, at the size of
//! the ledger service in Colombia. All VMs of a region are modelled as one. Each link is paced by a
//! token bucket, and slots move between regions once after a fault; both are stand-ins for the
//! limits and loans of `dahliawood-quota`.

mod case;
mod link;
mod simulation;

use case::{ShiftCase, ShiftFault, ShiftRouting};
use dahliawood_testkit::figures::{FigureReport, FigureTarget};

/// Answer size at which the links can carry all of the moved traffic, bytes.
const FITTING_BYTES: f64 = 15e3;
/// Answer size at which the links can carry only a part of the moved traffic, bytes.
const LINK_BOUND_BYTES: f64 = 100e3;
/// Load before the loss of a region, percent of what all slots can serve.
const LOST_PERCENT: u32 = 50;
/// Load before a drain, percent of what all slots can serve.
const DRAINED_PERCENT: u32 = 20;

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    for routing in [ShiftRouting::Direct, ShiftRouting::HandedOver] {
        measure_loss("fitting", FITTING_BYTES, routing, seed, report);
        measure_loss("link-bound", LINK_BOUND_BYTES, routing, seed, report);
    }
    measure_drain(seed, report);
}

/// Measures the sudden loss of a region, whose targets refuse connections and later return cold.
fn measure_loss(
    name: &str,
    answer_bytes: f64,
    routing: ShiftRouting,
    seed: u64,
    report: &mut FigureReport,
) {
    let case = ShiftCase {
        fault: ShiftFault::Lost,
        routing,
        answer_bytes,
        percent: LOST_PERCENT,
    };
    let outcome = simulation::run(case, seed);
    let prefix = format!("shift.lost.{name}.{routing}");
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
    info("return-to-full-share", outcome.recovery_ms, "ms");
    report_peaks(&prefix, &outcome, report);
}

/// Measures a planned drain of a region.
fn measure_drain(seed: u64, report: &mut FigureReport) {
    let case = ShiftCase {
        fault: ShiftFault::Drained,
        routing: ShiftRouting::Direct,
        answer_bytes: FITTING_BYTES,
        percent: DRAINED_PERCENT,
    };
    let outcome = simulation::run(case, seed);
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
    let planned_ms = case::DRAIN_PERIOD.as_secs_f64() * 1e3;
    let deadline = FigureTarget::AtMost(planned_ms + outcome.longest_ms);
    report.figure(
        format!("{prefix}.last-answer"),
        outcome.last_region_answer_ms,
        "ms",
        deadline,
    );
    let info = FigureTarget::None;
    report.figure(format!("{prefix}.p99"), outcome.fault_p99_ms, "ms", info);
    report.figure(
        format!("{prefix}.before-p99"),
        outcome.before_p99_ms,
        "ms",
        info,
    );
    report_peaks(prefix, &outcome, report);
}

/// Reports the peak use of links and of target slots, neither of which may exceed its limit.
fn report_peaks(prefix: &str, outcome: &simulation::ShiftOutcome, report: &mut FigureReport) {
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
