//! Tests of the cached key space while its service is unavailable and comes back.

use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::keyspace::availability::AnswerSpan;
use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::epoch;
use dahliawood_store::keyspace::record::{ValueOrder, WriterOrder};
use dahliawood_store::keyspace::view::retained::HoldStep;
use dahliawood_store::keyspace::view::settle::{RESTORE_TIME, SETTLE_TIME};
use dahliawood_store::keyspace::view::{KeyspaceView, RelaySource, ViewChange};
use proptest::prelude::*;
use std::time::Duration;

const START: TimeStamp = TimeStamp::from_millis(1_000_000);

fn is_leased(key: &str) -> bool {
    !key.starts_with("fixed/")
}

fn written(key: &str, value: &str, revision: u64) -> KeyspaceItem {
    KeyspaceItem {
        key: key.to_owned(),
        value: Some(value.as_bytes().to_vec()),
        revision,
    }
}

fn removed(key: &str, revision: u64) -> KeyspaceItem {
    KeyspaceItem {
        key: key.to_owned(),
        value: None,
        revision,
    }
}

fn removal(key: &str) -> ViewChange {
    ViewChange {
        key: key.to_owned(),
        value: None,
    }
}

fn at(millis: u64) -> TimeStamp {
    START.after(Duration::from_millis(millis))
}

/// A view with two leased keys and two keys without a lease.
fn view() -> KeyspaceView {
    let mut view = KeyspaceView::new(is_leased);
    let items = ["a", "b", "fixed/a", "fixed/b"];
    let items = items.iter().zip(1..).map(|(key, at)| written(key, "1", at));
    assert_eq!(view.apply(items.collect(), 4, START).len(), 4);
    view
}

/// The service answers a call of the VM.
fn answer(view: &mut KeyspaceView, at: TimeStamp) {
    view.record_answers(AnswerSpan::of_answer(at, at));
}

#[test]
fn removals_apply_at_once_while_the_service_is_available() {
    let mut view = view();
    let changes = view.apply(vec![removed("a", 5)], 5, at(100));
    assert_eq!(changes, [removal("a")]);
}

#[test]
fn keys_missing_after_an_outage_are_retained_until_settled() {
    let mut view = view();
    view.record_failure();
    answer(&mut view, at(5_000));
    let remaining = vec![written("fixed/a", "1", 3), written("fixed/b", "1", 4)];
    assert_eq!(view.replace(remaining, 6, at(5_000)), []);
    assert_eq!(view.expire(at(6_000)), []);
    answer(&mut view, at(6_500));
    let changes = view.apply(vec![written("a", "1", 7)], 7, at(6_500));
    assert_eq!(changes, [], "the value is unchanged");
    let settled = at(5_000).after(SETTLE_TIME);
    assert_eq!(view.expire(settled), [removal("b")]);
    assert_eq!(view.expire(settled.after(SETTLE_TIME)), []);
}

#[test]
fn removal_received_late_while_settling_applies_once_settled() {
    let mut view = view();
    view.record_failure();
    answer(&mut view, at(5_000));
    answer(&mut view, at(7_000));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(7_000)), []);
    assert_eq!(view.expire(at(5_000).after(SETTLE_TIME)), [removal("a")]);
}

#[test]
fn short_failure_does_not_restart_settling() {
    let mut view = view();
    view.record_failure();
    answer(&mut view, at(5_000));
    view.apply(vec![removed("a", 5)], 5, at(5_100));
    view.record_failure();
    answer(&mut view, at(6_500));
    assert_eq!(view.expire(at(5_000).after(SETTLE_TIME)), [removal("a")]);
}

#[test]
fn a_short_failure_between_two_answers_holds_back_no_removal() {
    let mut view = view();
    view.record_failure();
    answer(&mut view, at(5_000));
    answer(&mut view, at(6_500));
    // Settled; a single call fails, and the next one is answered.
    let settled = 5_000 + SETTLE_TIME.as_millis() as u64 + 100;
    answer(&mut view, at(settled));
    view.record_failure();
    answer(&mut view, at(settled + 500));
    let changes = view.apply(vec![removed("a", 5)], 5, at(settled + 600));
    assert_eq!(changes, [removal("a")]);
}

#[test]
fn keys_without_leases_are_removed_at_once_while_settling() {
    let mut view = view();
    view.record_failure();
    answer(&mut view, at(5_000));
    assert_eq!(
        view.apply(vec![removed("fixed/a", 5)], 5, at(5_100)),
        [removal("fixed/a")]
    );
}

fn listed(keys: &[&str]) -> FastSet<String> {
    keys.iter().map(|key| (*key).to_owned()).collect()
}

#[test]
fn only_a_settled_relay_removes_keys_at_once() {
    let cases = [(true, vec![removal("b")], 9), (false, vec![], 4)];
    for (is_settled, expected, expected_revision) in cases {
        let mut view = view();
        view.record_failure();
        let source = RelaySource {
            revision: 9,
            is_settled,
            tells_answers: false,
        };
        assert!(view.has_newer(source));
        let listed = listed(&["a", "fixed/a", "fixed/b"]);
        assert_eq!(
            view.apply_relayed(Vec::new(), &listed, source, at(100)),
            expected
        );
        assert_eq!(view.revision(), expected_revision);
        assert_eq!(view.heard_revision(), 9);
        assert!(
            !view.has_newer(source),
            "the same revision has nothing newer"
        );
    }
}

#[test]
fn removal_known_to_an_unsettled_vm_is_learned_from_the_service() {
    let mut view = view();
    view.record_failure();
    // The other VM received the removal of "fixed/b" at revision 6, and then lost the service as
    // well.
    let source = RelaySource {
        revision: 9,
        is_settled: false,
        tells_answers: false,
    };
    let items = vec![written("fixed/c", "1", 9)];
    let listed = listed(&["a", "b", "fixed/a", "fixed/c"]);
    assert_eq!(view.apply_relayed(items, &listed, source, at(100)).len(), 1);
    answer(&mut view, at(5_000));
    let from = view.revision();
    let log = [removed("fixed/b", 6), written("fixed/c", "1", 9)];
    let unseen = log.into_iter().filter(|item| item.revision > from);
    let changes = view.apply(unseen.collect(), 9, at(5_100));
    assert_eq!(changes, [removal("fixed/b")]);
}

#[test]
fn settled_relay_is_used_after_an_unsettled_one_of_the_same_revision() {
    let mut view = view();
    view.record_failure();
    let listed = listed(&["a", "fixed/a", "fixed/b"]);
    let source = |is_settled| RelaySource {
        revision: 9,
        is_settled,
        tells_answers: false,
    };
    assert_eq!(
        view.apply_relayed(Vec::new(), &listed, source(false), at(100)),
        []
    );
    assert!(view.has_newer(source(true)));
    let changes = view.apply_relayed(Vec::new(), &listed, source(true), at(200));
    assert_eq!(changes, [removal("b")]);
}

#[test]
fn no_order_of_changes_reverts_a_key_to_an_older_write() {
    let writes = prop::collection::vec((0_u64..40, any::<bool>()), 1..60);
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let result = runner.run(&writes, |writes| {
        let mut view = KeyspaceView::new(is_leased);
        let mut newest = 0;
        for (revision, is_removal) in writes {
            let revision = revision + 1;
            let item = match is_removal {
                true => removed("fixed/key", revision),
                false => written("fixed/key", &revision.to_string(), revision),
            };
            for change in view.apply(vec![item], revision, START) {
                prop_assert!(revision >= newest, "{change:?} after {newest}");
                newest = revision;
            }
        }
        Ok(())
    });
    result.unwrap();
}

/// A revision of the epoch after the view's first one.
fn restored(revision: u64) -> u64 {
    epoch::stamped(1, revision)
}

/// A view whose values are ordered by their number.
fn ordered_view() -> KeyspaceView {
    view().with_order(|_, value| {
        let text = std::str::from_utf8(value).unwrap();
        let sequence = text.parse().unwrap();
        ValueOrder::Ordered(WriterOrder {
            process: 0,
            sequence,
        })
    })
}

fn value(view: &KeyspaceView, key: &str) -> Option<String> {
    let known = view.known().find(|(known, _)| *known == key);
    known.map(|(_, known)| String::from_utf8_lossy(&known.value).into_owned())
}

#[test]
fn nothing_goes_back_when_the_service_returns_to_an_older_state() {
    let mut view = ordered_view();
    view.apply(
        vec![written("a", "5", 5), removed("b", 6), written("c", "1", 7)],
        7,
        START,
    );
    let items = vec![
        written("a", "1", restored(1)),
        written("b", "1", restored(2)),
        written("fixed/a", "1", restored(3)),
    ];
    assert_eq!(view.replace(items, restored(3), at(100)), []);
    assert_eq!(view.epoch(), 1);
    assert_eq!(value(&view, "a").as_deref(), Some("5"), "an older value");
    assert_eq!(value(&view, "b"), None, "a removed key");
    assert_eq!(value(&view, "c").as_deref(), Some("1"), "a lost key");
    assert_eq!(value(&view, "fixed/b").as_deref(), Some("1"), "a lost key");
    // The whole key space is read again, and copied from another VM, before all is settled.
    let items = || vec![written("fixed/a", "1", restored(3))];
    view.replace(items(), restored(3), at(200));
    let listed = FastSet::from_iter(["fixed/a".to_owned()]);
    let source = RelaySource {
        revision: restored(4),
        is_settled: true,
        tells_answers: false,
    };
    view.apply_relayed(items(), &listed, source, at(300));
    assert_eq!(value(&view, "c").as_deref(), Some("1"), "a lost key");
    // What is written again is in force at once, at revisions that were given out before.
    let changes = view.apply(vec![written("a", "6", restored(5))], restored(5), at(400));
    assert_eq!(changes.len(), 1);
    let changes = view.apply(vec![written("b", "7", restored(6))], restored(6), at(500));
    assert_eq!(changes.len(), 1);
    let end = at(100).after(RESTORE_TIME);
    let mut gone = view.expire(end);
    gone.sort_by(|a, b| a.key.cmp(&b.key));
    assert_eq!(gone, [removal("c"), removal("fixed/b")]);
    assert_eq!(value(&view, "b").as_deref(), Some("7"));
}

#[test]
fn a_removed_key_that_a_restored_service_goes_on_listing_is_taken_over_once_settled() {
    let mut view = view();
    view.apply(vec![removed("a", 5), removed("b", 6)], 6, START);
    let items = vec![
        written("a", "1", restored(1)),
        written("b", "1", restored(2)),
    ];
    view.replace(items, restored(4), START);
    view.apply(vec![removed("a", restored(5))], restored(5), at(1_000));
    assert_eq!(view.expire(at(1_000)), []);
    let changes = view.expire(START.after(RESTORE_TIME));
    let taken = changes.iter().filter(|change| change.value.is_some());
    let keys: Vec<&str> = taken.map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["b"]);
}

#[test]
fn a_vm_that_hears_of_a_restoration_from_another_vm_takes_it_over() {
    let mut view = ordered_view();
    let items = vec![written("a", "9", restored(2))];
    let listed = FastSet::from_iter(["a".to_owned()]);
    let source = RelaySource {
        revision: restored(2),
        is_settled: false,
        tells_answers: false,
    };
    assert_eq!(view.apply_relayed(items, &listed, source, START).len(), 1);
    assert_eq!(view.revision(), restored(2));
    assert_eq!(value(&view, "b").as_deref(), Some("1"), "a lost key");
    // A second restoration begins the wait anew.
    let twice = epoch::stamped(2, 1);
    view.replace(vec![written("a", "1", twice)], twice, at(5_000));
    assert_eq!(view.expire(START.after(RESTORE_TIME)), []);
    assert_eq!(value(&view, "a").as_deref(), Some("9"));
    assert_eq!(view.expire(at(5_000).after(RESTORE_TIME)).len(), 3);
}

/// Another VM's knowledge of the service's answers.
fn told(since: u64, until: u64, is_after_outage: bool) -> AnswerSpan {
    AnswerSpan {
        since: at(since),
        until: at(until),
        is_after_outage,
    }
}

/// Guards against a VM that follows another one for a long time, and takes a short pause of the service for
/// an outage in which leases ended: it went on using targets that had left (DRAIN, review/7).
#[test]
fn a_short_pause_after_a_long_time_of_following_another_vm_holds_back_no_removal() {
    let mut view = view();
    answer(&mut view, at(0));
    view.record_answers(told(0, 30_000, false));
    view.record_failure();
    answer(&mut view, at(31_500));
    let changes = view.apply(vec![removed("a", 5)], 5, at(31_500));
    assert_eq!(changes, [removal("a")]);
}

/// Guards against an outage that looks short to a VM which noticed it late: living targets would be dropped
/// (RECOVER).
#[test]
fn a_long_outage_that_was_noticed_late_holds_removals_back() {
    let mut view = view();
    answer(&mut view, at(0));
    view.record_answers(told(0, 30_000, false));
    // The relay told nothing for long; the first call of this VM fails, and the next one is answered.
    view.record_failure();
    answer(&mut view, at(32_500));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(32_500)), []);
    assert_eq!(view.retained(), 1);
}

/// Guards against holds that add up along a chain of followers (DRAIN, review/7).
#[test]
fn the_hold_of_a_follower_ends_with_the_earliest_answer_that_anybody_had() {
    let mut view = view();
    answer(&mut view, at(0));
    // This VM notices at 9 s that the service is back; another one knows it since 7 s.
    answer(&mut view, at(9_000));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(9_000)), []);
    view.record_answers(told(7_000, 8_900, true));
    assert_eq!(view.expire(at(9_300)), []);
    assert_eq!(view.expire(at(9_400)), [removal("a")]);
    // What is told once more does not prolong it.
    view.record_answers(told(8_500, 9_600, true));
    answer(&mut view, at(9_700));
    assert!(!view.is_settling(at(9_700)));
}

/// Guards against a hold that goes on although another VM tells that there was no outage (DRAIN).
#[test]
fn a_hold_ends_at_once_when_another_vm_had_answers_all_the_while() {
    let mut view = view();
    answer(&mut view, at(0));
    answer(&mut view, at(9_000));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(9_000)), []);
    view.record_answers(told(1_500, 8_900, false));
    assert_eq!(view.expire(at(9_050)), [removal("a")]);
}

#[test]
fn a_new_vm_holds_back_what_the_vm_does_that_it_follows() {
    let mut view = view();
    answer(&mut view, at(9_000));
    view.record_answers(told(8_000, 9_100, true));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(9_100)), []);
    assert_eq!(
        view.settles_in(at(9_100)),
        SETTLE_TIME.saturating_sub(Duration::from_millis(1_100))
    );
}

/// Guards against a target that has said that it leaves and is used because it seems to be lost (DRAIN).
#[test]
fn a_key_whose_writer_said_that_it_leaves_is_not_held() {
    let mut view = view().with_leaving(|_, value| value == b"leaving");
    answer(&mut view, at(0));
    view.apply(vec![written("a", "leaving", 5)], 5, at(100));
    answer(&mut view, at(9_000));
    let changes = view.apply(vec![removed("a", 6), removed("b", 7)], 7, at(9_000));
    assert_eq!(changes, [removal("a")]);
    let begun: Vec<_> = view.take_hold_changes();
    assert_eq!(begun.len(), 1);
    assert_eq!(
        (begun[0].key.as_str(), begun[0].step),
        ("b", HoldStep::Begun)
    );
}

/// Guards against living targets that are dropped because a VM which has just started, and knows of no
/// outage, does not list them (RECOVER).
#[test]
fn what_a_new_vm_does_not_list_is_held_until_the_service_has_answered_for_long_enough() {
    let mut view = view();
    answer(&mut view, at(0));
    let copy = |revision| RelaySource {
        revision,
        is_settled: true,
        tells_answers: true,
    };
    let listed = listed(&["fixed/a", "fixed/b"]);
    view.record_answers(told(9_000, 9_100, false));
    assert_eq!(
        view.apply_relayed(Vec::new(), &listed, copy(9), at(9_200)),
        []
    );
    assert_eq!(view.retained(), 2);
    view.record_answers(told(9_000, 11_300, false));
    assert_eq!(view.expire(at(11_399)), []);
    assert_eq!(view.expire(at(11_400)).len(), 2);
}

/// Guards against issue 61: targets whose removal was held back until a moment ago were listed in copies that
/// claimed a revision after the removal.
#[test]
fn a_settled_copy_does_not_list_what_is_still_retained() {
    let mut view = view();
    answer(&mut view, at(0));
    answer(&mut view, at(10_000));
    view.apply(vec![removed("a", 5)], 5, at(10_000));
    let listed = |view: &KeyspaceView, now| {
        let copy = view.copy(true, now);
        let keys = copy.entries.iter().map(|(key, _)| (*key).to_owned());
        let mut keys: Vec<String> = keys.collect();
        keys.sort();
        (copy.is_settled, copy.revision, keys.len())
    };
    assert_eq!(listed(&view, at(10_000)), (false, 5, 4));
    // The hold is over, and what was held not dropped yet.
    let settled = at(10_000).after(SETTLE_TIME);
    answer(&mut view, at(11_500));
    assert_eq!(listed(&view, settled), (true, 5, 3));
    assert_eq!(view.known().count(), 4);
}

/// A list that was asked for before another VM's copy was taken over is older than that copy: the log of
/// changes does not begin at its revision, since followers would miss what lies between.
#[test]
fn an_older_list_does_not_set_the_log_of_changes_back() {
    let mut view = view();
    let source = RelaySource {
        revision: 9,
        is_settled: true,
        tells_answers: true,
    };
    let newer = vec![written("fixed/a", "2", 8)];
    view.apply_relayed(
        newer,
        &listed(&["a", "b", "fixed/a", "fixed/b"]),
        source,
        at(0),
    );
    let items = ["a", "b", "fixed/a", "fixed/b"];
    let items = items.iter().zip(1..).map(|(key, at)| written(key, "1", at));
    view.replace(items.collect(), 6, at(0));
    assert_eq!(view.changes_since(6), None);
    view.apply(vec![written("fixed/b", "2", 10)], 10, at(0));
    assert_eq!(view.changes_since(6), None);
    let told = view.changes_since(9).expect("all changes are kept");
    assert_eq!((told.items.len(), told.revision), (1, 10));
}
