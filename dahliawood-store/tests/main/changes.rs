//! The log of changes from which a VM answers VMs that follow it.

use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::changes::ChangeLog;

fn item(revision: u64) -> KeyspaceItem {
    KeyspaceItem {
        key: format!("key-{}", revision % 7),
        value: (!revision.is_multiple_of(3)).then(|| vec![1]),
        revision,
    }
}

fn revisions(items: Option<Vec<KeyspaceItem>>) -> Option<Vec<u64>> {
    items.map(|items| items.iter().map(|item| item.revision).collect())
}

#[test]
fn a_follower_gets_exactly_the_changes_that_it_lacks() {
    let mut log = ChangeLog::default();
    log.reset(10);
    log.extend(&[item(11), item(13)], 15);
    log.extend(&[item(16)], 16);
    assert_eq!(revisions(log.since(10)), Some(vec![11, 13, 16]));
    assert_eq!(revisions(log.since(13)), Some(vec![16]));
    assert_eq!(revisions(log.since(16)), Some(vec![]));
    assert_eq!(log.revision(), 16);
}

#[test]
fn changes_before_the_first_read_are_reported_as_missing() {
    let mut log = ChangeLog::default();
    log.reset(10);
    assert_eq!(log.since(9), None);
    log.extend(&[item(11)], 11);
    log.reset(20);
    assert_eq!(log.since(11), None);
}

#[test]
fn changes_that_arrive_twice_are_kept_once() {
    let mut log = ChangeLog::default();
    log.extend(&[item(1), item(2)], 2);
    log.extend(&[item(2), item(3)], 3);
    assert_eq!(revisions(log.since(0)), Some(vec![1, 2, 3]));
}

#[test]
fn a_full_log_drops_the_oldest_changes_and_says_so() {
    let mut log = ChangeLog::default();
    let items: Vec<KeyspaceItem> = (1..=10_000).map(item).collect();
    log.extend(&items, 10_000);
    assert_eq!(log.since(100), None);
    assert_eq!(log.since(9_990).map(|items| items.len()), Some(10));
}
