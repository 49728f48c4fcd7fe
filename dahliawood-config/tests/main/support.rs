//! Shared test support: the example files, and proptest runners with a fixed seed.

use dahliawood_config::parse;
use dahliawood_model::tables;
use proptest::test_runner;

/// The example file of the deployment in Taiwan.
pub const LIANGUANG: &str = include_str!("../../../examples/lianguang.toml");
/// The example file of the deployment in Colombia.
pub const BARRIENTOS: &str = include_str!("../../../examples/barrientos-urrego.toml");
/// The README of the example files, with the plaintext keys of their customers.
pub const EXAMPLES_PAGE: &str = include_str!("../../../examples/README.md");

const DEFAULT_SEED: u64 = 42;
const SEED_VARIABLE: &str = "DAHLIAWOOD_TEST_SEED";

/// A runner of `cases` cases with the seed from `DAHLIAWOOD_TEST_SEED`, or the default seed.
pub fn runner(cases: u32) -> test_runner::TestRunner {
    let seed = std::env::var(SEED_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..Default::default()
    };
    test_runner::TestRunner::new(config)
}

/// The configuration in `text`, which must be valid.
pub fn config(text: &str) -> tables::FleetConfig {
    parse::file("test.toml", text).unwrap_or_else(|report| panic!("{report}"))
}
