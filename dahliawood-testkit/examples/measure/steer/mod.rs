//! Compares load-balancing policies with one central queue: where requests wait, and how a target
//! is chosen.
//!
//! A simulation in virtual time around the real target tables of `dahliawood-steer`. Every policy
//! gets the same arrivals and service times.

mod central;
mod decision;
pub mod event_queue;
pub mod load;
mod pushed;
mod score;
mod slots;

use dahliawood_testkit::figures::{FigureReport, FigureTarget};

/// Simulated duration of a run, seconds.
const SECONDS: u64 = 30;
/// Simulated duration of a run at overload, seconds.
const OVERLOAD_SECONDS: u64 = 20;
/// The bound on p99 at 80 % load, as a multiple of the central queue's p99.
const P99_MULTIPLE: f64 = 1.3;
/// The bound on goodput at twice the load that all slots can serve.
const OVERLOAD_GOODPUT: f64 = 0.95;

const PUSH_POLICIES: [pushed::PushPolicy; 5] = [
    pushed::PushPolicy::RoundRobin,
    pushed::PushPolicy::Bracket,
    pushed::PushPolicy::TwoChoices,
    pushed::PushPolicy::Reports,
    pushed::PushPolicy::IdleQueue,
];

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    for size in [load::TAIWAN, load::COLOMBIA] {
        decision::run(size, seed, report);
        for distribution in [
            load::ServiceDistribution::Light,
            load::ServiceDistribution::Heavy,
        ] {
            for percent in [50, 80, 95] {
                let case = case(size, distribution, percent, load::LoadFault::None);
                run_case(&case, seed, report);
            }
            for fault in [
                load::LoadFault::SlowTarget,
                load::LoadFault::ColdTarget,
                load::LoadFault::SkewedRegion,
            ] {
                run_case(&case(size, distribution, 80, fault), seed, report);
            }
            overload(size, distribution, seed, report);
        }
    }
}

fn case(
    size: load::DeploymentSize,
    distribution: load::ServiceDistribution,
    percent: u32,
    fault: load::LoadFault,
) -> load::LoadCase {
    load::LoadCase {
        size,
        distribution,
        percent,
        fault,
        seconds: SECONDS,
    }
}

fn run_case(case: &load::LoadCase, seed: u64, report: &mut FigureReport) {
    let requests = load::requests(case, seed);
    let prefix = format!(
        "steer.{}.{}.{}.{}",
        case.size.name, case.distribution, case.fault, case.percent
    );
    let central = central::run(case, &requests);
    report_score(&format!("{prefix}.central"), &central, report);
    for policy in PUSH_POLICIES {
        let score = pushed::run(policy, case, &requests, seed);
        report_score(&format!("{prefix}.{policy}"), &score, report);
    }
    for policy in [slots::SlotPolicy::Split, slots::SlotPolicy::Loans] {
        let (score, cost) = slots::run(policy, case, &requests, seed);
        let name = format!("{prefix}.{policy}");
        report_score(&name, &score, report);
        let above = f64::from(cost.above_slots);
        report.figure(
            format!("{name}.above-slots"),
            above,
            "requests",
            FigureTarget::AtMost(0.0),
        );
        if policy == slots::SlotPolicy::Loans {
            let messages = cost.messages as f64 / requests.len() as f64;
            report.figure(
                format!("{name}.messages"),
                messages,
                "each",
                FigureTarget::None,
            );
            let multiple = score.quantile_ms(0.99) / central.quantile_ms(0.99);
            let is_bounded = case.percent == 80 && case.fault == load::LoadFault::None;
            let target = if is_bounded {
                FigureTarget::AtMost(P99_MULTIPLE)
            } else {
                FigureTarget::None
            };
            report.figure(format!("{name}.p99-to-central"), multiple, "times", target);
        }
    }
}

fn report_score(name: &str, score: &score::RunScore, report: &mut FigureReport) {
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
        let value = score.quantile_ms(quantile);
        report.figure(format!("{name}.{label}"), value, "ms", FigureTarget::None);
    }
    let worst = score.worst_p99_ms();
    report.figure(format!("{name}.worst-p99"), worst, "ms", FigureTarget::None);
}

/// Measures goodput at twice the load that all slots can serve.
fn overload(
    size: load::DeploymentSize,
    distribution: load::ServiceDistribution,
    seed: u64,
    report: &mut FigureReport,
) {
    let case = load::LoadCase {
        seconds: OVERLOAD_SECONDS,
        ..case(size, distribution, 200, load::LoadFault::None)
    };
    let requests = load::requests(&case, seed);
    let prefix = format!("steer.{}.{distribution}.overload", size.name);
    for policy in PUSH_POLICIES {
        let score = pushed::run(policy, &case, &requests, seed);
        report_overload(
            &format!("{prefix}.{policy}"),
            &score,
            FigureTarget::None,
            report,
        );
    }
    for policy in [slots::SlotPolicy::Split, slots::SlotPolicy::Loans] {
        let (score, _) = slots::run(policy, &case, &requests, seed);
        let target = match policy {
            slots::SlotPolicy::Split => FigureTarget::None,
            slots::SlotPolicy::Loans => FigureTarget::AtLeast(OVERLOAD_GOODPUT),
        };
        report_overload(&format!("{prefix}.{policy}"), &score, target, report);
    }
}

fn report_overload(
    name: &str,
    score: &score::RunScore,
    target: FigureTarget,
    report: &mut FigureReport,
) {
    report.figure(
        format!("{name}.goodput"),
        score.goodput(),
        "of-capacity",
        target,
    );
    let worst = score.worst_p99_ms();
    report.figure(format!("{name}.worst-p99"), worst, "ms", FigureTarget::None);
    let refused = score.worst_small_refused();
    report.figure(
        format!("{name}.worst-small-refused"),
        refused,
        "share",
        FigureTarget::None,
    );
}
