//! The baselines: one central token bucket, and a static split of it over all VMs.

use dahliawood_model::stamp;
use dahliawood_quota::{amount, bucket, limit};

/// A full bucket with one of `parts` equal parts of the rate and burst of `terms`.
pub fn full_bucket(terms: limit::LimitTerms, parts: u64) -> bucket::TokenBucket {
    let mut bucket = bucket::TokenBucket::new(stamp::TimeStamp::ZERO);
    let rate = terms.rate().micros_per_second / parts;
    let burst = amount::TokenAmount::from_micros(terms.burst().micros / parts);
    bucket.grow(amount::TokenRate::from_micros(rate), burst);
    bucket.credit(burst);
    bucket
}

/// Whether `bucket` admits one request at `now`.
pub fn admits(bucket: &mut bucket::TokenBucket, now: stamp::TimeStamp) -> bool {
    bucket.refill(now);
    bucket.spend(amount::TokenAmount::ONE)
}
