//! Caches a key space; a key never goes back to an older revision.
//!
//! While the service is unavailable, leases may expire although their holders are alive. Leased
//! keys that are missing when the service is back are retained for [`SETTLE_TIME`], and dropped if
//! their holders don't write them again by then.
//!
//! The service may also return to an older state of itself, in a new epoch. Its writers then write
//! again what was lost. Until they had time for it, nothing goes back: no key is dropped that the
//! service lost, none appears again that was removed, and no value is replaced by an older one.

use crate::keyspace::call::KeyspaceItem;
use crate::keyspace::epoch;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the service is back until its leased keys are settled: holders that are alive write
/// them again within two seconds, and this VM receives the writes a little later.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_400);
/// Time after a restoration until the key space is settled: writers have written again what was
/// lost, and what they don't renew is gone.
pub const RESTORE_TIME: Duration = Duration::from_secs(6);
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
    is_older: IsOlder,
    /// Until when a restoration of the service is not settled.
    restored_until: TimeStamp,
    /// Keys that a restored service lists again although they were removed.
    reappeared: FastMap<String, KeyspaceItem>,
}

/// Whether the first value of a key is older than the second one, by what they say.
pub type IsOlder = fn(key: &str, value: &[u8], known: &[u8]) -> bool;

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
            is_older: |_, _, _| false,
            restored_until: TimeStamp::ZERO,
            reappeared: FastMap::default(),
        }
    }

    /// Sets how values of a key are ordered after a restoration of the service.
    #[must_use]
    pub fn with_order(self, is_older: IsOlder) -> Self {
        Self { is_older, ..self }
    }

    /// The epoch of the service up to whose changes the view is current.
    pub fn epoch(&self) -> u64 {
        epoch::epoch_of(self.revision)
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

    /// The last known write of a key.
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.known.get(key)
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
        if self.is_restoration(revision) {
            return self.restore(items, &listed, revision, now);
        }
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
        if self.is_restoration(source.revision) {
            return self.restore(items, listed, source.revision, now);
        }
        self.heard_revision = self.heard_revision.max(source.revision);
        if !source.is_settled {
            return self.apply(items, self.revision, now);
        }
        let mut changes = self.apply(items, source.revision, now);
        let gone = self.unlisted_keys(listed, source.revision).into_iter();
        let gone = gone.filter_map(|key| match self.is_awaited(&key, now) {
            true => None,
            false => self.drop_key(key),
        });
        changes.extend(gone.collect::<Vec<_>>());
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
        let gone = self.unlisted_keys(listed, revision).into_iter();
        let gone = gone.filter_map(|key| match self.is_awaited(&key, now) {
            true => None,
            false => self.remove(key, now),
        });
        gone.collect()
    }

    /// Drops the retained keys that were not written again before the key space settled, and takes
    /// over those that a restored service still lists.
    pub fn expire(&mut self, now: TimeStamp) -> Vec<ViewChange> {
        if self.is_settling(now) || now < self.restored_until {
            return Vec::new();
        }
        let due = std::mem::take(&mut self.retained);
        let due = due.into_iter().filter_map(|key| self.drop_key(key));
        let mut changes: Vec<ViewChange> = due.collect();
        let reappeared = std::mem::take(&mut self.reappeared).into_values();
        changes.extend(reappeared.filter_map(|item| self.apply_item(item, now)));
        changes
    }

    /// Whether `revision` is of a later epoch than what this view holds.
    fn is_restoration(&self, revision: u64) -> bool {
        self.revision > 0 && epoch::epoch_of(revision) > self.epoch()
    }

    /// Takes over the whole key space as a restored service lists it.
    fn restore(
        &mut self,
        items: Vec<KeyspaceItem>,
        listed: &FastSet<String>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        self.restored_until = now.after(RESTORE_TIME);
        self.reappeared.clear();
        let lost = self.known.keys().filter(|key| !listed.contains(*key));
        self.retained.extend(lost.cloned());
        let restored = items.into_iter();
        let changes = restored.filter_map(|item| self.restore_item(item, now));
        let changes = changes.collect();
        self.revision = self.revision.max(revision);
        changes
    }

    /// Applies one key that a restored service lists, unless it is older than what is known.
    fn restore_item(&mut self, item: KeyspaceItem, now: TimeStamp) -> Option<ViewChange> {
        let Some(known) = self.known.get_mut(&item.key) else {
            if self.tombstones.contains_key(&item.key) {
                self.reappeared.insert(item.key.clone(), item);
                return None;
            }
            return self.apply_item(item, now);
        };
        let value = item.value.as_deref().unwrap_or_default();
        if (self.is_older)(&item.key, value, &known.value) {
            // The next write of the key is newer than this one.
            known.revision = known.revision.max(item.revision);
            return None;
        }
        self.apply_item(item, now)
    }

    /// Whether a key that a restored service does not list may still be written again.
    fn is_awaited(&self, key: &str, now: TimeStamp) -> bool {
        now < self.restored_until && self.retained.contains(key)
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
                self.reappeared.remove(&item.key);
                let before = self.known.insert(item.key.clone(), entry);
                let is_same = before.is_some_and(|before| before.value == value);
                (!is_same).then_some(ViewChange {
                    key: item.key,
                    value: Some(value),
                })
            }
            None if item.revision >= known => {
                self.reappeared.remove(&item.key);
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
        let known = self.known.remove(&key)?;
        let removed = self.tombstones.entry(key.clone()).or_default();
        *removed = known.revision.max(*removed);
        Some(ViewChange { key, value: None })
    }
}
