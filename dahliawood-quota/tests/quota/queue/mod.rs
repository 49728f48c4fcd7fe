//! Fair queues serve customers by weight and both lanes of a customer, and lose no request.

use crate::seed;
use dahliawood_model::{keys, stamp::TimeStamp};
use dahliawood_quota::queue;
use proptest::prelude::*;

const OPTIONS: queue::QueueOptions = queue::QueueOptions {
    max_waiting: 64,
    quantum: 10,
    cost_rate: 1_000,
};

fn request(customer: u32, cost: u64, is_long: bool, millis: u64) -> queue::QueuedRequest<usize> {
    queue::QueuedRequest {
        customer: keys::CustomerKey(customer),
        cost,
        class: if is_long {
            queue::CostClass::Long
        } else {
            queue::CostClass::Short
        },
        deadline: TimeStamp::from_millis(millis),
        item: 0,
    }
}

#[test]
fn every_request_is_served_refused_or_expired_once() {
    let one = (0_u32..4, 1_u64..40, any::<bool>(), 1_u64..4_000, 0_u64..300);
    let input = prop::collection::vec(one, 1..200);
    let outcome = seed::runner(256, 0).run(&input, |requests| {
        let mut queue = queue::FairQueue::new(OPTIONS, [1, 2, 3]);
        let (mut now, mut ended, count) = (0, 0, requests.len());
        for (customer, cost, is_long, within, gap) in requests {
            now += gap;
            let stamp = TimeStamp::from_millis(now);
            let pushed = queue.push(request(customer, cost, is_long, now + within), stamp);
            ended += usize::from(matches!(pushed, queue::QueueOutcome::Refused { .. }));
            if gap % 2 == 0 {
                let popped = queue.pop(stamp);
                let in_time = |next: &queue::QueuedRequest<usize>| stamp < next.deadline;
                prop_assert!(popped.next.as_ref().is_none_or(in_time));
                ended += popped.expired.len() + usize::from(popped.next.is_some());
            }
        }
        while !queue.is_empty() {
            let popped = queue.pop(TimeStamp::from_millis(now));
            ended += popped.expired.len() + usize::from(popped.next.is_some());
        }
        prop_assert_eq!(ended, count);
        Ok(())
    });
    outcome.expect("each request ends once");
}

#[test]
fn customers_are_served_by_weight_and_long_work_does_not_starve_short_work() {
    let far = 1_000_000;
    let options = queue::QueueOptions {
        max_waiting: 1_000,
        ..OPTIONS
    };
    let mut queue = queue::FairQueue::new(options, [1, 3]);
    for _ in 0..400 {
        queue.push(request(0, 5, false, far), TimeStamp::ZERO);
        queue.push(request(1, 5, false, far), TimeStamp::ZERO);
        queue.push(request(1, 50, true, far), TimeStamp::ZERO);
    }
    let mut served = [[0; 2]; 2];
    for _ in 0..400 {
        let next = queue.pop(TimeStamp::ZERO).next.expect("requests wait");
        let lane = usize::from(next.class == queue::CostClass::Long);
        served[next.customer.0 as usize][lane] += next.cost;
    }
    let [small, large] = served;
    let (small, short, long) = (small[0], large[0], large[1]);
    assert!(
        (short + long).abs_diff(3 * small) <= 200,
        "weights: {served:?}"
    );
    assert!(short.abs_diff(long) <= 100, "lanes: {served:?}");
}
