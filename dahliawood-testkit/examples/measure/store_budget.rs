//! Calls a second on the store, at rest and during a change, and their slope with the fleet.
//!
//! Each VM follows the store as a daemon does, with a client and a call budget of its own, as a
//! task of one process. The largest fleet is run too, since its calls are spread over a longer time
//! and its peaks are no line; its means are also extrapolated along the line from 11 to 200 VMs.

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
/// The fleets that the line goes through.
const LINE: [usize; 2] = [0, 2];
const LARGEST_FLEET: f64 = 920.0;
const CHANGES_PER_DAY: f64 = 1_900.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// A line of each VM is written anew once in this time.
const REST: Duration = Duration::from_secs(60);
/// How long calls are counted from the start of a change.
const CHANGE: Duration = Duration::from_secs(25);
/// How long the largest fleet may take to accept and to have in force.
const APPLY_LIMIT: Duration = Duration::from_secs(60);
const SAMPLE: Duration = Duration::from_millis(100);
const SAMPLES_PER_SECOND: usize = 10;
const WRITES_TARGET: figures::FigureTarget = figures::FigureTarget::AtMost(500.0);
const READS_TARGET: figures::FigureTarget = figures::FigureTarget::AtMost(2_000.0);
const BYTES_TARGET: figures::FigureTarget = figures::FigureTarget::AtMost(3_000.0);

/// What one fleet cost.
#[derive(Clone, Copy, Debug)]
struct FleetCost {
    vms: f64,
    rest_reads: f64,
    rest_writes: f64,
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
        print_cost(cost, report);
    }
    let [small, large] = LINE.map(|index| &costs[index]);
    print_slope(small, large, report);
}

fn print_cost(cost: &FleetCost, report: &mut figures::FigureReport) {
    let vms = cost.vms;
    let free = figures::FigureTarget::None;
    let lines = [
        ("rest reads", cost.rest_reads, "1/s", READS_TARGET),
        ("rest writes", cost.rest_writes, "1/s", WRITES_TARGET),
        ("change reads", cost.change_reads, "calls", free),
        ("change writes", cost.change_writes, "calls", free),
        (
            "change value bytes per VM",
            cost.change_bytes / vms,
            "B",
            free,
        ),
        ("change peak reads", cost.peak_reads, "1/s", READS_TARGET),
        ("change peak writes", cost.peak_writes, "1/s", WRITES_TARGET),
        ("apply until in force on all", cost.seconds, "s", free),
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

fn print_slope(small: &FleetCost, large: &FleetCost, report: &mut figures::FigureReport) {
    let at = |figure: fn(&FleetCost) -> f64| {
        let slope = (figure(large) - figure(small)) / (large.vms - small.vms);
        figure(large) + slope * (LARGEST_FLEET - large.vms)
    };
    let per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let reads = at(|cost| cost.rest_reads) + at(|cost| cost.change_reads) * per_second;
    let writes = at(|cost| cost.rest_writes) + at(|cost| cost.change_writes) * per_second;
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
    task::sleep(REST).await;
    let rested = handle.counters();
    let text = file(1);
    let change = task::spawn(async move { apply(&operator, &text, seed + 1).await });
    let (peak_reads, peak_writes) = sample(&handle, CHANGE).await;
    let seconds = change.await;
    let after = handle.counters();
    let rest = REST.as_secs_f64();
    FleetCost {
        vms: vms as f64,
        rest_reads: (rested.reads - before.reads) as f64 / rest,
        rest_writes: (rested.writes - before.writes) as f64 / rest,
        change_reads: (after.reads - rested.reads) as f64,
        change_writes: (after.writes - rested.writes) as f64,
        change_bytes: (after.value_bytes - rested.value_bytes) as f64,
        peak_reads,
        peak_writes,
        seconds,
        refused: after.refused as f64,
    }
}

/// The most calls in any second of `span`, sampled ten times a second.
async fn sample(handle: &platform::PlatformHandle, span: Duration) -> (f64, f64) {
    let mut samples: Vec<limits::CallCounters> = vec![handle.counters()];
    let ends_at = Instant::now() + span;
    while Instant::now() < ends_at {
        task::sleep(SAMPLE).await;
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
    let share = budget::CallBudget::new(budget::BudgetOptions::default(), vms, (time.now)());
    let share = Arc::new(Mutex::new(share));
    let client = client::http(client::HttpOptions::new(handle.address()));
    let client = budget::limit(&client, &share, &time);
    let tracker = revision::RevisionTracker::new(&name, 1);
    let tracker =
        revision::SharedTracker::new(tracker, Arc::new(|_text| Ok(())), Arc::new(|_record| ()));
    let options = revision::FollowOptions::new(tracker, time, vms);
    task::spawn(async move { revision::follow(&client, &options).await });
}

/// Applies a file and returns how long that took, seconds.
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
        "the fleet did not take the file: {outcome:?}"
    );
    started.elapsed().as_secs_f64()
}

/// A file of about 40 KB; variants differ in one line.
fn file(variant: u64) -> String {
    let lines = (0..1_000).map(|number| match number {
        500 => format!("rate = {}", 1_000 + variant),
        _ => format!("line {number} of a file of usual length\n"),
    });
    lines.collect()
}
