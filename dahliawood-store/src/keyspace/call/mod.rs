//! Calls to the service that holds a key space.

use crate::client::StoreCall;
use std::fmt;
use std::time::Duration;

/// One write or removal of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyspaceItem {
    /// The key.
    pub key: String,
    /// The value, `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the key space at this change.
    pub revision: u64,
}

/// A page of the keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyspacePage {
    /// The keys, sorted.
    pub items: Vec<KeyspaceItem>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// Revision of the key space when the page was read.
    pub revision: u64,
}

/// Reads a page of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeCall {
    /// Prefix of the keys.
    pub prefix: String,
    /// The key after which the page starts.
    pub after: Option<String>,
    /// Whether the page may be some seconds old, which costs the service less.
    pub may_be_stale: bool,
}

/// Waits for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowCall {
    /// Prefix of the keys.
    pub prefix: String,
    /// The last revision known; later changes are returned.
    pub after: u64,
    /// Longest time to wait for a change.
    pub wait: Duration,
    /// How much longer the response may take.
    pub answer_time: Duration,
}

/// Result of waiting for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// The changes, none if the wait ended without one.
    Changes {
        /// The changes in order of revision.
        items: Vec<KeyspaceItem>,
        /// The revision to pass to the next call.
        revision: u64,
    },
    /// The service no longer has all changes since the given revision, so the key space must be
    /// read again in full.
    Compacted,
}

/// Writes a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteCall {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Lease whose end removes the key.
    pub lease: Option<u64>,
}

/// The functions of the service.
#[derive(Clone)]
pub struct KeyspaceClient {
    /// Reads a page of keys.
    pub range: StoreCall<RangeCall, KeyspacePage>,
    /// Waits for changes.
    pub follow: StoreCall<FollowCall, FollowOutcome>,
    /// Writes a key unconditionally and returns the new revision of the key space.
    pub write: StoreCall<WriteCall, u64>,
    /// Grants a lease of the given duration and returns its id.
    pub grant_lease: StoreCall<Duration, u64>,
    /// Renews a lease.
    pub renew_lease: StoreCall<u64, ()>,
    /// Revokes a lease.
    pub revoke_lease: StoreCall<u64, ()>,
}

impl fmt::Debug for KeyspaceClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("KeyspaceClient")
            .finish_non_exhaustive()
    }
}
