//! Outcomes and latencies of the requests of one run.

use super::load::{CUSTOMERS, DEADLINE_US, LoadCase, LoadRequest};
use hdrhistogram::Histogram;

/// Requests that arrive within this first share of a run are not counted.
const WARM_UP: f64 = 0.1;
/// The longest latency that the histograms distinguish, microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Counts and latencies of one run.
pub struct RunScore {
    counted_from_us: u64,
    counted_us: f64,
    capacity: f64,
    latencies: Histogram<u64>,
    customers: Vec<CustomerScore>,
    in_time: u64,
}

/// Counts and latencies of one customer.
struct CustomerScore {
    latencies: Histogram<u64>,
    refused: u64,
    sent: u64,
}

impl RunScore {
    /// An empty score. The capacity is the number of all slots divided by the mean service time of
    /// `requests`.
    pub fn new(case: &LoadCase, requests: &[LoadRequest]) -> Self {
        let demand_us: u64 = requests.iter().map(|request| request.demand_us).sum();
        let mean_us = demand_us as f64 / requests.len().max(1) as f64;
        let end_us = case.seconds as f64 * 1e6;
        let customer = |_| CustomerScore {
            latencies: histogram(),
            refused: 0,
            sent: 0,
        };
        Self {
            counted_from_us: (end_us * WARM_UP) as u64,
            counted_us: end_us * (1.0 - WARM_UP),
            capacity: case.size.all_slots() as f64 / mean_us,
            latencies: histogram(),
            customers: (0..CUSTOMERS).map(customer).collect(),
            in_time: 0,
        }
    }

    /// Records that a complete answer reached the VM at `now_us`.
    pub fn answered(&mut self, request: &LoadRequest, now_us: u64) {
        if request.arrival_us < self.counted_from_us {
            return;
        }
        let latency_us = now_us - request.arrival_us;
        let customer = &mut self.customers[request.customer];
        customer.sent += 1;
        customer.latencies.saturating_record(latency_us);
        self.latencies.saturating_record(latency_us);
        self.in_time += u64::from(latency_us <= DEADLINE_US);
    }

    /// Records that a request was refused.
    pub fn refused(&mut self, request: &LoadRequest) {
        if request.arrival_us < self.counted_from_us {
            return;
        }
        let customer = &mut self.customers[request.customer];
        customer.sent += 1;
        customer.refused += 1;
    }

    /// A quantile of all latencies, milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Answers within the deadline, as a share of what all slots can serve.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.counted_us / self.capacity
    }

    /// The highest p99 latency among customers, milliseconds.
    pub fn worst_p99_ms(&self) -> f64 {
        let customers = self.customers.iter();
        let p99 = customers.map(|customer| customer.latencies.value_at_quantile(0.99));
        p99.max().unwrap_or(0) as f64 / 1e3
    }

    /// The largest share of refused requests among small customers.
    pub fn worst_small_refused(&self) -> f64 {
        let small = self.customers.iter().skip(super::load::LARGE_CUSTOMERS);
        small
            .map(|customer| customer.refused as f64 / customer.sent.max(1) as f64)
            .fold(0.0, f64::max)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, 3).expect("three digits are valid")
}
