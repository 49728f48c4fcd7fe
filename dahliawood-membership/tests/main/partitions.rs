//! Checks that members on the other side of a partition are considered unreachable, not dead.

use crate::support;
use dahliawood_membership::table::MemberState;
use dahliawood_testkit::members::{MemberFleet, RegionPartition};
use proptest::prelude::*;
use std::time::Duration;

/// Partitions the first region from both others.
const ISOLATED: [RegionPartition; 2] = [
    RegionPartition { one: 0, other: 1 },
    RegionPartition { one: 0, other: 2 },
];
/// Partitions two regions from each other.
const ONE_PARTITION: [RegionPartition; 1] = [RegionPartition { one: 0, other: 1 }];

/// The states that one side of a partition may assign to members of the other side at any time.
const LIVE_OR_UNREACHABLE: [MemberState; 2] = [MemberState::Live, MemberState::Unreachable];
/// The state that it must assign to them after a while.
const UNREACHABLE: [MemberState; 1] = [MemberState::Unreachable];

/// Whether exactly one of the two regions is the first.
fn is_separated(one: usize, other: usize) -> bool {
    (one == 0) != (other == 0)
}

/// The states allowed for a VM: `far` if it is on the other side of the partition, else live.
fn allowed(is_far: bool, far: &'static [MemberState]) -> &'static [MemberState] {
    if is_far { far } else { &[MemberState::Live] }
}

/// Pairs of an observer and a subject with the subject's state, if that is not among the `allowed`
/// ones.
fn wrong_states(
    fleet: &MemberFleet,
    allowed: impl Fn(usize, usize) -> &'static [MemberState],
) -> Vec<(usize, usize, Option<MemberState>)> {
    let members = fleet.vms.len();
    let pairs = (0..members).flat_map(|one| (0..members).map(move |other| (one, other)));
    let states = pairs.map(|(one, other)| (one, other, fleet.state(one, other)));
    states
        .filter(|(one, other, state)| {
            let regions = (fleet.vms[*one].region, fleet.vms[*other].region);
            state.is_none_or(|state| !allowed(regions.0, regions.1).contains(&state))
        })
        .collect()
}

proptest! {
    #![proptest_config(support::property_config(12))]

    #[test]
    fn partitioned_sides_keep_their_own_members_live(members in 6usize..80, seed in any::<u64>()) {
        let mut fleet = support::fleet(members, seed);
        fleet.faults.partitions = ISOLATED.to_vec();
        for _ in 0..80 {
            fleet.run(Duration::from_millis(250));
            let wrong = wrong_states(
                &fleet,
                |one, other| allowed(is_separated(one, other), &LIVE_OR_UNREACHABLE),
            );
            prop_assert!(wrong.is_empty(), "{wrong:?}");
        }
        let wrong = wrong_states(
            &fleet,
            |one, other| allowed(is_separated(one, other), &UNREACHABLE),
        );
        prop_assert!(wrong.is_empty(), "{wrong:?}");
        fleet.faults.partitions.clear();
        fleet.run(support::seconds(20));
        let wrong = wrong_states(&fleet, |_, _| &[MemberState::Live]);
        prop_assert!(wrong.is_empty(), "after the partition: {wrong:?}");
    }

    #[test]
    fn partition_affects_only_its_two_regions(members in 6usize..80, seed in any::<u64>()) {
        let mut fleet = support::fleet(members, seed);
        fleet.faults.partitions = ONE_PARTITION.to_vec();
        for _ in 0..80 {
            fleet.run(Duration::from_millis(250));
            let wrong = wrong_states(
                &fleet,
                |one, other| allowed(one + other == 1, &LIVE_OR_UNREACHABLE),
            );
            prop_assert!(wrong.is_empty(), "{wrong:?}");
        }
    }
}
