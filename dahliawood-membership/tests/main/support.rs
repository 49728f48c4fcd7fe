//! The seed of all generators, and fleets.

use dahliawood_membership::options::MemberOptions;
use dahliawood_testkit::members::{MemberFleet, MemberFleetOptions};
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

/// Time for a fleet to know itself.
const WARM_UP: Duration = Duration::from_secs(12);

/// A configuration of proptest with a fixed seed, which `DAHLIAWOOD_TEST_SEED` overrides.
pub fn property_config(cases: u32) -> Config {
    let seed = std::env::var("DAHLIAWOOD_TEST_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(20_261_203);
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 40,
        ..Config::default()
    }
}

/// A fleet of three regions with two failure domains each that has come to know itself.
pub fn fleet(members: usize, seed: u64) -> MemberFleet {
    let mut fleet = MemberFleet::new(MemberFleetOptions {
        members,
        regions: 3,
        domains: 6,
        seed,
        options: MemberOptions::default(),
    });
    fleet.run(WARM_UP);
    fleet
}

/// A number of seconds.
pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
