//! `control`: what a daemon spends on control at rest, by the number of daemons in the fleet.
//!
//! Processor time is that of the threads called `control`; bytes are those of the loopback device,
//! which other programs on the machine share, so run it alone. Both are read from `/proc`.

use async_std::task;
use dahliawood_testkit::{figures, fleet};
use figures::FigureTarget;
use std::fs;
use std::time::{Duration, Instant};

/// The deployment that is run.
const FILE: &str = include_str!("../../../../examples/lianguang.toml");
/// Fleet sizes; daemons share one process.
const SIZES: [usize; 3] = [11, 25, 50];
/// How long the fleet rests before it is looked at.
const SETTLE: Duration = Duration::from_secs(10);
/// How long it is looked at.
const WINDOW: Duration = Duration::from_secs(10);
/// Clock ticks a second in `/proc/PID/task/TID/stat`, as on every Linux of today.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the processor time in user mode behind the command's name.
const UTIME_FIELD: usize = 11;

/// The size of two years out.
const DAEMONS_LATER: f64 = 920.0;
/// The stated bounds.
const CORE_PERCENT: f64 = 1.8;
const BYTES_PER_SECOND: f64 = 3_000.0;
const MEBIBYTES: f64 = 256.0;

/// What one fleet spends, for each daemon.
struct ControlCost {
    daemons: f64,
    core_percent: f64,
    bytes_per_second: f64,
}

/// Runs the measurement; nothing in it is drawn at random.
pub fn run(_seed: u64, report: &mut figures::FigureReport) {
    let costs: Vec<_> = SIZES
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
    let more = DAEMONS_LATER - last.daemons;
    let core = last.core_percent + core * more;
    let bytes = last.bytes_per_second + bytes * more;
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

/// The cost of each daemon in a fleet of `size`.
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
    task::sleep(SETTLE).await;
    let (start, ticks, bytes) = (Instant::now(), control_ticks(), loopback_bytes());
    task::sleep(WINDOW).await;
    let seconds = start.elapsed().as_secs_f64();
    let ticks = (control_ticks() - ticks) as f64;
    let bytes = (loopback_bytes() - bytes) as f64;
    let cost = ControlCost {
        daemons: size as f64,
        core_percent: ticks / TICKS_PER_SECOND / seconds / size as f64 * 100.0,
        // The loopback device counts each byte once as sent; a daemon is charged for what it sends.
        bytes_per_second: bytes / seconds / size as f64,
    };
    let name = |what: &str| format!("control.{what}.{size}");
    let core = FigureTarget::AtMost(CORE_PERCENT);
    report.figure(name("core"), cost.core_percent, "%", core);
    let most = FigureTarget::AtMost(BYTES_PER_SECOND);
    report.figure(name("bytes"), cost.bytes_per_second, "B/s", most);
    let resident = resident_mebibytes() / size as f64;
    let most = FigureTarget::AtMost(MEBIBYTES);
    report.figure(name("memory_with_stand_ins"), resident, "MiB", most);
    fleet.shutdown().await;
    Some(cost)
}

/// The gain of a cost for each daemon more, between the smallest and the largest fleet.
fn slope(costs: &[ControlCost], cost: impl Fn(&ControlCost) -> f64) -> f64 {
    match (costs.first(), costs.last()) {
        (Some(first), Some(last)) if last.daemons > first.daemons => {
            (cost(last) - cost(first)) / (last.daemons - first.daemons)
        }
        _ => f64::NAN,
    }
}

/// Processor time of all control threads, clock ticks.
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

/// Bytes that the loopback device has sent.
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
