//! What is known of a key space while its service comes and goes.

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

fn gone(key: &str) -> ViewChange {
    ViewChange {
        key: key.to_owned(),
        value: None,
    }
}

fn at(millis: u64) -> TimeStamp {
    START.after(Duration::from_millis(millis))
}

/// A view that knows two keys of each kind.
fn view() -> KeyspaceView {
    let mut view = KeyspaceView::new(is_leased);
    let items = ["a", "b", "fixed/a", "fixed/b"];
    let items = items.iter().zip(1..).map(|(key, at)| written(key, "1", at));
    assert_eq!(view.apply(items.collect(), 4, START).len(), 4);
    view
}

#[test]
fn a_removal_counts_at_once_while_the_service_answers() {
    let mut view = view();
    let changes = view.apply(vec![removed("a", 5)], 5, at(100));
    assert_eq!(changes, [gone("a")]);
}

#[test]
fn keys_that_lapsed_while_the_service_was_away_wait_for_their_holders() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    let left = vec![written("fixed/a", "1", 3), written("fixed/b", "1", 4)];
    assert_eq!(view.replace(left, 6, at(5_000)), []);
    assert_eq!(view.expire(at(6_000)), []);
    let back = view.apply(vec![written("a", "1", 7)], 7, at(6_500));
    assert_eq!(back, [], "it is what it was");
    let settled = at(5_000).after(SETTLE_TIME);
    assert_eq!(view.expire(settled), [gone("b")]);
    assert_eq!(view.expire(settled.after(SETTLE_TIME)), []);
}

#[test]
fn a_removal_that_is_heard_of_late_in_the_wait_counts_at_its_end() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    assert_eq!(view.apply(vec![removed("a", 5)], 5, at(7_000)), []);
    assert_eq!(view.expire(at(5_000).after(SETTLE_TIME)), [gone("a")]);
}

#[test]
fn a_short_failure_does_not_prolong_the_wait() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    view.apply(vec![removed("a", 5)], 5, at(5_100));
    view.set_unavailable(true, at(6_000));
    view.set_unavailable(false, at(6_500));
    assert_eq!(view.expire(at(5_000).after(SETTLE_TIME)), [gone("a")]);
}

#[test]
fn keys_without_leases_are_removed_at_once_even_then() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    view.set_unavailable(false, at(5_000));
    assert_eq!(
        view.apply(vec![removed("fixed/a", 5)], 5, at(5_100)),
        [gone("fixed/a")]
    );
}

fn listed(keys: &[&str]) -> FastSet<String> {
    keys.iter().map(|key| (*key).to_owned()).collect()
}

#[test]
fn another_vm_that_the_service_answers_is_believed_at_once() {
    let cases = [(true, vec![gone("b")], 9), (false, vec![], 4)];
    for (is_settled, expected, follows_from) in cases {
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
        assert_eq!(view.revision(), follows_from);
        assert_eq!(view.heard_revision(), 9);
        assert!(!view.has_newer(source), "the same again tells nothing");
    }
}

#[test]
fn a_removal_that_an_unsettled_vm_knew_of_is_heard_from_the_service() {
    let mut view = view();
    view.set_unavailable(true, at(0));
    // The other VM heard of the removal of "fixed/b" at 6, and then lost the service as well.
    let source = RelaySource {
        revision: 9,
        is_settled: false,
    };
    let news = vec![written("fixed/c", "1", 9)];
    let listed = listed(&["a", "b", "fixed/a", "fixed/c"]);
    assert_eq!(view.apply_relayed(news, &listed, source, at(100)).len(), 1);
    view.set_unavailable(false, at(5_000));
    let from = view.revision();
    let log = [removed("fixed/b", 6), written("fixed/c", "1", 9)];
    let told = log.into_iter().filter(|item| item.revision > from);
    let changes = view.apply(told.collect(), 9, at(5_100));
    assert_eq!(changes, [gone("fixed/b")]);
}

#[test]
fn a_settled_vm_is_heard_after_an_unsettled_one_told_of_the_same_writes() {
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
    assert_eq!(changes, [gone("b")]);
}

#[test]
fn no_order_of_messages_takes_a_key_back_to_an_older_write() {
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
