//! Checks membership over generated histories with several faults at once.

use crate::support;
use dahliawood_membership::table::{MemberState, MemberTable};
use dahliawood_testkit::members::{MemberFleet, RegionPartition};
use proptest::prelude::*;
use proptest::sample::Index;
use std::time::Duration;

/// Interval between two checks of the fleet.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last fault until all members must agree again.
const CONVERGENCE_TIME: Duration = Duration::from_secs(60);
/// Time after a pause before a VM counts as connected again.
const RECONNECT_TIME: Duration = Duration::from_secs(3);

/// One fault, or the end of one.
#[derive(Clone, Debug)]
enum FaultStep {
    Loss(f64),
    Repeat(f64),
    Jitter(u64),
    Pause(Index, u64),
    Kill(Index),
    Restart(Index),
    Partition(usize, usize),
    Heal,
    Omit(Index),
    ListLag(u64),
    ListDown(bool),
}

fn fault_step() -> impl Strategy<Value = FaultStep> {
    prop_oneof![
        (0.0..0.05f64).prop_map(FaultStep::Loss),
        (0.0..0.2f64).prop_map(FaultStep::Repeat),
        (0u64..80).prop_map(FaultStep::Jitter),
        (any::<Index>(), 200u64..5_000).prop_map(|(vm, millis)| FaultStep::Pause(vm, millis)),
        any::<Index>().prop_map(FaultStep::Kill),
        any::<Index>().prop_map(FaultStep::Restart),
        (0usize..3, 1usize..3).prop_map(|(one, step)| FaultStep::Partition(one, (one + step) % 3)),
        Just(FaultStep::Heal),
        any::<Index>().prop_map(FaultStep::Omit),
        (0u64..20).prop_map(FaultStep::ListLag),
        any::<bool>().prop_map(FaultStep::ListDown),
    ]
}

/// Applies a step; restarting a running VM replaces its process.
fn apply(fleet: &mut MemberFleet, step: &FaultStep) {
    let members = fleet.vms.len();
    match step {
        FaultStep::Loss(share) => fleet.faults.loss = *share,
        FaultStep::Repeat(share) => fleet.faults.duplication = *share,
        FaultStep::Jitter(millis) => fleet.faults.jitter = Duration::from_millis(*millis),
        FaultStep::Pause(vm, millis) => {
            fleet.pause(vm.index(members), Duration::from_millis(*millis));
        }
        FaultStep::Kill(vm) => fleet.kill(vm.index(members)),
        FaultStep::Restart(vm) => {
            fleet.kill(vm.index(members));
            fleet.start(vm.index(members));
        }
        FaultStep::Partition(one, other) => fleet.faults.partitions.push(RegionPartition {
            one: *one,
            other: *other,
        }),
        FaultStep::Heal => fleet.faults.partitions.clear(),
        FaultStep::Omit(vm) => {
            let name = fleet.vms[vm.index(members)].profile.name.clone();
            fleet.list.omitted.insert(name);
        }
        FaultStep::ListLag(seconds) => fleet.list.lag = support::seconds(*seconds),
        FaultStep::ListDown(is_down) => fleet.list.is_down = *is_down,
    }
}

/// Pairs of running VMs of which the first considers the second gone, without a partition or a
/// recent pause that explains it.
fn gone(fleet: &MemberFleet) -> Vec<(usize, usize)> {
    let is_partitioned = |one: usize, other: usize| {
        let regions = (fleet.vms[one].region, fleet.vms[other].region);
        let mut partitions = fleet.faults.partitions.iter();
        partitions.any(|p| regions == (p.one, p.other) || regions == (p.other, p.one))
    };
    let pairs = fleet
        .running()
        .flat_map(|one| fleet.running().map(move |other| (one, other)));
    pairs
        .filter(|(one, other)| {
            let is_steady = fleet.vms[*other].paused_until.after(RECONNECT_TIME) <= fleet.now();
            let state = fleet.state(*one, *other);
            state == Some(MemberState::Gone) && is_steady && !is_partitioned(*one, *other)
        })
        .collect()
}

/// Pairs of which the first has the second in a wrong state.
fn disagreeing(fleet: &MemberFleet) -> Vec<(usize, usize, Option<MemberState>)> {
    let subjects = 0..fleet.vms.len();
    let pairs = fleet
        .running()
        .flat_map(|one| subjects.clone().map(move |other| (one, other)));
    let states = pairs.map(|(one, other)| (one, other, fleet.state(one, other)));
    states
        .filter(|(_, other, state)| {
            let is_live = *state == Some(MemberState::Live);
            is_live != fleet.vms[*other].table.is_some()
        })
        .collect()
}

/// The number of live members that some VM knows with a wrong incarnation.
fn outdated(fleet: &MemberFleet) -> usize {
    let tables = fleet.vms.iter().filter_map(|vm| vm.table.as_ref());
    let views = tables.flat_map(MemberTable::members);
    views
        .filter(|view| view.state == MemberState::Live)
        .filter(|view| {
            let subject = fleet
                .vms
                .iter()
                .find(|vm| vm.profile.name == view.profile.name);
            let right = subject.map(|vm| vm.incarnation);
            view.report.map(|report| report.incarnation) != right
        })
        .count()
}

proptest! {
    #![proptest_config(support::property_config(24))]

    #[test]
    fn running_vms_are_never_gone_and_all_agree_after_the_faults(
        members in prop_oneof![4 => 5usize..40, 1 => 40usize..120],
        seed in any::<u64>(),
        steps in prop::collection::vec((fault_step(), 100u64..6_000), 1..12),
    ) {
        let mut fleet = support::fleet(members, seed);
        for (step, millis) in &steps {
            apply(&mut fleet, step);
            for _ in 0..=millis / 250 {
                fleet.run(CHECK_INTERVAL);
                let gone = gone(&fleet);
                prop_assert!(gone.is_empty(), "after {step:?}: {gone:?} are considered gone");
            }
        }
        fleet.faults = dahliawood_testkit::members::NetworkFaults::default();
        fleet.list.omitted.clear();
        fleet.list.is_down = false;
        fleet.run(CONVERGENCE_TIME);
        let disagreeing = disagreeing(&fleet);
        prop_assert!(disagreeing.is_empty(), "{disagreeing:?}");
        prop_assert_eq!(outdated(&fleet), 0);
    }
}
