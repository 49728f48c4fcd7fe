//! The demo's callers: each customer calls its services at a part of its rate.

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

/// The part of its rate that each customer sends.
const RATE_SHARE: f64 = 0.8;
/// The most requests a second of one customer in the demo, so that it runs on a small machine.
const MOST_RATE: f64 = 60.0;
/// Callers of one customer and service, who share its requests.
const CALLERS: usize = 4;
/// Seed of the arrivals.
const SEED: u64 = 1;

/// Who sends what for how long.
pub struct TrafficPlan {
    /// One for each customer and service.
    pub senders: Vec<SenderPlan>,
    /// VMs to ask.
    seeds: Vec<SocketAddr>,
    length: Duration,
}

/// One customer's requests to one service.
#[derive(Clone, Debug)]
pub struct SenderPlan {
    /// The customer.
    pub customer: String,
    /// Its key.
    pub key: String,
    /// The service.
    pub service: String,
    /// Path of the requests.
    pub path: String,
    method: Method,
    is_idempotent: bool,
    /// Requests a second.
    rate: f64,
}

/// What one customer got from one service.
pub struct SenderTally {
    /// Latencies of whole answers, microseconds.
    pub latency: Histogram<u64>,
    /// Requests by what came of them: `ok`, a problem's type or `no answer`.
    pub results: BTreeMap<String, u64>,
}

/// Results by customer and service.
pub type TrafficTally = BTreeMap<(String, String), SenderTally>;

impl TrafficPlan {
    /// Everyone who is granted a service, with the example keys.
    pub fn new(fleet: &fleet::EmbeddedFleet, keys: &str, length: Duration) -> Self {
        let config = &fleet.config;
        let mut senders = Vec::new();
        for customer in config.customers.values() {
            let Some(key) = example_key(keys, &customer.name) else {
                continue;
            };
            let rate = (customer.rate.per_second() * RATE_SHARE).min(MOST_RATE);
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
            length,
        }
    }
}

/// The first key of a customer in the table of example keys.
fn example_key(keys: &str, customer: &str) -> Option<String> {
    let row = keys
        .lines()
        .find(|line| line.starts_with(&format!("| {customer} |")))?;
    let key = row.split('`').nth(1)?;
    Some(key.to_owned())
}

/// Sends everything and gathers what came of it.
pub async fn run(plan: &TrafficPlan) -> TrafficTally {
    let tally = Arc::new(Mutex::new(TrafficTally::new()));
    let mut tasks = Vec::new();
    for (index, sender) in plan.senders.iter().enumerate() {
        for number in 0..CALLERS {
            let mut seeds = plan.seeds.clone();
            let turn = (index + number) % seeds.len();
            seeds.rotate_left(turn);
            let rng = StdRng::seed_from_u64(SEED + (index * CALLERS + number) as u64);
            let tally = Arc::clone(&tally);
            tasks.push(task::spawn(send(
                sender.clone(),
                seeds,
                plan.length,
                rng,
                tally,
            )));
        }
    }
    future::join_all(tasks).await;
    Arc::into_inner(tally)
        .map(|tally| tally.into_inner().unwrap_or_else(PoisonError::into_inner))
        .unwrap_or_default()
}

/// One caller's requests, at random times.
async fn send(
    sender: SenderPlan,
    seeds: Vec<SocketAddr>,
    length: Duration,
    mut rng: StdRng,
    tally: Arc<Mutex<TrafficTally>>,
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
    let end = Instant::now() + length;
    let rate = sender.rate / CALLERS as f64;
    loop {
        let gap = Duration::from_secs_f64(-rng.random::<f64>().max(f64::EPSILON).ln() / rate);
        task::sleep(gap.min(length)).await;
        if Instant::now() >= end {
            return;
        }
        let outcome = caller.call(&request).await;
        record(&tally, &sender, &outcome);
    }
}

/// Adds one outcome.
fn record(tally: &Mutex<TrafficTally>, sender: &SenderPlan, outcome: &caller::CallerOutcome) {
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    let key = (sender.customer.clone(), sender.service.clone());
    let entry = tally.entry(key).or_insert_with(|| SenderTally {
        latency: Histogram::new(3).expect("three digits are in range"),
        results: BTreeMap::new(),
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
    *entry.results.entry(result).or_default() += 1;
}
