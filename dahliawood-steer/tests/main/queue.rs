//! Properties of the fair queue.

use crate::fleet;
use dahliawood_model::keys::{CustomerKey, RegionKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::{lookup, queue};
use proptest::prelude::*;
use std::time::Duration;

fn entry(customer: u32, weight: u32, deadline_ms: u64) -> queue::WaitEntry<u64> {
    queue::WaitEntry {
        customer: Some(CustomerKey(customer)),
        weight,
        deadline: TimeStamp::from_millis(deadline_ms),
        item: deadline_ms,
    }
}

#[test]
fn backlogged_customers_take_turns_by_weight() {
    let weights = proptest::collection::vec(1_u32..5, 2..6);
    let mut runner = fleet::runner();
    let result = runner.run(&(weights, 1_usize..60), |(weights, served)| {
        let mut waiting = queue::WaitQueue::default();
        for (customer, weight) in weights.iter().enumerate() {
            for _ in 0..200 {
                let entry = entry(customer as u32, *weight, 1_000_000);
                prop_assert!(queue::push(&mut waiting, entry, 1e3, TimeStamp::ZERO).is_ok());
            }
        }
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..served {
            let popped = queue::pop(&mut waiting).unwrap();
            counts[popped.customer.unwrap().0 as usize] += 1;
        }
        for (a, a_weight) in counts.iter().zip(&weights) {
            for (b, b_weight) in counts.iter().zip(&weights) {
                let a_turns = f64::from(*a) / f64::from(*a_weight);
                let b_turns = f64::from(*b) / f64::from(*b_weight);
                let one_turn = 1.0 / f64::from(*a_weight) + 1.0 / f64::from(*b_weight);
                prop_assert!((a_turns - b_turns).abs() <= one_turn + 1e-9);
            }
        }
        Ok(())
    });
    result.unwrap();
}

/// Under any arrivals, no queued request starts after its deadline or waits until the deadline to
/// be refused, and a customer with a single request is never refused because of other customers'
/// backlogs.
#[test]
fn queued_requests_start_or_are_refused_before_their_deadline() {
    let arrivals = proptest::collection::vec((0_u32..4, 20_u64..400), 1..300);
    let mut runner = fleet::runner();
    let result = runner.run(&(arrivals, 1_u64..20), |(arrivals, service_ms)| {
        let per_second = 1e3 / service_ms as f64;
        let mut waiting = queue::WaitQueue::default();
        let mut now_ms = 0;
        let mut free_at_ms = service_ms;
        for (customer, max_wait_ms) in arrivals {
            now_ms += 1;
            let now = TimeStamp::from_millis(now_ms);
            for late in queue::refuse_late(&mut waiting, per_second, now) {
                prop_assert!(late.item >= now_ms, "held until its deadline");
            }
            while free_at_ms <= now_ms {
                free_at_ms += service_ms;
                if let Some(popped) = queue::pop(&mut waiting) {
                    prop_assert!(popped.item >= now_ms, "started late");
                }
            }
            let entry = entry(customer, 1, now_ms + max_wait_ms);
            let alone = waiting.customer_len(entry.customer) == 0;
            let pushed = queue::push(&mut waiting, entry, per_second, now);
            let fair_wait_ms = 4 * service_ms;
            prop_assert!(pushed.is_ok() || !alone || max_wait_ms < fair_wait_ms);
        }
        Ok(())
    });
    result.unwrap();
}

/// Two VMs never pass the same slot back and forth.
#[test]
fn a_slot_that_was_handed_over_is_not_handed_back() {
    let pressure =
        (0_u64..50, 0_u32..50).prop_map(|(weight, slots)| queue::QueuePressure { weight, slots });
    let mut runner = fleet::runner();
    let result = runner.run(&(pressure.clone(), pressure), |(here, there)| {
        prop_assume!(here.slots > 0 && here.should_lend_to(there));
        let here = queue::QueuePressure {
            slots: here.slots - 1,
            ..here
        };
        let there = queue::QueuePressure {
            slots: there.slots + 1,
            ..there
        };
        prop_assert!(!there.should_lend_to(here));
        Ok(())
    });
    result.unwrap();
}

/// A customer with many home VMs gets the same total weight as one with a single home VM.
#[test]
fn home_vms_share_the_weight_of_their_customer() {
    let mut config = fleet::config(2, 1, 3);
    let large = fleet::add_customer(&mut config, "large", 300);
    let huge = fleet::add_customer(&mut config, "huge", 100_000);
    let small = fleet::add_customer(&mut config, "small", 10);
    let table = lookup::LookupTable::build(&config, &fleet::vms(&config, 4));
    let weight = |customer| table.local_weight(Some(customer), RegionKey(0));
    assert_eq!(weight(small), lookup::WEIGHT_UNIT);
    assert_eq!(weight(large), lookup::WEIGHT_UNIT / 3);
    assert_eq!(weight(huge), lookup::WEIGHT_UNIT / 8);
}

#[test]
fn a_slot_rate_of_zero_refuses_at_once() {
    let mut waiting = queue::WaitQueue::default();
    let refused = queue::push(&mut waiting, entry(0, 1, 500), 0.0, TimeStamp::ZERO);
    assert!(refused.unwrap_err().retry_after >= Duration::from_secs(1));
    assert!(waiting.is_empty());
}
