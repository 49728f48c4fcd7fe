//! What must hold over all VMs, whatever happens.

use crate::{fleet, history, seed};
use proptest::test_runner::{TestCaseError, TestError};

/// Histories of one test; several run side by side.
const CASES: u32 = 1_000;

fn check(cases: u32, salt: u64) {
    let keeps = |history: history::History| {
        let mut fleet = fleet::Fleet::new(history);
        fleet.run();
        if fleet.broken.is_empty() {
            fleet.check_recovered();
        }
        match fleet.broken.first() {
            Some(broken) => Err(TestCaseError::fail(broken.clone())),
            None => Ok(()),
        }
    };
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
