//! The keys, revisions, history and leases of the stand-in for the store.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bytes of values after which a page ends.
const PAGE_BYTES: usize = 1_000_000;

/// The value of a key, with its last write.
#[derive(Clone, Debug)]
pub(super) struct StoredItem {
    pub(super) value: String,
    pub(super) revision: u64,
    pub(super) lease: u64,
}

/// Keys, their history and leases.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreState {
    pub(super) items: BTreeMap<String, StoredItem>,
    /// All changes since the last compaction, in order: key, revision, and whether the key was
    /// removed.
    pub(super) history: Vec<(String, u64, bool)>,
    /// The revision up to which compaction dropped the history.
    pub(super) compacted_revision: u64,
    pub(super) revision: u64,
    /// Leases by id: time to live, and when the lease expires.
    pub(super) leases: BTreeMap<u64, (Duration, Instant)>,
    pub(super) last_lease: u64,
    pub(super) calls: u64,
    pub(super) epoch: u64,
    /// The copy to which [`KeyspaceStore::restore`] returns.
    pub(super) copy: Option<Box<StoreState>>,
}

impl StoreState {
    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let lease = (ttl, Instant::now() + ttl);
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease for its time to live; returns `false` where the lease does not exist.
    pub(super) fn renew(&mut self, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.is_some_and(|(ttl, until)| {
            *until = Instant::now() + *ttl;
            true
        })
    }

    /// Removes a lease and all its keys.
    pub(super) fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Removes the leases that have expired, and their keys.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.revoke(id));
    }

    pub(super) fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = StoredItem {
            value,
            revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((key.to_owned(), revision, false));
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, true));
        }
    }

    /// A page of at most `most` keys under a prefix, from the one after `after` on.
    pub(super) fn range(
        &self,
        prefix: &str,
        after: &str,
        most: usize,
        read_value: &dyn Fn(&str, &str) -> String,
    ) -> Value {
        let items = self.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut page: Vec<Value> = Vec::new();
        let mut bytes = 0;
        while bytes < PAGE_BYTES
            && page.len() < most
            && let Some((key, item)) = items.next()
        {
            bytes += item.value.len();
            page.push(item_body(key, item, read_value));
        }
        let has_more = items.next().is_some();
        json!({"items": page, "more_pages": has_more, "store_revision": self.revision})
    }

    pub(super) fn events(
        &self,
        prefix: &str,
        after: u64,
        read_value: &dyn Fn(&str, &str) -> String,
    ) -> Vec<Value> {
        let newer = self
            .history
            .iter()
            .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix));
        let event = |(key, revision, is_removed): &(String, u64, bool)| match self.items.get(key) {
            Some(item) if !is_removed && item.revision == *revision => {
                Some(item_body(key, item, read_value))
            }
            _ if *is_removed => Some(json!({"key": key, "revision": revision, "tombstone": true})),
            _ => None,
        };
        newer.filter_map(event).collect()
    }
}

/// An item as answers of the store have it.
pub(super) fn item_body(
    key: &str,
    item: &StoredItem,
    read_value: &dyn Fn(&str, &str) -> String,
) -> Value {
    let (revision, lease) = (item.revision, item.lease);
    json!({
        "key": key, "value": read_value(key, &item.value), "revision": revision,
        "create_rev": revision, "lease": lease,
    })
}
