//! Checks that the number of messages that a member sends does not grow with the fleet.

use crate::support;
use proptest::prelude::*;

/// Most periodic messages per second: heartbeats, replies, probes, exchanges.
const MAX_PERIODIC: u64 = 48;
/// Most messages per second that push news at once, by the default options.
const MAX_PUSHED: u64 = 12;
/// Largest burst of messages that push news at once, by the default options.
const MAX_BURST: u64 = 48;

proptest! {
    #![proptest_config(support::property_config(12))]

    #[test]
    fn message_rate_is_bounded_for_any_fleet_size(
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
            let bound = MAX_PERIODIC + MAX_PUSHED + MAX_BURST;
            prop_assert!(most <= bound, "{most} messages in second {second}");
        }
    }
}
