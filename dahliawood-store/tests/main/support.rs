//! Shared by the tests: the platform stand-in, a client for it, and the fixed seed.

use dahliawood_store::client;
use dahliawood_testkit::platform;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::env;
use std::time::Duration;

const DEFAULT_SEED: u64 = 0x0064_6168_6c69_6100;

/// Starts a stand-in with default options, and a client with a short deadline.
pub async fn start() -> (platform::PlatformHandle, client::StoreClient) {
    let handle = platform::start(platform::PlatformOptions::default())
        .await
        .expect("loopback can be listened on");
    let options = client::HttpOptions {
        deadline: Duration::from_millis(300),
        ..client::HttpOptions::new(handle.address())
    };
    (handle, client::http(options))
}

/// A write of a key.
pub fn put(key: &str, value: &str, expected: Option<u64>) -> client::PutCall {
    client::PutCall {
        key: key.to_owned(),
        value: value.to_owned(),
        expected,
        lease: None,
    }
}

/// The configuration of all property tests: a fixed seed unless `DAHLIAWOOD_TEST_SEED` sets
/// another.
pub fn config(cases: u32) -> ProptestConfig {
    let seed = env::var("DAHLIAWOOD_TEST_SEED").ok();
    let seed = seed
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}
