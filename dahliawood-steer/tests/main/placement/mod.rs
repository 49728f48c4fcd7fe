//! Choice of self-registered targets: object affinity, cold targets, regions, overload.

mod capacity;
mod cold;
mod lifecycle;
mod region;
pub(crate) mod support;

use crate::fleet;
use crate::placement::support::{
    SERVICE, SERVICE_TIME, START, answered, busy_result, chosen, entry, fill, query, regions,
    table, vm_location,
};
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::keys::TargetKey;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose;
use dahliawood_steer::placement::choose::PlacementChoice;
use dahliawood_steer::placement::choose::PlacementQuery;
use dahliawood_steer::placement::choose::QueueTurn;
use dahliawood_steer::placement::ranking;
use dahliawood_steer::placement::ranking::OrderKey;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::placement::table::TargetResult;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn every_vm_sends_an_object_to_the_same_target() {
    let objects = prop::collection::vec(any::<u64>(), 1..50);
    let order = Just((0_usize..8).collect::<Vec<_>>()).prop_shuffle();
    let result = fleet::runner().run(&(objects, order), |(objects, order)| {
        let mut first = table(&[("a-1", 4), ("a-2", 4)]);
        let mut second = PlacementTable::new(regions());
        for id in order {
            let domain = if id < 4 { "a-1" } else { "a-2" };
            second.upsert(entry(id, domain), START);
        }
        for object in objects {
            let one = choose::choose(&mut first, &vm_location("a-1", 2), &query(object), START);
            let other = choose::choose(&mut second, &vm_location("a-2", 2), &query(object), START);
            let id = |table: &PlacementTable, choice| {
                table.get(chosen(choice).unwrap()).unwrap().entry.id.clone()
            };
            prop_assert_eq!(id(&first, one), id(&second, other));
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_target_that_leaves_moves_only_its_own_objects() {
    let mut before = table(&[("a-1", 8)]);
    let mut after = table(&[("a-1", 8)]);
    after.remove("target-3", START);
    for object in 0..500 {
        let old = chosen(choose::choose(
            &mut before,
            &vm_location("a-1", 1),
            &query(object),
            START,
        ));
        let new = chosen(choose::choose(
            &mut after,
            &vm_location("a-1", 1),
            &query(object),
            START,
        ));
        let old = before.get(old.unwrap()).unwrap().entry.id.clone();
        let new = after.get(new.unwrap()).unwrap().entry.id.clone();
        assert!(old == new || old == "target-3", "{object}: {old} to {new}");
    }
}

#[test]
fn a_busy_target_keeps_its_objects_while_it_starts_them_in_time() {
    let mut table = table(&[("a-1", 4)]);
    let first = chosen(choose::choose(
        &mut table,
        &vm_location("a-1", 1),
        &query(7),
        START,
    ))
    .unwrap();
    table.begin(first, START);
    let now = START.after(Duration::from_millis(1));
    table.finish(first, busy_result(0, now), now);
    let long_wait = PlacementQuery {
        max_wait: Duration::from_millis(400),
        ..query(7)
    };
    assert_eq!(
        choose::choose(&mut table, &vm_location("a-1", 1), &long_wait, now),
        PlacementChoice::Target(first)
    );
    let short_wait = PlacementQuery {
        max_wait: Duration::from_millis(10),
        ..query(7)
    };
    let other = chosen(choose::choose(
        &mut table,
        &vm_location("a-1", 1),
        &short_wait,
        now,
    ));
    assert!(other.is_some_and(|other| other != first));
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_with_a_retry_delay() {
    let mut table = table(&[("a-1", 3)]);
    fill(&mut table, "a-1", 9, START);
    let refused = choose::choose(&mut table, &vm_location("a-1", 1), &query(1), START);
    let PlacementChoice::Busy {
        retry_after,
        room_in,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert!(retry_after > Duration::from_millis(100), "{retry_after:?}");
    assert!(room_in.is_some_and(|room_in| room_in <= retry_after));
}

/// Guards against a request that takes a slot before those that wait, and against a waiting one that is shed
/// or counted as demand once more.
#[test]
fn a_request_behind_waiting_ones_gets_no_slot_until_its_turn() {
    let mut table = table(&[("a-1", 3)]);
    let location = vm_location("a-1", 1);
    let with_turn = |turn| PlacementQuery { turn, ..query(1) };
    let behind = with_turn(QueueTurn::Behind);
    let refused = choose::choose(&mut table, &location, &behind, START);
    let is_kept = matches!(
        refused,
        PlacementChoice::Busy {
            room_in: Some(Duration::ZERO),
            ..
        }
    );
    assert!(is_kept, "{refused:?}");
    let pool = table.services.get_mut(SERVICE).unwrap();
    for step in 1..200 {
        (0..5).for_each(|_| pool.shed_share.record_delay(4.0));
        pool.shed_share
            .advance(START.after(Duration::from_millis(100) * step));
    }
    let now = START.after(Duration::from_secs(20));
    let shed = (0..20).map(|_| choose::choose(&mut table, &location, &behind, now));
    let is_final = |choice| matches!(choice, PlacementChoice::Shed { .. });
    assert!(shed.filter(|choice| is_final(*choice)).count() > 10);
    let waited = with_turn(QueueTurn::Waited);
    for _ in 0..20 {
        let choice = choose::choose(&mut table, &location, &waited, now);
        assert!(chosen(choice).is_some(), "{choice:?}");
    }
}

/// Records that a target served an object in `latency`.
fn serve(
    table: &mut PlacementTable,
    key: TargetKey,
    object: u64,
    latency: Duration,
    load: Option<TargetLoad>,
) {
    let visit = ObjectVisit {
        object,
        is_preferred: false,
    };
    let result = TargetResult {
        latency,
        visit: Some(visit),
        ..answered(load)
    };
    table.begin(key, START);
    table.finish(key, result, START);
}

#[test]
fn a_request_waits_for_its_objects_target_rather_than_run_longer_at_another() {
    let mut table = table(&[("a-1", 4)]);
    let location = vm_location("a-1", 1);
    let patient = PlacementQuery {
        max_wait: Duration::from_millis(400),
        ..query(7)
    };
    let first = chosen(choose::choose(&mut table, &location, &patient, START)).unwrap();
    let other = table.services[SERVICE].targets.clone();
    let other = other.into_iter().find(|key| *key != first).unwrap();
    // First requests for an object take 600 ms, later ones 120 ms.
    for object in 100..130 {
        serve(&mut table, other, object, Duration::from_millis(600), None);
        serve(&mut table, other, object, SERVICE_TIME, None);
    }
    let busy = busy_result(1, START).report.unwrap().load;
    serve(&mut table, first, 7, SERVICE_TIME, busy);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &patient, START)),
        Some(first)
    );
}

#[test]
fn a_request_that_cannot_end_in_the_time_left_is_refused_on_arrival() {
    let mut table = table(&[("a-1", 2)]);
    let location = vm_location("a-1", 1);
    for key in table.services[SERVICE].targets.clone() {
        for object in 0..200 {
            serve(&mut table, key, object, Duration::from_millis(500), None);
        }
    }
    let hurried = PlacementQuery {
        max_wait: Duration::from_millis(400),
        time_left: Duration::from_millis(300),
        ..query(1)
    };
    let refused = choose::choose(&mut table, &location, &hurried, START);
    assert!(
        matches!(refused, PlacementChoice::Busy { .. }),
        "{refused:?}"
    );
}

#[test]
fn a_kept_order_follows_changes_of_the_targets() {
    let mut table = table(&[("a-1", 12), ("b-1", 3)]);
    let location = vm_location("a-1", 1);
    for turn in 0..40_u64 {
        let first = chosen(choose::choose(&mut table, &location, &query(7), START)).unwrap();
        let key = OrderKey {
            object: 7,
            is_bulk: false,
        };
        let whole = ranking::whole_order(&table, &location, SERVICE, key);
        assert_eq!(Some(&first), whole.local.first());
        assert!(table.is_preferred(first, key));
        let id = table.get(first).unwrap().entry.id.clone();
        let mut changed = table.get(first).unwrap().entry.clone();
        match turn % 3 {
            0 => {
                changed.is_draining = true;
                table.upsert(changed, START);
            }
            1 => {
                table.remove(&id, START);
            }
            _ => table.upsert(entry(100 + turn as usize, "a-1"), START),
        }
        if table
            .targets(SERVICE)
            .filter(|target| table.is_open(target))
            .count()
            < 5
        {
            break;
        }
    }
}

/// Guards against an overflow by the load that a target states.
#[test]
fn absurd_loads_of_targets_do_no_harm() {
    let mut table = table(&[("a-1", 2)]);
    let location = vm_location("a-1", 1);
    let numbers = [0, 1, u32::MAX];
    let all = |number: usize| numbers[number % 3];
    for case in 0..27 {
        let now = START.after(Duration::from_millis(case as u64));
        let key = chosen(choose::choose(
            &mut table,
            &location,
            &query(case as u64),
            now,
        ));
        let Some(key) = key else { continue };
        table.begin(key, now);
        let load = TargetLoad {
            pace: None,
            running: all(case),
            waiting: all(case / 3),
            slots: all(case / 9),
            received_at: now,
        };
        table.finish(key, answered(Some(load)), now);
        let target = table.get(key).expect("a target");
        assert!(table.expected_wait(target, now) <= Duration::from_secs(1 << 40));
    }
}
