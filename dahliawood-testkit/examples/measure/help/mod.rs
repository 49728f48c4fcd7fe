//! Measures what it costs that a VM without links to targets has another one send its requests.
//!
//! Two gateways, real loopback sockets, one request at a time: first the VM sends requests itself, then
//! its links are cut. Processor time is that of the whole process, with both gateways, the targets, the
//! store and the caller; the difference of the two phases is the cost of the other VM's part. A proxy
//! between the VMs counts bytes.

use crate::proxy;
use async_std::net::TcpStream;
use async_std::task;
use dahliawood_gateway::run;
use dahliawood_gateway::settings::{FleetBounds, GatewaySettings};
use dahliawood_gateway::state::SharedState;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use dahliawood_testkit::instance;
use dahliawood_testkit::keyspace::{self, KeyspaceStore};
use dahliawood_testkit::link::{self, LinkCut, TargetLink};
use dahliawood_testkit::operator_config;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::io::AsyncWriteExt;
use rustix::time::{ClockId, clock_gettime};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const TARGETS: usize = 6;
/// Requests of each phase and size.
const REQUESTS: usize = 400;
/// Sizes of the requests' bodies, bytes.
const SIZES: [usize; 2] = [400, 90_000];
/// Latency that the other VM may add on loopback at the median, milliseconds.
const MAX_ADDED_MILLIS: f64 = 5.0;
/// Bytes between the VMs beyond those of the request and its response.
const MAX_OVERHEAD_BYTES: f64 = 1_500.0;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MESSAGE_BYTES: usize = 1 << 20;

fn settings(name: &str) -> GatewaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    GatewaySettings {
        name: name.to_owned(),
        domain: "a-1".to_owned(),
        region: "a".to_owned(),
        regions: std::iter::once(("a-1".to_owned(), "a".to_owned())).collect(),
        front: any,
        ready: any,
        directory: any,
        peer: any,
        forward: any,
        metrics: any,
        is_first_start: false,
        processor_millis: 1_000,
        bounds: FleetBounds::default(),
    }
}

/// Starts a gateway on a thread of its own, which runs until the process ends.
fn start_gateway(name: &'static str, store: SocketAddr) -> SharedState {
    let (ready, started) = std::sync::mpsc::channel();
    thread::spawn(move || {
        task::block_on(async move {
            let client = dahliawood_platform::store::client(store);
            let codec = dahliawood_platform::codec();
            let gateway = run::start(settings(name), codec, client)
                .await
                .expect("the gateway starts");
            ready.send(gateway.state.clone()).expect("a receiver");
            futures::future::pending::<()>().await;
            drop(gateway);
        });
    });
    started.recv().expect("the gateway starts")
}

async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        task::sleep(POLL_INTERVAL).await;
    }
}

struct MeasuredFleet {
    front: SocketAddr,
    state: SharedState,
    links: Vec<TargetLink>,
    bytes: Arc<AtomicU64>,
    _stores: [KeyspaceStore; 2],
}

async fn start_fleet() -> MeasuredFleet {
    let store = keyspace::start().await.expect("loopback");
    let vm_store = store.second_address().await.expect("loopback");
    let (mut links, mut substitutes) = (Vec::new(), Vec::new());
    for number in 0..TARGETS {
        let target = instance::start(&format!("target-{number}"))
            .await
            .expect("loopback");
        let link = link::start(target.address).expect("loopback");
        substitutes.push((target.address.to_string(), link.address.to_string()));
        store.put(&target.key(), &target.entry("service", "a-1"));
        links.push(link);
    }
    let routes = [operator_config::route(
        "/write/",
        "non_idempotent",
        true,
        "service",
    )];
    let document = operator_config::document(1, &routes, &[], &["service"]);
    store.put("op/config", &document);
    let helper = start_gateway("vm-1", store.address);
    let (proxy, bytes) = proxy::start(helper.settings.forward).await;
    substitutes.push((helper.settings.forward.to_string(), proxy.to_string()));
    vm_store.set_substitutes(substitutes);
    let state = start_gateway("vm-2", vm_store.address);
    for vm in [&helper, &state] {
        until(|| vm.is_ready() && vm.vms.load().len() == 2 && vm.placement().len() == TARGETS)
            .await;
    }
    MeasuredFleet {
        front: state.settings.front,
        state,
        links,
        bytes,
        _stores: [store, vm_store],
    }
}

/// Sends one request; returns how long it took and the size of the response's body, or `None` if it
/// was not served.
async fn call(front: SocketAddr, body: &[u8], number: usize) -> Option<(Duration, usize)> {
    let stream = TcpStream::connect(front).await.ok()?;
    let mut reader = ConnectionReader::new(stream.clone());
    let mut fields = FieldList::default();
    fields.push("Host", "host.example");
    fields.push("X-Dahliawood-Attempt-Id", format!("attempt-{number}"));
    let bytes = write::request("POST", "/write/a", &fields, body);
    let started = Instant::now();
    let mut output = &stream;
    output.write_all(&bytes).await.ok()?;
    let head = reader.response_head(MESSAGE_BYTES).await.ok()??;
    let framing = head.framing("POST").ok()?;
    let received = reader.body(framing, MESSAGE_BYTES).await.ok()?;
    (head.status == 200).then_some((started.elapsed(), received.len()))
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What requests of one size cost.
struct PhaseCost {
    median: Duration,
    processor: Duration,
    bytes: f64,
}

async fn measure_phase(fleet: &MeasuredFleet, size: usize) -> PhaseCost {
    let body = vec![b'a'; size];
    let (before, bytes_before) = (processor_time(), fleet.bytes.load(Ordering::Relaxed));
    let mut times = Vec::new();
    for number in 0..REQUESTS {
        let served = call(fleet.front, &body, number).await;
        times.push(served.expect("the request is served").0);
    }
    times.sort();
    let bytes = fleet.bytes.load(Ordering::Relaxed) - bytes_before;
    PhaseCost {
        median: times[times.len() / 2],
        processor: processor_time().saturating_sub(before) / REQUESTS as u32,
        bytes: bytes as f64 / REQUESTS as f64,
    }
}

/// Measures both phases for each size.
pub fn run(_seed: u64, report: &mut FigureReport) {
    task::block_on(async {
        let fleet = start_fleet().await;
        let _warm = measure_phase(&fleet, SIZES[0]).await;
        let mut direct = Vec::new();
        for size in SIZES {
            direct.push(measure_phase(&fleet, size).await);
        }
        for link in &fleet.links {
            link.cut(LinkCut::Reset).await.expect("the link is cut");
        }
        let is_cut_off = || fleet.state.reach().tracker.is_cut_off();
        while !is_cut_off() {
            let _may_fail = call(fleet.front, b"", 0).await;
        }
        for (size, direct) in SIZES.iter().zip(direct) {
            let helped = measure_phase(&fleet, *size).await;
            let millis = |time: Duration| time.as_secs_f64() * 1e3;
            let added = millis(helped.median) - millis(direct.median);
            let processor = millis(helped.processor) - millis(direct.processor);
            let overhead = helped.bytes - *size as f64;
            let figure = |name: &str| format!("{name}_{size}");
            report.figure(
                figure("added_latency_median"),
                added,
                "ms",
                FigureTarget::AtMost(MAX_ADDED_MILLIS),
            );
            report.figure(
                figure("added_processor"),
                processor,
                "ms",
                FigureTarget::None,
            );
            report.figure(
                figure("overhead_bytes"),
                overhead,
                "bytes",
                FigureTarget::AtMost(MAX_OVERHEAD_BYTES),
            );
        }
    });
}
