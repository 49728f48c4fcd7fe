//! Shared proptest configuration.

use proptest::test_runner::{Config, RngSeed};

/// A proptest configuration with a fixed seed, which `DAHLIAWOOD_TEST_SEED` overrides.
pub fn property_config(cases: u32) -> Config {
    let seed = std::env::var("DAHLIAWOOD_TEST_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(20_261_203);
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}
