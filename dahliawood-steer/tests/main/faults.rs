//! Target choice under random faults: failures, wrong reports, drains, lost headroom and slots.

use crate::choice::{query, table};
use crate::fleet;
use dahliawood_model::keys::{DomainKey, RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::{DrainSpec, DrainSubject, FleetConfig};
use dahliawood_steer::{choice, health, target};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Targets of the fleet under test: three regions with two failure domains of two targets each.
const TARGETS: u32 = 12;
const SLOTS: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum FaultStep {
    Request {
        idempotent: bool,
        tried: u32,
    },
    Result {
        which: usize,
        kind: health::ResultKind,
        millis: u64,
    },
    Limit {
        target: u32,
        limit: u32,
    },
    Report {
        target: u32,
        load: f64,
        leaving: bool,
        age_ms: u64,
    },
    Drain {
        subject: DrainSubject,
    },
    EndDrains,
    Headroom {
        share: f64,
    },
    Wait {
        millis: u64,
    },
}

fn result_kind() -> impl Strategy<Value = health::ResultKind> {
    prop_oneof![
        3 => Just(health::ResultKind::Answered),
        1 => Just(health::ResultKind::Errored),
        1 => Just(health::ResultKind::Shed),
        2 => Just(health::ResultKind::ConnectFailed),
        1 => Just(health::ResultKind::TimedOut),
        1 => Just(health::ResultKind::Cancelled),
    ]
}

fn subject() -> impl Strategy<Value = DrainSubject> {
    prop_oneof![
        (0..TARGETS).prop_map(|key| DrainSubject::Target(TargetKey(key))),
        (0_u32..6).prop_map(|key| DrainSubject::Domain(DomainKey(key))),
        (0_u32..3).prop_map(|key| DrainSubject::Region(RegionKey(key))),
    ]
}

fn step() -> impl Strategy<Value = FaultStep> {
    let report = (0..TARGETS, -1.0..9.0_f64, any::<bool>(), 0_u64..9_000);
    prop_oneof![
        8 => (any::<bool>(), 0..TARGETS)
            .prop_map(|(idempotent, tried)| FaultStep::Request { idempotent, tried }),
        6 => (any::<usize>(), result_kind(), 0_u64..500)
            .prop_map(|(which, kind, millis)| FaultStep::Result { which, kind, millis }),
        1 => (0..TARGETS, 0..=SLOTS)
            .prop_map(|(target, limit)| FaultStep::Limit { target, limit }),
        1 => report.prop_map(|(target, load, leaving, age_ms)| FaultStep::Report {
            target, load, leaving, age_ms,
        }),
        1 => subject().prop_map(|subject| FaultStep::Drain { subject }),
        1 => Just(FaultStep::EndDrains),
        1 => prop_oneof![Just(0.0), 0.0..1.0].prop_map(|share| FaultStep::Headroom { share }),
        2 => (0_u64..3_000).prop_map(|millis| FaultStep::Wait { millis }),
    ]
}

/// The table under test, with the state of the simulated faults.
struct FaultSimulation {
    config: FleetConfig,
    table: target::TargetTable,
    rng: SmallRng,
    now: TimeStamp,
    headroom: f64,
    flights: Vec<target::FlightKey>,
}

impl FaultSimulation {
    fn new() -> Self {
        let config = fleet::config(3, 2, SLOTS);
        Self {
            table: table(&config, SLOTS),
            config,
            rng: SmallRng::seed_from_u64(fleet::seed()),
            now: TimeStamp::ZERO,
            headroom: 1.0,
            flights: Vec::new(),
        }
    }

    fn run(&mut self, step: FaultStep) -> Result<(), TestCaseError> {
        match step {
            FaultStep::Request { idempotent, tried } => self.request(idempotent, tried)?,
            FaultStep::Result {
                which,
                kind,
                millis,
            } => self.result(which, kind, millis),
            FaultStep::Limit { target, limit } => {
                self.table.set_slot_limit(TargetKey(target), limit);
            }
            FaultStep::Report {
                target,
                load,
                leaving,
                age_ms,
            } => {
                let measured = self.now.before(Duration::from_millis(age_ms));
                let report = health::LoadReport {
                    load,
                    leaving,
                    measured,
                };
                self.table.set_report(TargetKey(target), report);
            }
            FaultStep::Drain { subject } => {
                self.config.drains.push(DrainSpec {
                    subject,
                    over: Duration::ZERO,
                });
                self.table.reconfigure(&self.config, RegionKey(0), self.now);
            }
            FaultStep::EndDrains => {
                self.config.drains.clear();
                self.table.reconfigure(&self.config, RegionKey(0), self.now);
            }
            FaultStep::Headroom { share } => self.headroom = share,
            FaultStep::Wait { millis } => {
                self.now = self.now.after(Duration::from_millis(millis));
            }
        }
        Ok(())
    }

    fn request(&mut self, idempotent: bool, tried: u32) -> Result<(), TestCaseError> {
        let headroom = self.headroom;
        let headroom = move |_: RegionKey| choice::SpilloverHeadroom {
            link: headroom,
            region: 1.0,
        };
        let exclude = [TargetKey(tried)];
        let query = choice::ChoiceQuery {
            exclude: &exclude,
            idempotent,
            waiting: 5,
            ..query(&headroom)
        };
        let chosen = choice::choose(&mut self.table, &query, self.now, &mut self.rng);
        let choice::Choice::Target(key, region) = chosen else {
            return self.check_no_free_target_skipped(tried, chosen);
        };
        let state = self.table.get(key).unwrap();
        prop_assert!(state.in_flight < state.limit, "more than its slots");
        prop_assert!(key != TargetKey(tried), "tried already");
        prop_assert!(
            region == RegionKey(0) || self.headroom > 0.0,
            "no headroom on the link"
        );
        let drains = &self.config.drains;
        let leaving = drains
            .iter()
            .any(|drain| target::covers(drain.subject, state));
        prop_assert!(!leaving, "request to a leaving target");
        if let Some(ejection) = state.health.ejection {
            prop_assert!(state.in_flight == 0, "two probes at once");
            prop_assert!(self.now >= ejection.until, "probe before its time");
        }
        self.flights.extend(choice::begin(&mut self.table, key));
        Ok(())
    }

    /// Checks that no serving, healthy and free target of the home region was skipped.
    fn check_no_free_target_skipped(
        &self,
        tried: u32,
        chosen: choice::Choice,
    ) -> Result<(), TestCaseError> {
        let mut home = self
            .table
            .iter()
            .filter(|state| state.region == RegionKey(0));
        let free = home.any(|state| {
            state.serving
                && state.key != TargetKey(tried)
                && state.health.ejection.is_none()
                && state.has_room(self.now)
        });
        prop_assert!(!free, "{:?} though a target at home is free", chosen);
        Ok(())
    }

    fn result(&mut self, which: usize, kind: health::ResultKind, millis: u64) {
        if self.flights.is_empty() {
            return;
        }
        let flight = self.flights.swap_remove(which % self.flights.len());
        let report = fleet::outcome(kind, millis);
        choice::finish(&mut self.table, flight, report, self.now);
    }
}

#[test]
fn no_choice_violates_a_limit() {
    let steps = proptest::collection::vec(step(), 1..400);
    let mut runner = fleet::runner();
    let result = runner.run(&steps, |steps| {
        let mut simulation = FaultSimulation::new();
        steps.into_iter().try_for_each(|step| simulation.run(step))
    });
    result.unwrap();
}

#[test]
fn load_reports_alone_exclude_no_target() {
    let report = (any::<bool>(), -1.0..9.0_f64, 0_u64..9_000);
    let reports = proptest::collection::vec(report, TARGETS as usize);
    let mut runner = fleet::runner();
    let result = runner.run(&reports, |reports| {
        let mut simulation = FaultSimulation::new();
        simulation.now = TimeStamp::from_millis(10_000);
        for (target, (leaving, load, age_ms)) in reports.into_iter().enumerate() {
            let target = target as u32;
            simulation.run(FaultStep::Report {
                target,
                load,
                leaving,
                age_ms,
            })?;
        }
        let query = query(&fleet::full_headroom);
        for _ in 0..4 * SLOTS {
            let chosen = choice::choose(
                &mut simulation.table,
                &query,
                simulation.now,
                &mut simulation.rng,
            );
            let choice::Choice::Target(key, RegionKey(0)) = chosen else {
                return Err(TestCaseError::fail(format!("{chosen:?}")));
            };
            simulation
                .flights
                .extend(choice::begin(&mut simulation.table, key));
        }
        Ok(())
    });
    result.unwrap();
}

/// Errors, timeouts and slow answers at all targets eject at most the allowed share of each region.
#[test]
fn a_common_failure_ejects_no_whole_region() {
    let soft = prop_oneof![
        Just(health::ResultKind::Errored),
        Just(health::ResultKind::TimedOut),
        Just(health::ResultKind::Answered),
    ];
    let results = proptest::collection::vec((0..TARGETS, soft, 1_u64..3_000), 1..400);
    let mut runner = fleet::runner();
    let result = runner.run(&results, |results| {
        let mut simulation = FaultSimulation::new();
        for (target, kind, millis) in results {
            let flight = choice::begin(&mut simulation.table, TargetKey(target)).unwrap();
            let report = fleet::outcome(kind, millis);
            choice::finish(&mut simulation.table, flight, report, simulation.now);
        }
        for region in 0..3 {
            let of_region = simulation
                .table
                .iter()
                .filter(|state| state.region.0 == region);
            let ejected = of_region.filter(|state| state.health.ejection.is_some());
            prop_assert!(ejected.count() <= health::soft_limit(4));
        }
        Ok(())
    });
    result.unwrap();
}

/// At every target one request in ten takes eleven times as long, so none is slower than its peers.
#[test]
fn heavy_tailed_latency_ejects_no_target() {
    let slow = proptest::collection::vec(prop::bool::weighted(0.1), 2_000);
    let mut runner = fleet::runner();
    let result = runner.run(&slow, |slow| {
        let mut simulation = FaultSimulation::new();
        for (index, slow) in slow.into_iter().enumerate() {
            let target = TargetKey(index as u32 % TARGETS);
            let flight = choice::begin(&mut simulation.table, target).unwrap();
            let millis = if slow { 110 } else { 10 };
            let report = fleet::outcome(health::ResultKind::Answered, millis);
            choice::finish(&mut simulation.table, flight, report, simulation.now);
        }
        let mut states = simulation.table.iter();
        prop_assert!(states.all(|state| state.health.ejection.is_none()));
        Ok(())
    });
    result.unwrap();
}

/// The home region fails while no link has headroom: the request is refused at once, without
/// waiting.
#[test]
fn loss_of_the_home_region_without_headroom_is_refused_at_once() {
    let mut simulation = FaultSimulation::new();
    for target in 0..4 {
        for _ in 0..health::CONNECT_FAILURES {
            let flight = choice::begin(&mut simulation.table, TargetKey(target)).unwrap();
            let report = fleet::outcome(health::ResultKind::ConnectFailed, 1);
            choice::finish(&mut simulation.table, flight, report, simulation.now);
        }
    }
    let refused = query(&fleet::no_headroom);
    let chosen = choice::choose(
        &mut simulation.table,
        &refused,
        simulation.now,
        &mut simulation.rng,
    );
    let cause = choice::NoTargetCause::NoHeadroom;
    assert!(
        matches!(chosen, choice::Choice::None { cause: seen, .. } if seen == cause),
        "{chosen:?}"
    );
    let moved = query(&fleet::full_headroom);
    let chosen = choice::choose(
        &mut simulation.table,
        &moved,
        simulation.now,
        &mut simulation.rng,
    );
    assert!(matches!(chosen, choice::Choice::Target(_, region) if region != RegionKey(0)));
}

/// A request is handed over only to another serving region with headroom, and only if waiting takes
/// longer than the round trip.
#[test]
fn a_hand_over_needs_headroom_and_a_long_wait() {
    let share = || prop_oneof![Just(0.0), 0.0..1.0];
    let mut runner = fleet::runner();
    let wait = proptest::option::of(0_u64..100);
    let result = runner.run(
        &(share(), share(), wait, any::<bool>()),
        |(one, two, wait, left)| {
            let mut simulation = FaultSimulation::new();
            if left {
                let subject = DrainSubject::Region(RegionKey(1));
                simulation.run(FaultStep::Drain { subject })?;
            }
            let headroom = move |region: RegionKey| choice::SpilloverHeadroom {
                link: if region == RegionKey(1) { one } else { two },
                region: 1.0,
            };
            let expected = wait.map(Duration::from_millis);
            let to = choice::choose_handover_region(
                &simulation.table,
                &query(&headroom),
                expected,
                &mut simulation.rng,
            );
            let is_long = wait.is_none_or(|wait| wait > 20);
            match to {
                Some(RegionKey(1)) => prop_assert!(one > 0.0 && !left && is_long),
                Some(RegionKey(2)) => prop_assert!(two > 0.0 && is_long),
                Some(_) => prop_assert!(false, "to the home region"),
                None => prop_assert!(!is_long || two <= 0.0 && (left || one <= 0.0)),
            }
            Ok(())
        },
    );
    result.unwrap();
}

/// Guards against herding: many VMs with the same stale data on two equal regions use both.
#[test]
fn vms_with_the_same_stale_headroom_use_different_regions() {
    let config = fleet::config(3, 1, SLOTS);
    let mut counts = [0_u32; 3];
    for vm in 0..400 {
        let mut table = table(&config, SLOTS);
        let mut rng = SmallRng::seed_from_u64(fleet::seed() + vm);
        for key in [TargetKey(0), TargetKey(1)] {
            table.set_slot_limit(key, 0);
        }
        let query = query(&fleet::full_headroom);
        let chosen = choice::choose(&mut table, &query, TimeStamp::ZERO, &mut rng);
        let choice::Choice::Target(_, region) = chosen else {
            panic!("{chosen:?}");
        };
        counts[region.0 as usize] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(counts[1].abs_diff(counts[2]) < 100, "{counts:?}");
}
