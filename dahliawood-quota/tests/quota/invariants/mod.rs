//! Invariants over all VMs under generated faults: no limit is exceeded, and the shares recover.
//!
//! Each test with a fixed scenario guards against one failure.

use crate::{fleet, scenario, seed};
use proptest::test_runner::{TestCaseError, TestError};

/// Scenarios of one test; the tests run in parallel.
const CASES: u32 = 500;

fn check_scenario(scenario: scenario::FaultScenario) -> Result<(), TestCaseError> {
    let mut fleet = fleet::Fleet::new(scenario);
    fleet.run();
    if fleet.violations.is_empty() {
        fleet.check_recovered();
    }
    match fleet.violations.first() {
        Some(violation) => Err(TestCaseError::fail(violation.clone())),
        None => Ok(()),
    }
}

fn check_scenarios(cases: u32, salt: u64) {
    match seed::runner(cases, salt).run(&scenario::scenarios(), check_scenario) {
        Ok(()) => {}
        Err(TestError::Fail(reason, scenario)) => panic!("{reason}: {scenario:?}"),
        Err(other) => panic!("{other}"),
    }
}

macro_rules! scenario_tests {
    ($($name:ident: $salt:expr,)*) => {
        $(
            #[test]
            fn $name() {
                check_scenarios(CASES, $salt);
            }
        )*
    };
}

scenario_tests! {
    limits_hold_and_shares_recover_1: 1,
    limits_hold_and_shares_recover_2: 2,
    limits_hold_and_shares_recover_3: 3,
    limits_hold_and_shares_recover_4: 4,
    limits_hold_and_shares_recover_5: 5,
    limits_hold_and_shares_recover_6: 6,
}

// Guards against a VM that leaves while its own join is still being written: the write took effect
// later and the VM kept a third of a limit for good.
#[test]
fn a_vm_that_leaves_while_it_joins_keeps_no_share() {
    let leave = scenario::Fault {
        kind: scenario::FaultKind::Leave,
        at: 264_620,
        span: 100_000,
        victim: 0,
    };
    let scenario = scenario::FaultScenario {
        seed: 13_783_820_991_453_996_950,
        vms: 6,
        demand_permille: 3_080,
        faults: vec![leave],
    };
    check_scenario(scenario).expect("its share is free again");
}

// Guards against majorities counted over different memberships: the first member, cut off while
// others joined, counted itself as a majority of one, and the others reclaimed its shares.
#[test]
fn a_partitioned_first_member_is_not_reclaimed_by_later_members() {
    let cut = scenario::Fault {
        kind: scenario::FaultKind::RegionPartition,
        at: 45_572,
        span: 4_954_429,
        victim: 11,
    };
    let scenario = scenario::FaultScenario {
        seed: 2_205_414_495_084_224_968,
        vms: 3,
        demand_permille: 740,
        faults: vec![cut],
    };
    check_scenario(scenario).expect("it still holds its slots");
}

// Guards against the same fault for a VM that was cut off unseen by the other members.
#[test]
fn a_vm_cut_off_unseen_by_other_members_is_not_reclaimed() {
    let cut = |at, span, victim| scenario::Fault {
        kind: scenario::FaultKind::RegionPartition,
        at,
        span,
        victim,
    };
    let scenario = scenario::FaultScenario {
        seed: 2_339_265_503_484_337_432,
        vms: 4,
        demand_permille: 990,
        faults: vec![cut(3_600_001, 4_038_514, 8), cut(209_410, 4_000_000, 3)],
    };
    check_scenario(scenario).expect("it still holds its slots");
}

// Guards against the same fault where a member answered a probe and was then removed: its answer
// still counted for a VM that did not know of the removal.
#[test]
fn the_last_answer_of_a_removed_member_counts_towards_a_majority() {
    use scenario::FaultKind;
    let fault = |kind, at, span, victim| scenario::Fault {
        kind,
        at,
        span,
        victim,
    };
    let scenario = scenario::FaultScenario {
        seed: 9_494_721_749_009_259_336,
        vms: 5,
        demand_permille: 1_534,
        faults: vec![
            fault(FaultKind::RegionPartition, 3_121_611, 6_149_030, 0),
            fault(FaultKind::StoreOutage, 9_573_719, 378_025, 0),
            fault(FaultKind::Leave, 9_396_485, 100_000, 14),
            fault(
                FaultKind::Revision { permille: 1_171 },
                2_084_065,
                100_000,
                0,
            ),
            fault(FaultKind::Pause, 3_302_323, 513_801, 10),
        ],
    };
    check_scenario(scenario).expect("a majority that one VM has left still holds its shares");
}

#[test]
fn a_first_member_that_crashes_early_is_reclaimed() {
    // If the membership of the crashed VM alone counted, no majority against it could ever be
    // found.
    let crash = scenario::Fault {
        kind: scenario::FaultKind::Crash,
        at: 1_500_000,
        span: 600_000,
        victim: 0,
    };
    let scenario = scenario::FaultScenario {
        seed: 1,
        vms: 3,
        demand_permille: 900,
        faults: vec![crash],
    };
    check_scenario(scenario).expect("its shares come back");
}

#[test]
fn a_vm_that_crashes_while_it_joins_through_a_slow_store_is_reclaimed() {
    let fault = |kind, at, span, victim| scenario::Fault {
        kind,
        at,
        span,
        victim,
    };
    let scenario = scenario::FaultScenario {
        seed: 18_339_269_043_963_997_702,
        vms: 6,
        demand_permille: 1_014,
        faults: vec![
            fault(scenario::FaultKind::Crash, 3_044_219, 629_301, 6),
            fault(scenario::FaultKind::SlowStore, 171_031, 4_000_000, 0),
        ],
    };
    check_scenario(scenario).expect("its shares come back");
}
