//! What one customer at five times its rate costs the others at one VM.

use dahliawood_model::{keys, stamp};
use dahliawood_quota::{amount, bucket, queue};
use dahliawood_testkit::figures::{self, FigureTarget};
use rand::{Rng, SeedableRng, rngs};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Requests a second and burst of each customer.
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
/// The customer that sends more than its rate, and how many times.
const HOG: usize = 1;
const HOG_TIMES: f64 = 5.0;
const LOAD: f64 = 0.9;
/// Requests served at once.
const WORKERS: usize = 7;
/// Microseconds of a short and of a long request, and how many in a hundred are long.
const SHORT: u64 = 5_000;
const LONG: u64 = 60_000;
const LONG_PERCENT: u32 = 5;
const SECOND: u64 = 1_000_000;
const SECONDS: u64 = 600;
const DEADLINE: Duration = Duration::from_secs(2);
/// The worst p99 of another customer with the hog, times the one without.
const RATIO_MOST: f64 = 1.2;

/// Runs the measurement.
pub fn measure(seed: u64, report: &mut figures::FigureReport) {
    let calm = serve(1.0, seed);
    let hogged = serve(HOG_TIMES, seed);
    let others = || (0..CUSTOMERS.len()).filter(|customer| *customer != HOG);
    let refused: u64 = others().map(|customer| hogged[customer].refused).sum();
    let none = FigureTarget::AtMost(0.0);
    report.figure(
        "others.refused-inside-rate",
        refused as f64,
        "requests",
        none,
    );
    let mut worst: f64 = 0.0;
    for customer in others() {
        let (before, after) = (calm[customer].p99(), hogged[customer].p99());
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
    let most = rate as f64 + burst as f64 / SECONDS as f64;
    let target = FigureTarget::AtMost(RATIO_MOST);
    report.figure("others.p99.ratio.worst", worst, "times", target);
    let hog = &hogged[HOG];
    let served = hog.served as f64 / SECONDS as f64;
    report.figure("hog.served", served, "1/s", FigureTarget::AtMost(most));
}

/// What became of one customer's requests.
#[derive(Clone, Debug, Default)]
struct CustomerSpans {
    /// Microseconds from arrival to the end of service, of short requests.
    spans: Vec<u64>,
    served: u64,
    /// Admitted by the rate and then refused or expired by the queue.
    refused: u64,
}

impl CustomerSpans {
    fn p99(&self) -> u64 {
        let mut spans = self.spans.clone();
        spans.sort_unstable();
        spans[spans.len() * 99 / 100]
    }
}

struct ServerRun {
    rng: rngs::StdRng,
    buckets: Vec<bucket::TokenBucket>,
    queue: queue::FairQueue<u64>,
    /// When each busy worker is free.
    busy: BinaryHeap<Reverse<u64>>,
    /// Next arrival of each customer.
    arrivals: BinaryHeap<Reverse<(u64, usize)>>,
    hog_times: f64,
    spans: Vec<CustomerSpans>,
}

fn serve(hog_times: f64, seed: u64) -> Vec<CustomerSpans> {
    let options = queue::QueueOptions {
        max_waiting: 256,
        quantum: SHORT,
        cost_rate: WORKERS as u64 * SECOND,
    };
    let mut run = ServerRun {
        rng: rngs::StdRng::seed_from_u64(seed),
        buckets: CUSTOMERS.iter().map(full_bucket).collect(),
        queue: queue::FairQueue::new(options, CUSTOMERS.map(|_| 1)),
        busy: BinaryHeap::new(),
        arrivals: (0..CUSTOMERS.len())
            .map(|customer| Reverse((0, customer)))
            .collect(),
        hog_times,
        spans: vec![CustomerSpans::default(); CUSTOMERS.len()],
    };
    while run.step() {}
    run.spans
}

fn full_bucket((rate, burst): &(u64, u64)) -> bucket::TokenBucket {
    let mut bucket = bucket::TokenBucket::new(stamp::TimeStamp::ZERO);
    let burst = amount::TokenAmount::from_whole(*burst);
    bucket.grow(amount::TokenRate::from_whole(*rate), burst);
    bucket.credit(burst);
    bucket
}

impl ServerRun {
    /// Runs the next arrival and all ends before it; says whether there is more.
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
        at < SECONDS * SECOND
    }

    fn arrive(&mut self, customer: usize, at: u64) {
        let times = if customer == HOG { self.hog_times } else { 1.0 };
        let mean = SECOND as f64 / (CUSTOMERS[customer].0 as f64 * LOAD * times);
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
            cost: if is_long { LONG } else { SHORT },
            class: if is_long {
                queue::CostClass::Long
            } else {
                queue::CostClass::Short
            },
            deadline: now.after(DEADLINE),
            item: at,
        };
        if let queue::QueueOutcome::Refused { .. } = self.queue.push(request, now) {
            self.spans[customer].refused += 1;
        }
    }

    fn start_next(&mut self, at: u64) {
        while self.busy.len() < WORKERS {
            let popped = self.queue.pop(stamp::TimeStamp::from_micros(at));
            for late in popped.expired {
                self.spans[late.customer.0 as usize].refused += 1;
            }
            let Some(next) = popped.next else {
                return;
            };
            let end = at + next.cost;
            self.busy.push(Reverse(end));
            let spans = &mut self.spans[next.customer.0 as usize];
            spans.served += 1;
            if next.class == queue::CostClass::Short {
                spans.spans.push(end - next.item);
            }
        }
    }
}
