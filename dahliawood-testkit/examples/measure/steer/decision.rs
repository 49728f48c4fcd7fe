//! Time to choose one target, which is also how long the VM's target table is locked.

use super::load::DeploymentSize;
use dahliawood_model::keys::{RegionKey, ServiceKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::{choice, health, target};
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const CHOICES: u64 = 500_000;
/// Requests in flight at the same time.
const RUNNING: usize = 32;
/// The longest time that the histogram distinguishes, nanoseconds.
const LONGEST_NANOS: u64 = 1_000_000_000;

/// Times choices, with the start and end of each request, at a VM that holds every slot.
pub fn run(size: DeploymentSize, seed: u64, report: &mut FigureReport) {
    let config = size.config();
    let mut table = target::TargetTable::build(&config, RegionKey(0), TimeStamp::ZERO);
    for key in config.targets.keys() {
        table.set_slot_limit(key, size.slots);
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut nanos =
        Histogram::<u64>::new_with_max(LONGEST_NANOS, 3).expect("three digits are valid");
    let mut flights = VecDeque::new();
    for number in 0..CHOICES {
        let now = TimeStamp::from_micros(number * 10);
        let query = choice::ChoiceQuery {
            service: ServiceKey(0),
            exclude: &[],
            idempotent: true,
            waiting: 100,
            headroom: &|_| choice::SpilloverHeadroom {
                link: 1.0,
                region: 1.0,
            },
        };
        let started = Instant::now();
        let chosen = choice::choose(&mut table, &query, now, &mut rng);
        if let choice::Choice::Target(key, _) = chosen {
            flights.extend(choice::begin(&mut table, key));
        }
        if flights.len() > RUNNING {
            finish(&mut table, &mut flights, now);
        }
        nanos.saturating_record(started.elapsed().as_nanos() as u64);
    }
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let value = nanos.value_at_quantile(quantile) as f64 / 1e3;
        let name = format!("steer.{}.decision.{label}", size.name);
        report.figure(name, value, "us", FigureTarget::None);
    }
}

fn finish(
    table: &mut target::TargetTable,
    flights: &mut VecDeque<target::FlightKey>,
    now: TimeStamp,
) {
    let answered = health::ResultReport {
        kind: health::ResultKind::Answered,
        latency: Duration::from_millis(20),
    };
    if let Some(flight) = flights.pop_front() {
        choice::finish(table, flight, answered, now);
    }
}
