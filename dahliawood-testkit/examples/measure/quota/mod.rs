//! Compares the distributed rate limits of `dahliawood-quota` with one central token bucket for
//! each customer, and measures the messages that loans need.
//!
//! `wrongful` counts a customer's refusals in a second of arrivals beyond those of the central
//! bucket in that second. `swapped` counts each request that the fleet refuses and the central
//! bucket admits, even if the opposite happens to another request of the same customer some
//! milliseconds apart. Such pairs cannot be avoided: a fleet cannot know the order of arrivals at
//! two VMs within the latency between them.

mod central;
pub mod fleet;
mod scenario;

use dahliawood_quota::{amount, limit};
use dahliawood_testkit::figures::{self, FigureTarget};
use std::thread;

use scenario::{ArrivalKind, CallerKind, RunFault, RunOptions};

/// Number of VMs in each deployment today.
const VMS: usize = 11;
/// Bounds on the wrongful refusals of any customer, percent, at a load of 0.9 and 1.0 of its rate.
const WRONGFUL_AT_90: f64 = 0.1;
const WRONGFUL_AT_100: f64 = 1.0;
/// Counted duration of a run, seconds.
const STEADY_SECONDS: u64 = 300;
const HOUR_SECONDS: u64 = 3_600;

/// Name and latency of a deployment.
struct DeploymentSize {
    name: &'static str,
    /// One-way latency between regions, microseconds.
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

/// Rate and burst of each customer, the smallest customer last.
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
        let mut runs = steady_runs(deployment, &customers, seed);
        runs.extend(fault_runs(deployment, &customers, seed));
        let outcomes = run_all(&runs);
        for (run, outcome) in runs.iter().zip(&outcomes) {
            report_run(deployment, *run, outcome, report);
        }
    }
    measure_messages(&customers, seed, report);
}

/// Runs scenarios on several threads; returns the outcomes in the order of `runs`.
fn run_all(runs: &[RunOptions<'_>]) -> Vec<scenario::RunOutcome> {
    const THREADS: usize = 4;
    let outcomes = runs.chunks(THREADS).flat_map(|chunk| {
        thread::scope(|scope| {
            let spawned = chunk.iter().map(|run| scope.spawn(|| scenario::run(*run)));
            let handles: Vec<_> = spawned.collect();
            let join = |handle: thread::ScopedJoinHandle<'_, scenario::RunOutcome>| {
                handle.join().expect("no run panics")
            };
            handles.into_iter().map(join).collect::<Vec<_>>()
        })
    });
    outcomes.collect()
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

fn steady_runs<'a>(
    deployment: &DeploymentSize,
    customers: &'a [limit::LimitSpec],
    seed: u64,
) -> Vec<RunOptions<'a>> {
    let mut runs = Vec::new();
    for load in [0.9, 1.0] {
        for arrivals in [ArrivalKind::Poisson, ArrivalKind::Bursts] {
            for callers in [CallerKind::Follow, CallerKind::Ignore] {
                runs.push(RunOptions {
                    load,
                    arrivals,
                    callers,
                    ..options(deployment, customers, seed)
                });
            }
        }
    }
    runs
}

fn fault_runs<'a>(
    deployment: &DeploymentSize,
    customers: &'a [limit::LimitSpec],
    seed: u64,
) -> Vec<RunOptions<'a>> {
    let faults = [
        (RunFault::VmDead, STEADY_SECONDS),
        (RunFault::VmDies, STEADY_SECONDS),
        (RunFault::Rolling, STEADY_SECONDS),
        (RunFault::RegionCut, STEADY_SECONDS),
        (RunFault::StoreOut, HOUR_SECONDS),
    ];
    let mut runs = Vec::new();
    for (fault, seconds) in faults {
        for callers in [CallerKind::Follow, CallerKind::Ignore] {
            runs.push(RunOptions {
                callers,
                fault,
                seconds,
                ..options(deployment, customers, seed)
            });
        }
    }
    runs
}

fn report_run(
    deployment: &DeploymentSize,
    run: RunOptions<'_>,
    outcome: &scenario::RunOutcome,
    report: &mut figures::FigureReport,
) {
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
    let swapped = worst(scenario::CustomerTally::swapped_percent);
    report.figure(format!("{name}.swapped.worst"), swapped, "%", target);
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
