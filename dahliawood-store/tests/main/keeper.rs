//! The keeper's rules, one at a time.

use dahliawood_store::content;
use dahliawood_store::head;
use dahliawood_store::revision::keeper;

fn stamp(revision: u64, text: &str) -> head::RevisionStamp {
    head::RevisionStamp {
        revision,
        write_id: head::WriteId::from(format!("write-{revision}")),
        hash: content::ContentHash::of(text),
    }
}

fn supply(keeper: &mut keeper::RevisionKeeper, text: &str) -> keeper::SupplyOutcome {
    let check = |text: &str| match text {
        "bad" => Err("bad".to_owned()),
        _ => Ok(()),
    };
    keeper
        .supply(&content::ContentHash::of(text), text, &check)
        .unwrap()
}

#[test]
fn lower_revision_changes_nothing() {
    let mut keeper = keeper::RevisionKeeper::new("vm", 1);
    assert_eq!(
        keeper.observe(&stamp(2, "two"), keeper::RevisionSource::Store),
        keeper::ObserveOutcome::Wanted
    );
    assert_eq!(supply(&mut keeper, "two"), keeper::SupplyOutcome::InForce);
    assert_eq!(
        keeper.observe(&stamp(1, "one"), keeper::RevisionSource::Peer),
        keeper::ObserveOutcome::Old
    );
    assert_eq!(supply(&mut keeper, "one"), keeper::SupplyOutcome::Unwanted);
    assert_eq!(keeper.in_force().unwrap().stamp, stamp(2, "two"));
}

#[test]
fn file_of_another_hash_is_not_taken() {
    let mut keeper = keeper::RevisionKeeper::new("vm", 1);
    keeper.observe(&stamp(1, "one"), keeper::RevisionSource::Store);
    let error = keeper
        .supply(&content::ContentHash::of("one"), "half", &|_| Ok(()))
        .unwrap_err();
    assert!(error.to_string().starts_with("the text has hash"));
    assert!(keeper.in_force().is_none());
}

#[test]
fn accepted_file_is_wanted_although_its_number_was_refused() {
    let mut keeper = keeper::RevisionKeeper::new("vm", 2);
    keeper.raise(1);
    keeper.propose(&stamp(1, "one"));
    assert!(keeper.status().refused.is_some());
    keeper.observe(&stamp(1, "one"), keeper::RevisionSource::Peer);
    assert_eq!(keeper.wanted(), vec![content::ContentHash::of("one")]);
    assert_eq!(supply(&mut keeper, "one"), keeper::SupplyOutcome::InForce);
}

#[test]
fn file_that_is_not_understood_is_never_in_force() {
    let mut keeper = keeper::RevisionKeeper::new("vm", 1);
    keeper.observe(&stamp(1, "bad"), keeper::RevisionSource::Store);
    assert_eq!(supply(&mut keeper, "bad"), keeper::SupplyOutcome::Refused);
    assert!(keeper.in_force().is_none() && keeper.wanted().is_empty());
}

#[test]
fn lost_revision_is_put_back_into_the_head() {
    let mut keeper = keeper::RevisionKeeper::new("vm", 1);
    let lost =
        head::HeadDocument::default().with_accepted(&stamp(1, "one"), head::WriteMark::drawn(0.5));
    assert!(keeper.repair(&lost, head::WriteMark::drawn(0.5)).is_none());
    keeper.observe(&stamp(2, "two"), keeper::RevisionSource::Store);
    supply(&mut keeper, "two");
    let (head, _) = keeper.repair(&lost, head::WriteMark::drawn(0.5)).unwrap();
    assert_eq!(head.accepted(), Some(&stamp(2, "two")));
    assert!(keeper.repair(&head, head::WriteMark::drawn(0.5)).is_none());
}
