//! Splits match their weights over any window: to one request, or one per part for several parts.

use crate::fleet;
use dahliawood_steer::split;
use proptest::prelude::*;

#[test]
fn any_window_holds_its_weight_within_one_request() {
    let mut runner = fleet::runner();
    let weight = 0_u32..=split::FULL_WEIGHT;
    let result = runner.run(
        &(weight, 0_usize..500, 1_usize..500),
        |(weight, skip, length)| {
            let mut split = split::WeightSplit::new(weight);
            let kept = (0..skip + length).map(|_| split.keep_next());
            let kept = kept.skip(skip).filter(|kept| *kept).count();
            let expected = f64::from(weight) / f64::from(split::FULL_WEIGHT) * length as f64;
            prop_assert!((kept as f64 - expected).abs() < 1.0);
            Ok(())
        },
    );
    result.unwrap();
}

#[test]
fn any_run_of_requests_is_divided_by_weight_within_one_for_each_part() {
    let weights = prop::collection::vec(1_u32..100, 2..5);
    let result = fleet::runner().run(&(weights, 1_usize..600), |(weights, count)| {
        let mut split = split::round_robin::RoundRobin::default();
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..count {
            counts[split.next(weights.iter().map(|weight| f64::from(*weight)))] += 1;
        }
        let total: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
        for (weight, got) in weights.iter().zip(&counts) {
            let due = f64::from(*weight) / total * count as f64;
            prop_assert!((f64::from(*got) - due).abs() <= weights.len() as f64);
        }
        Ok(())
    });
    result.unwrap();
}
