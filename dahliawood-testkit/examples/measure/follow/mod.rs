//! Measures what it costs that VMs follow the key space: calls to the store, and bytes between VMs.
//!
//! The calls are those of a simulated fleet; the bytes of a call are counted by a proxy on loopback,
//! without TCP's own.

use crate::proxy;
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_gateway::settings::FleetBounds;
use dahliawood_peer::client::CallOptions;
use dahliawood_peer::gateway::client;
use dahliawood_peer::gateway::message::{
    ChangesRequest, ChangesResponse, CopyDate, KeyspaceChange, KeyspaceChanges, KeyspaceSnapshot,
    ShareResponse,
};
use dahliawood_peer::gateway::server::{self, GatewayHandlers};
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use dahliawood_testkit::follow_fleet::fault::{self, FaultWindow};
use dahliawood_testkit::follow_fleet::rules::RuleKind;
use dahliawood_testkit::follow_fleet::{self, FollowOptions};
use futures::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// VMs and failure domains.
const FLEETS: [(usize, usize); 4] = [(30, 6), (76, 6), (300, 9), (920, 27)];
const LENGTH: Duration = Duration::from_secs(30);
/// Time for which a fleet runs beside that.
const MARGIN: Duration = Duration::from_secs(8);
/// Mean time between changes of a calm fleet, and of one that is changed all the time.
const CALM_INTERVAL: Duration = Duration::from_secs(5);
const BUSY_INTERVAL: Duration = Duration::from_millis(400);
/// Reading calls a second that the store takes from all VMs.
const STORE_RATE: f64 = 6_000.0;
/// Control traffic that a VM may have, bytes a second.
const MAX_BYTES: f64 = 3_000.0;
/// Bytes of a change: an entry of a target.
const CHANGE_BYTES: usize = 260;
const CALLS: u64 = 200;

fn bounds() -> FleetBounds {
    FleetBounds {
        config_time: Duration::from_secs(3),
        drain_time: Duration::from_secs(3),
        recovery_time: Duration::from_secs(4),
        ..FleetBounds::default()
    }
}

fn changes(count: usize) -> ChangesResponse {
    let change = KeyspaceChange {
        key: "servers/i-0123456789".to_owned(),
        revision: 1,
        value: Some(vec![b'x'; CHANGE_BYTES]),
        left_out: 0,
    };
    ChangesResponse::Changes(KeyspaceChanges {
        revision: 1,
        changes: vec![change; count],
        date: Some(CopyDate {
            offset_millis: 700,
            stamp: 1_000_000,
        }),
        ..KeyspaceChanges::default()
    })
}

/// Starts a VM that tells `count` changes in each answer.
fn start_relay(count: usize) -> SocketAddr {
    let (ready, started) = std::sync::mpsc::channel();
    thread::spawn(move || {
        task::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let address = listener.local_addr().expect("a bound socket");
            ready.send(address).expect("a receiver");
            let handlers = GatewayHandlers {
                shares: Box::new(|_| ShareResponse::default()),
                keyspace: Box::new(|_, _| KeyspaceSnapshot::default()),
                part: Box::new(|_| dahliawood_peer::gateway::message::ValuePart::default()),
                changes: Box::new(move |_| Box::pin(future::ready(changes(count)))),
                sightings: Box::new(|_, _| Vec::new()),
                loads: Box::new(|_| dahliawood_peer::gateway::loads::LoadsResponse::default()),
            };
            let _ended = server::serve(listener, Rc::new(handlers)).await;
        });
    });
    started.recv().expect("the VM starts")
}

/// Bytes of a call for changes and its answer with `count` changes, both directions.
fn bytes_of_call(count: usize) -> f64 {
    let relay = start_relay(count);
    task::block_on(async {
        let (address, counted) = proxy::start(relay).await;
        let options = CallOptions {
            deadline: Duration::from_secs(2),
            user_timeout: None,
        };
        let caller = client::connect(address, options).await.expect("loopback");
        let request = ChangesRequest {
            after: 1,
            wait: Duration::from_secs(1),
            known_stamp: Some(1),
            takes_parts: true,
        };
        for _ in 0..CALLS {
            caller.changes(request).await.expect("an answer");
        }
        counted.load(Ordering::Relaxed) as f64 / CALLS as f64
    })
}

/// The cost of one fleet.
fn measure_fleet(
    (vms, domains): (usize, usize),
    (label, change_interval, faults): (&str, Duration, Vec<FaultWindow>),
    call_bytes: f64,
    change_bytes: f64,
    seed: u64,
    report: &mut FigureReport,
) {
    for (rules, which) in [(RuleKind::Dated, ""), (RuleKind::Former, "-formerly")] {
        let outcome = follow_fleet::run(&FollowOptions {
            vms,
            domains,
            rules,
            bounds: bounds(),
            change_interval,
            length: LENGTH,
            faults: faults.clone(),
            seed,
        });
        let seconds = (LENGTH + MARGIN).as_secs_f64();
        let name = |figure: &str| format!("{label}-{vms}-{figure}{which}");
        let store = outcome.store_calls as f64 / seconds;
        report.figure(
            name("store-calls"),
            store,
            "calls/s",
            FigureTarget::AtMost(STORE_RATE),
        );
        let calls = outcome.relay_calls as f64 / seconds / vms as f64;
        let changes = 1.0 / change_interval.as_secs_f64();
        // A relay sends what its followers receive.
        let followers = (vms / domains) as f64;
        let received = calls * call_bytes + changes * change_bytes;
        report.figure(
            name("follower-bytes"),
            received,
            "B/s",
            FigureTarget::AtMost(MAX_BYTES),
        );
        report.figure(
            name("relay-bytes"),
            received * followers,
            "B/s",
            FigureTarget::None,
        );
        let worst = outcome.worst.as_secs_f64();
        report.figure(name("longest-lag"), worst, "s", FigureTarget::None);
    }
}

/// Measures calm fleets, fleets that are changed all the time, and those whose relays fail meanwhile.
pub fn run(seed: u64, report: &mut FigureReport) {
    let call_bytes = bytes_of_call(0);
    let change_bytes = bytes_of_call(1) - call_bytes;
    report.figure("bytes-of-a-call", call_bytes, "B", FigureTarget::None);
    report.figure("bytes-of-a-change", change_bytes, "B", FigureTarget::None);
    for fleet in FLEETS {
        let faults = fault::draw(seed, fleet.0, LENGTH);
        let cases = [
            ("calm", CALM_INTERVAL, Vec::new()),
            ("changing", BUSY_INTERVAL, Vec::new()),
            ("failing", BUSY_INTERVAL, faults),
        ];
        for case in cases {
            measure_fleet(fleet, case, call_bytes, change_bytes, seed, report);
        }
    }
}
