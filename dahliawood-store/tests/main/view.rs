//! Tests of the cached key space while its service is unavailable and comes back.

use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::epoch;
use dahliawood_store::keyspace::record::{ValueOrder, WriterOrder};
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

#[test]
fn removals_apply_at_once_while_the_service_is_available() {
    let mut view = view();
    let changes = view.apply(vec![removed("a", 5)], 5, at(100));
    assert_eq!(changes, [removal("a")]);
}

#[test]
fn keys_missing_after_an_outage_are_retained_until_settled() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    let remaining = vec![written("fixed/a", "1", 3), written("fixed/b", "1", 4)];
    assert_eq!(view.replace(remaining, 6, at(5_000)), []);
    assert_eq!(view.expire(at(6_000)), []);
    let changes = view.apply(vec![written("a", "1", 7)], 7, at(6_500));
    assert_eq!(changes, [], "the value is unchanged");
    let settled = at(5_000).after(SETTLE_TIME);
    assert_eq!(view.expire(settled), [removal("b")]);
    assert_eq!(view.expire(settled.after(SETTLE_TIME)), []);
}

#[test]
fn removal_received_late_while_settling_applies_once_settled() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(7_000)), []);
    assert_eq!(view.expire(at(5_000).after(SETTLE_TIME)), [removal("a")]);
}

#[test]
fn short_failure_does_not_restart_settling() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    view.apply(vec![removed("a", 5)], 5, at(5_100));
    view.set_unavailable(true, at(6_000));
    view.set_unavailable(false, at(6_500));
    assert_eq!(view.expire(at(5_000).after(SETTLE_TIME)), [removal("a")]);
}

#[test]
fn a_short_failure_between_two_answers_holds_back_no_removal() {
    let mut view = view();
    view.set_unavailable(true, START);
    view.set_unavailable(false, at(5_000));
    // Settled; a single call fails, and the next one is answered.
    let settled = 5_000 + SETTLE_TIME.as_millis() as u64 + 100;
    view.set_unavailable(false, at(settled));
    view.set_unavailable(true, at(settled + 400));
    view.set_unavailable(false, at(settled + 500));
    let changes = view.apply(vec![removed("a", 5)], 5, at(settled + 600));
    assert_eq!(changes, [removal("a")]);
}

#[test]
fn keys_without_leases_are_removed_at_once_while_settling() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
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
        view.set_unavailable(true, at(0));
        let source = RelaySource {
            revision: 9,
            is_settled,
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
    view.set_unavailable(true, at(0));
    // The other VM received the removal of "fixed/b" at revision 6, and then lost the service as
    // well.
    let source = RelaySource {
        revision: 9,
        is_settled: false,
    };
    let items = vec![written("fixed/c", "1", 9)];
    let listed = listed(&["a", "b", "fixed/a", "fixed/c"]);
    assert_eq!(view.apply_relayed(items, &listed, source, at(100)).len(), 1);
    view.set_unavailable(false, at(5_000));
    let from = view.revision();
    let log = [removed("fixed/b", 6), written("fixed/c", "1", 9)];
    let unseen = log.into_iter().filter(|item| item.revision > from);
    let changes = view.apply(unseen.collect(), 9, at(5_100));
    assert_eq!(changes, [removal("fixed/b")]);
}

#[test]
fn settled_relay_is_used_after_an_unsettled_one_of_the_same_revision() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    let listed = listed(&["a", "fixed/a", "fixed/b"]);
    let source = |is_settled| RelaySource {
        revision: 9,
        is_settled,
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
