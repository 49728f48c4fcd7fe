//! Calls to the platform, as a plain struct of functions.
//!
//! [`http`] builds a [`StoreClient`] for the real service; tests build one from closures. The
//! client does not retry writes: only the caller knows whether a write that may have taken effect
//! can be repeated.

pub mod error;
pub mod pool;

mod http;

pub use self::http::{HttpOptions, http};

use crate::protocol;
use futures::future::BoxFuture;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// The future result of a call.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, error::StoreError>>;

/// A call that takes `A` and returns `T`.
pub type StoreCall<A, T> = Arc<dyn Fn(A) -> StoreFuture<T> + Send + Sync>;

/// Writes one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PutCall {
    /// The key.
    pub key: String,
    /// UTF-8 text of at most [`crate::protocol::VALUE_LIMIT_BYTES`].
    pub value: String,
    /// Version that the key must have, zero if it must be absent; `None` writes unconditionally.
    pub expected: Option<u64>,
    /// Lease whose end deletes the key.
    pub lease: Option<u64>,
}

/// Deletes one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeleteCall {
    /// The key.
    pub key: String,
    /// Version that the key must have; `None` deletes unconditionally.
    pub expected: Option<u64>,
}

/// Waits until a key has another version than the one known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchCall {
    /// The key.
    pub key: String,
    /// The version known, zero if the key is absent.
    pub after: u64,
    /// Longest time to wait; then the entry is returned unchanged.
    pub wait: Duration,
}

/// The platform's key-value service and live list.
#[derive(Clone)]
pub struct StoreClient {
    /// Reads a key; an absent one has version zero.
    pub get: StoreCall<String, protocol::KeyEntry>,
    /// Writes a key and returns its new version.
    pub put: StoreCall<PutCall, u64>,
    /// Deletes a key.
    pub delete: StoreCall<DeleteCall, ()>,
    /// Reads all keys with a prefix.
    pub list: StoreCall<String, protocol::KeyList>,
    /// Waits for a change of a key.
    pub watch: StoreCall<WatchCall, protocol::KeyEntry>,
    /// Grants a lease of the given duration.
    pub grant_lease: StoreCall<Duration, protocol::LeaseGrant>,
    /// Renews the lease with the given id.
    pub renew_lease: StoreCall<u64, protocol::LeaseGrant>,
    /// Revokes the lease with the given id.
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
