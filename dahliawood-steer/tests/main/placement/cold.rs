//! Limits of cold targets, and the parts that VMs have of them.

use crate::fleet;
use crate::placement::support::{START, answered, chosen, entry, numbered_location, query, table};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::choose;
use dahliawood_steer::placement::sharers::LimitSharers;
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn cold_targets_stay_within_their_limit_over_all_vms() {
    let gaps = prop::collection::vec(0_u64..40, 50..400);
    let result = fleet::runner().run(&(gaps, 1_usize..6), |(gaps, vms)| {
        let mut tables: Vec<_> = (0..vms).map(|_| table(&[])).collect();
        for table in &mut tables {
            let mut cold = entry(0, "a-1");
            cold.cold_for = Duration::from_secs(60);
            table.upsert(cold, START);
        }
        let mut now = START;
        let mut sent: Vec<TimeStamp> = Vec::new();
        for (turn, gap) in gaps.iter().enumerate() {
            now = now.after(Duration::from_millis(*gap));
            let table = &mut tables[turn % vms];
            let location = numbered_location("a-1", turn % vms, vms);
            let choice = choose::choose(table, &location, &query(turn as u64), now);
            if let Some(key) = chosen(choice) {
                table.begin(key, now);
                table.finish(key, answered(None), now);
                sent.push(now);
            }
            let second = sent
                .iter()
                .filter(|at| now.since(**at) < Duration::from_secs(1));
            prop_assert!(second.count() <= 20);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_vm_that_left_the_list_still_counts_for_cold_targets() {
    let after = |seconds| START.after(Duration::from_secs(seconds));
    let mut sharers = LimitSharers::new("vm-0");
    sharers.set_listed(["vm-0", "vm-1", "vm-2", "vm-3"].into_iter(), START);
    sharers.set_listed(["vm-0", "vm-1", "vm-2"].into_iter(), after(5));
    assert_eq!(sharers.count(), 4);
    sharers.set_listed(["vm-0", "vm-1", "vm-4"].into_iter(), after(7));
    assert_eq!(
        sharers.count(),
        5,
        "one that left is counted beside one that came"
    );
    sharers.set_listed(["vm-0", "vm-1", "vm-4"].into_iter(), after(9));
    assert_eq!(sharers.count(), 4);
}

#[test]
fn a_vm_has_a_part_of_cold_targets_only_while_it_is_registered_and_its_list_is_current() {
    let after = |seconds| START.after(Duration::from_secs(seconds));
    let mut sharers = LimitSharers::new("vm-0");
    sharers.confirm(START);
    sharers.set_listed(["vm-0"].into_iter(), START);
    assert!(!sharers.is_admitted(after(2)), "just registered");
    assert!(sharers.is_admitted(after(3).after(Duration::from_millis(300))));
    assert!(!sharers.is_admitted(after(5)), "not confirmed");
    sharers.confirm(after(5));
    assert!(sharers.is_admitted(after(5)));
    sharers.set_listed(["vm-1"].into_iter(), after(6));
    assert!(!sharers.is_admitted(after(6)), "its registration is gone");
    sharers.set_listed(["vm-0", "vm-1"].into_iter(), after(7));
    sharers.confirm(after(8));
    assert!(!sharers.is_admitted(after(8)), "just registered again");
}

#[test]
fn parts_of_a_cold_limit_add_up_to_the_limit() {
    for (limit, vms) in [(12, 1), (12, 5), (12, 31), (0, 3), (200, 31)] {
        let part = |vm| {
            let sharers = numbered_location("a-1", vm, vms).sharers;
            sharers.part(limit, 17, START)
        };
        assert_eq!((0..vms).map(part).sum::<usize>(), limit);
    }
}

/// Guards against a VM that was paused and uses its part by a list of VMs from before the pause.
#[test]
fn a_paused_vm_has_no_part_until_a_call_made_since_is_answered() {
    let after = |seconds| START.after(Duration::from_secs(seconds));
    let mut sharers = LimitSharers::new("vm-0");
    let names = ["vm-0", "vm-1"];
    for second in 0..10 {
        sharers.set_listed(names.into_iter(), after(second));
        sharers.confirm(after(second));
    }
    assert!(sharers.is_admitted(after(9)));
    // Resumed: the periodic work comes first, and then the answer to a call made before the pause.
    sharers.set_listed(names.into_iter(), after(20));
    sharers.confirm(after(9));
    assert!(!sharers.is_admitted(after(20)));
    sharers.confirm(after(20));
    assert!(sharers.is_admitted(after(20)));
    // A late answer to an earlier call.
    sharers.confirm(after(9));
    assert!(sharers.is_admitted(after(20)));
}
