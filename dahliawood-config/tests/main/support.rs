//! What several tests need: the example files, and runs of proptest with a fixed seed.

use dahliawood_config::parse;
use dahliawood_model::tables;
use proptest::test_runner;

/// The example file of the Taiwan deployment.
pub const LIANGUANG: &str = include_str!("../../../examples/lianguang.toml");
/// The example file of the Colombia deployment.
pub const BARRIENTOS: &str = include_str!("../../../examples/barrientos-urrego.toml");
/// The page beside the example files, with their keys in clear.
pub const EXAMPLES_PAGE: &str = include_str!("../../../examples/README.md");

const DEFAULT_SEED: u64 = 42;
const SEED_VARIABLE: &str = "DAHLIAWOOD_TEST_SEED";

/// A runner of `cases` cases from the fixed seed, or from the one in the environment.
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

/// The checked configuration of `text`, which has to be right.
pub fn config(text: &str) -> tables::FleetConfig {
    parse::file("test.toml", text).unwrap_or_else(|report| panic!("{report}"))
}
