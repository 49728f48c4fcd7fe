//! Windows of customers' requests on one VM.

use crate::seed;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::window::CustomerWindows;
use proptest::prelude::*;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const MOST: f64 = 20.0;

#[test]
fn no_window_admits_more_than_its_most() {
    let gaps = prop::collection::vec(0_u64..600, 1..400);
    let result = seed::runner(128, 32).run(&gaps, |gaps| {
        let mut windows = CustomerWindows::new(LENGTH);
        let mut now = TimeStamp::from_millis(10_000);
        let mut admitted: Vec<TimeStamp> = Vec::new();
        for gap in gaps {
            now = now.after(Duration::from_millis(gap));
            if windows.admit("customer", MOST, now).is_ok() {
                admitted.push(now);
            }
            let within = admitted.iter().filter(|at| now.since(**at) < LENGTH);
            prop_assert!(within.count() as f64 <= MOST);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn who_comes_back_when_told_is_admitted() {
    let gaps = prop::collection::vec(0_u64..100, 20..60);
    let result = seed::runner(128, 33).run(&gaps, |gaps| {
        let mut windows = CustomerWindows::new(LENGTH);
        let mut now = TimeStamp::from_millis(10_000);
        for gap in gaps {
            now = now.after(Duration::from_millis(gap));
            if let Err(wait) = windows.admit("customer", MOST, now) {
                prop_assert!(wait <= LENGTH + LENGTH / 10);
                let mut later = windows.clone();
                prop_assert!(later.admit("customer", MOST, now.after(wait)).is_ok());
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn demand_counts_what_was_refused() {
    let mut windows = CustomerWindows::new(LENGTH);
    let start = TimeStamp::from_millis(10_000);
    let mut now = start;
    for _ in 0..400 {
        now = now.after(Duration::from_millis(20));
        let _refused = windows.admit("customer", 1.0, now);
    }
    let demand = windows.demand("customer", now);
    assert!(
        (45.0..55.0).contains(&demand),
        "50 a second are seen as {demand}"
    );
    let later = windows.demand("customer", now.after(LENGTH));
    assert!(later < 5.0, "{later}");
}
