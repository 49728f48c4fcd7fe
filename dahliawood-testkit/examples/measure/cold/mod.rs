//! One target that comes back cold: the ramp by answers against a ramp by the clock and none.
//!
//! One VM and one region of the ledgers in Colombia. A cold target fetches what it lacks from one
//! source behind it, so that each request takes longer the more run there at once.

use crate::steer::event_queue::EventQueue;
use crate::steer::load::{
    COLOMBIA, LoadCase, LoadFault, LoadRequest, ServiceDistribution, WITHIN_REGION_US, requests,
    vm_region,
};
use dahliawood_model::keys::{CustomerKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_steer::{choice, health, queue, target};
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

const SERVICE: ServiceKey = ServiceKey(0);
/// The target that comes back; it is in the first region.
const COLD: TargetKey = TargetKey(0);
const PERCENT: u32 = 60;
const SECONDS: u64 = 60;
const STOP_US: u64 = 10_000_000;
const RETURN_US: u64 = 15_000_000;
/// After this time the return is over, microseconds.
const SETTLED_US: u64 = 45_000_000;
const TICK_US: u64 = 100_000;
/// How long the ramp by the clock takes, microseconds.
const CLOCK_RAMP_US: u64 = 10_000_000;
/// What each request that runs at a cold target adds to the time of one, as a multiple.
const COLD_EXTRA: f64 = 2.0;
/// Answers that warm a target to a third of its coldness.
const WARMING_ANSWERS: f64 = 600.0;
const LATEST_START_US: u64 = 5_000_000;

/// How a target comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum ReturnPolicy {
    /// With its full share at once.
    #[display("at-once")]
    AtOnce,
    /// With slots that grow with time.
    #[display("by-clock")]
    ByClock,
    /// On the package's ramp.
    #[display("by-answers")]
    ByAnswers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ColdEvent {
    Arrival(usize),
    Answer { index: usize, target: u32 },
    Tick,
}

struct ColdBench<'a> {
    policy: ReturnPolicy,
    requests: &'a [LoadRequest],
    events: EventQueue<ColdEvent>,
    config: tables::FleetConfig,
    table: target::TargetTable,
    waiting: queue::WaitQueue<usize>,
    flights: Vec<Option<target::FlightKey>>,
    sent_us: Vec<u64>,
    cold_served: f64,
    latencies: Histogram<u64>,
    cold_latencies: Histogram<u64>,
    refused: u64,
    rng: SmallRng,
}

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    let case = LoadCase {
        size: COLOMBIA,
        distribution: ServiceDistribution::Light,
        percent: PERCENT,
        fault: LoadFault::None,
        seconds: SECONDS,
    };
    let mut requests = requests(&case, seed);
    requests.retain(|request| vm_region(request.vm) == 0);
    for policy in [
        ReturnPolicy::AtOnce,
        ReturnPolicy::ByClock,
        ReturnPolicy::ByAnswers,
    ] {
        let bench = run_policy(policy, &requests, seed);
        let mut info = |label: &str, value: f64, unit: &str| {
            report.figure(
                format!("cold.{policy}.{label}"),
                value,
                unit,
                FigureTarget::None,
            );
        };
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        info("p50", ms(&bench.latencies, 0.5), "ms");
        info("p99", ms(&bench.latencies, 0.99), "ms");
        info("p999", ms(&bench.latencies, 0.999), "ms");
        info("cold-target-p99", ms(&bench.cold_latencies, 0.99), "ms");
        info("refused", bench.refused as f64, "requests");
        info(
            "cold-target-answers",
            bench.cold_latencies.len() as f64,
            "requests",
        );
    }
}

fn run_policy(policy: ReturnPolicy, requests: &[LoadRequest], seed: u64) -> ColdBench<'_> {
    let config = COLOMBIA.config();
    let mut table = target::TargetTable::build(&config, RegionKey(0), TimeStamp::ZERO);
    for key in config.targets.keys() {
        let is_near = config.target_region(key) == RegionKey(0);
        table.set_slot_limit(key, if is_near { COLOMBIA.slots } else { 0 });
    }
    let mut bench = ColdBench {
        policy,
        requests,
        events: EventQueue::new(),
        config,
        table,
        waiting: queue::WaitQueue::default(),
        flights: vec![None; requests.len()],
        sent_us: vec![0; requests.len()],
        cold_served: 0.0,
        latencies: histogram(),
        cold_latencies: histogram(),
        refused: 0,
        rng: SmallRng::seed_from_u64(seed),
    };
    for (index, request) in requests.iter().enumerate() {
        bench
            .events
            .schedule(request.arrival_us, ColdEvent::Arrival(index));
    }
    bench.events.schedule(0, ColdEvent::Tick);
    while let Some((now_us, event)) = bench.events.next() {
        match event {
            ColdEvent::Arrival(index) => bench.arrive(now_us, index),
            ColdEvent::Answer { index, target } => bench.answer(now_us, index, target),
            ColdEvent::Tick => bench.tick(now_us),
        }
    }
    bench
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(100_000_000, 3).expect("three digits are valid")
}

fn stamp(now_us: u64) -> TimeStamp {
    TimeStamp::from_micros(now_us)
}

impl ColdBench<'_> {
    fn arrive(&mut self, now_us: u64, index: usize) {
        if self.waiting.is_empty() && self.place(now_us, index) {
            return;
        }
        let request = &self.requests[index];
        let entry = queue::WaitEntry {
            customer: Some(CustomerKey(request.customer as u32)),
            weight: 1,
            deadline: stamp(request.arrival_us + LATEST_START_US),
            item: index,
        };
        let rate = choice::slot_rate(self.table.service(SERVICE));
        let pushed = queue::push(&mut self.waiting, entry, rate, stamp(now_us));
        self.refused += u64::from(pushed.is_err());
    }

    fn place(&mut self, now_us: u64, index: usize) -> bool {
        let query = choice::ChoiceQuery {
            service: SERVICE,
            exclude: &[],
            idempotent: true,
            waiting: self.waiting.len() as u32,
            headroom: &|_| choice::SpilloverHeadroom::NONE,
        };
        let chosen = choice::choose(&mut self.table, &query, stamp(now_us), &mut self.rng);
        let choice::Choice::Target(key, _) = chosen else {
            return false;
        };
        self.flights[index] = choice::begin(&mut self.table, key);
        self.sent_us[index] = now_us;
        let service_us = self.service_us(now_us, index, key);
        let answer = ColdEvent::Answer {
            index,
            target: key.0,
        };
        self.events
            .schedule(now_us + 2 * WITHIN_REGION_US + service_us, answer);
        true
    }

    fn service_us(&mut self, now_us: u64, index: usize, key: TargetKey) -> u64 {
        let demand_us = self.requests[index].demand_us;
        if key != COLD || now_us < RETURN_US {
            return demand_us;
        }
        self.cold_served += 1.0;
        let coldness = (-self.cold_served / WARMING_ANSWERS).exp();
        let running = self.table.get(key).map_or(0, |state| state.in_flight);
        (demand_us as f64 * (1.0 + coldness * COLD_EXTRA * f64::from(running))) as u64
    }

    fn answer(&mut self, now_us: u64, index: usize, target: u32) {
        let report = health::ResultReport {
            kind: health::ResultKind::Answered,
            latency: Duration::from_micros(now_us - self.sent_us[index]),
        };
        if let Some(flight) = self.flights[index].take() {
            choice::finish(&mut self.table, flight, report, stamp(now_us));
        }
        self.note(now_us, index, target);
        self.serve(now_us);
    }

    fn note(&mut self, now_us: u64, index: usize, target: u32) {
        let is_cold = target == COLD.0;
        if (RETURN_US..SETTLED_US).contains(&now_us) {
            let latency_us = now_us - self.requests[index].arrival_us;
            self.latencies.saturating_record(latency_us);
            if is_cold {
                self.cold_latencies.saturating_record(latency_us);
            }
        }
    }

    fn serve(&mut self, now_us: u64) {
        while let Some(entry) = queue::pop(&mut self.waiting) {
            if !self.place(now_us, entry.item) {
                queue::requeue(&mut self.waiting, entry);
                return;
            }
        }
    }

    fn tick(&mut self, now_us: u64) {
        if now_us == STOP_US {
            self.stop(now_us);
        }
        if now_us >= RETURN_US {
            self.come_back(now_us);
        }
        let rate = choice::slot_rate(self.table.service(SERVICE));
        let late = queue::refuse_late(&mut self.waiting, rate, stamp(now_us));
        self.refused += late.len() as u64;
        self.serve(now_us);
        if now_us < SECONDS * 1_000_000 {
            self.events.schedule(now_us + TICK_US, ColdEvent::Tick);
        }
    }

    fn stop(&mut self, now_us: u64) {
        if self.policy != ReturnPolicy::ByAnswers {
            self.table.set_slot_limit(COLD, 0);
            return;
        }
        self.config.drains.push(tables::DrainSpec {
            subject: tables::DrainSubject::Target(COLD),
            over: Duration::ZERO,
        });
        self.table
            .reconfigure(&self.config, RegionKey(0), stamp(now_us));
    }

    fn come_back(&mut self, now_us: u64) {
        let all = COLOMBIA.slots;
        let grown = (now_us - RETURN_US) * u64::from(all) / CLOCK_RAMP_US;
        match self.policy {
            ReturnPolicy::AtOnce => self.table.set_slot_limit(COLD, all),
            ReturnPolicy::ByClock => self.table.set_slot_limit(COLD, (grown as u32 + 1).min(all)),
            ReturnPolicy::ByAnswers if now_us == RETURN_US => {
                self.config.drains.clear();
                self.table
                    .reconfigure(&self.config, RegionKey(0), stamp(now_us));
            }
            ReturnPolicy::ByAnswers => {}
        }
    }
}
