//! `forward`: compares a request through one VM with the same request sent directly to the target.

use crate::exchange;
use async_std::task;
use dahliawood_testkit::{figures, fleet};
use figures::FigureTarget;
use std::time::Duration;

/// Configuration file of the deployment.
const FILE: &str = include_str!("../../../../examples/lianguang.toml");
/// Size of a large answer, bytes.
const LARGE_BYTES: usize = 8 * 1024 * 1024;

/// Parameters of one comparison.
struct ForwardCase {
    name: &'static str,
    bytes: usize,
    connections: usize,
    exchanges: usize,
}

/// Small answers over one connection, small answers over as many connections as a target has slots
/// (so that the target sheds no request of either path), and large answers over one connection.
const CASES: [ForwardCase; 3] = [
    ForwardCase {
        name: "small",
        bytes: 512,
        connections: 1,
        exchanges: 4_000,
    },
    ForwardCase {
        name: "parallel",
        bytes: 512,
        connections: 3,
        exchanges: 1_000,
    },
    ForwardCase {
        name: "large",
        bytes: LARGE_BYTES,
        connections: 1,
        exchanges: 40,
    },
];

/// Runs the measurement; the seed is unused, as nothing is drawn at random.
pub fn run(_seed: u64, report: &mut figures::FigureReport) {
    task::block_on(measure(report));
}

async fn measure(report: &mut figures::FigureReport) {
    let options = fleet::FleetOptions {
        file_text: FILE.to_owned(),
        vms: 3,
        delay: Duration::ZERO,
    };
    let fleet = match fleet::start(&options).await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{error}");
            return report.figure("forward.started", 0.0, "-", FigureTarget::AtLeast(1.0));
        }
    };
    for case in &CASES {
        compare(&fleet, case, report).await;
    }
    fleet.shutdown().await;
}

/// Runs one comparison.
async fn compare(
    fleet: &fleet::EmbeddedFleet,
    case: &ForwardCase,
    report: &mut figures::FigureReport,
) {
    let path = format!("/catalogue/public?bytes={}", case.bytes);
    let mut plan = exchange::ExchangePlan {
        address: fleet.targets[0].address,
        path,
        bearer: None,
        connections: case.connections,
        exchanges: case.exchanges,
    };
    let direct = exchange::run(&plan).await;
    plan.address = fleet.daemons[0].listen;
    let forwarded = exchange::run(&plan).await;
    let name = case.name;
    let figure = |label: &str| format!("forward.{name}.{label}");
    report.figure(
        figure("failed"),
        forwarded.failed as f64,
        "requests",
        FigureTarget::AtMost(0.0),
    );
    for (label, quantile, max_ratio) in [("p50", 0.5, 3.0), ("p99", 0.99, 4.0)] {
        let (direct, forwarded) = (direct.quantile(quantile), forwarded.quantile(quantile));
        report.figure(
            figure(&format!("{label}.direct")),
            direct,
            "us",
            FigureTarget::None,
        );
        report.figure(
            figure(&format!("{label}.through")),
            forwarded,
            "us",
            FigureTarget::None,
        );
        let target = match case.bytes {
            LARGE_BYTES => FigureTarget::None,
            _ => FigureTarget::AtMost(max_ratio),
        };
        let ratio = forwarded / direct.max(1.0);
        report.figure(figure(&format!("{label}.ratio")), ratio, "times", target);
    }
    if case.bytes == LARGE_BYTES {
        let ratio = forwarded.bytes_per_second() / direct.bytes_per_second();
        report.figure(
            figure("throughput.ratio"),
            ratio,
            "times",
            FigureTarget::AtLeast(0.6),
        );
    }
}
