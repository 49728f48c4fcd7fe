//! Unit tests of the revision tracker.

use dahliawood_store::content;
use dahliawood_store::head;
use dahliawood_store::revision::tracker;

fn stamp(revision: u64, text: &str) -> head::RevisionStamp {
    head::RevisionStamp {
        revision,
        write_id: head::WriteId::from(format!("write-{revision}")),
        hash: content::ContentHash::of(text),
    }
}

fn add_file(tracker: &mut tracker::RevisionTracker, text: &str) -> tracker::FileOutcome {
    let check = |text: &str| match text {
        "bad" => Err("bad".to_owned()),
        _ => Ok(()),
    };
    tracker
        .add_file(&content::ContentHash::of(text), text, &check)
        .unwrap()
}

#[test]
fn lower_revision_changes_nothing() {
    let mut tracker = tracker::RevisionTracker::new("vm", 1);
    assert_eq!(
        tracker.observe_accepted(&stamp(2, "two"), tracker::RevisionSource::Store),
        tracker::ObserveOutcome::AwaitingFile
    );
    assert_eq!(add_file(&mut tracker, "two"), tracker::FileOutcome::InForce);
    assert_eq!(
        tracker.observe_accepted(&stamp(1, "one"), tracker::RevisionSource::Peer),
        tracker::ObserveOutcome::Old
    );
    assert_eq!(
        add_file(&mut tracker, "one"),
        tracker::FileOutcome::Unwanted
    );
    assert_eq!(tracker.in_force().unwrap().stamp, stamp(2, "two"));
}

#[test]
fn file_with_another_hash_is_rejected() {
    let mut tracker = tracker::RevisionTracker::new("vm", 1);
    tracker.observe_accepted(&stamp(1, "one"), tracker::RevisionSource::Store);
    let error = tracker
        .add_file(&content::ContentHash::of("one"), "half", &|_| Ok(()))
        .unwrap_err();
    assert!(error.to_string().starts_with("the text has hash"));
    assert!(tracker.in_force().is_none());
}

#[test]
fn accepted_file_is_fetched_although_its_number_was_refused() {
    let mut tracker = tracker::RevisionTracker::new("vm", 2);
    tracker.raise_floor(1);
    tracker.observe_proposed(&stamp(1, "one"));
    assert!(tracker.status().refused.is_some());
    tracker.observe_accepted(&stamp(1, "one"), tracker::RevisionSource::Peer);
    assert_eq!(
        tracker.hashes_to_fetch(),
        vec![content::ContentHash::of("one")]
    );
    assert_eq!(add_file(&mut tracker, "one"), tracker::FileOutcome::InForce);
}

#[test]
fn file_rejected_by_the_check_is_never_in_force() {
    let mut tracker = tracker::RevisionTracker::new("vm", 1);
    tracker.observe_accepted(&stamp(1, "bad"), tracker::RevisionSource::Store);
    assert_eq!(add_file(&mut tracker, "bad"), tracker::FileOutcome::Refused);
    assert!(tracker.in_force().is_none() && tracker.hashes_to_fetch().is_empty());
}

#[test]
fn lost_revision_is_restored_to_the_head() {
    let mut tracker = tracker::RevisionTracker::new("vm", 1);
    let lost = head::HeadDocument::default()
        .with_accepted(&stamp(1, "one"), head::WriteNonce::from_draw(0.5));
    assert!(
        tracker
            .repair(&lost, head::WriteNonce::from_draw(0.5))
            .is_none()
    );
    tracker.observe_accepted(&stamp(2, "two"), tracker::RevisionSource::Store);
    add_file(&mut tracker, "two");
    let (head, _) = tracker
        .repair(&lost, head::WriteNonce::from_draw(0.5))
        .unwrap();
    assert_eq!(head.accepted(), Some(&stamp(2, "two")));
    assert!(
        tracker
            .repair(&head, head::WriteNonce::from_draw(0.5))
            .is_none()
    );
}
