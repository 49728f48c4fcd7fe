//! Calls on a key space.

use crate::client::StoreCall;
use std::fmt;
use std::time::Duration;

/// One key as it was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyspaceItem {
    /// The key.
    pub key: String,
    /// Its bytes, `None` where it was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: u64,
}

/// A page of the keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyspacePage {
    /// The keys, in order.
    pub items: Vec<KeyspaceItem>,
    /// Whether there are more pages.
    pub has_more: bool,
    /// The space's revision when the page was read.
    pub revision: u64,
}

/// Reads a page of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeCall {
    /// What the keys begin with.
    pub prefix: String,
    /// The key that the page begins after.
    pub after: Option<String>,
}

/// Waits for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowCall {
    /// What the keys begin with.
    pub prefix: String,
    /// The revision that is known.
    pub after: u64,
    /// How long to wait for a change.
    pub wait: Duration,
}

/// What waiting came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// The changes, none where the wait was over.
    Changes {
        /// In the order of their revisions.
        items: Vec<KeyspaceItem>,
        /// The revision to continue from.
        revision: u64,
    },
    /// The service has dropped the history since then: the space is to be read anew.
    Compacted,
}

/// Writes a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteCall {
    /// The key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// Lease that the key is removed with.
    pub lease: Option<u64>,
}

/// The service.
#[derive(Clone)]
pub struct KeyspaceClient {
    /// Reads a page of keys.
    pub range: StoreCall<RangeCall, KeyspacePage>,
    /// Waits for changes.
    pub follow: StoreCall<FollowCall, FollowOutcome>,
    /// Writes a key in any case and answers the new revision.
    pub write: StoreCall<WriteCall, u64>,
    /// Grants a lease of the given length and answers its id.
    pub grant_lease: StoreCall<Duration, u64>,
    /// Keeps a lease.
    pub renew_lease: StoreCall<u64, ()>,
    /// Ends a lease.
    pub revoke_lease: StoreCall<u64, ()>,
}

impl fmt::Debug for KeyspaceClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("KeyspaceClient")
            .finish_non_exhaustive()
    }
}
