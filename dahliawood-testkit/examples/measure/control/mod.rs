//! `control`: processor time, bytes and memory of an idle daemon's control plane, by fleet size.
//!
//! Processor time is that of the threads named `control`. Bytes are those of the loopback device,
//! which other programs on the machine share, so run this measurement alone. Both are read from
//! `/proc`.

use async_std::task;
use dahliawood_testkit::{figures, fleet};
use figures::FigureTarget;
use std::fs;
use std::time::{Duration, Instant};

/// Configuration file of the deployment.
const FILE: &str = include_str!("../../../../examples/lianguang.toml");
/// Fleet sizes, in daemons; all daemons share one process.
const FLEET_SIZES: [usize; 3] = [11, 25, 50];
/// Time for the fleet to settle before the measurement.
const SETTLE_PERIOD: Duration = Duration::from_secs(10);
/// Duration of the measurement.
const MEASURE_PERIOD: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/PID/task/TID/stat`, the value of all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user-mode processor time among the fields after the command name.
const UTIME_FIELD: usize = 11;

/// Fleet size expected in two years, in daemons.
const EXPECTED_DAEMONS: f64 = 920.0;
/// Bounds for each daemon: percent of a core, bytes per second, and MiB of memory.
const CORE_PERCENT: f64 = 1.8;
const BYTES_PER_SECOND: f64 = 3_000.0;
const MEMORY_MEBIBYTES: f64 = 256.0;

/// Control-plane cost of each daemon in one fleet.
struct ControlCost {
    daemons: f64,
    core_percent: f64,
    bytes_per_second: f64,
}

/// Runs the measurement; the seed is unused, as nothing is drawn at random.
pub fn run(_seed: u64, report: &mut figures::FigureReport) {
    let costs: Vec<_> = FLEET_SIZES
        .iter()
        .filter_map(|size| task::block_on(fleet_cost(*size, report)))
        .collect();
    report.figure(
        "control.sizes",
        costs.len() as f64,
        "fleets",
        FigureTarget::AtLeast(3.0),
    );
    let core = slope(&costs, |cost| cost.core_percent);
    let bytes = slope(&costs, |cost| cost.bytes_per_second);
    report.figure("control.core.slope", core, "%/daemon", FigureTarget::None);
    report.figure(
        "control.bytes.slope",
        bytes,
        "B/s/daemon",
        FigureTarget::None,
    );
    let Some(last) = costs.last() else { return };
    let additional = EXPECTED_DAEMONS - last.daemons;
    let core = last.core_percent + core * additional;
    let bytes = last.bytes_per_second + bytes * additional;
    report.figure(
        "control.core.at_920",
        core,
        "%",
        FigureTarget::AtMost(CORE_PERCENT),
    );
    report.figure(
        "control.bytes.at_920",
        bytes,
        "B/s",
        FigureTarget::AtMost(BYTES_PER_SECOND),
    );
}

/// Measures the cost of each daemon in a fleet of `size`; `None` if the fleet failed to start.
async fn fleet_cost(size: usize, report: &mut figures::FigureReport) -> Option<ControlCost> {
    let options = fleet::FleetOptions {
        file_text: FILE.to_owned(),
        vms: size,
        delay: Duration::ZERO,
    };
    let fleet = match fleet::start(&options).await {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{size} daemons: {error}");
            return None;
        }
    };
    task::sleep(SETTLE_PERIOD).await;
    let (start, ticks, bytes) = (Instant::now(), control_ticks(), loopback_bytes());
    task::sleep(MEASURE_PERIOD).await;
    let seconds = start.elapsed().as_secs_f64();
    let ticks = (control_ticks() - ticks) as f64;
    let bytes = (loopback_bytes() - bytes) as f64;
    let cost = ControlCost {
        daemons: size as f64,
        core_percent: ticks / TICKS_PER_SECOND / seconds / size as f64 * 100.0,
        // The loopback device counts each byte once as sent; each daemon is charged for the bytes
        // that it sends.
        bytes_per_second: bytes / seconds / size as f64,
    };
    let name = |figure: &str| format!("control.{figure}.{size}");
    let core = FigureTarget::AtMost(CORE_PERCENT);
    report.figure(name("core"), cost.core_percent, "%", core);
    let bound = FigureTarget::AtMost(BYTES_PER_SECOND);
    report.figure(name("bytes"), cost.bytes_per_second, "B/s", bound);
    let resident = resident_mebibytes() / size as f64;
    let bound = FigureTarget::AtMost(MEMORY_MEBIBYTES);
    report.figure(name("memory_with_stand_ins"), resident, "MiB", bound);
    fleet.shutdown().await;
    Some(cost)
}

/// Growth of a cost per additional daemon, between the smallest and the largest fleet.
fn slope(costs: &[ControlCost], cost: impl Fn(&ControlCost) -> f64) -> f64 {
    match (costs.first(), costs.last()) {
        (Some(first), Some(last)) if last.daemons > first.daemons => {
            (cost(last) - cost(first)) / (last.daemons - first.daemons)
        }
        _ => f64::NAN,
    }
}

/// Processor time of all control threads, in clock ticks.
fn control_ticks() -> u64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let ticks = tasks.filter_map(|task| {
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
        let mut fields = rest.split_whitespace().skip(UTIME_FIELD);
        let user: u64 = fields.next()?.parse().ok()?;
        let system: u64 = fields.next()?.parse().ok()?;
        (name == "control").then_some(user + system)
    });
    ticks.sum()
}

/// Bytes that the loopback device has transferred.
fn loopback_bytes() -> u64 {
    let table = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    received.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

/// Resident memory of this process, MiB.
fn resident_mebibytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next());
    kibibytes
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(f64::NAN)
        / 1_024.0
}
