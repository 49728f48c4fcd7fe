//! Tests of the influence of the platform's live list on the members' states.

use crate::support;
use dahliawood_membership::table::MemberState;

/// A VM whose view of VM 0 is checked.
const OBSERVER: usize = 3;

#[test]
fn listed_silent_vm_stays_suspect_or_unreachable() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    fleet.run(support::seconds(120));
    let state = fleet.state(OBSERVER, 0);
    assert!(
        matches!(state, Some(MemberState::Suspect | MemberState::Unreachable)),
        "{state:?}"
    );
}

#[test]
fn unlisted_silent_vm_is_gone_and_then_removed() {
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
fn unlisted_vm_that_sends_messages_stays_live() {
    let mut fleet = support::fleet(12, 1);
    let name = fleet.vms[0].profile.name.clone();
    fleet.list.omitted.insert(name);
    fleet.run(support::seconds(120));
    assert_eq!(fleet.state(OBSERVER, 0), Some(MemberState::Live));
}

#[test]
fn last_reading_remains_in_effect_while_the_list_is_down() {
    let mut fleet = support::fleet(12, 1);
    let name = fleet.vms[0].profile.name.clone();
    fleet.list.omitted.insert(name);
    fleet.run(support::seconds(3));
    fleet.list.is_down = true;
    fleet.kill(0);
    fleet.run(support::seconds(120));
    assert_ne!(fleet.state(OBSERVER, 0), Some(MemberState::Gone));
    assert_eq!(fleet.vms_listing(0).count(), 0);
}

#[test]
fn vm_that_sends_messages_is_live_before_it_is_listed() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    let (now, name) = (fleet.now(), fleet.vms[0].profile.name.clone());
    fleet.list.remove(now, &name);
    fleet.run(support::seconds(120));
    assert_eq!(fleet.state(OBSERVER, 0), None);
    fleet.start(0);
    fleet.run(support::seconds(5));
    assert_eq!(fleet.vms_listing(0).count(), 11);
}

#[test]
fn leaving_vm_is_not_live_within_one_second() {
    let mut fleet = support::fleet(12, 1);
    let now = fleet.now();
    let table = fleet.vms[0].table.as_mut().expect("it runs");
    let effects = table.leave(now);
    fleet.apply(0, effects);
    fleet.run(support::seconds(1));
    assert_eq!(fleet.vms_listing(0).count(), 0);
    assert_eq!(fleet.state(OBSERVER, 0), Some(MemberState::Leaving));
}
