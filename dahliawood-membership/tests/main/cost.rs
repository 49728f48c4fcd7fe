//! What a member sends does not grow with the fleet.

use crate::support;
use proptest::prelude::*;

/// Messages a second in turn: heartbeats, replies, probes, exchanges.
const IN_TURN_MOST: u64 = 48;
/// Messages a second out of turn, as the options have it.
const PUSHED_MOST: u64 = 12;
/// Messages out of turn at once, as the options have it.
const BURST_MOST: u64 = 48;

proptest! {
    #![proptest_config(support::property_config(12))]

    #[test]
    fn messages_are_bounded_whatever_the_size(
        members in prop_oneof![5usize..60, 60usize..200],
        seed in any::<u64>(),
        loss in 0.0..0.05f64,
        dead in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut fleet = support::fleet(members, seed);
        fleet.faults.loss = loss;
        for index in &dead {
            fleet.kill(index.index(members));
        }
        for second in 0..20 {
            let before: Vec<_> = fleet.vms.iter().map(|vm| vm.messages_sent).collect();
            fleet.run(support::seconds(1));
            let sent = fleet.vms.iter().zip(before).map(|(vm, before)| vm.messages_sent - before);
            let most = sent.max().unwrap_or(0);
            let bound = IN_TURN_MOST + PUSHED_MOST + BURST_MOST;
            prop_assert!(most <= bound, "{most} messages in second {second}");
        }
    }
}
