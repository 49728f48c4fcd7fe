//! Traffic of the demo: each customer calls its services at a fraction of its rate limit.

use async_std::task;
use dahliawood_testkit::{caller, fleet};
use futures::future;
use hdrhistogram::Histogram;
use http_types::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Fraction of its rate limit at which each customer sends.
const RATE_FRACTION: f64 = 0.8;
/// Maximum requests per second of one customer, so that the demo runs on a small machine.
const MAX_RATE: f64 = 60.0;
/// Number of callers among which the requests of one customer to one service are divided.
const CALLERS: usize = 4;
/// Seed of the random arrival times.
const SEED: u64 = 1;

/// The traffic to send and its duration.
pub struct TrafficPlan {
    /// One sender for each customer and service.
    pub senders: Vec<SenderPlan>,
    /// Addresses of the VMs that callers look services up at.
    seeds: Vec<SocketAddr>,
    duration: Duration,
}

/// One customer's requests to one service.
#[derive(Clone, Debug)]
pub struct SenderPlan {
    /// Name of the customer.
    pub customer: String,
    /// Plaintext key of the customer.
    pub key: String,
    /// Name of the service.
    pub service: String,
    /// Path of the requests.
    pub path: String,
    method: Method,
    is_idempotent: bool,
    /// Requests per second.
    rate: f64,
}

/// Results of one customer's requests to one service.
pub struct SenderResults {
    /// Latencies of successful responses, microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests by result: `ok`, a problem type, a status or `no answer`.
    pub counts: BTreeMap<String, u64>,
}

/// Results by customer and service.
pub type TrafficResults = BTreeMap<(String, String), SenderResults>;

impl TrafficPlan {
    /// Plans traffic of every customer with an example key, to each of its services.
    pub fn new(fleet: &fleet::EmbeddedFleet, keys: &str, duration: Duration) -> Self {
        let config = &fleet.config;
        let mut senders = Vec::new();
        for customer in config.customers.values() {
            let Some(key) = example_key(keys, &customer.name) else {
                continue;
            };
            let rate = (customer.rate.per_second() * RATE_FRACTION).min(MAX_RATE);
            let share = rate / customer.services.len().max(1) as f64;
            for service in &customer.services {
                let routes = config.services[*service].routes.iter();
                let Some(route) = routes
                    .map(|key| &config.routes[*key])
                    .find(|route| !route.open)
                else {
                    continue;
                };
                senders.push(SenderPlan {
                    customer: customer.name.clone(),
                    key: key.clone(),
                    service: config.services[*service].name.clone(),
                    path: format!("{}/demo", route.path),
                    method: route.methods[0].parse().unwrap_or(Method::Get),
                    is_idempotent: route.idempotent,
                    rate: share,
                });
            }
        }
        let seeds = fleet.daemons.iter().map(|daemon| daemon.listen).collect();
        Self {
            senders,
            seeds,
            duration,
        }
    }
}

/// The first key of `customer` in the README's table of example keys.
fn example_key(keys: &str, customer: &str) -> Option<String> {
    let row = keys
        .lines()
        .find(|line| line.starts_with(&format!("| {customer} |")))?;
    let key = row.split('`').nth(1)?;
    Some(key.to_owned())
}

/// Sends the planned traffic and collects the results.
pub async fn run(plan: &TrafficPlan) -> TrafficResults {
    let results = Arc::new(Mutex::new(TrafficResults::new()));
    let mut tasks = Vec::new();
    for (index, sender) in plan.senders.iter().enumerate() {
        for number in 0..CALLERS {
            let mut seeds = plan.seeds.clone();
            let first = (index + number) % seeds.len();
            seeds.rotate_left(first);
            let rng = StdRng::seed_from_u64(SEED + (index * CALLERS + number) as u64);
            let results = Arc::clone(&results);
            tasks.push(task::spawn(send(
                sender.clone(),
                seeds,
                plan.duration,
                rng,
                results,
            )));
        }
    }
    future::join_all(tasks).await;
    Arc::into_inner(results)
        .map(|results| results.into_inner().unwrap_or_else(PoisonError::into_inner))
        .unwrap_or_default()
}

/// Sends one caller's requests, with exponentially distributed pauses between them.
async fn send(
    sender: SenderPlan,
    seeds: Vec<SocketAddr>,
    duration: Duration,
    mut rng: StdRng,
    results: Arc<Mutex<TrafficResults>>,
) {
    let options = caller::CallerOptions {
        seeds,
        key: Some(sender.key.clone()),
        service: sender.service.clone(),
    };
    let mut caller = caller::FleetCaller::new(options);
    let body = if sender.is_idempotent {
        Vec::new()
    } else {
        b"{\"demo\":true}".to_vec()
    };
    let request = caller::CallerRequest {
        method: sender.method,
        path: sender.path.clone(),
        body,
        is_idempotent: sender.is_idempotent,
    };
    let end = Instant::now() + duration;
    let rate = sender.rate / CALLERS as f64;
    loop {
        let gap = Duration::from_secs_f64(-rng.random::<f64>().max(f64::EPSILON).ln() / rate);
        task::sleep(gap.min(duration)).await;
        if Instant::now() >= end {
            return;
        }
        let outcome = caller.call(&request).await;
        record(&results, &sender, &outcome);
    }
}

/// Adds one outcome to the results.
fn record(results: &Mutex<TrafficResults>, sender: &SenderPlan, outcome: &caller::CallerOutcome) {
    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
    let key = (sender.customer.clone(), sender.service.clone());
    let entry = results.entry(key).or_insert_with(|| SenderResults {
        latency: Histogram::new(3).expect("three digits are in range"),
        counts: BTreeMap::new(),
    });
    let result = match (&outcome.status, &outcome.problem) {
        (None, _) => "no answer".to_owned(),
        (Some(_), Some(problem)) => problem.clone(),
        (Some(status), None) if status.is_success() => "ok".to_owned(),
        (Some(status), None) => status.to_string(),
    };
    if result == "ok" {
        entry
            .latency
            .record(outcome.latency.as_micros() as u64)
            .expect("a resizing histogram holds any latency");
    }
    *entry.counts.entry(result).or_default() += 1;
}
