//! What the tests share: a stand-in, a client to it, and the fixed seed.

use dahliawood_store::client::{self, StoreClient};
use dahliawood_testkit::platform::{self, PlatformHandle};
use std::time::Duration;

/// A stand-in with its defaults and a client with a short deadline.
pub async fn start() -> (PlatformHandle, StoreClient) {
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
