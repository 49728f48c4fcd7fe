//! Calls to the service that holds a key space.

use crate::client::StoreCall;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
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

/// Writes a key if it is as the caller expects, so that a write that the service carries out late
/// replaces nothing that was written meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteCall {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Lease whose end removes the key.
    pub lease: Option<u64>,
    /// Revision of the key's last write; zero if the key must not exist.
    pub expected: u64,
}

/// Result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The key was written.
    Written {
        /// Revision of the write.
        revision: u64,
    },
    /// The key is not as expected; the write had no effect.
    Conflict {
        /// The key as it is, `None` if it does not exist.
        current: Option<StoredEntry>,
    },
}

/// A key's last write, as the service has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the write.
    pub revision: u64,
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
    /// Writes a key under a condition.
    pub write: StoreCall<WriteCall, WriteOutcome>,
    /// Grants a lease of the given duration and returns its id.
    pub grant_lease: StoreCall<Duration, u64>,
    /// Renews a lease.
    pub renew_lease: StoreCall<u64, ()>,
    /// Revokes a lease.
    pub revoke_lease: StoreCall<u64, ()>,
    /// Bytes of answers to [`range`](Self::range) and [`follow`](Self::follow) that were received.
    pub received: Arc<AtomicU64>,
}

impl fmt::Debug for KeyspaceClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("KeyspaceClient")
            .finish_non_exhaustive()
    }
}
