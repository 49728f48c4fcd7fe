//! Targets that drain, leave, pause, fail and restart.

use crate::placement::support::{
    SERVICE, SERVICE_TIME, START, answered, busy_result, chosen, entry, query, table, vm_location,
};
use dahliawood_model::FastSet;
use dahliawood_model::catalog::{TargetLoad, TargetReport};
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::choose;
use dahliawood_steer::placement::choose::PlacementChoice;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::placement::table::TargetResult;
use std::time::Duration;

#[test]
fn draining_and_evacuated_targets_get_no_requests() {
    let mut table = table(&[("a-1", 2), ("a-2", 2)]);
    let mut draining = entry(0, "a-1");
    draining.is_draining = true;
    table.upsert(draining, START);
    table.set_evacuated(FastSet::from_iter(["a-2".to_owned()]), START);
    for object in 0..100 {
        let choice = choose::choose(&mut table, &vm_location("a-1", 1), &query(object), START);
        let target = table.get(chosen(choice).unwrap()).unwrap();
        assert_eq!(target.entry.id, "target-1");
    }
    table.set_evacuated(
        FastSet::from_iter(["a-1".to_owned(), "a-2".to_owned()]),
        START,
    );
    let choice = choose::choose(&mut table, &vm_location("a-1", 1), &query(0), START);
    assert_eq!(choice, PlacementChoice::None);
}

#[test]
fn a_process_that_starts_under_the_id_of_one_that_left_is_used() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let leaving = TargetResult {
        report: Some(TargetReport {
            is_leaving: true,
            ..TargetReport::default()
        }),
        ..answered(None)
    };
    let key = table.services[SERVICE].targets[0];
    table.begin(key, START);
    assert!(table.finish(key, leaving, START));
    let choose = |table: &mut PlacementTable| choose::choose(table, &location, &query(1), START);
    assert_eq!(choose(&mut table), PlacementChoice::None);
    table.finish(key, answered(None), START);
    assert_eq!(choose(&mut table), PlacementChoice::None, "a late answer");
    table.upsert(entry(0, "a-1"), START);
    assert_eq!(choose(&mut table), PlacementChoice::None, "its entry again");
    table.remove("target-0", START);
    table.upsert(entry(0, "a-1"), START);
    assert_eq!(choose(&mut table), PlacementChoice::None, "a new entry");
    let mut restarted = entry(0, "a-1");
    restarted.started_millis = 2;
    table.upsert(restarted, START);
    assert!(matches!(choose(&mut table), PlacementChoice::Target(_)));
}

#[test]
fn a_pause_that_a_target_asks_for_is_kept_and_ends_with_one_request() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let key = table.services[SERVICE].targets[0];
    let refused = TargetResult {
        kind: ResultKind::Shed,
        report: Some(TargetReport {
            pause: Some(Duration::from_secs(5)),
            ..TargetReport::default()
        }),
        ..answered(None)
    };
    table.begin(key, START);
    table.begin(key, START);
    table.finish(key, refused, START);
    let after = |millis| START.after(Duration::from_millis(millis));
    let choose = |table: &mut PlacementTable, at| choose::choose(table, &location, &query(1), at);
    let refusal = |millis| PlacementChoice::Busy {
        retry_after: Duration::from_millis(millis),
        room_in: Some(Duration::from_millis(millis)),
    };
    assert_eq!(choose(&mut table, after(1_000)), refusal(4_000));
    // The answer to a request that was sent before does not end the pause.
    table.finish(key, answered(None), after(1_500));
    assert_eq!(choose(&mut table, after(2_000)), refusal(3_000));
    let end = after(5_000);
    assert_eq!(choose(&mut table, end), PlacementChoice::Target(key));
    table.begin(key, end);
    assert_eq!(
        choose(&mut table, end),
        PlacementChoice::None,
        "one at a time"
    );
    table.finish(key, answered(None), end);
    assert_eq!(choose(&mut table, end), PlacementChoice::Target(key));
}

#[test]
fn a_restart_under_the_same_id_is_a_new_target() {
    let mut table = table(&[("a-1", 1)]);
    let old = table.services[SERVICE].targets[0];
    table.begin(old, START);
    let mut restarted = entry(0, "a-1");
    restarted.started_millis = 2;
    table.upsert(restarted, START);
    let new = table.services[SERVICE].targets[0];
    assert_ne!(old, new);
    assert!(table.get(old).is_none());
    assert_eq!(table.get(new).unwrap().load.in_flight, 0);
    // The end of a request to the old target does not change the new one's load.
    table.finish(old, busy_result(9, START), START);
    assert!(
        table
            .get(new)
            .unwrap()
            .load
            .outstanding(SERVICE_TIME, START)
            < 0.5
    );
}

#[test]
fn a_failed_target_is_skipped_then_probed_one_request_at_a_time() {
    let mut table = table(&[("a-1", 1)]);
    let key = table.services[SERVICE].targets[0];
    let lost = TargetResult {
        kind: ResultKind::ConnectFailed,
        latency: Duration::ZERO,
        report: None,
        expected_wait: Duration::ZERO,
        connect_time: None,
        route: 0,
        visit: None,
        slack: Duration::from_millis(100),
    };
    table.begin(key, START);
    table.finish(key, lost, START);
    let location = vm_location("a-1", 1);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(0), START)),
        None
    );
    let later = START.after(Duration::from_secs(1));
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(0), later)),
        Some(key)
    );
    table.begin(key, later);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(1), later)),
        None
    );
    table.finish(key, answered(None), later);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(1), later)),
        Some(key)
    );
}

#[test]
fn a_slow_answer_of_each_target_in_turn_refuses_nothing() {
    let mut table = table(&[("a-1", 4)]);
    let location = vm_location("a-1", 1);
    let keys = table.services[SERVICE].targets.clone();
    let idle = TargetLoad {
        running: 0,
        waiting: 0,
        slots: 3,
        pace: None,
        received_at: START,
    };
    let answer = |millis| TargetResult {
        latency: Duration::from_millis(millis),
        ..answered(Some(idle))
    };
    for (index, slow) in keys.iter().enumerate() {
        // The others answer fast until it is their turn.
        for key in keys[index..].iter().cycle().take(400) {
            table.begin(*key, START);
            table.finish(*key, answer(5), START);
        }
        table.begin(*slow, START);
        table.finish(*slow, answer(900), START);
    }
    let choice = choose::choose(&mut table, &location, &query(0), START);
    assert!(chosen(choice).is_some(), "{choice:?}");
}

#[test]
fn requests_that_end_late_do_not_bring_back_a_target_whose_process_is_gone() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let key = table.services[SERVICE].targets[0];
    let result = |kind| TargetResult {
        kind,
        ..answered(None)
    };
    table.finish(key, result(ResultKind::Refused), START);
    // They were in flight when it crashed.
    for kind in [
        ResultKind::Errored,
        ResultKind::TimedOut,
        ResultKind::Cancelled,
    ] {
        table.finish(key, result(kind), START);
    }
    let later = START.after(Duration::from_secs(30));
    let choice = choose::choose(&mut table, &location, &query(0), later);
    assert_eq!(chosen(choice), None, "it is not probed by a request");
    assert_eq!(table.begin_checks(9, later).len(), 1);
    assert!(table.begin_checks(9, later).is_empty(), "a check at a time");
    assert_eq!(table.finish_check(key, true, later), Some("target-0"));
    let target = table.get(key).unwrap();
    assert!(target.is_cold(Duration::from_secs(3), later));
    let choice = choose::choose(&mut table, &location, &query(0), later);
    assert_eq!(chosen(choice), Some(key));
}

#[test]
fn a_target_that_refused_a_connection_and_answers_an_earlier_request_is_no_new_process() {
    let mut table = table(&[("a-1", 1)]);
    let key = table.services[SERVICE].targets[0];
    let refused = TargetResult {
        kind: ResultKind::Refused,
        ..answered(None)
    };
    let cold = Duration::from_secs(3);
    table.finish(key, refused, START);
    table.finish(key, answered(None), START.after(SERVICE_TIME / 2));
    assert!(!table.get(key).unwrap().breaker.is_down());
    assert!(!table.get(key).unwrap().is_cold(cold, START));
    table.finish(key, refused, START);
    let later = START.after(SERVICE_TIME * 2);
    table.finish(key, answered(None), later);
    assert!(
        table.get(key).unwrap().is_cold(cold, later),
        "it began later"
    );
}

#[test]
fn what_a_process_states_outlives_its_entry() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let key = table.services[SERVICE].targets[0];
    let refused = TargetResult {
        kind: ResultKind::Shed,
        report: Some(TargetReport {
            pause: Some(Duration::from_secs(5)),
            limit: Some(0.5),
            ..TargetReport::default()
        }),
        ..answered(None)
    };
    table.begin(key, START);
    table.finish(key, refused, START);
    let later = START.after(Duration::from_secs(4));
    for _ in 0..4 {
        table.remove("target-0", later);
        table.upsert(entry(0, "a-1"), later);
        let choice = choose::choose(&mut table, &location, &query(1), later);
        assert!(matches!(choice, PlacementChoice::Busy { .. }), "{choice:?}");
    }
    let key = table.services[SERVICE].targets[0];
    let limited = table.get(key).unwrap().stated_limit;
    assert!(
        limited
            .next_at(&location, table.get(key).unwrap().limited(&location), later)
            .is_some()
    );
    // Another process under the same id has stated nothing.
    let mut restarted = entry(0, "a-1");
    restarted.started_millis = 2;
    table.upsert(restarted, later);
    let choice = choose::choose(&mut table, &location, &query(1), later);
    assert!(matches!(choice, PlacementChoice::Target(_)), "{choice:?}");
}

#[test]
fn requests_that_ended_without_a_report_occupy_no_slot() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let key = table.services[SERVICE].targets[0];
    for _ in 0..6 {
        table.begin(key, START);
    }
    for kind in [ResultKind::TimedOut, ResultKind::Cancelled].repeat(3) {
        let ended = TargetResult {
            kind,
            ..answered(None)
        };
        table.finish(key, ended, START);
    }
    let later = START.after(Duration::from_secs(10));
    let choice = choose::choose(&mut table, &location, &query(1), later);
    assert_eq!(choice, PlacementChoice::Target(key));
}
