//! Services of which one VM reaches no target, while other VMs reach some, or none either.

use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::reach::delegation::DelegationTable;
use std::time::Duration;

/// Requests that ask other VMs, at 100 a second over 30 s, where `serves` tells whether those can serve.
fn asked(serves: impl Fn(TimeStamp) -> bool) -> (usize, usize) {
    let mut table = DelegationTable::default();
    let mut answered = 0;
    let mut asked = 0;
    for number in 0..3_000 {
        let now = TimeStamp::from_millis(number * 10);
        if table.may_ask("a", now) {
            let is_served = serves(now);
            asked += 1;
            answered += usize::from(is_served);
            // The answer of another VM takes a round trip.
            table.record("a", is_served, now.after(Duration::from_millis(3)));
        }
    }
    (asked, answered)
}

/// Guards against refusals while other VMs could serve all requests.
#[test]
fn all_requests_go_to_other_vms_that_serve_them() {
    assert_eq!(asked(|_| true), (3_000, 3_000));
}

/// Guards against a second call for each request while targets are down for all VMs.
#[test]
fn few_requests_ask_where_no_vm_reaches_targets() {
    let (asked, _) = asked(|_| false);
    assert!((10..=20).contains(&asked), "{asked}");
}

/// Guards against refusals that outlast the failure.
#[test]
fn requests_are_served_soon_after_other_vms_can_serve_again() {
    let back = TimeStamp::from_millis(20_000);
    let (_, served) = asked(|now| now >= back);
    assert!(served >= 800, "{served}");
}

/// Guards against one service that is down keeping others from other VMs.
#[test]
fn services_are_judged_apart() {
    let mut table = DelegationTable::default();
    table.record("a", false, TimeStamp::ZERO);
    assert!(!table.may_ask("a", TimeStamp::ZERO));
    assert!(table.may_ask("b", TimeStamp::ZERO));
}
