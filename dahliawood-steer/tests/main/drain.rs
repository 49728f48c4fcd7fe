//! Properties of planned drains and of slow start.

use crate::choice::{query, table};
use crate::fleet;
use dahliawood_model::keys::{RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::{DrainSpec, DrainSubject, FleetConfig};
use dahliawood_steer::{choice, drain, health, ramp, split, target};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const TICK_MS: u64 = 20;
const DRAIN: Duration = Duration::from_secs(20);

/// A region that drains over a link with a capacity of `link` concurrent requests.
struct DrainSimulation {
    config: FleetConfig,
    table: target::TargetTable,
    rng: SmallRng,
    now: TimeStamp,
    link: u32,
    flights: VecDeque<(TimeStamp, RegionKey, target::FlightKey)>,
    refused: u32,
    peak_link_usage: u32,
}

impl DrainSimulation {
    fn new(link: u32, seed: u64) -> Self {
        let mut config = fleet::config(2, 2, 4);
        let mut table = table(&config, 4);
        config.drains.push(DrainSpec {
            subject: DrainSubject::Region(RegionKey(0)),
            over: DRAIN,
        });
        table.reconfigure(&config, RegionKey(0), TimeStamp::ZERO);
        Self {
            config,
            table,
            rng: SmallRng::seed_from_u64(seed),
            now: TimeStamp::ZERO,
            link,
            flights: VecDeque::new(),
            refused: 0,
            peak_link_usage: 0,
        }
    }

    fn link_usage(&self) -> u32 {
        let away = self.flights.iter().filter(|(_, region, _)| region.0 != 0);
        away.count() as u32
    }

    fn headroom(&self) -> impl Fn(RegionKey) -> choice::SpilloverHeadroom + use<> {
        let link = f64::from(self.link.saturating_sub(self.link_usage())) / f64::from(self.link);
        move |_| choice::SpilloverHeadroom { link, region: 1.0 }
    }

    /// One tick: ends requests that are due, sends up to two new ones, ticks the drain.
    fn tick(&mut self) -> Option<drain::DrainEvent> {
        self.now = self.now.after(Duration::from_millis(TICK_MS));
        while self
            .flights
            .front()
            .is_some_and(|(end, ..)| *end <= self.now)
        {
            let Some((_, _, flight)) = self.flights.pop_front() else {
                break;
            };
            let report = fleet::outcome(health::ResultKind::Answered, 100);
            choice::finish(&mut self.table, flight, report, self.now);
        }
        for _ in 0..self.rng.random_range(0..=2) {
            self.request();
        }
        let headroom = self.headroom();
        drain::tick(&mut self.table, &headroom, self.now).pop()
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    fn request(&mut self) {
        let headroom = self.headroom();
        let chosen = choice::choose(&mut self.table, &query(&headroom), self.now, &mut self.rng);
        let choice::Choice::Target(key, region) = chosen else {
            self.refused += 1;
            return;
        };
        let end = self.now.after(Duration::from_millis(100));
        let flight = choice::begin(&mut self.table, key).unwrap();
        self.flights.push_back((end, region, flight));
        self.peak_link_usage = self.peak_link_usage.max(self.link_usage());
    }
}

#[test]
fn a_drain_keeps_the_link_under_its_cap_and_causes_no_refusal() {
    let mut runner = fleet::runner();
    let result = runner.run(&(1_u32..16, any::<u64>()), |(link, seed)| {
        let mut simulation = DrainSimulation::new(link, seed);
        for _ in 0..40_000 / TICK_MS {
            let headroom = (simulation.headroom())(RegionKey(1)).least();
            let event = simulation.tick().unwrap();
            let moved = event.step == drain::DrainStep::Moved;
            let headroom_after = (simulation.headroom())(RegionKey(1)).least();
            prop_assert!(
                !moved || headroom.max(headroom_after) >= 0.1,
                "moved with no headroom"
            );
        }
        prop_assert!(
            simulation.peak_link_usage <= link,
            "past the cap of the link"
        );
        let steps = simulation.table.drains(simulation.now)[0].steps;
        prop_assert!(simulation.refused == 0 || steps == drain::STEPS);
        prop_assert!(
            link > 3 || steps < drain::STEPS,
            "moved what the link cannot hold"
        );
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_drain_with_headroom_ends_on_time_and_stops_new_requests() {
    let mut simulation = DrainSimulation::new(1_000, fleet::seed());
    let ticks = DRAIN.as_millis() as u64 / TICK_MS + 1;
    simulation.run(ticks);
    let progress = simulation.table.drains(simulation.now)[0];
    assert_eq!(
        (progress.steps, progress.left),
        (drain::STEPS, Duration::ZERO)
    );
    for _ in 0..500 {
        simulation.tick();
        let newest = simulation.flights.back();
        assert!(newest.is_none_or(|(_, region, _)| region.0 == 1));
    }
    assert_eq!(simulation.refused, 0);
    assert_eq!(simulation.table.drains(simulation.now)[0].in_flight, 0);
}

#[test]
fn lost_headroom_holds_a_drain_and_overload_reverts_a_step() {
    let mut simulation = DrainSimulation::new(1_000, fleet::seed());
    simulation.run(500);
    let before = simulation.table.drains(simulation.now)[0];
    assert!(before.steps > 5 && before.left > Duration::ZERO);
    simulation.link = 1;
    let steps: Vec<_> = (0..500)
        .filter_map(|_| simulation.tick())
        .map(|event| event.step)
        .collect();
    let count = |wanted| steps.iter().filter(|step| **step == wanted).count();
    let after = simulation.table.drains(simulation.now)[0];
    assert!(after.steps < before.steps, "{after:?}");
    assert!(count(drain::DrainStep::Held) > 0);
    assert!(count(drain::DrainStep::RolledBack) > 0);
    assert_eq!(simulation.refused, 0);
}

#[test]
fn a_new_revision_keeps_the_progress_of_a_drain() {
    let mut simulation = DrainSimulation::new(1_000, fleet::seed());
    simulation.run(500);
    let before = simulation.table.drains(simulation.now)[0].steps;
    simulation
        .table
        .reconfigure(&simulation.config, RegionKey(0), simulation.now);
    assert_eq!(simulation.table.drains(simulation.now)[0].steps, before);
}

/// Slow start state of a cold target after `answers` answers of `cold_ms`; warm peers take 10 ms.
fn ramp_after(answers: u32, cold_ms: u64) -> Option<ramp::RampState> {
    let config = fleet::config(1, 2, 4);
    let mut table = table(&config, 4);
    for warm in 1..4 {
        for _ in 0..health::MIN_LATENCY_SAMPLES {
            answer(&mut table, TargetKey(warm), 10, TimeStamp::ZERO);
        }
    }
    let mut drained = config.clone();
    drained.drains.push(DrainSpec {
        subject: DrainSubject::Target(TargetKey(0)),
        over: Duration::ZERO,
    });
    table.reconfigure(&drained, RegionKey(0), TimeStamp::ZERO);
    table.reconfigure(&config, RegionKey(0), TimeStamp::ZERO);
    table.set_slot_limit(TargetKey(0), 4);
    let much_later = TimeStamp::from_millis(3_600_000);
    (0..answers).for_each(|_| answer(&mut table, TargetKey(0), cold_ms, much_later));
    table.get(TargetKey(0)).unwrap().ramp
}

fn answer(table: &mut target::TargetTable, key: TargetKey, millis: u64, now: TimeStamp) {
    let flight = choice::begin(table, key).unwrap();
    let report = fleet::outcome(health::ResultKind::Answered, millis);
    choice::finish(table, flight, report, now);
}

#[test]
fn slow_start_depends_on_answers_and_not_on_time() {
    let first = split::FULL_WEIGHT / 16;
    assert_eq!(ramp_after(0, 10).unwrap().weight(), first);
    assert_eq!(ramp_after(4, 10).unwrap().weight(), first * 2);
    assert_eq!(ramp_after(4, 30).unwrap().weight(), first);
    assert!(ramp_after(40, 10).is_none());
}

#[test]
fn a_cold_target_gets_its_share_while_warm_targets_are_free() {
    let mut config = fleet::config(1, 2, 4);
    let mut table = table(&config, 4);
    let cold = config.targets.push(dahliawood_model::tables::TargetSpec {
        name: "new".to_owned(),
        address: ([10, 200, 0, 1], 999).into(),
        ..config.targets[TargetKey(0)].clone()
    });
    table.reconfigure(&config, RegionKey(0), TimeStamp::ZERO);
    table.set_slot_limit(cold, 4);
    let mut rng = SmallRng::seed_from_u64(fleet::seed());
    let mut chosen = 0;
    for _ in 0..320 {
        let query = query(&fleet::full_headroom);
        let choice = choice::choose(&mut table, &query, TimeStamp::ZERO, &mut rng);
        chosen += u32::from(choice == choice::Choice::Target(cold, RegionKey(0)));
    }
    assert_eq!(chosen, 320 / 16);
}
