//! Latency of look-ups when all open connections to half of the targets go silent at once.
//!
//! Real sockets on loopback and the real pool; between the pool and each target stands a box that
//! passes bytes on and can lose track of its connections: what they carry is read and dropped, as
//! if acknowledged, while new connections work.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_fate::{deadline, retry};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use dahliawood_wire::{client, pool, server};
use futures::future;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use futures::stream::StreamExt;
use hdrhistogram::Histogram;
use http_types::{Request, Response, Url};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Targets of the catalogue look-up.
const TARGETS: usize = 20;
/// Callers that look up one thing after another.
const CALLERS: usize = 64;
/// Pause of a caller between two look-ups.
const PAUSE: Duration = Duration::from_millis(5);
/// How long a target takes.
const SERVICE: Duration = Duration::from_millis(5);
/// When a look-up without an answer gets a second try.
const HEDGE_AFTER: Duration = Duration::from_millis(100);
/// A service's timeout.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Length of a phase.
const PHASE: Duration = Duration::from_secs(2);
/// Length of the phase that begins with the loss: few look-ups beside those that meet it.
const FIRST_PHASE: Duration = Duration::from_millis(200);
/// Added latency that is allowed at first, milliseconds.
const FIRST_MILLIS: f64 = 250.0;
/// The most that noise of the machine may add once all is over, milliseconds.
const NOISE_MILLIS: f64 = HEDGE_AFTER.as_millis() as f64 / 2.0;

/// A box before one target; its connections are lost when `epoch` rises.
async fn middle_box(target: SocketAddr, epoch: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(caller)) = incoming.next().await {
            let target = TcpStream::connect(target).await.expect("loopback");
            let born = epoch.load(Ordering::SeqCst);
            let lost = |epoch: Arc<AtomicU64>| move || epoch.load(Ordering::SeqCst) != born;
            task::spawn(pass(caller.clone(), target.clone(), lost(epoch.clone())));
            task::spawn(pass(target, caller, lost(epoch.clone())));
        }
    });
    address
}

async fn pass(mut from: TcpStream, mut to: TcpStream, lost: impl Fn() -> bool) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes).await {
        let passed = lost() || to.write_all(&bytes[..count]).await.is_ok();
        if count == 0 || !passed {
            break;
        }
    }
    if !lost() {
        drop(to.close().await);
    }
}

async fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            task::spawn(async move {
                let options = server::ConnectionOptions::default();
                let handler = |_| async {
                    task::sleep(SERVICE).await;
                    let mut response = Response::new(200);
                    response.set_body("fixtures");
                    response
                };
                server::connection(stream, &options, || false, handler).await
            });
        }
    });
    address
}

/// What the callers share.
struct Bench {
    pool: pool::TargetPool,
    boxes: Vec<SocketAddr>,
    next: AtomicUsize,
    budget: Mutex<retry::RetryBudget>,
    failed: AtomicUsize,
    refused_hedges: AtomicUsize,
}

impl Bench {
    fn pick(&self) -> SocketAddr {
        self.boxes[self.next.fetch_add(1, Ordering::Relaxed) % self.boxes.len()]
    }

    fn may_hedge(&self) -> bool {
        let question = retry::HedgeContext {
            idempotent: true,
            tries: 1,
            customer_has_room: true,
            body_replayable: true,
            deadline: deadline::RequestDeadline {
                at: TimeStamp::ZERO.after(TIMEOUT),
            },
        };
        let options = retry::RetryOptions::default();
        let mut budget = self.budget.lock().expect("no holder panics");
        let may = retry::hedge(&question, &options, &mut budget, TimeStamp::ZERO);
        self.refused_hedges
            .fetch_add(usize::from(!may), Ordering::Relaxed);
        may
    }

    async fn look_up(&self) -> bool {
        self.budget.lock().expect("no holder panics").earn();
        let first = self.pick();
        let url = Url::parse("http://target/fixtures").expect("a constant");
        let options = client::ExchangeOptions {
            response_timeout: TIMEOUT,
            ..client::ExchangeOptions::default()
        };
        let hedge = pool::hedge::HedgeOptions { after: HEDGE_AFTER };
        let request = |_| Request::get(url.clone());
        let exchanged = self
            .pool
            .exchange_hedged(first, request, &options, hedge, || {
                self.may_hedge().then_some(first)
            })
            .await;
        match exchanged {
            Ok(mut outcome) => outcome.response.body_bytes().await.is_ok(),
            Err(_) => false,
        }
    }
}

async fn caller(bench: &Bench, until: Instant) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("a valid precision");
    while Instant::now() < until {
        let start = Instant::now();
        let whole = bench.look_up().await;
        bench
            .failed
            .fetch_add(usize::from(!whole), Ordering::Relaxed);
        let latency = start.elapsed().as_micros() as u64;
        latencies.record(latency).expect("it grows as needed");
        task::sleep(PAUSE).await;
    }
    latencies
}

/// Latencies of the look-ups that begin within `span`, microseconds.
async fn phase(bench: &Bench, span: Duration) -> Histogram<u64> {
    let until = Instant::now() + span;
    let callers = (0..CALLERS).map(|_| caller(bench, until));
    let mut all = Histogram::<u64>::new(3).expect("a valid precision");
    for latencies in future::join_all(callers).await {
        all.add(latencies).expect("the same precision");
    }
    all
}

fn p99_millis(latencies: &Histogram<u64>) -> f64 {
    latencies.value_at_quantile(0.99) as f64 / 1_000.0
}

/// Runs the measurement; the seed is not used, for nothing is drawn at random.
pub fn run(_seed: u64, report: &mut FigureReport) {
    task::block_on(measure(report));
}

async fn measure(report: &mut FigureReport) {
    let epochs: Vec<_> = (0..TARGETS).map(|_| Arc::new(AtomicU64::new(0))).collect();
    let mut boxes = Vec::new();
    for epoch in &epochs {
        boxes.push(middle_box(target().await, epoch.clone()).await);
    }
    let bench = Bench {
        pool: pool::TargetPool::new(pool::PoolOptions::default()),
        boxes,
        next: AtomicUsize::new(0),
        budget: Mutex::new(retry::RetryBudget::new(20, 100)),
        failed: AtomicUsize::new(0),
        refused_hedges: AtomicUsize::new(0),
    };
    phase(&bench, PHASE).await;
    let before = p99_millis(&phase(&bench, PHASE).await);
    for epoch in epochs.iter().take(TARGETS / 2) {
        epoch.fetch_add(1, Ordering::SeqCst);
    }
    let first = phase(&bench, FIRST_PHASE).await;
    phase(&bench, PHASE).await;
    let later = p99_millis(&phase(&bench, PHASE).await);
    let none = FigureTarget::None;
    report.figure("p99-before", before, "ms", none);
    report.figure("lookups-at-first", first.len() as f64, "look-ups", none);
    let added = (p99_millis(&first) - before).max(0.0);
    let bound = FigureTarget::AtMost(FIRST_MILLIS);
    report.figure("p99-added-at-first", added, "ms", bound);
    report.figure("longest-at-first", first.max() as f64 / 1_000.0, "ms", none);
    let added = (later - before).max(0.0);
    let bound = FigureTarget::AtMost(NOISE_MILLIS);
    report.figure("p99-added-2s-later", added, "ms", bound);
    let failed = bench.failed.load(Ordering::Relaxed) as f64;
    report.figure(
        "not-answered",
        failed,
        "look-ups",
        FigureTarget::AtMost(0.0),
    );
    let refused = bench.refused_hedges.load(Ordering::Relaxed) as f64;
    report.figure("hedges-without-budget", refused, "look-ups", none);
}
