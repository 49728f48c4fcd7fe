//! Checks a single bucket against an exact count over every window.

use crate::seed;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::{amount, bucket};
use proptest::prelude::*;

#[test]
fn every_window_of_one_bucket_keeps_its_bound() {
    let step = (0_u64..400_000, 1_u64..3_000_000);
    let input = (
        1_u64..50_000_000,
        1_u64..9_000_000,
        prop::collection::vec(step, 1..80),
    );
    let outcome = seed::runner(256, 0).run(&input, |(rate, burst, steps)| {
        let mut bucket = bucket::TokenBucket::new(TimeStamp::ZERO);
        let (rate_share, burst_share) = (
            amount::TokenRate::from_micros(rate),
            amount::TokenAmount::from_micros(burst),
        );
        bucket.grow(rate_share, burst_share);
        let mut now = 0;
        let mut taken: Vec<(u64, u64)> = Vec::new();
        for (gap, amount) in steps {
            now += gap;
            bucket.refill(TimeStamp::from_micros(now));
            if bucket.spend(amount::TokenAmount::from_micros(amount)) {
                taken.push((now, amount));
            }
        }
        for (first, &(start, _)) in taken.iter().enumerate() {
            let mut sum = 0;
            for &(end, amount) in &taken[first..] {
                sum += u128::from(amount) * 1_000_000;
                let bound =
                    u128::from(burst) * 1_000_000 + u128::from(end - start) * u128::from(rate);
                prop_assert!(sum <= bound);
            }
        }
        Ok(())
    });
    outcome.expect("every window keeps its bound");
}
