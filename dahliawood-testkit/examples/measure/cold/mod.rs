//! Compares ramp policies for one target that returns cold: by answers, by elapsed time, and none.
//!
//! One VM and one region of the ledger service in Colombia. A cold target loads the data that it
//! lacks from a single source behind it, so each request takes longer the more of them run there at
//! once.

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
/// The target that stops and returns cold; it is in the first region.
const COLD_TARGET: TargetKey = TargetKey(0);
const LOAD_PERCENT: u32 = 60;
const SECONDS: u64 = 60;
const STOP_US: u64 = 10_000_000;
const RETURN_US: u64 = 15_000_000;
/// Latencies are recorded from the return to this time, microseconds.
const SETTLED_US: u64 = 45_000_000;
const TICK_US: u64 = 100_000;
/// Duration of the ramp by elapsed time, microseconds.
const CLOCK_RAMP_US: u64 = 10_000_000;
/// Extra service time at a cold target for each request in flight there, as a multiple of a warm
/// target's service time.
const COLD_EXTRA: f64 = 2.0;
/// Answers after which a target's extra service time has fallen to about a third (1/e).
const WARMING_ANSWERS: f64 = 600.0;
const LATEST_START_US: u64 = 5_000_000;

/// How a returning target gets its share of requests back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum RampPolicy {
    /// It gets its full share at once.
    #[display("at-once")]
    AtOnce,
    /// Its slot limit grows linearly with time.
    #[display("by-clock")]
    ByClock,
    /// It follows the ramp of `dahliawood-steer`, which advances with its answers.
    #[display("by-answers")]
    ByAnswers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ColdEvent {
    Arrival(usize),
    Answer { index: usize, target: u32 },
    Tick,
}

struct ColdSimulation<'a> {
    policy: RampPolicy,
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
        percent: LOAD_PERCENT,
        fault: LoadFault::None,
        seconds: SECONDS,
    };
    let mut requests = requests(&case, seed);
    requests.retain(|request| vm_region(request.vm) == 0);
    for policy in [
        RampPolicy::AtOnce,
        RampPolicy::ByClock,
        RampPolicy::ByAnswers,
    ] {
        let simulation = run_policy(policy, &requests, seed);
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
        info("p50", ms(&simulation.latencies, 0.5), "ms");
        info("p99", ms(&simulation.latencies, 0.99), "ms");
        info("p999", ms(&simulation.latencies, 0.999), "ms");
        info(
            "cold-target-p99",
            ms(&simulation.cold_latencies, 0.99),
            "ms",
        );
        info("refused", simulation.refused as f64, "requests");
        info(
            "cold-target-answers",
            simulation.cold_latencies.len() as f64,
            "requests",
        );
    }
}

fn run_policy(policy: RampPolicy, requests: &[LoadRequest], seed: u64) -> ColdSimulation<'_> {
    let config = COLOMBIA.config();
    let mut table = target::TargetTable::build(&config, RegionKey(0), TimeStamp::ZERO);
    for key in config.targets.keys() {
        let is_near = config.target_region(key) == RegionKey(0);
        table.set_slot_limit(key, if is_near { COLOMBIA.slots } else { 0 });
    }
    let mut simulation = ColdSimulation {
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
        simulation
            .events
            .schedule(request.arrival_us, ColdEvent::Arrival(index));
    }
    simulation.events.schedule(0, ColdEvent::Tick);
    while let Some((now_us, event)) = simulation.events.next() {
        match event {
            ColdEvent::Arrival(index) => simulation.arrive(now_us, index),
            ColdEvent::Answer { index, target } => simulation.answer(now_us, index, target),
            ColdEvent::Tick => simulation.tick(now_us),
        }
    }
    simulation
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(100_000_000, 3).expect("three digits are valid")
}

fn stamp(now_us: u64) -> TimeStamp {
    TimeStamp::from_micros(now_us)
}

impl ColdSimulation<'_> {
    fn arrive(&mut self, now_us: u64, index: usize) {
        if self.waiting.is_empty() && self.try_send(now_us, index) {
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

    fn try_send(&mut self, now_us: u64, index: usize) -> bool {
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
        if key != COLD_TARGET || now_us < RETURN_US {
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
        self.record_latency(now_us, index, target);
        self.send_waiting(now_us);
    }

    fn record_latency(&mut self, now_us: u64, index: usize, target: u32) {
        let is_cold = target == COLD_TARGET.0;
        if (RETURN_US..SETTLED_US).contains(&now_us) {
            let latency_us = now_us - self.requests[index].arrival_us;
            self.latencies.saturating_record(latency_us);
            if is_cold {
                self.cold_latencies.saturating_record(latency_us);
            }
        }
    }

    fn send_waiting(&mut self, now_us: u64) {
        while let Some(entry) = queue::pop(&mut self.waiting) {
            if !self.try_send(now_us, entry.item) {
                queue::requeue(&mut self.waiting, entry);
                return;
            }
        }
    }

    fn tick(&mut self, now_us: u64) {
        if now_us == STOP_US {
            self.stop_target(now_us);
        }
        if now_us >= RETURN_US {
            self.restore_target(now_us);
        }
        let rate = choice::slot_rate(self.table.service(SERVICE));
        let late = queue::refuse_late(&mut self.waiting, rate, stamp(now_us));
        self.refused += late.len() as u64;
        self.send_waiting(now_us);
        if now_us < SECONDS * 1_000_000 {
            self.events.schedule(now_us + TICK_US, ColdEvent::Tick);
        }
    }

    fn stop_target(&mut self, now_us: u64) {
        if self.policy != RampPolicy::ByAnswers {
            self.table.set_slot_limit(COLD_TARGET, 0);
            return;
        }
        self.config.drains.push(tables::DrainSpec {
            subject: tables::DrainSubject::Target(COLD_TARGET),
            over: Duration::ZERO,
        });
        self.table
            .reconfigure(&self.config, RegionKey(0), stamp(now_us));
    }

    fn restore_target(&mut self, now_us: u64) {
        let all = COLOMBIA.slots;
        let grown = (now_us - RETURN_US) * u64::from(all) / CLOCK_RAMP_US;
        match self.policy {
            RampPolicy::AtOnce => self.table.set_slot_limit(COLD_TARGET, all),
            RampPolicy::ByClock => self
                .table
                .set_slot_limit(COLD_TARGET, (grown as u32 + 1).min(all)),
            RampPolicy::ByAnswers if now_us == RETURN_US => {
                self.config.drains.clear();
                self.table
                    .reconfigure(&self.config, RegionKey(0), stamp(now_us));
            }
            RampPolicy::ByAnswers => {}
        }
    }
}
