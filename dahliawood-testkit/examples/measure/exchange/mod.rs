//! Exchanges over loopback by several connections at once, and their latencies.

use async_std::task;
use dahliawood_wire::{client, pool};
use futures::AsyncReadExt;
use futures::future;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What is exchanged.
#[derive(Clone, Debug)]
pub struct ExchangePlan {
    /// With whom.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Value of `Authorization`.
    pub bearer: Option<String>,
    /// Connections at once, one exchange each at a time.
    pub connections: usize,
    /// Exchanges of each connection.
    pub exchanges: usize,
}

/// What came of it.
pub struct ExchangeTally {
    /// Latencies to the last byte, microseconds.
    pub latency: Histogram<u64>,
    /// Exchanges without a whole answer of status 200.
    pub failed: u64,
    /// Bytes of bodies.
    pub bytes: u64,
    /// From the first exchange to the end of the last.
    pub taken: Duration,
}

impl ExchangeTally {
    fn new() -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are in range"),
            failed: 0,
            bytes: 0,
            taken: Duration::ZERO,
        }
    }

    /// Whole answers a second.
    pub fn per_second(&self) -> f64 {
        self.latency.len() as f64 / self.taken.as_secs_f64()
    }

    /// Bytes of bodies a second.
    pub fn bytes_per_second(&self) -> f64 {
        self.bytes as f64 / self.taken.as_secs_f64()
    }

    /// A quantile of the latency, microseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64
    }
}

/// Runs the whole plan.
pub async fn run(plan: &ExchangePlan) -> ExchangeTally {
    let start = Instant::now();
    let tasks = (0..plan.connections).map(|_| task::spawn(connection(plan.clone())));
    let mut total = ExchangeTally::new();
    for tally in future::join_all(tasks).await {
        total
            .latency
            .add(&tally.latency)
            .expect("a resizing histogram takes any other");
        total.failed += tally.failed;
        total.bytes += tally.bytes;
    }
    total.taken = start.elapsed();
    total
}

/// The exchanges of one connection.
async fn connection(plan: ExchangePlan) -> ExchangeTally {
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    let mut tally = ExchangeTally::new();
    for _ in 0..plan.exchanges {
        let start = Instant::now();
        match exchange(&pool, &plan).await {
            Some(bytes) => {
                tally.bytes += bytes as u64;
                let micros = start.elapsed().as_micros() as u64;
                tally
                    .latency
                    .record(micros)
                    .expect("a resizing histogram holds any latency");
            }
            None => tally.failed += 1,
        }
    }
    tally
}

/// One exchange to the last byte; the size of the answer's body, `None` without a whole one.
async fn exchange(pool: &pool::TargetPool, plan: &ExchangePlan) -> Option<usize> {
    let url = Url::parse(&format!("http://{}{}", plan.address, plan.path)).ok()?;
    let mut request = Request::new(Method::Get, url);
    if let Some(bearer) = &plan.bearer {
        request.insert_header("authorization", bearer.as_str());
    }
    let options = client::ExchangeOptions::default();
    let choice = pool::ConnectionChoice::Any;
    let exchanged = pool.exchange(plan.address, choice, request, &options).await;
    let mut response = exchanged.ok()?.response;
    let mut body = Vec::new();
    response.read_to_end(&mut body).await.ok()?;
    (response.status() == 200).then_some(body.len())
}
