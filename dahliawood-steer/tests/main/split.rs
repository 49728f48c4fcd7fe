//! Weights are honoured within one request over any window.

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
