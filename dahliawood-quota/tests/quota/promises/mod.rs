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
