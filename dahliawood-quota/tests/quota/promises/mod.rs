//! What must hold over all VMs, whatever happens.

use crate::{fleet, history, seed};
use proptest::test_runner::{TestCaseError, TestError};

/// Histories of one test; several run side by side.
const CASES: u32 = 500;

fn keeps(history: history::History) -> Result<(), TestCaseError> {
    let mut fleet = fleet::Fleet::new(history);
    fleet.run();
    if fleet.broken.is_empty() {
        fleet.check_recovered();
    }
    match fleet.broken.first() {
        Some(broken) => Err(TestCaseError::fail(broken.clone())),
        None => Ok(()),
    }
}

fn check(cases: u32, salt: u64) {
    match seed::runner(cases, salt).run(&history::history(), keeps) {
        Ok(()) => {}
        Err(TestError::Fail(reason, history)) => panic!("{reason}: {history:?}"),
        Err(other) => panic!("{other}"),
    }
}

macro_rules! histories {
    ($($name:ident: $salt:expr,)*) => {
        $(
            #[test]
            fn $name() {
                check(CASES, $salt);
            }
        )*
    };
}

histories! {
    no_bound_is_passed_and_all_comes_back_1: 1,
    no_bound_is_passed_and_all_comes_back_2: 2,
    no_bound_is_passed_and_all_comes_back_3: 3,
    no_bound_is_passed_and_all_comes_back_4: 4,
    no_bound_is_passed_and_all_comes_back_5: 5,
    no_bound_is_passed_and_all_comes_back_6: 6,
}

#[test]
fn a_vm_that_leaves_while_it_joins_keeps_nothing() {
    let leave = history::Fault {
        kind: history::FaultKind::Leave,
        at: 264_620,
        span: 100_000,
        whom: 0,
    };
    let history = history::History {
        seed: 13_783_820_991_453_996_950,
        vms: 6,
        demand_permille: 3_080,
        faults: vec![leave],
    };
    keeps(history).expect("its share is free again");
}

#[test]
fn a_first_member_that_is_cut_off_is_not_outvoted_by_later_ones() {
    let cut = history::Fault {
        kind: history::FaultKind::RegionCut,
        at: 45_572,
        span: 4_954_429,
        whom: 11,
    };
    let history = history::History {
        seed: 2_205_414_495_084_224_968,
        vms: 3,
        demand_permille: 740,
        faults: vec![cut],
    };
    keeps(history).expect("it still holds its slots");
}

#[test]
fn a_vm_that_was_cut_off_unseen_is_not_outvoted() {
    let cut = |at, span, whom| history::Fault {
        kind: history::FaultKind::RegionCut,
        at,
        span,
        whom,
    };
    let history = history::History {
        seed: 2_339_265_503_484_337_432,
        vms: 4,
        demand_permille: 990,
        faults: vec![cut(3_600_001, 4_038_514, 8), cut(209_410, 4_000_000, 3)],
    };
    keeps(history).expect("it still holds its slots");
}

#[test]
fn the_last_answer_of_a_vm_that_left_still_counts() {
    use history::FaultKind;
    let fault = |kind, at, span, whom| history::Fault {
        kind,
        at,
        span,
        whom,
    };
    let history = history::History {
        seed: 9_494_721_749_009_259_336,
        vms: 5,
        demand_permille: 1_534,
        faults: vec![
            fault(FaultKind::RegionCut, 3_121_611, 6_149_030, 0),
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
    keeps(history).expect("a majority that one VM has left still holds its shares");
}

#[test]
fn a_first_member_that_dies_at_the_start_is_reclaimed() {
    // With one membership in which only the dead VM stood, nobody could outvote it for ever.
    let death = history::Fault {
        kind: history::FaultKind::Death,
        at: 1_500_000,
        span: 600_000,
        whom: 0,
    };
    let history = history::History {
        seed: 1,
        vms: 3,
        demand_permille: 900,
        faults: vec![death],
    };
    keeps(history).expect("its shares come back");
}

#[test]
fn a_vm_that_dies_while_it_joins_by_a_slow_store_is_reclaimed() {
    let fault = |kind, at, span, whom| history::Fault {
        kind,
        at,
        span,
        whom,
    };
    let history = history::History {
        seed: 18_339_269_043_963_997_702,
        vms: 6,
        demand_permille: 1_014,
        faults: vec![
            fault(history::FaultKind::Death, 3_044_219, 629_301, 6),
            fault(history::FaultKind::StoreSlow, 171_031, 4_000_000, 0),
        ],
    };
    keeps(history).expect("its shares come back");
}
