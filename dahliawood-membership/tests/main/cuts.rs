//! A cut is not read as a death.

use crate::support;
use dahliawood_membership::table::MemberState;
use dahliawood_testkit::members::{MemberFleet, RegionCut};
use proptest::prelude::*;
use std::time::Duration;

/// A cut of both links of the first region.
const ISOLATED: [RegionCut; 2] = [
    RegionCut { one: 0, other: 1 },
    RegionCut { one: 0, other: 2 },
];
/// A cut of one link.
const ONE_LINK: [RegionCut; 1] = [RegionCut { one: 0, other: 1 }];

/// What one side of a cut may make of the other at any time.
const EITHER: [MemberState; 2] = [MemberState::Live, MemberState::Unreached];
/// What it has to make of it after a while.
const UNREACHED: [MemberState; 1] = [MemberState::Unreached];

/// Whether the first region alone holds one of the two.
fn is_apart(one: usize, other: usize) -> bool {
    (one == 0) != (other == 0)
}

/// What may be made of a VM: `far` where it is on the other side, else that it lives.
fn allowed(is_far: bool, far: &'static [MemberState]) -> &'static [MemberState] {
    if is_far { far } else { &[MemberState::Live] }
}

/// Pairs of an observer and a subject whose state is not among those `allowed`.
fn wrong(
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
    fn each_side_of_a_cut_names_its_own(members in 6usize..80, seed in any::<u64>()) {
        let mut fleet = support::fleet(members, seed);
        fleet.faults.cuts = ISOLATED.to_vec();
        for _ in 0..80 {
            fleet.run(Duration::from_millis(250));
            let wrong = wrong(&fleet, |one, other| allowed(is_apart(one, other), &EITHER));
            prop_assert!(wrong.is_empty(), "{wrong:?}");
        }
        let named = wrong(&fleet, |one, other| allowed(is_apart(one, other), &UNREACHED));
        prop_assert!(named.is_empty(), "{named:?}");
        fleet.faults.cuts.clear();
        fleet.run(support::seconds(20));
        let wrong = wrong(&fleet, |_, _| &[MemberState::Live]);
        prop_assert!(wrong.is_empty(), "after the cut: {wrong:?}");
    }

    #[test]
    fn a_cut_link_concerns_its_two_ends_alone(members in 6usize..80, seed in any::<u64>()) {
        let mut fleet = support::fleet(members, seed);
        fleet.faults.cuts = ONE_LINK.to_vec();
        for _ in 0..80 {
            fleet.run(Duration::from_millis(250));
            let wrong = wrong(&fleet, |one, other| allowed(one + other == 1, &EITHER));
            prop_assert!(wrong.is_empty(), "{wrong:?}");
        }
    }
}
