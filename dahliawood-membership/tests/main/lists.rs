//! What the live list adds.

use crate::support;
use dahliawood_membership::table::MemberState;

/// Another VM that has an opinion.
const OBSERVER: usize = 3;

#[test]
fn present_and_silent_is_suspect_for_ever() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    fleet.run(support::seconds(120));
    let state = fleet.state(OBSERVER, 0);
    assert!(
        matches!(state, Some(MemberState::Suspect | MemberState::Unreached)),
        "{state:?}"
    );
}

#[test]
fn absent_and_silent_is_gone_and_then_forgotten() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    let (now, name) = (fleet.now(), fleet.vms[0].profile.name.clone());
    fleet.list.remove(now, &name);
    fleet.run(support::seconds(8));
    assert_ne!(fleet.state(OBSERVER, 0), Some(MemberState::Gone));
    fleet.run(support::seconds(40));
    assert_eq!(fleet.state(OBSERVER, 0), Some(MemberState::Gone));
    fleet.run(support::seconds(100));
    assert_eq!(fleet.state(OBSERVER, 0), None);
}

#[test]
fn absent_and_heard_stays_live() {
    let mut fleet = support::fleet(12, 1);
    let name = fleet.vms[0].profile.name.clone();
    fleet.list.omitted.insert(name);
    fleet.run(support::seconds(120));
    assert_eq!(fleet.state(OBSERVER, 0), Some(MemberState::Live));
}

#[test]
fn the_last_reading_stands_while_the_list_is_down() {
    let mut fleet = support::fleet(12, 1);
    let name = fleet.vms[0].profile.name.clone();
    fleet.list.omitted.insert(name);
    fleet.run(support::seconds(3));
    fleet.list.is_down = true;
    fleet.kill(0);
    fleet.run(support::seconds(120));
    assert_ne!(fleet.state(OBSERVER, 0), Some(MemberState::Gone));
    assert_eq!(fleet.naming(0).count(), 0);
}

#[test]
fn a_vm_that_is_heard_is_known_before_it_is_listed() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    let (now, name) = (fleet.now(), fleet.vms[0].profile.name.clone());
    fleet.list.remove(now, &name);
    fleet.run(support::seconds(120));
    assert_eq!(fleet.state(OBSERVER, 0), None);
    fleet.start(0);
    fleet.run(support::seconds(5));
    assert_eq!(fleet.naming(0).count(), 11);
}

#[test]
fn a_vm_that_leaves_is_not_named_at_once() {
    let mut fleet = support::fleet(12, 1);
    let now = fleet.now();
    let table = fleet.vms[0].table.as_mut().expect("it runs");
    let effects = table.leave(now);
    fleet.apply(0, effects);
    fleet.run(support::seconds(1));
    assert_eq!(fleet.naming(0).count(), 0);
    assert_eq!(fleet.state(OBSERVER, 0), Some(MemberState::Leaving));
}
