//! How old a VM's knowledge counts, and whom it asks next.

use dahliawood_gateway::control::source::budget::FreshnessBudget;
use dahliawood_gateway::control::source::tracker::{SourceTracker, StoreAnswer, TrackerOptions};
use dahliawood_gateway::control::source::{RelayFailure, SourceRank};
use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_gateway::settings::FleetBounds;
use dahliawood_model::stamp::TimeStamp;
use std::net::SocketAddr;
use std::time::Duration;

const DOMAIN: &str = "a-1";
/// Longest time to open a connection to the store.
const CONNECT_TIME: Duration = Duration::from_millis(400);

fn millis(millis: u64) -> TimeStamp {
    TimeStamp::from_millis(millis)
}

fn bounds(change: f64, recovery: f64) -> FleetBounds {
    FleetBounds {
        config_time: Duration::from_secs_f64(change),
        drain_time: Duration::from_secs_f64(change),
        recovery_time: Duration::from_secs_f64(recovery),
        ..FleetBounds::default()
    }
}

fn fleet(vms: usize) -> Vec<VmRecord> {
    let any = SocketAddr::from(([127, 0, 0, 1], 80));
    let vm = |index| VmRecord {
        name: format!("vm-{index}"),
        front: any,
        peer: any,
        forward: None,
        domain: DOMAIN.to_owned(),
        region: "a".to_owned(),
        processor_millis: 1_000,
        born_millis: 1,
    };
    (0..vms).map(vm).collect()
}

fn tracker(name: &str) -> SourceTracker {
    SourceTracker::new(TrackerOptions {
        name: name.to_owned(),
        domain: DOMAIN.to_owned(),
        started: TimeStamp::ZERO,
        budget: FreshnessBudget::new(&bounds(3.0, 4.0)),
    })
}

/// A VM with a place in its failure domain, whose knowledge was current at 10 s.
fn current_vm(vms: &[VmRecord], rank: SourceRank) -> SourceTracker {
    let of = |vm: &VmRecord| tracker(&vm.name);
    let mut all = vms.iter().map(of);
    let mut found = all
        .find(|tracker| tracker.rank(vms, TimeStamp::ZERO) == rank)
        .unwrap();
    found.set_confirmed();
    found.record_read(millis(10_000));
    found
}

#[test]
fn the_delays_of_a_change_fit_into_its_time() {
    for (change, recovery) in [(2.0, 3.0), (2.5, 4.0), (3.0, 4.0), (10.0, 4.0)] {
        let budget = FreshnessBudget::new(&bounds(change, recovery));
        let change = Duration::from_secs_f64(change);
        assert!(budget.longest_batch < budget.relay_age);
        assert!(budget.relay_age < budget.max_age);
        // A call that fails, and one that is answered.
        assert!(budget.max_age + 2 * budget.overdue_answer_time <= change);
        assert!(budget.overdue_answer_time >= CONNECT_TIME);
        let hanging = budget.watch_wait + budget.answer_time;
        assert!(hanging + budget.overdue_answer_time < Duration::from_secs_f64(recovery));
        for vms in [3, 30, 300, 920] {
            assert!(budget.batch_interval(vms) <= budget.longest_batch);
        }
    }
}

#[test]
fn an_answer_without_changes_before_its_wait_is_over_counts_from_the_call() {
    let vms = fleet(9);
    let answer = |waited: u64| {
        let mut vm = current_vm(&vms, SourceRank::Relay);
        vm.record_store_answer(StoreAnswer {
            asked_at: millis(20_000),
            wait: Duration::from_millis(800),
            answered_at: millis(20_000 + waited),
            has_changes: false,
        });
        vm.current_at().unwrap()
    };
    assert_eq!(answer(300), millis(20_000));
    assert_eq!(answer(800), millis(20_800));
    // The answer was held up on its way, or this VM was paused.
    assert_eq!(answer(5_000), millis(20_800));
}

#[test]
fn a_late_answer_of_a_relay_makes_knowledge_no_younger() {
    let vms = fleet(9);
    let mut vm = current_vm(&vms, SourceRank::Follower);
    vm.record_relay_answer(millis(11_000), -700, millis(14_000));
    assert_eq!(vm.current_at(), Some(millis(10_300)));
    // An older date, and one that the clock of a callee puts into the future.
    vm.record_relay_answer(millis(11_100), -3_000, millis(14_100));
    assert_eq!(vm.current_at(), Some(millis(10_300)));
    vm.record_relay_answer(millis(14_000), i32::MAX, millis(14_050));
    assert_eq!(vm.current_at(), Some(millis(14_050)));
}

#[test]
fn a_date_is_told_from_the_arrival_of_the_call() {
    let vms = fleet(9);
    let vm = current_vm(&vms, SourceRank::Relay);
    assert_eq!(vm.offset_millis(millis(10_900), millis(11_000)), Some(-900));
    assert_eq!(vm.offset_millis(millis(9_600), millis(11_000)), Some(400));
    let too_old = millis(10_000).after(vm.budget().max_age + Duration::from_millis(1));
    assert_eq!(vm.offset_millis(too_old, too_old), None);
    assert!(!vm.is_current(too_old));
}

#[test]
fn a_follower_waits_for_its_relay_until_its_knowledge_is_too_old() {
    let vms = fleet(9);
    let mut vm = current_vm(&vms, SourceRank::Follower);
    let plan = vm.plan(&vms, millis(10_650));
    let first = plan.relay.unwrap();
    assert_eq!(plan.wait + plan.answer_time, Duration::from_secs(1));
    // The next one gets the time that is left.
    vm.record_relay_failure(&first.name, RelayFailure::Refused, millis(11_200));
    let plan = vm.plan(&vms, millis(11_200));
    assert_ne!(plan.relay.unwrap().name, first.name);
    assert_eq!(plan.wait + plan.answer_time, Duration::from_millis(450));
    let plan = vm.plan(&vms, millis(11_600));
    assert_eq!((plan.relay, plan.wait), (None, Duration::ZERO));
    // It stays with the store for a while, and then follows its relay again.
    vm.record_read(millis(11_700));
    assert_eq!(vm.plan(&vms, millis(11_800)).relay, None);
    vm.record_read(millis(14_900));
    assert!(vm.plan(&vms, millis(15_000)).relay.is_some());
}

#[test]
fn a_relay_without_a_date_is_left_for_the_store() {
    let vms = fleet(9);
    let mut vm = current_vm(&vms, SourceRank::Follower);
    // A VM of an earlier version answers, and tells no date.
    let asked = (0..8).map(|turn| vm.plan(&vms, millis(10_100 + turn * 400)).relay.is_some());
    let asked: Vec<bool> = asked.collect();
    assert_eq!(asked[..4], [true; 4]);
    assert_eq!(asked[4..], [false; 4]);
}

#[test]
fn a_vm_whose_calls_fail_gives_the_store_more_time() {
    let vms = fleet(1);
    let mut vm = current_vm(&vms, SourceRank::Alone);
    let now = millis(20_000);
    let mut times = Vec::new();
    for _ in 0..4 {
        let plan = vm.plan(&vms, now);
        assert_eq!((plan.relay, plan.wait), (None, Duration::ZERO));
        times.push(plan.answer_time);
        vm.record_store_failure();
    }
    assert!(times.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(times[0], vm.budget().overdue_answer_time);
    assert_eq!(times[3], vm.budget().answer_time);
}

#[test]
fn a_vm_that_waits_for_the_store_as_long_as_it_may_is_current() {
    for (vms, rank) in [(1, SourceRank::Alone), (9, SourceRank::Relay)] {
        let vms = fleet(vms);
        let mut vm = current_vm(&vms, rank);
        if let Some(relay) = vm.plan(&vms, millis(10_000)).relay {
            vm.record_relay_failure(&relay.name, RelayFailure::Refused, millis(10_000));
        }
        let plan = vm.plan(&vms, millis(10_000));
        assert_eq!(plan.relay, None);
        let wait = plan.wait;
        assert!(vm.is_current(millis(10_000).after(wait + Duration::from_millis(500))));
        assert!(!vm.is_current(millis(10_000).after(wait + Duration::from_secs(1))));
    }
}
