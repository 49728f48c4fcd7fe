//! Checks that dead VMs are detected in time.

use crate::support;
use proptest::prelude::*;
use std::time::Duration;

/// Time after which no member may consider a dead VM live.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(3);

proptest! {
    #![proptest_config(support::property_config(24))]

    #[test]
    fn dead_vms_are_not_live_after_three_seconds(
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
        fleet.run(MAX_DETECTION_TIME);
        for index in dead {
            let naming: Vec<_> = fleet.vms_listing(index).collect();
            prop_assert!(naming.is_empty(), "VM {index} is live at {naming:?}");
        }
    }
}

#[test]
fn vms_of_a_dead_region_are_not_live_after_three_seconds() {
    for seed in 0..4 {
        let mut fleet = support::fleet(30, seed);
        let dead: Vec<_> = (0..30)
            .filter(|index| fleet.vms[*index].region == 1)
            .collect();
        for index in &dead {
            fleet.kill(*index);
        }
        fleet.run(MAX_DETECTION_TIME);
        let naming: Vec<_> = dead
            .iter()
            .flat_map(|index| fleet.vms_listing(*index))
            .collect();
        assert!(naming.is_empty(), "live at {naming:?}");
    }
}

#[test]
fn only_other_vm_is_not_live_after_three_seconds() {
    let mut fleet = support::fleet(2, 1);
    fleet.kill(1);
    fleet.run(MAX_DETECTION_TIME);
    assert_eq!(fleet.vms_listing(1).count(), 0);
}
