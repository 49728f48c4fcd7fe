//! Measures look-up latency when all open connections to half of the targets go silent at once.
//!
//! The measurement uses real loopback sockets and the real connection pool. Between the pool and
//! each target is a middlebox that relays bytes and can lose the state of its connections: bytes on
//! them are still read, as if acknowledged, but dropped, while new connections work.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::{deadline, retry};
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

/// Number of targets of the catalogue look-up service.
const TARGETS: usize = 20;
/// Number of callers; each has one look-up in flight at a time.
const CALLERS: usize = 64;
/// Pause of a caller between two look-ups.
const PAUSE: Duration = Duration::from_millis(5);
/// Service time of a target.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Delay after which a look-up without an answer is hedged.
const HEDGE_AFTER: Duration = Duration::from_millis(100);
/// Timeout of a look-up.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Duration of a phase.
const PHASE: Duration = Duration::from_secs(2);
/// Duration of the first phase after the loss. It is short, so that most of its look-ups are
/// those that meet a silent connection.
const FIRST_PHASE: Duration = Duration::from_millis(200);
/// Bound on the added p99 latency in the first phase after the loss, milliseconds.
const FIRST_ADDED_MILLIS: f64 = 250.0;
/// Bound on the added p99 latency later, which allows for noise of the machine, milliseconds.
const LATER_ADDED_MILLIS: f64 = HEDGE_AFTER.as_millis() as f64 / 2.0;

/// Starts a middlebox in front of one target; it drops the bytes of all connections that were
/// opened before `epoch` last changed.
async fn start_middlebox(target: SocketAddr, epoch: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(caller)) = incoming.next().await {
            let target = TcpStream::connect(target).await.expect("loopback");
            let opened_epoch = epoch.load(Ordering::SeqCst);
            let is_lost =
                |epoch: Arc<AtomicU64>| move || epoch.load(Ordering::SeqCst) != opened_epoch;
            task::spawn(relay(
                caller.clone(),
                target.clone(),
                is_lost(epoch.clone()),
            ));
            task::spawn(relay(target, caller, is_lost(epoch.clone())));
        }
    });
    address
}

async fn relay(mut from: TcpStream, mut to: TcpStream, is_lost: impl Fn() -> bool) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes).await {
        let relayed = is_lost() || to.write_all(&bytes[..count]).await.is_ok();
        if count == 0 || !relayed {
            break;
        }
    }
    if !is_lost() {
        drop(to.close().await);
    }
}

async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("a bound socket");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            task::spawn(async move {
                let options = server::ConnectionOptions::default();
                let handler = |_| async {
                    task::sleep(SERVICE_TIME).await;
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

/// State that all callers share.
struct CallerContext {
    pool: pool::TargetPool,
    middleboxes: Vec<SocketAddr>,
    next: AtomicUsize,
    budget: Mutex<retry::RetryBudget>,
    failed: AtomicUsize,
    refused_hedges: AtomicUsize,
}

impl CallerContext {
    fn next_middlebox(&self) -> SocketAddr {
        self.middleboxes[self.next.fetch_add(1, Ordering::Relaxed) % self.middleboxes.len()]
    }

    fn may_hedge(&self) -> bool {
        let hedge_context = retry::HedgeContext {
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
        let is_allowed = retry::hedge(&hedge_context, &options, &mut budget, TimeStamp::ZERO);
        self.refused_hedges
            .fetch_add(usize::from(!is_allowed), Ordering::Relaxed);
        is_allowed
    }

    async fn look_up(&self) -> bool {
        self.budget.lock().expect("no holder panics").earn();
        let first = self.next_middlebox();
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

async fn run_caller(context: &CallerContext, until: Instant) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("a valid precision");
    while Instant::now() < until {
        let start = Instant::now();
        let is_complete = context.look_up().await;
        context
            .failed
            .fetch_add(usize::from(!is_complete), Ordering::Relaxed);
        let latency = start.elapsed().as_micros() as u64;
        latencies
            .record(latency)
            .expect("an auto-resizing histogram takes any latency");
        task::sleep(PAUSE).await;
    }
    latencies
}

/// Runs all callers for `span`; returns the latencies of the look-ups that they began,
/// microseconds.
async fn run_phase(context: &CallerContext, span: Duration) -> Histogram<u64> {
    let until = Instant::now() + span;
    let callers = (0..CALLERS).map(|_| run_caller(context, until));
    let mut all = Histogram::<u64>::new(3).expect("a valid precision");
    for latencies in future::join_all(callers).await {
        all.add(latencies).expect("the same precision");
    }
    all
}

fn p99_millis(latencies: &Histogram<u64>) -> f64 {
    latencies.value_at_quantile(0.99) as f64 / 1_000.0
}

/// Runs the measurement; the seed is unused, as nothing is drawn at random.
pub fn run(_seed: u64, report: &mut FigureReport) {
    task::block_on(measure(report));
}

async fn measure(report: &mut FigureReport) {
    let epochs: Vec<_> = (0..TARGETS).map(|_| Arc::new(AtomicU64::new(0))).collect();
    let mut middleboxes = Vec::new();
    for epoch in &epochs {
        middleboxes.push(start_middlebox(start_target().await, epoch.clone()).await);
    }
    let context = CallerContext {
        pool: pool::TargetPool::new(pool::PoolOptions::default()),
        middleboxes,
        next: AtomicUsize::new(0),
        budget: Mutex::new(retry::RetryBudget::new(20, 100)),
        failed: AtomicUsize::new(0),
        refused_hedges: AtomicUsize::new(0),
    };
    run_phase(&context, PHASE).await;
    let before = p99_millis(&run_phase(&context, PHASE).await);
    for epoch in epochs.iter().take(TARGETS / 2) {
        epoch.fetch_add(1, Ordering::SeqCst);
    }
    let first = run_phase(&context, FIRST_PHASE).await;
    run_phase(&context, PHASE).await;
    let later = p99_millis(&run_phase(&context, PHASE).await);
    let none = FigureTarget::None;
    report.figure("p99-before", before, "ms", none);
    report.figure("lookups-at-first", first.len() as f64, "look-ups", none);
    let added = (p99_millis(&first) - before).max(0.0);
    let bound = FigureTarget::AtMost(FIRST_ADDED_MILLIS);
    report.figure("p99-added-at-first", added, "ms", bound);
    report.figure("longest-at-first", first.max() as f64 / 1_000.0, "ms", none);
    let added = (later - before).max(0.0);
    let bound = FigureTarget::AtMost(LATER_ADDED_MILLIS);
    report.figure("p99-added-2s-later", added, "ms", bound);
    let failed = context.failed.load(Ordering::Relaxed) as f64;
    report.figure(
        "not-answered",
        failed,
        "look-ups",
        FigureTarget::AtMost(0.0),
    );
    let refused = context.refused_hedges.load(Ordering::Relaxed) as f64;
    report.figure("hedges-without-budget", refused, "look-ups", none);
}
