//! A dead VM is no longer named.

use crate::support;
use proptest::prelude::*;
use std::time::Duration;

/// The time after which nobody may name a dead VM.
const NAMED_MOST: Duration = Duration::from_secs(3);

proptest! {
    #![proptest_config(support::property_config(24))]

    #[test]
    fn the_dead_are_not_named_after_three_seconds(
        members in prop_oneof![5usize..60, 60usize..200],
        seed in any::<u64>(),
        loss in 0.0..0.01f64,
        jitter in 0u64..20,
        dead in prop::collection::vec(any::<prop::sample::Index>(), 1..3),
    ) {
        let mut fleet = support::fleet(members, seed);
        fleet.faults.loss = loss;
        fleet.faults.jitter = Duration::from_millis(jitter);
        fleet.run(support::seconds(2));
        let mut dead: Vec<_> = dead.iter().map(|index| index.index(members)).collect();
        dead.dedup();
        for index in &dead {
            fleet.kill(*index);
        }
        fleet.run(NAMED_MOST);
        for index in dead {
            let naming: Vec<_> = fleet.naming(index).collect();
            prop_assert!(naming.is_empty(), "{index} is named by {naming:?}");
        }
    }
}

#[test]
fn a_dead_region_is_not_named_after_three_seconds() {
    for seed in 0..4 {
        let mut fleet = support::fleet(30, seed);
        let dead: Vec<_> = (0..30)
            .filter(|index| fleet.vms[*index].region == 1)
            .collect();
        for index in &dead {
            fleet.kill(*index);
        }
        fleet.run(NAMED_MOST);
        let naming: Vec<_> = dead.iter().flat_map(|index| fleet.naming(*index)).collect();
        assert!(naming.is_empty(), "named by {naming:?}");
    }
}

#[test]
fn the_last_other_vm_is_not_named_after_three_seconds() {
    let mut fleet = support::fleet(2, 1);
    fleet.kill(1);
    fleet.run(NAMED_MOST);
    assert_eq!(fleet.naming(1).count(), 0);
}
