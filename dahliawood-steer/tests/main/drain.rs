//! Properties of planned drains and of ramps.

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

/// A region that drains over a link that holds `link` requests at once.
struct DrainBench {
    config: FleetConfig,
    table: target::TargetTable,
    rng: SmallRng,
    now: TimeStamp,
    link: u32,
    flights: VecDeque<(TimeStamp, RegionKey, target::FlightKey)>,
    refused: u32,
    highest_link: u32,
}

impl DrainBench {
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
            highest_link: 0,
        }
    }

    fn link_use(&self) -> u32 {
        let away = self.flights.iter().filter(|(_, region, _)| region.0 != 0);
        away.count() as u32
    }

    fn room(&self) -> impl Fn(RegionKey) -> choice::SpilloverHeadroom + use<> {
        let link = f64::from(self.link.saturating_sub(self.link_use())) / f64::from(self.link);
        move |_| choice::SpilloverHeadroom { link, region: 1.0 }
    }

    /// One tick: answers, at most two requests, the drain.
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
        let room = self.room();
        drain::tick(&mut self.table, &room, self.now).pop()
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    fn request(&mut self) {
        let room = self.room();
        let chosen = choice::choose(&mut self.table, &query(&room), self.now, &mut self.rng);
        let choice::Choice::Target(key, region) = chosen else {
            self.refused += 1;
            return;
        };
        let end = self.now.after(Duration::from_millis(100));
        let flight = choice::begin(&mut self.table, key).unwrap();
        self.flights.push_back((end, region, flight));
        self.highest_link = self.highest_link.max(self.link_use());
    }
}

#[test]
fn a_drain_keeps_the_link_under_its_cap_and_refuses_nothing() {
    let mut runner = fleet::runner();
    let result = runner.run(&(1_u32..16, any::<u64>()), |(link, seed)| {
        let mut bench = DrainBench::new(link, seed);
        for _ in 0..40_000 / TICK_MS {
            let room = (bench.room())(RegionKey(1)).least();
            let event = bench.tick().unwrap();
            let moved = event.step == drain::DrainStep::Moved;
            let now_room = (bench.room())(RegionKey(1)).least();
            prop_assert!(
                !moved || room.max(now_room) >= 0.1,
                "moved with no headroom"
            );
        }
        prop_assert!(bench.highest_link <= link, "past the cap of the link");
        let steps = bench.table.drains(bench.now)[0].steps;
        prop_assert!(bench.refused == 0 || steps == drain::STEPS);
        prop_assert!(
            link > 3 || steps < drain::STEPS,
            "moved what the link cannot hold"
        );
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_drain_with_room_ends_in_its_time_and_then_gets_nothing() {
    let mut bench = DrainBench::new(1_000, fleet::seed());
    let ticks = DRAIN.as_millis() as u64 / TICK_MS + 1;
    bench.run(ticks);
    let progress = bench.table.drains(bench.now)[0];
    assert_eq!(
        (progress.steps, progress.left),
        (drain::STEPS, Duration::ZERO)
    );
    for _ in 0..500 {
        bench.tick();
        let newest = bench.flights.back();
        assert!(newest.is_none_or(|(_, region, _)| region.0 == 1));
    }
    assert_eq!(bench.refused, 0);
    assert_eq!(bench.table.drains(bench.now)[0].in_flight, 0);
}

#[test]
fn lost_room_holds_a_drain_and_trouble_takes_a_step_back() {
    let mut bench = DrainBench::new(1_000, fleet::seed());
    bench.run(500);
    let before = bench.table.drains(bench.now)[0];
    assert!(before.steps > 5 && before.left > Duration::ZERO);
    bench.link = 1;
    let steps: Vec<_> = (0..500)
        .filter_map(|_| bench.tick())
        .map(|event| event.step)
        .collect();
    let count = |wanted| steps.iter().filter(|step| **step == wanted).count();
    let after = bench.table.drains(bench.now)[0];
    assert!(after.steps < before.steps, "{after:?}");
    assert!(count(drain::DrainStep::Held) > 0);
    assert!(count(drain::DrainStep::WentBack) > 0);
    assert_eq!(bench.refused, 0);
}

#[test]
fn a_new_revision_keeps_the_progress_of_a_drain() {
    let mut bench = DrainBench::new(1_000, fleet::seed());
    bench.run(500);
    let before = bench.table.drains(bench.now)[0].steps;
    bench
        .table
        .reconfigure(&bench.config, RegionKey(0), bench.now);
    assert_eq!(bench.table.drains(bench.now)[0].steps, before);
}

/// Answers of a cold target against warm peers at 10 ms.
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
fn a_ramp_follows_answers_and_not_the_clock() {
    let first = split::FULL_WEIGHT / 16;
    assert_eq!(ramp_after(0, 10).unwrap().weight(), first);
    assert_eq!(ramp_after(4, 10).unwrap().weight(), first * 2);
    assert_eq!(ramp_after(4, 30).unwrap().weight(), first);
    assert!(ramp_after(40, 10).is_none());
}

#[test]
fn a_cold_target_gets_its_share_while_warm_ones_are_free() {
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
        let query = query(&fleet::wide);
        let choice = choice::choose(&mut table, &query, TimeStamp::ZERO, &mut rng);
        chosen += u32::from(choice == choice::Choice::Target(cold, RegionKey(0)));
    }
    assert_eq!(chosen, 320 / 16);
}
