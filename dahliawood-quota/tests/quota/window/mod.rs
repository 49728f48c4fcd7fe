//! Sliding windows of customers' requests on one VM.

use crate::seed;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::window::CustomerWindows;
use proptest::prelude::*;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const LIMIT: f64 = 20.0;

#[test]
fn no_window_admits_more_than_its_limit() {
    let gaps = prop::collection::vec(0_u64..600, 1..400);
    let result = seed::runner(128, 32).run(&gaps, |gaps| {
        let mut windows = CustomerWindows::new(LENGTH);
        let mut now = TimeStamp::from_millis(10_000);
        let mut admitted: Vec<TimeStamp> = Vec::new();
        for gap in gaps {
            now = now.after(Duration::from_millis(gap));
            if windows.admit("customer", LIMIT, now).is_ok() {
                admitted.push(now);
            }
            let within = admitted.iter().filter(|at| now.since(**at) < LENGTH);
            prop_assert!(within.count() as f64 <= LIMIT);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_request_retried_after_the_returned_wait_is_admitted() {
    let gaps = prop::collection::vec(0_u64..100, 20..60);
    let result = seed::runner(128, 33).run(&gaps, |gaps| {
        let mut windows = CustomerWindows::new(LENGTH);
        let mut now = TimeStamp::from_millis(10_000);
        for gap in gaps {
            now = now.after(Duration::from_millis(gap));
            if let Err(wait) = windows.admit("customer", LIMIT, now) {
                prop_assert!(wait <= LENGTH + LENGTH / 10);
                let mut later = windows.clone();
                prop_assert!(later.admit("customer", LIMIT, now.after(wait)).is_ok());
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn demand_includes_refused_requests() {
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
        "50 requests a second are measured as {demand}"
    );
    let later = windows.demand("customer", now.after(LENGTH));
    assert!(later < 5.0, "{later}");
}
