//! From whom a VM learns of changes of the key space.

use dahliawood_gateway::control::source::{RelayFailure, SourceRank, SourceSelector};
use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_model::stamp::TimeStamp;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: TimeStamp = TimeStamp::from_millis(1_000_000);

fn vm(name: &str, domain: &str) -> VmRecord {
    let any = SocketAddr::from(([127, 0, 0, 1], 80));
    VmRecord {
        name: name.to_owned(),
        front: any,
        peer: any,
        forward: None,
        domain: domain.to_owned(),
        region: "a".to_owned(),
        processor_millis: 1_000,
        born_millis: 1,
    }
}

fn fleet(vms: usize, domains: usize) -> Vec<VmRecord> {
    let vm = |index: usize| vm(&format!("vm-{index}"), &format!("a-{}", index % domains));
    (0..vms).map(vm).collect()
}

fn relay_of(selector: &SourceSelector, fleet: &[VmRecord], own: &VmRecord) -> Option<String> {
    let choice = selector.select(fleet, &own.name, &own.domain, NOW);
    choice.relay.map(|vm| vm.name.clone())
}

#[test]
fn the_number_of_vms_that_follow_the_store_does_not_grow_with_the_fleet() {
    let selector = SourceSelector::default();
    for vms in [30, 100, 300, 1_000] {
        let fleet = fleet(vms, 9);
        let direct = fleet
            .iter()
            .filter(|vm| relay_of(&selector, &fleet, vm).is_none());
        assert_eq!(direct.count(), 9, "of {vms} VMs");
    }
}

#[test]
fn a_relay_is_in_the_failure_domain_of_its_followers_and_follows_the_store() {
    let selector = SourceSelector::default();
    let fleet = fleet(40, 4);
    for own in &fleet {
        let Some(relay) = relay_of(&selector, &fleet, own) else {
            continue;
        };
        let relay = fleet.iter().find(|vm| vm.name == relay).unwrap();
        assert_eq!(relay.domain, own.domain);
        assert_eq!(relay_of(&selector, &fleet, relay), None);
    }
}

#[test]
fn a_vm_goes_from_a_relay_that_refuses_to_the_next_one_and_then_to_the_store() {
    let fleet = fleet(10, 1);
    let mut selector = SourceSelector::default();
    let is_last = |vm: &&VmRecord| {
        let choice = selector.select(&fleet, &vm.name, "a-0", NOW);
        choice.rank == SourceRank::Follower
    };
    let own = fleet.iter().find(is_last).unwrap();
    let first = relay_of(&selector, &fleet, own).unwrap();
    selector.record_failure(&first, RelayFailure::Refused, NOW);
    let second = relay_of(&selector, &fleet, own).unwrap();
    assert_ne!(first, second);
    selector.record_failure(&second, RelayFailure::Refused, NOW);
    assert_eq!(relay_of(&selector, &fleet, own), None);
    let later = NOW.after(Duration::from_secs(4));
    let choice = selector.select(&fleet, &own.name, "a-0", later);
    assert_eq!(choice.relay.map(|vm| &vm.name), Some(&first));
}

#[test]
fn a_vm_whose_relay_is_silent_goes_to_the_store_at_once() {
    let fleet = fleet(10, 1);
    let mut selector = SourceSelector::default();
    let own = fleet
        .iter()
        .find(|vm| relay_of(&selector, &fleet, vm).is_some())
        .unwrap();
    let first = relay_of(&selector, &fleet, own).unwrap();
    selector.record_failure(&first, RelayFailure::Silent, NOW);
    assert_eq!(relay_of(&selector, &fleet, own), None);
}

#[test]
fn vms_with_little_processor_time_are_rarely_relays() {
    let selector = SourceSelector::default();
    let mut fleet = fleet(300, 30);
    // Half of each failure domain's VMs have a fifth of the others' processor time.
    for (index, vm) in fleet.iter_mut().enumerate() {
        vm.processor_millis = if (index / 30) % 2 == 0 { 100 } else { 500 };
    }
    let weak = fleet.iter().filter(|vm| vm.processor_millis == 100);
    let relays = weak.filter(|vm| relay_of(&selector, &fleet, vm).is_none());
    // One in 26 is expected.
    assert!(relays.count() <= 4);
}

#[test]
fn in_a_small_failure_domain_every_vm_follows_the_store() {
    let selector = SourceSelector::default();
    let fleet = fleet(10, 5);
    for own in &fleet {
        assert_eq!(relay_of(&selector, &fleet, own), None);
    }
}
