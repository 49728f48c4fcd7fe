//! Tests that an older incarnation of a VM is never taken for a newer one.

use crate::support;
use dahliawood_membership::identity::VmProfile;
use dahliawood_membership::message::MemberMessage;
use dahliawood_membership::options::MemberOptions;
use dahliawood_membership::table::{MemberEffect, MemberState, MemberTable};
use dahliawood_model::stamp::TimeStamp;
use std::net::SocketAddr;
use std::sync::Arc;

fn profile(name: &str, port: u16) -> Arc<VmProfile> {
    Arc::new(VmProfile {
        name: name.to_owned(),
        http: SocketAddr::from(([127, 0, 0, 1], port)),
        peer: SocketAddr::from(([127, 0, 0, 1], port + 1)),
        domain: name.to_owned(),
        region: "north".to_owned(),
    })
}

/// The first message that a table sends once it knows one other VM.
fn first_message(table: &mut MemberTable, other: &MemberTable) -> MemberMessage {
    let own = other.members().next().expect("a table holds its own VM");
    let listed = dahliawood_membership::listing::ListedVm {
        profile: Arc::clone(own.profile),
        incarnation: None,
        leaving: false,
    };
    let now = TimeStamp::from_millis(1);
    table.apply_live_list(&[listed], now, now);
    let ticks = (1..20).map(|tick| TimeStamp::from_millis(tick * 100));
    let mut effects = ticks
        .flat_map(|now| table.tick(now))
        .collect::<Vec<_>>()
        .into_iter();
    let MemberEffect::Send { message, .. } = effects.next().expect("a new VM sends a message");
    message
}

fn table(name: &str, port: u16, incarnation: u64) -> MemberTable {
    let options = MemberOptions::default();
    MemberTable::new(profile(name, port), incarnation, options, TimeStamp::ZERO)
}

#[test]
fn messages_of_an_older_incarnation_are_ignored() {
    let mut observer = table("observer", 1_000, 1);
    let old = first_message(&mut table("subject", 2_000, 1), &observer);
    let new = first_message(&mut table("subject", 3_000, 2), &observer);
    let now = TimeStamp::from_millis(2_000);
    let request = observer
        .receive(&old, now)
        .expect("the observer requests the profile");
    let mut replies = [
        table("subject", 2_000, 1).receive(&with_sender(&request, &observer), now),
        table("subject", 3_000, 2).receive(&with_sender(&request, &observer), now),
    ];
    let [old_profile, new_profile] = replies.each_mut().map(Option::take);
    observer.receive(&old_profile.expect("the subject replies"), now);
    observer.receive(&new, now);
    observer.receive(&new_profile.expect("the subject replies"), now);
    let later = TimeStamp::from_millis(3_000);
    assert!(observer.receive(&old, later).is_none());
    let view = observer.find("subject").expect("it is known");
    assert_eq!(view.report.map(|report| report.incarnation), Some(2));
    assert_eq!(view.heard_at, Some(now));
    assert_eq!(view.profile.http.port(), 3_000);
}

/// The message as if sent by `sender`.
fn with_sender(message: &MemberMessage, sender: &MemberTable) -> MemberMessage {
    MemberMessage {
        sender: sender.own_report(),
        ..message.clone()
    }
}

#[test]
fn another_vm_at_an_old_address_is_not_taken_for_the_old_one() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    let old = Arc::clone(&fleet.vms[0].profile);
    let new = VmProfile {
        name: "replacement".to_owned(),
        ..VmProfile::clone(&old)
    };
    fleet.vms[0].profile = Arc::new(new);
    fleet.start(0);
    fleet.run(support::seconds(5));
    assert_eq!(fleet.vms_listing(0).count(), 11);
    for observer in 1..12 {
        let table = fleet.vms[observer].table.as_ref().expect("it runs");
        let state = table.find(&old.name).map(|view| view.state);
        assert!(
            state.is_none_or(|state| state != MemberState::Live),
            "{state:?}"
        );
    }
}

#[test]
fn restart_is_a_new_incarnation_for_all() {
    let mut fleet = support::fleet(12, 1);
    fleet.kill(0);
    fleet.start(0);
    fleet.run(support::seconds(3));
    for observer in 1..12 {
        let table = fleet.vms[observer].table.as_ref().expect("it runs");
        let view = table.find("vm-0").expect("it is known");
        assert_eq!(view.report.map(|report| report.incarnation), Some(2));
        assert_eq!(view.state, MemberState::Live);
    }
}

#[test]
fn revision_is_known_to_all_members_of_a_small_fleet() {
    let mut fleet = support::fleet(12, 1);
    for vm in &mut fleet.vms {
        vm.table.as_mut().expect("it runs").set_revision(7);
    }
    fleet.run(support::seconds(2));
    for vm in &fleet.vms {
        let members = vm.table.iter().flat_map(MemberTable::members);
        let revisions: Vec<_> = members.filter_map(|view| view.report).collect();
        assert_eq!(revisions.len(), 12);
        assert!(
            revisions.iter().all(|report| report.revision == 7),
            "{revisions:?}"
        );
    }
}
