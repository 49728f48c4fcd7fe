//! Load generator: HTTP exchanges over several loopback connections at once, with their latencies.

use async_std::task;
use dahliawood_wire::{client, pool};
use futures::AsyncReadExt;
use futures::future;
use hdrhistogram::Histogram;
use http_types::{Method, Request, Url};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The requests to send, and over how many connections.
#[derive(Clone, Debug)]
pub struct ExchangePlan {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query of the URL.
    pub path: String,
    /// Value of the `Authorization` header.
    pub bearer: Option<String>,
    /// Number of connections; each has one exchange in flight at a time.
    pub connections: usize,
    /// Number of exchanges on each connection.
    pub exchanges: usize,
}

/// Results of a plan.
pub struct ExchangeTally {
    /// Latencies to the last byte, microseconds.
    pub latency: Histogram<u64>,
    /// Exchanges without a complete answer of status 200.
    pub failed: u64,
    /// Bytes of all answer bodies.
    pub bytes: u64,
    /// Time from the start of the first exchange to the end of the last.
    pub elapsed: Duration,
}

impl ExchangeTally {
    fn new() -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are in range"),
            failed: 0,
            bytes: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Complete answers per second.
    pub fn per_second(&self) -> f64 {
        self.latency.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Bytes of answer bodies per second.
    pub fn bytes_per_second(&self) -> f64 {
        self.bytes as f64 / self.elapsed.as_secs_f64()
    }

    /// A quantile of the latency, microseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64
    }
}

/// Runs a plan on all its connections.
pub async fn run(plan: &ExchangePlan) -> ExchangeTally {
    let start = Instant::now();
    let tasks = (0..plan.connections).map(|_| task::spawn(run_connection(plan.clone())));
    let mut total = ExchangeTally::new();
    for tally in future::join_all(tasks).await {
        total
            .latency
            .add(&tally.latency)
            .expect("a resizing histogram takes any other");
        total.failed += tally.failed;
        total.bytes += tally.bytes;
    }
    total.elapsed = start.elapsed();
    total
}

/// Runs the exchanges of one connection.
async fn run_connection(plan: ExchangePlan) -> ExchangeTally {
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

/// Runs one exchange up to the last byte; returns the size of the body, or `None` without a
/// complete answer of status 200.
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
