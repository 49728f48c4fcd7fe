//! Properties of target choice.

use crate::fleet;
use dahliawood_model::keys::{RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::{choice, health, target};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A query with default settings.
pub fn query(headroom: &dyn Fn(RegionKey) -> choice::SpilloverHeadroom) -> choice::ChoiceQuery<'_> {
    choice::ChoiceQuery {
        service: fleet::SERVICE,
        exclude: &[],
        idempotent: true,
        waiting: 0,
        headroom,
    }
}

/// A table in region 0 whose VM may use `limit` slots of each target.
pub fn table(config: &dahliawood_model::tables::FleetConfig, limit: u32) -> target::TargetTable {
    let mut table = target::TargetTable::build(config, RegionKey(0), TimeStamp::ZERO);
    for key in config.targets.keys() {
        table.set_slot_limit(key, limit);
    }
    table
}

#[test]
fn stays_in_region_until_full_then_spills_over_then_waits() {
    let config = fleet::config(2, 1, 1);
    let mut table = table(&config, 1);
    let mut rng = SmallRng::seed_from_u64(fleet::seed());
    let mut regions = Vec::new();
    for _ in 0..4 {
        let query = choice::ChoiceQuery {
            waiting: 10,
            ..query(&fleet::full_headroom)
        };
        let chosen = choice::choose(&mut table, &query, TimeStamp::ZERO, &mut rng);
        let choice::Choice::Target(key, region) = chosen else {
            panic!("{chosen:?}");
        };
        choice::begin(&mut table, key).unwrap();
        regions.push(region.0);
    }
    assert_eq!(regions, [0, 0, 1, 1]);
    let last = choice::choose(
        &mut table,
        &query(&fleet::full_headroom),
        TimeStamp::ZERO,
        &mut rng,
    );
    assert!(
        matches!(
            last,
            choice::Choice::Wait {
                loan_target: TargetKey(0),
                ..
            }
        ),
        "{last:?}"
    );
}

#[test]
fn no_headroom_keeps_requests_at_home() {
    let config = fleet::config(2, 1, 1);
    let mut table = table(&config, 1);
    let mut rng = SmallRng::seed_from_u64(fleet::seed());
    for _ in 0..2 {
        let query = query(&fleet::no_headroom);
        let chosen = choice::choose(&mut table, &query, TimeStamp::ZERO, &mut rng);
        let choice::Choice::Target(key, RegionKey(0)) = chosen else {
            panic!("{chosen:?}");
        };
        choice::begin(&mut table, key).unwrap();
    }
    let query = choice::ChoiceQuery {
        waiting: 100,
        ..query(&fleet::no_headroom)
    };
    let last = choice::choose(&mut table, &query, TimeStamp::ZERO, &mut rng);
    assert!(matches!(last, choice::Choice::Wait { .. }), "{last:?}");
}

#[test]
fn failed_connections_eject_and_an_answered_probe_readmits() {
    let config = fleet::config(1, 1, 1);
    let mut table = table(&config, 1);
    let mut rng = SmallRng::seed_from_u64(fleet::seed());
    let bad = TargetKey(0);
    for _ in 0..health::CONNECT_FAILURES {
        let flight = choice::begin(&mut table, bad).unwrap();
        let report = fleet::outcome(health::ResultKind::ConnectFailed, 1);
        choice::finish(&mut table, flight, report, TimeStamp::ZERO);
    }
    let early = choice::choose(
        &mut table,
        &query(&fleet::full_headroom),
        TimeStamp::ZERO,
        &mut rng,
    );
    assert_eq!(early, choice::Choice::Target(TargetKey(1), RegionKey(0)));
    let later = TimeStamp::ZERO.after(health::FIRST_EJECTION);
    let probe = choice::choose(&mut table, &query(&fleet::full_headroom), later, &mut rng);
    assert_eq!(probe, choice::Choice::Target(bad, RegionKey(0)));
    let flight = choice::begin(&mut table, bad).unwrap();
    let report = fleet::outcome(health::ResultKind::Answered, 5);
    choice::finish(&mut table, flight, report, later);
    let state = table.get(bad).unwrap();
    assert!(state.health.ejection.is_none());
    assert!(state.ramp.is_some());
}
