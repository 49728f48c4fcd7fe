//! Tests of the cached key space while its service is unavailable and comes back.

use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::view::{KeyspaceView, RelaySource, SETTLE_TIME, ViewChange};
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
