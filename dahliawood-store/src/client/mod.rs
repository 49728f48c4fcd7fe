//! Calls to the platform, behind a plain struct of functions.
//!
//! [`http`] builds a [`StoreClient`] that speaks to the real service; a test builds one from
//! closures. Each call is made once: retries are up to the caller, who alone knows whether a
//! write that may have taken effect can be repeated.

pub mod error;
pub mod pool;

mod http;

pub use self::http::{HttpOptions, http};

use crate::protocol;
use futures::future::BoxFuture;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The answer of a call, some time later.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, error::StoreError>>;

/// A call that takes `A` and answers `T`.
pub type StoreCall<A, T> = Arc<dyn Fn(A) -> StoreFuture<T> + Send + Sync>;

/// Write one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PutCall {
    /// The key.
    pub key: String,
    /// UTF-8 text of at most [`crate::protocol::VALUE_LIMIT_BYTES`].
    pub value: String,
    /// Version that the key must have, zero for absent; `None` writes in any case.
    pub expected: Option<u64>,
    /// Lease that the key disappears with.
    pub lease: Option<u64>,
}

/// Remove one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeleteCall {
    /// The key.
    pub key: String,
    /// Version that the key must have; `None` removes in any case.
    pub expected: Option<u64>,
}

/// Wait for a key to get another version than the one known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchCall {
    /// The key.
    pub key: String,
    /// The version known, zero for absent.
    pub after: u64,
    /// How long to wait before the entry is answered as it is.
    pub wait: Duration,
}

/// The platform's key-value service and live list.
#[derive(Clone)]
pub struct StoreClient {
    /// Reads a key; an absent one has version zero.
    pub get: StoreCall<String, protocol::KeyEntry>,
    /// Writes a key and answers its new version.
    pub put: StoreCall<PutCall, u64>,
    /// Removes a key.
    pub delete: StoreCall<DeleteCall, ()>,
    /// Reads all keys under a prefix.
    pub list: StoreCall<String, protocol::KeyList>,
    /// Waits for a change of a key.
    pub watch: StoreCall<WatchCall, protocol::KeyEntry>,
    /// Grants a lease of the given length.
    pub grant_lease: StoreCall<Duration, protocol::LeaseGrant>,
    /// Keeps a lease of the given id.
    pub renew_lease: StoreCall<u64, protocol::LeaseGrant>,
    /// Ends a lease of the given id.
    pub revoke_lease: StoreCall<u64, ()>,
    /// Reads the live list.
    pub live: StoreCall<(), protocol::LiveList>,
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreClient")
            .finish_non_exhaustive()
    }
}
