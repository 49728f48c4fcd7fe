//! Caches a key space; a key never goes back to an older revision.
//!
//! While the service is unavailable, leases may expire although their holders are alive. Leased
//! keys that are missing when the service is back are retained for [`SETTLE_TIME`], and dropped if
//! their holders don't write them again by then.

use crate::keyspace::call::KeyspaceItem;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the service is back until its leased keys are settled: holders that are alive write
/// them again within two seconds, and this VM receives the writes a little later.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_400);
/// Shortest time that leases last without renewal, as when the service is unavailable.
const MIN_LEASE_TIME: Duration = Duration::from_secs(2);

/// The value of a key, with the revision of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The value.
    pub value: Arc<[u8]>,
    /// Revision of the write.
    pub revision: u64,
}

/// A change of the cached key space.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// The key.
    pub key: String,
    /// The value, `None` if the key is gone.
    pub value: Option<Arc<[u8]>>,
}

/// State of the VM that relays keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySource {
    /// The revision up to which the other VM knows all changes.
    pub revision: u64,
    /// Whether the service responds to the other VM and its keys have settled there.
    pub is_settled: bool,
}

/// The cached key space of one VM.
#[derive(Clone, Debug)]
pub struct KeyspaceView {
    known: FastMap<String, VersionedValue>,
    tombstones: FastMap<String, u64>,
    /// Keys that are gone from the service but retained until their holders had time to write them
    /// again.
    retained: FastSet<String>,
    revision: u64,
    /// The newest revision that another VM reported; the view's is the higher of this one and
    /// `revision`.
    heard_revision: u64,
    settles_at: TimeStamp,
    unavailable_since: Option<TimeStamp>,
    /// When the service was last known to answer.
    answered_at: TimeStamp,
    is_leased: fn(&str) -> bool,
}

impl KeyspaceView {
    /// An empty view; `is_leased` tells which keys are bound to a lease.
    pub fn new(is_leased: fn(&str) -> bool) -> Self {
        Self {
            known: FastMap::default(),
            tombstones: FastMap::default(),
            retained: FastSet::default(),
            revision: 0,
            heard_revision: 0,
            settles_at: TimeStamp::ZERO,
            unavailable_since: None,
            answered_at: TimeStamp::ZERO,
            is_leased,
        }
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The newest revision reported by the service or by another VM. Writes up to it are known;
    /// removals are known only up to [`KeyspaceView::revision`].
    pub fn heard_revision(&self) -> u64 {
        self.heard_revision.max(self.revision)
    }

    /// All known keys with their values.
    pub fn known(&self) -> impl Iterator<Item = (&String, &VersionedValue)> {
        self.known.iter()
    }

    /// Records whether the service is unavailable. Between two answers within two seconds no
    /// lease can have expired, so that a short failure holds back nothing.
    pub fn set_unavailable(&mut self, is_unavailable: bool, now: TimeStamp) {
        if is_unavailable {
            self.unavailable_since.get_or_insert(now);
            return;
        }
        let answered_at = std::mem::replace(&mut self.answered_at, now);
        let was_unavailable = self.unavailable_since.take().is_some();
        if was_unavailable && now.since(answered_at) > MIN_LEASE_TIME {
            self.settles_at = now.after(SETTLE_TIME);
        }
    }

    /// Holds back removals of leased keys until `settles_at` at least, as the VM does that this one
    /// follows.
    pub fn hold_removals(&mut self, settles_at: TimeStamp) {
        self.settles_at = self.settles_at.max(settles_at);
    }

    /// How much longer removals of leased keys are held back.
    pub fn settles_in(&self, now: TimeStamp) -> Duration {
        self.settles_at.since(now)
    }

    /// Applies changes up to `revision`, and returns what changed in the view.
    pub fn apply(
        &mut self,
        items: Vec<KeyspaceItem>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let changes = items
            .into_iter()
            .filter_map(|item| self.apply_item(item, now))
            .collect();
        self.revision = self.revision.max(revision);
        changes
    }

    /// Replaces the view by the whole key space as it was at `revision`.
    pub fn replace(
        &mut self,
        items: Vec<KeyspaceItem>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let listed: FastSet<String> = items.iter().map(|item| item.key.clone()).collect();
        let mut changes = self.apply(items, revision, now);
        changes.extend(self.remove_unlisted(&listed, revision, now));
        changes
    }

    /// Applies what another VM knows up to `source.revision`: `listed` are all keys that exist
    /// there, and `items` are the entries that are newer than this VM's.
    ///
    /// If the service responds to that VM, keys that it does not list are removed at once, even
    /// while this VM waits for its own keys to settle. Otherwise this VM keeps its own revision and
    /// continues following from it, as it has yet to learn of removals up to the other VM's
    /// revision.
    pub fn apply_relayed(
        &mut self,
        items: Vec<KeyspaceItem>,
        listed: &FastSet<String>,
        source: RelaySource,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        self.heard_revision = self.heard_revision.max(source.revision);
        if !source.is_settled {
            return self.apply(items, self.revision, now);
        }
        let mut changes = self.apply(items, source.revision, now);
        let gone = self.unlisted_keys(listed, source.revision);
        changes.extend(gone.into_iter().filter_map(|key| self.drop_key(key)));
        changes
    }

    /// Whether the source knows changes that this view does not.
    pub fn has_newer(&self, source: RelaySource) -> bool {
        match source.is_settled {
            true => source.revision > self.revision,
            false => source.revision > self.heard_revision(),
        }
    }

    /// Keys that were written at or before `revision` and are not in the list of that revision.
    fn unlisted_keys(&self, listed: &FastSet<String>, revision: u64) -> Vec<String> {
        let is_unlisted =
            |key: &str, known: &VersionedValue| known.revision <= revision && !listed.contains(key);
        self.known
            .iter()
            .filter(|(key, known)| is_unlisted(key, known))
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn remove_unlisted(
        &mut self,
        listed: &FastSet<String>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let gone = self.unlisted_keys(listed, revision);
        gone.into_iter()
            .filter_map(|key| self.remove(key, now))
            .collect()
    }

    /// Drops the retained keys that were not written again before the key space settled.
    pub fn expire(&mut self, now: TimeStamp) -> Vec<ViewChange> {
        if self.is_settling(now) {
            return Vec::new();
        }
        let due = std::mem::take(&mut self.retained);
        due.into_iter()
            .filter_map(|key| self.drop_key(key))
            .collect()
    }

    /// Whether removals of leased keys are held back at `now`.
    pub fn is_settling(&self, now: TimeStamp) -> bool {
        self.unavailable_since.is_some() || now < self.settles_at
    }

    /// Applies one change.
    fn apply_item(&mut self, item: KeyspaceItem, now: TimeStamp) -> Option<ViewChange> {
        let known = self.known.get(&item.key).map_or(0, |known| known.revision);
        let removed_revision = self.tombstones.get(&item.key).copied().unwrap_or(0);
        let is_newer = item.revision > known.max(removed_revision);
        match item.value {
            Some(value) if is_newer => {
                let value: Arc<[u8]> = value.into();
                let revision = item.revision;
                let entry = VersionedValue {
                    value: Arc::clone(&value),
                    revision,
                };
                self.retained.remove(&item.key);
                let before = self.known.insert(item.key.clone(), entry);
                let is_same = before.is_some_and(|before| before.value == value);
                (!is_same).then_some(ViewChange {
                    key: item.key,
                    value: Some(value),
                })
            }
            None if item.revision >= known => {
                self.tombstones
                    .insert(item.key.clone(), item.revision.max(removed_revision));
                self.remove(item.key, now)
            }
            _ => None,
        }
    }

    fn remove(&mut self, key: String, now: TimeStamp) -> Option<ViewChange> {
        if !self.known.contains_key(&key) {
            return None;
        }
        if (self.is_leased)(&key) && self.is_settling(now) {
            self.retained.insert(key);
            return None;
        }
        self.drop_key(key)
    }

    fn drop_key(&mut self, key: String) -> Option<ViewChange> {
        self.retained.remove(&key);
        self.known.remove(&key)?;
        Some(ViewChange { key, value: None })
    }
}
