//! The keeper's rules, one at a time.

use dahliawood_store::content::ContentHash;
use dahliawood_store::head::{HeadDocument, RevisionStamp, WriteId, WriteMark};
use dahliawood_store::revision::keeper::{
    ObserveOutcome, RevisionKeeper, RevisionSource, SupplyOutcome,
};

fn stamp(revision: u64, text: &str) -> RevisionStamp {
    RevisionStamp {
        revision,
        write_id: WriteId::from(format!("write-{revision}")),
        hash: ContentHash::of(text),
    }
}

fn supply(keeper: &mut RevisionKeeper, text: &str) -> SupplyOutcome {
    let check = |text: &str| match text {
        "bad" => Err("bad".to_owned()),
        _ => Ok(()),
    };
    keeper.supply(&ContentHash::of(text), text, &check).unwrap()
}

#[test]
fn lower_revision_changes_nothing() {
    let mut keeper = RevisionKeeper::new("vm", 1);
    assert_eq!(
        keeper.observe(&stamp(2, "two"), RevisionSource::Store),
        ObserveOutcome::Wanted
    );
    assert_eq!(supply(&mut keeper, "two"), SupplyOutcome::InForce);
    assert_eq!(
        keeper.observe(&stamp(1, "one"), RevisionSource::Peer),
        ObserveOutcome::Old
    );
    assert_eq!(supply(&mut keeper, "one"), SupplyOutcome::Unwanted);
    assert_eq!(keeper.in_force().unwrap().stamp, stamp(2, "two"));
}

#[test]
fn file_of_another_hash_is_not_taken() {
    let mut keeper = RevisionKeeper::new("vm", 1);
    keeper.observe(&stamp(1, "one"), RevisionSource::Store);
    let error = keeper
        .supply(&ContentHash::of("one"), "half", &|_| Ok(()))
        .unwrap_err();
    assert!(error.to_string().starts_with("the text has hash"));
    assert!(keeper.in_force().is_none());
}

#[test]
fn accepted_file_is_wanted_although_its_number_was_refused() {
    let mut keeper = RevisionKeeper::new("vm", 2);
    keeper.raise(1);
    keeper.propose(&stamp(1, "one"));
    assert!(keeper.status().refused.is_some());
    keeper.observe(&stamp(1, "one"), RevisionSource::Peer);
    assert_eq!(keeper.wanted(), vec![ContentHash::of("one")]);
    assert_eq!(supply(&mut keeper, "one"), SupplyOutcome::InForce);
}

#[test]
fn file_that_is_not_understood_is_never_in_force() {
    let mut keeper = RevisionKeeper::new("vm", 1);
    keeper.observe(&stamp(1, "bad"), RevisionSource::Store);
    assert_eq!(supply(&mut keeper, "bad"), SupplyOutcome::Refused);
    assert!(keeper.in_force().is_none() && keeper.wanted().is_empty());
}

#[test]
fn lost_revision_is_put_back_into_the_head() {
    let mut keeper = RevisionKeeper::new("vm", 1);
    let lost = HeadDocument::default().with_accepted(&stamp(1, "one"), WriteMark::drawn(0.5));
    assert!(keeper.repair(&lost, WriteMark::drawn(0.5)).is_none());
    keeper.observe(&stamp(2, "two"), RevisionSource::Store);
    supply(&mut keeper, "two");
    let (head, _) = keeper.repair(&lost, WriteMark::drawn(0.5)).unwrap();
    assert_eq!(head.accepted(), Some(&stamp(2, "two")));
    assert!(keeper.repair(&head, WriteMark::drawn(0.5)).is_none());
}
