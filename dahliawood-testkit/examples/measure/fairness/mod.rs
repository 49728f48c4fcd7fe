//! Measures how one customer that sends five times its rate affects the other customers of a VM.

use dahliawood_model::{keys, stamp};
use dahliawood_quota::{amount, bucket, queue};
use dahliawood_testkit::figures::{self, FigureTarget};
use rand::{Rng, SeedableRng, rngs};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Requests per second and burst of each customer.
const CUSTOMERS: [(u64, u64); 8] = [
    (400, 200),
    (200, 100),
    (100, 50),
    (50, 25),
    (20, 20),
    (20, 10),
    (10, 5),
    (5, 5),
];
/// Index of the customer that sends more than its rate (the hog), and the factor by which it does.
const HOG: usize = 1;
const HOG_FACTOR: f64 = 5.0;
/// Load of each customer, as a share of its rate; the hog sends [`HOG_FACTOR`] times as much.
const LOAD: f64 = 0.9;
/// Number of requests served at once.
const WORKERS: usize = 7;
/// Service time of a short and of a long request, microseconds, and the percentage of long ones.
const SHORT_MICROS: u64 = 5_000;
const LONG_MICROS: u64 = 60_000;
const LONG_PERCENT: u32 = 5;
const SECOND_MICROS: u64 = 1_000_000;
const SECONDS: u64 = 600;
const DEADLINE: Duration = Duration::from_secs(2);
/// Bound on the ratio of another customer's p99 with the hog to its p99 without.
const P99_RATIO_MAX: f64 = 1.2;

/// Runs the measurement.
pub fn measure(seed: u64, report: &mut figures::FigureReport) {
    let without_hog = serve(1.0, seed);
    let with_hog = serve(HOG_FACTOR, seed);
    let others = || (0..CUSTOMERS.len()).filter(|customer| *customer != HOG);
    let refused: u64 = others().map(|customer| with_hog[customer].refused).sum();
    let none = FigureTarget::AtMost(0.0);
    report.figure(
        "others.refused-inside-rate",
        refused as f64,
        "requests",
        none,
    );
    let mut worst: f64 = 0.0;
    for customer in others() {
        let (before, after) = (without_hog[customer].p99(), with_hog[customer].p99());
        worst = worst.max(after as f64 / before as f64);
        let name = format!("customer-{customer}.p99");
        report.figure(
            format!("{name}.without"),
            before as f64,
            "us",
            FigureTarget::None,
        );
        report.figure(
            format!("{name}.with"),
            after as f64,
            "us",
            FigureTarget::None,
        );
    }
    let (rate, burst) = CUSTOMERS[HOG];
    let max_served = rate as f64 + burst as f64 / SECONDS as f64;
    let target = FigureTarget::AtMost(P99_RATIO_MAX);
    report.figure("others.p99.ratio.worst", worst, "times", target);
    let hog = &with_hog[HOG];
    let served = hog.served as f64 / SECONDS as f64;
    report.figure(
        "hog.served",
        served,
        "1/s",
        FigureTarget::AtMost(max_served),
    );
}

/// Results of one customer's requests.
#[derive(Clone, Debug, Default)]
struct CustomerTally {
    /// Time from arrival to the end of service of each short request, microseconds.
    latencies: Vec<u64>,
    served: u64,
    /// Requests that the rate limit admitted and the queue then refused or let expire.
    refused: u64,
}

impl CustomerTally {
    fn p99(&self) -> u64 {
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        latencies[latencies.len() * 99 / 100]
    }
}

struct ServerRun {
    rng: rngs::StdRng,
    buckets: Vec<bucket::TokenBucket>,
    queue: queue::FairQueue<u64>,
    /// Time at which each busy worker becomes free.
    busy: BinaryHeap<Reverse<u64>>,
    /// Time of each customer's next arrival.
    arrivals: BinaryHeap<Reverse<(u64, usize)>>,
    hog_factor: f64,
    tallies: Vec<CustomerTally>,
}

fn serve(hog_factor: f64, seed: u64) -> Vec<CustomerTally> {
    let options = queue::QueueOptions {
        max_waiting: 256,
        quantum: SHORT_MICROS,
        cost_rate: WORKERS as u64 * SECOND_MICROS,
    };
    let mut run = ServerRun {
        rng: rngs::StdRng::seed_from_u64(seed),
        buckets: CUSTOMERS.iter().map(full_bucket).collect(),
        queue: queue::FairQueue::new(options, CUSTOMERS.map(|_| 1)),
        busy: BinaryHeap::new(),
        arrivals: (0..CUSTOMERS.len())
            .map(|customer| Reverse((0, customer)))
            .collect(),
        hog_factor,
        tallies: vec![CustomerTally::default(); CUSTOMERS.len()],
    };
    while run.step() {}
    run.tallies
}

fn full_bucket((rate, burst): &(u64, u64)) -> bucket::TokenBucket {
    let mut bucket = bucket::TokenBucket::new(stamp::TimeStamp::ZERO);
    let burst = amount::TokenAmount::from_whole(*burst);
    bucket.grow(amount::TokenRate::from_whole(*rate), burst);
    bucket.credit(burst);
    bucket
}

impl ServerRun {
    /// Handles the next arrival and all completions before it; returns whether the run goes on.
    fn step(&mut self) -> bool {
        let Some(Reverse((at, customer))) = self.arrivals.pop() else {
            return false;
        };
        while self.busy.peek().is_some_and(|Reverse(end)| *end <= at) {
            let Reverse(end) = self.busy.pop().expect("a worker is busy");
            self.start_next(end);
        }
        self.arrive(customer, at);
        self.start_next(at);
        at < SECONDS * SECOND_MICROS
    }

    fn arrive(&mut self, customer: usize, at: u64) {
        let factor = if customer == HOG {
            self.hog_factor
        } else {
            1.0
        };
        let mean = SECOND_MICROS as f64 / (CUSTOMERS[customer].0 as f64 * LOAD * factor);
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = (-uniform.ln() * mean) as u64;
        self.arrivals.push(Reverse((at + gap, customer)));
        let is_long = self.rng.random_range(0..100) < LONG_PERCENT;
        let now = stamp::TimeStamp::from_micros(at);
        self.buckets[customer].refill(now);
        if !self.buckets[customer].spend(amount::TokenAmount::ONE) {
            return;
        }
        let request = queue::QueuedRequest {
            customer: keys::CustomerKey(customer as u32),
            cost: if is_long { LONG_MICROS } else { SHORT_MICROS },
            class: if is_long {
                queue::CostClass::Long
            } else {
                queue::CostClass::Short
            },
            deadline: now.after(DEADLINE),
            item: at,
        };
        if let queue::QueueOutcome::Refused { .. } = self.queue.push(request, now) {
            self.tallies[customer].refused += 1;
        }
    }

    fn start_next(&mut self, at: u64) {
        while self.busy.len() < WORKERS {
            let popped = self.queue.pop(stamp::TimeStamp::from_micros(at));
            for late in popped.expired {
                self.tallies[late.customer.0 as usize].refused += 1;
            }
            let Some(next) = popped.next else {
                return;
            };
            let end = at + next.cost;
            self.busy.push(Reverse(end));
            let tally = &mut self.tallies[next.customer.0 as usize];
            tally.served += 1;
            if next.class == queue::CostClass::Short {
                tally.latencies.push(end - next.item);
            }
        }
    }
}
