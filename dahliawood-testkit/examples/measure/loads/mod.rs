//! Measures what it costs to share the loads of targets in a region.
//!
//! One thread is the collector, another one all other VMs, each with a connection of its own over
//! loopback. Targets respond to each VM several times a second. Bytes are counted by a proxy,
//! without TCP's own; processor time is that of the two threads, which includes Cap'n Proto and the
//! sockets.

use crate::proxy;
use async_std::net::TcpListener;
use async_std::task;
use dahliawood_gateway::clock;
use dahliawood_gateway::control::loads::wire;
use dahliawood_model::FastMap;
use dahliawood_model::catalog::{TargetEntry, TargetLoad, TargetReport};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::CallOptions;
use dahliawood_peer::gateway::client;
use dahliawood_peer::gateway::message::{ChangesResponse, KeyspaceSnapshot, ShareResponse};
use dahliawood_peer::gateway::server::{self, GatewayHandlers};
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::exchange::collector;
use dahliawood_steer::placement::exchange::participant::{CalleeRole, LoadParticipant};
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use futures::future;
use rand::Rng;
use rustix::time::{ClockId, clock_gettime};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// VMs of the region in each part.
const SIZES: [usize; 2] = [30, 300];
const TARGETS_PER_VM: usize = 3;
/// Responses that each VM receives a second.
const RESPONSES: f64 = 25.0;
const LATENCY: Duration = Duration::from_millis(800);
const LENGTH: Duration = Duration::from_secs(12);
/// Control traffic that a VM may have, bytes a second, and processor time, in parts of a core.
const MAX_BYTES: f64 = 3_000.0;
const MAX_PROCESSOR: f64 = 0.018;
const DEADLINE: Duration = Duration::from_secs(2);

fn table(targets: usize) -> PlacementTable {
    let regions = FastMap::from_iter([("a-1".to_owned(), "a".to_owned())]);
    let mut table = PlacementTable::new(regions);
    for id in 0..targets {
        let entry = TargetEntry {
            id: format!("target-{id}"),
            address: ([127, 0, 0, 1], 1).into(),
            service: "service".to_owned(),
            domain: "a-1".to_owned(),
            slots: 4,
            is_draining: false,
            cold_for: Duration::ZERO,
            started_millis: 1,
        };
        table.upsert(entry, clock::now());
    }
    table
}

/// Receives a response of a random target.
fn respond(table: &mut PlacementTable, now: TimeStamp) {
    let keys = &table.services["service"].targets;
    let key = keys[rand::rng().random_range(0..keys.len())];
    let load = TargetLoad {
        pace: None,
        running: 4,
        waiting: rand::rng().random_range(0..12),
        slots: 4,
        received_at: now,
    };
    let result = TargetResult {
        expected_wait: Duration::ZERO,
        connect_time: None,
        route: 0,
        kind: ResultKind::Answered,
        latency: LATENCY,
        report: Some(TargetReport {
            load: Some(load),
            ..TargetReport::default()
        }),
        visit: None,
        slack: LATENCY,
    };
    table.begin(key, now);
    table.finish(key, result, now);
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Starts the collector on a thread of its own; returns its address and the processor time that the
/// thread has used, in microseconds.
fn start_collector(targets: usize) -> (SocketAddr, Arc<AtomicU64>) {
    let used = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&used);
    let (ready, started) = std::sync::mpsc::channel();
    thread::spawn(move || {
        task::block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let address = listener.local_addr().expect("a bound socket");
            ready.send(address).expect("a receiver");
            let state = RefCell::new((LoadParticipant::new(1, 1), table(targets)));
            let handlers = GatewayHandlers {
                shares: Box::new(|_| ShareResponse::default()),
                keyspace: Box::new(|_, _| KeyspaceSnapshot::default()),
                part: Box::new(|_| dahliawood_peer::gateway::message::ValuePart::default()),
                changes: Box::new(|_| Box::pin(future::ready(ChangesResponse::NotCurrent))),
                sightings: Box::new(|_, _| Vec::new()),
                loads: Box::new(move |request| {
                    let (participant, table) = &mut *state.borrow_mut();
                    let call = wire::call(request);
                    let (answer, _) = participant.answer(&call, table, clock::now());
                    counted.store(thread_time().as_micros() as u64, Ordering::Relaxed);
                    wire::response(&answer)
                }),
            };
            let _ended = server::serve(listener, Rc::new(handlers)).await;
        });
    });
    (started.recv().expect("the collector starts"), used)
}

/// What all VMs but the collector did.
#[derive(Default)]
struct CallerCounts {
    calls: AtomicUsize,
    failed: AtomicUsize,
    adopted: AtomicUsize,
}

async fn run_vm(number: usize, vms: usize, address: SocketAddr, counts: Arc<CallerCounts>) {
    let name = rand::random();
    let mut participant = LoadParticipant::new(name, number as u64 + 2);
    let mut table = table(vms * TARGETS_PER_VM);
    let options = CallOptions {
        deadline: DEADLINE,
        user_timeout: None,
    };
    participant.follow(CalleeRole::OwnRegion, 1);
    let connected = client::connect(address, options).await;
    let client = connected.expect("the collector accepts");
    let interval = collector::interval(vms);
    task::sleep(collector::first_delay(name, interval)).await;
    let started = Instant::now();
    while started.elapsed() < LENGTH {
        for _ in 0..(RESPONSES * interval.as_secs_f64()) as usize {
            respond(&mut table, clock::now());
        }
        let (call, pending) = participant.call(CalleeRole::OwnRegion, &table, clock::now());
        counts.calls.fetch_add(1, Ordering::Relaxed);
        match client.loads(&wire::request(&call)).await {
            Ok(response) => {
                let answer = wire::answer(&response);
                let outcomes = participant.receive(pending, &answer, &mut table, clock::now());
                let adopted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
                counts.adopted.fetch_add(adopted, Ordering::Relaxed);
            }
            Err(_) => {
                counts.failed.fetch_add(1, Ordering::Relaxed);
            }
        }
        task::sleep(interval).await;
    }
}

fn measure(vms: usize, report: &mut FigureReport) {
    let (server, collector_micros) = start_collector(vms * TARGETS_PER_VM);
    let (address, bytes) = task::block_on(proxy::start(server));
    let counts = Arc::new(CallerCounts::default());
    let counted = Arc::clone(&counts);
    let callers = thread::spawn(move || {
        task::block_on(async move {
            let vms = (1..vms)
                .map(|vm| task::spawn_local(run_vm(vm, vms, address, Arc::clone(&counted))));
            future::join_all(vms.collect::<Vec<_>>()).await;
        });
        thread_time()
    });
    let callers = callers.join().expect("the callers end").as_secs_f64();
    let (length, others) = (LENGTH.as_secs_f64(), (vms - 1) as f64);
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed) as f64;
    let calls = count(&counts.calls);
    let bytes = bytes.load(Ordering::Relaxed) as f64;
    let collector = collector_micros.load(Ordering::Relaxed) as f64 / 1e6;
    let mut figure = |name: &str, value: f64, unit: &str, target| {
        report.figure(format!("{name}_{vms}"), value, unit, target);
    };
    let most_bytes = match vms {
        300 => FigureTarget::AtMost(MAX_BYTES),
        _ => FigureTarget::None,
    };
    let most_processor = FigureTarget::AtMost(MAX_PROCESSOR);
    figure(
        "calls",
        calls / length,
        "a second",
        FigureTarget::AtMost(130.0),
    );
    figure(
        "failed",
        count(&counts.failed),
        "calls",
        FigureTarget::AtMost(0.0),
    );
    figure(
        "bytes",
        bytes / others / length,
        "a second and VM",
        most_bytes,
    );
    figure(
        "adopted",
        count(&counts.adopted) / calls,
        "loads a call",
        FigureTarget::None,
    );
    figure(
        "processor",
        callers / others / length,
        "of a core, a VM",
        most_processor,
    );
    figure(
        "collector",
        collector / length,
        "of a core",
        FigureTarget::None,
    );
}

/// Measures each size; the seed is unused.
pub fn run(_seed: u64, report: &mut FigureReport) {
    for vms in SIZES {
        measure(vms, report);
    }
}
