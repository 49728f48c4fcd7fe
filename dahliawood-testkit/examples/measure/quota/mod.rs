//! Requests refused although one central token bucket admits them, and what loans cost.

mod central;
pub mod fleet;
mod scenario;

use dahliawood_quota::{amount, limit};
use dahliawood_testkit::figures::{self, FigureTarget};
use scenario::{ArrivalKind, CallerKind, RunFault, RunOptions};

/// VMs of today's deployments.
const VMS: usize = 11;
/// Wrongful refusals of the worst-served customer, percent, at 0.9 and 1.0 of its rate.
const WRONGFUL_AT_90: f64 = 0.1;
const WRONGFUL_AT_100: f64 = 1.0;
/// Seconds that are counted.
const STEADY_SECONDS: u64 = 600;
const HOUR_SECONDS: u64 = 3_600;

/// A deployment as this measurement needs it.
struct DeploymentSize {
    name: &'static str,
    /// Microseconds one way between regions.
    between_regions: u64,
}

const DEPLOYMENTS: [DeploymentSize; 2] = [
    DeploymentSize {
        name: "taiwan",
        between_regions: 12_000,
    },
    DeploymentSize {
        name: "colombia",
        between_regions: 35_000,
    },
];

/// Rates and bursts of eight customers, the smallest last.
const CUSTOMERS: [(u64, u64); 8] = [
    (400, 200),
    (200, 100),
    (100, 50),
    (50, 25),
    (20, 20),
    (20, 10),
    (10, 5),
    (5, 5),
];

fn customers() -> Vec<limit::LimitSpec> {
    let spec = |(index, (rate, burst)): (usize, &(u64, u64))| {
        limit::rate_limit(
            format!("customer/{index}"),
            amount::TokenRate::from_whole(*rate),
            amount::TokenAmount::from_whole(*burst),
        )
    };
    CUSTOMERS.iter().enumerate().map(spec).collect()
}

/// Runs the measurement.
pub fn measure(seed: u64, report: &mut figures::FigureReport) {
    let customers = customers();
    for deployment in &DEPLOYMENTS {
        measure_steady(deployment, &customers, seed, report);
        measure_faults(deployment, &customers, seed, report);
    }
    measure_messages(&customers, seed, report);
}

fn options<'a>(
    deployment: &DeploymentSize,
    customers: &'a [limit::LimitSpec],
    seed: u64,
) -> RunOptions<'a> {
    RunOptions {
        customers,
        vms: VMS,
        between_regions: deployment.between_regions,
        load: 0.9,
        arrivals: ArrivalKind::Poisson,
        callers: CallerKind::Follow,
        fault: RunFault::None,
        seconds: STEADY_SECONDS,
        seed,
    }
}

fn measure_steady(
    deployment: &DeploymentSize,
    customers: &[limit::LimitSpec],
    seed: u64,
    report: &mut figures::FigureReport,
) {
    for load in [0.9, 1.0] {
        for arrivals in [ArrivalKind::Poisson, ArrivalKind::Bursts] {
            for callers in [CallerKind::Follow, CallerKind::Ignore] {
                let run = RunOptions {
                    load,
                    arrivals,
                    callers,
                    ..options(deployment, customers, seed)
                };
                print_run(deployment, run, report);
            }
        }
    }
}

fn measure_faults(
    deployment: &DeploymentSize,
    customers: &[limit::LimitSpec],
    seed: u64,
    report: &mut figures::FigureReport,
) {
    let faults = [
        (RunFault::VmDead, STEADY_SECONDS),
        (RunFault::VmDies, STEADY_SECONDS),
        (RunFault::StoreOut, HOUR_SECONDS),
        (RunFault::Rolling, STEADY_SECONDS),
        (RunFault::RegionCut, STEADY_SECONDS),
    ];
    for (fault, seconds) in faults {
        for callers in [CallerKind::Follow, CallerKind::Ignore] {
            let run = RunOptions {
                callers,
                fault,
                seconds,
                ..options(deployment, customers, seed)
            };
            print_run(deployment, run, report);
        }
    }
}

fn print_run(deployment: &DeploymentSize, run: RunOptions<'_>, report: &mut figures::FigureReport) {
    let outcome = scenario::run(run);
    let name = format!(
        "{}.{}.{}.{}.load{:.1}",
        deployment.name, run.fault, run.arrivals, run.callers, run.load
    );
    let worst = |figure: fn(&scenario::CustomerTally) -> f64| {
        outcome.tallies.iter().map(figure).fold(0.0, f64::max)
    };
    let bound = if run.load < 1.0 {
        WRONGFUL_AT_90
    } else {
        WRONGFUL_AT_100
    };
    let wrongful = worst(scenario::CustomerTally::wrongful_percent);
    let target = FigureTarget::AtMost(bound);
    report.figure(format!("{name}.wrongful.worst"), wrongful, "%", target);
    let smallest = outcome.tallies.last().expect("there are customers");
    let none = FigureTarget::None;
    report.figure(
        format!("{name}.wrongful.smallest"),
        smallest.wrongful_percent(),
        "%",
        none,
    );
    let excess = worst(scenario::CustomerTally::excess_percent);
    report.figure(format!("{name}.excess.worst"), excess, "%", none);
    let split = worst(scenario::CustomerTally::split_percent);
    report.figure(format!("{name}.static-split.worst"), split, "%", none);
    report.figure(format!("{name}.messages"), outcome.messages, "1/s/vm", none);
}

fn measure_messages(customers: &[limit::LimitSpec], seed: u64, report: &mut figures::FigureReport) {
    const FLEETS: [usize; 3] = [VMS, 50, 200];
    const SECONDS: u64 = 60;
    for callers in [CallerKind::Follow, CallerKind::Ignore] {
        let mut points = Vec::new();
        for vms in FLEETS {
            let run = RunOptions {
                vms,
                callers,
                seconds: SECONDS,
                ..options(&DEPLOYMENTS[0], customers, seed)
            };
            let outcome = scenario::run(run);
            let name = format!("messages.{callers}.{vms}-vms");
            report.figure(&name, outcome.messages, "1/s/vm", FigureTarget::None);
            report.figure(
                format!("{name}.bytes"),
                outcome.bytes,
                "B/s/vm",
                FigureTarget::None,
            );
            points.push((vms as f64, outcome.messages * vms as f64));
        }
        let slope = (points[2].1 / points[0].1).ln() / (points[2].0 / points[0].0).ln();
        let name = format!("messages.{callers}.slope-of-the-fleet");
        report.figure(name, slope, "exponent", FigureTarget::None);
    }
}
