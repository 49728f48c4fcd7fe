//! Shared by the tests: the seed of all generators, and simulated fleets.

use dahliawood_membership::options::MemberOptions;
use dahliawood_testkit::members::{MemberFleet, MemberFleetOptions};
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

/// Time until all members of a new fleet know each other.
const WARM_UP: Duration = Duration::from_secs(12);

/// The configuration of all property tests: a fixed seed unless `DAHLIAWOOD_TEST_SEED` sets
/// another.
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

/// A fleet of three regions with two failure domains each, in which all members already know each
/// other.
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

/// The given number of seconds.
pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
