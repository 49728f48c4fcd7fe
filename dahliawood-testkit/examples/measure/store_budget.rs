//! Measures store calls per second while idle and during a configuration change, by fleet size.
//!
//! Each VM is a task of this process that follows the store as a daemon does, with its own client
//! and call budget. The largest fleet is measured as well, because its calls are spread over a
//! longer time and its peak rates do not grow linearly. Its mean rates are also extrapolated along
//! the line through the fleets of 11 and 200 VMs.

use async_std::task;
use dahliawood_store::acceptance;
use dahliawood_store::budget;
use dahliawood_store::client;
use dahliawood_store::clock;
use dahliawood_store::head;
use dahliawood_store::protocol;
use dahliawood_store::revision;
use dahliawood_testkit::figures;
use dahliawood_testkit::platform;
use dahliawood_testkit::platform::limits;
use rand::{SeedableRng, rngs};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FLEETS: [usize; 4] = [11, 50, 200, 920];
/// Indices in [`FLEETS`] of the two fleets that the linear extrapolation is based on.
const EXTRAPOLATION_FLEETS: [usize; 2] = [0, 2];
const LARGEST_FLEET: f64 = 920.0;
const CHANGES_PER_DAY: f64 = 1_900.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Duration of the idle phase. Each VM rewrites its status line once in this time.
const IDLE_PERIOD: Duration = Duration::from_secs(60);
/// How long calls are counted from the start of a change.
const CHANGE_PERIOD: Duration = Duration::from_secs(25);
/// Time limit for the store to accept a change, and for all VMs to have it in force.
const APPLY_LIMIT: Duration = Duration::from_secs(60);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES_PER_SECOND: usize = 10;
const WRITES_TARGET: figures::FigureTarget = figures::FigureTarget::AtMost(500.0);
const READS_TARGET: figures::FigureTarget = figures::FigureTarget::AtMost(2_000.0);
const BYTES_TARGET: figures::FigureTarget = figures::FigureTarget::AtMost(3_000.0);

/// Store calls and bytes of one fleet, and the time to apply a change.
#[derive(Clone, Copy, Debug)]
struct FleetCost {
    vms: f64,
    idle_reads: f64,
    idle_writes: f64,
    change_reads: f64,
    change_writes: f64,
    change_bytes: f64,
    peak_reads: f64,
    peak_writes: f64,
    seconds: f64,
    refused: f64,
}

/// Runs the measurement.
pub fn run(seed: u64, report: &mut figures::FigureReport) {
    let fleets = FLEETS.map(|vms| task::spawn(measure(vms, seed)));
    let costs: Vec<_> = task::block_on(async {
        let mut costs = Vec::new();
        for fleet in fleets {
            costs.push(fleet.await);
        }
        costs
    });
    for cost in &costs {
        report_cost(cost, report);
    }
    let [small, large] = EXTRAPOLATION_FLEETS.map(|index| &costs[index]);
    report_extrapolation(small, large, report);
}

fn report_cost(cost: &FleetCost, report: &mut figures::FigureReport) {
    let vms = cost.vms;
    let unbounded = figures::FigureTarget::None;
    let lines = [
        ("rest reads", cost.idle_reads, "1/s", READS_TARGET),
        ("rest writes", cost.idle_writes, "1/s", WRITES_TARGET),
        ("change reads", cost.change_reads, "calls", unbounded),
        ("change writes", cost.change_writes, "calls", unbounded),
        (
            "change value bytes per VM",
            cost.change_bytes / vms,
            "B",
            unbounded,
        ),
        ("change peak reads", cost.peak_reads, "1/s", READS_TARGET),
        ("change peak writes", cost.peak_writes, "1/s", WRITES_TARGET),
        ("apply until in force on all", cost.seconds, "s", unbounded),
        (
            "calls refused above the rate",
            cost.refused,
            "calls",
            figures::FigureTarget::AtMost(0.0),
        ),
    ];
    for (name, value, unit, target) in lines {
        report.figure(
            format!("store-budget {vms} VMs {name}"),
            value,
            unit,
            target,
        );
    }
}

fn report_extrapolation(small: &FleetCost, large: &FleetCost, report: &mut figures::FigureReport) {
    let extrapolate = |figure: fn(&FleetCost) -> f64| {
        let slope = (figure(large) - figure(small)) / (large.vms - small.vms);
        figure(large) + slope * (LARGEST_FLEET - large.vms)
    };
    let per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let reads =
        extrapolate(|cost| cost.idle_reads) + extrapolate(|cost| cost.change_reads) * per_second;
    let writes =
        extrapolate(|cost| cost.idle_writes) + extrapolate(|cost| cost.change_writes) * per_second;
    let bytes = large.change_bytes / large.vms * per_second;
    let lines = [
        ("mean reads", reads, "1/s", READS_TARGET),
        ("mean writes", writes, "1/s", WRITES_TARGET),
        (
            "value bytes per daemon for changes",
            bytes,
            "B/s",
            BYTES_TARGET,
        ),
    ];
    for (name, value, unit, target) in lines {
        report.figure(
            format!("store-budget slope to 920 {name}"),
            value,
            unit,
            target,
        );
    }
}

async fn measure(vms: usize, seed: u64) -> FleetCost {
    let options = platform::PlatformOptions {
        seed,
        ..platform::PlatformOptions::default()
    };
    let handle = platform::start(options)
        .await
        .expect("loopback can be listened on");
    for index in 0..vms {
        start_vm(&handle, index, vms);
    }
    let operator = client::http(client::HttpOptions::new(handle.address()));
    apply(&operator, &file(0), seed).await;
    let before = handle.counters();
    task::sleep(IDLE_PERIOD).await;
    let idle_end = handle.counters();
    let text = file(1);
    let change = task::spawn(async move { apply(&operator, &text, seed + 1).await });
    let (peak_reads, peak_writes) = sample_peaks(&handle, CHANGE_PERIOD).await;
    let seconds = change.await;
    let after = handle.counters();
    let idle_seconds = IDLE_PERIOD.as_secs_f64();
    FleetCost {
        vms: vms as f64,
        idle_reads: (idle_end.reads - before.reads) as f64 / idle_seconds,
        idle_writes: (idle_end.writes - before.writes) as f64 / idle_seconds,
        change_reads: (after.reads - idle_end.reads) as f64,
        change_writes: (after.writes - idle_end.writes) as f64,
        change_bytes: (after.value_bytes - idle_end.value_bytes) as f64,
        peak_reads,
        peak_writes,
        seconds,
        refused: after.refused as f64,
    }
}

/// The most reads and writes in any second of `span`; the counters are sampled ten times a second.
async fn sample_peaks(handle: &platform::PlatformHandle, span: Duration) -> (f64, f64) {
    let mut samples: Vec<limits::CallCounters> = vec![handle.counters()];
    let ends_at = Instant::now() + span;
    while Instant::now() < ends_at {
        task::sleep(SAMPLE_INTERVAL).await;
        samples.push(handle.counters());
    }
    let peak = |count: fn(&limits::CallCounters) -> u64| {
        let windows = samples.windows(SAMPLES_PER_SECOND + 1);
        let counts = windows.map(|window| count(&window[SAMPLES_PER_SECOND]) - count(&window[0]));
        counts.max().unwrap_or(0) as f64
    };
    (
        peak(|counters| counters.reads),
        peak(|counters| counters.writes),
    )
}

fn start_vm(handle: &platform::PlatformHandle, index: usize, vms: usize) {
    let name = format!("vm-{index}");
    handle.put_live(protocol::LiveVm {
        name: name.clone(),
        http: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        domain: "north-1".into(),
        incarnation: Some(1),
        state: protocol::LiveState::Live,
    });
    let time = clock::boot();
    let call_budget = budget::CallBudget::new(budget::BudgetOptions::default(), vms, (time.now)());
    let call_budget = Arc::new(Mutex::new(call_budget));
    let client = client::http(client::HttpOptions::new(handle.address()));
    let client = budget::limit(&client, &call_budget, &time);
    let tracker = revision::RevisionTracker::new(&name, 1);
    let tracker =
        revision::SharedTracker::new(tracker, Arc::new(|_text| Ok(())), Arc::new(|_record| ()));
    let options = revision::FollowOptions::new(tracker, time, vms);
    task::spawn(async move { revision::follow(&client, &options).await });
}

/// Applies a configuration file and returns the time until all VMs had it in force, seconds.
async fn apply(client: &client::StoreClient, text: &str, seed: u64) -> f64 {
    let started = Instant::now();
    let accept = acceptance::AcceptOptions {
        accept_within: APPLY_LIMIT,
        follow_within: APPLY_LIMIT,
        ..acceptance::AcceptOptions::new(clock::boot())
    };
    let options = acceptance::ApplyOptions {
        file_text: text.to_owned(),
        expect: None,
        write_id: head::WriteId::random(&mut rngs::StdRng::seed_from_u64(seed)),
        accept,
    };
    let outcome = acceptance::apply(client, &options).await;
    let is_everywhere = matches!(
        &outcome,
        acceptance::ApplyOutcome::Applied { report, .. } if report.missing.is_empty()
    );
    assert!(
        is_everywhere,
        "the file is not in force on the whole fleet: {outcome:?}"
    );
    started.elapsed().as_secs_f64()
}

/// A configuration file of about 40 KB; variants differ in one line.
fn file(variant: u64) -> String {
    let lines = (0..1_000).map(|number| match number {
        500 => format!("rate = {}", 1_000 + variant),
        _ => format!("line {number} of a file of usual length\n"),
    });
    lines.collect()
}
