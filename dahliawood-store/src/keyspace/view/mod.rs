//! What is known of a key space, which never goes back to an older revision of a key.
//!
//! Leases may lapse while the service is away, though their holders live. Keys of that kind which
//! are gone when the service returns are kept for a while, and dropped if nobody writes them again.

use crate::keyspace::call::KeyspaceItem;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::sync::Arc;
use std::time::Duration;

/// How long after the service's return its keys settle: holders that live write them again within
/// two seconds, and this VM hears of it a little later.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_400);
/// Leases last at least this long without the service.
const LEASES_LAST: Duration = Duration::from_secs(2);

/// The bytes of a key with the revision of their write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownValue {
    /// The bytes.
    pub value: Arc<[u8]>,
    /// Revision of the write.
    pub revision: u64,
}

/// A change of what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewChange {
    /// The key.
    pub key: String,
    /// Its bytes, `None` where it is gone.
    pub value: Option<Arc<[u8]>>,
}

/// Where relayed keys come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySource {
    /// The revision up to which the other VM knows everything.
    pub revision: u64,
    /// Whether the service answers the other VM, and has for a while.
    pub is_settled: bool,
}

/// What is known of a key space.
#[derive(Clone, Debug)]
pub struct KeyspaceView {
    known: FastMap<String, KnownValue>,
    removed: FastMap<String, u64>,
    /// Keys that are gone, and kept until their holders had time to write them again.
    held: FastSet<String>,
    revision: u64,
    /// The newest revision that another VM told of, at least `revision`.
    heard_revision: u64,
    settled_at: TimeStamp,
    away_since: Option<TimeStamp>,
    is_leased: fn(&str) -> bool,
}

impl KeyspaceView {
    /// Nothing is known yet. `is_leased` says which keys go with a lease.
    pub fn new(is_leased: fn(&str) -> bool) -> Self {
        Self {
            known: FastMap::default(),
            removed: FastMap::default(),
            held: FastSet::default(),
            revision: 0,
            heard_revision: 0,
            settled_at: TimeStamp::ZERO,
            away_since: None,
            is_leased,
        }
    }

    /// The revision up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The newest revision that was heard of, from the service or another VM. Writes up to it are
    /// known; removals only up to [`KeyspaceView::revision`].
    pub fn heard_revision(&self) -> u64 {
        self.heard_revision.max(self.revision)
    }

    /// All keys that are known.
    pub fn known(&self) -> impl Iterator<Item = (&String, &KnownValue)> {
        self.known.iter()
    }

    /// Notes whether the service answers. A short failure while keys settle does not make them
    /// settle anew.
    pub fn set_unavailable(&mut self, is_unavailable: bool, now: TimeStamp) {
        if is_unavailable {
            self.away_since.get_or_insert(now);
            return;
        }
        let Some(since) = self.away_since.take() else {
            return;
        };
        let was_settling = since < self.settled_at;
        if !was_settling || now.since(since) > LEASES_LAST {
            self.settled_at = now.after(SETTLE_TIME);
        }
    }

    /// Takes changes up to `revision`, and answers what is different now.
    pub fn apply(
        &mut self,
        items: Vec<KeyspaceItem>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let changes = items
            .into_iter()
            .filter_map(|item| self.take(item, now))
            .collect();
        self.revision = self.revision.max(revision);
        changes
    }

    /// Takes the whole space as it was at `revision`.
    pub fn replace(
        &mut self,
        items: Vec<KeyspaceItem>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let listed: FastSet<String> = items.iter().map(|item| item.key.clone()).collect();
        let mut changes = self.apply(items, revision, now);
        changes.extend(self.remove_others(&listed, revision, now));
        changes
    }

    /// Takes what another VM knows up to `source.revision`: the keys that it lists are there,
    /// `items` are those that are news to this VM. Where the service answers that VM, what it no
    /// longer lists is gone; its word counts more than this VM's own wait. Otherwise this VM goes
    /// on following from its own revision, since removals up to the other's are still to be heard.
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
        let gone = self.missing(listed, source.revision);
        changes.extend(gone.into_iter().filter_map(|key| self.drop_key(key)));
        changes
    }

    /// Whether a source can tell what this view does not know.
    pub fn has_newer(&self, source: RelaySource) -> bool {
        match source.is_settled {
            true => source.revision > self.revision,
            false => source.revision > self.heard_revision(),
        }
    }

    /// Keys that are known from before `revision` and not listed at it.
    fn missing(&self, listed: &FastSet<String>, revision: u64) -> Vec<String> {
        let is_missing =
            |key: &str, known: &KnownValue| known.revision <= revision && !listed.contains(key);
        self.known
            .iter()
            .filter(|(key, known)| is_missing(key, known))
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn remove_others(
        &mut self,
        listed: &FastSet<String>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let gone = self.missing(listed, revision);
        gone.into_iter()
            .filter_map(|key| self.remove(key, now))
            .collect()
    }

    /// Drops the keys that nobody wrote again while the space settled.
    pub fn expire(&mut self, now: TimeStamp) -> Vec<ViewChange> {
        if self.is_settling(now) {
            return Vec::new();
        }
        let due = std::mem::take(&mut self.held);
        due.into_iter()
            .filter_map(|key| self.drop_key(key))
            .collect()
    }

    /// Whether removals are held back now.
    pub fn is_settling(&self, now: TimeStamp) -> bool {
        self.away_since.is_some() || now < self.settled_at
    }

    /// Takes one change.
    fn take(&mut self, item: KeyspaceItem, now: TimeStamp) -> Option<ViewChange> {
        let known = self.known.get(&item.key).map_or(0, |known| known.revision);
        let removed = self.removed.get(&item.key).copied().unwrap_or(0);
        let is_news = item.revision > known.max(removed);
        match item.value {
            Some(value) if is_news => {
                let value: Arc<[u8]> = value.into();
                let revision = item.revision;
                let entry = KnownValue {
                    value: Arc::clone(&value),
                    revision,
                };
                self.held.remove(&item.key);
                let before = self.known.insert(item.key.clone(), entry);
                let is_same = before.is_some_and(|before| before.value == value);
                (!is_same).then_some(ViewChange {
                    key: item.key,
                    value: Some(value),
                })
            }
            None if item.revision >= known => {
                self.removed
                    .insert(item.key.clone(), item.revision.max(removed));
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
            self.held.insert(key);
            return None;
        }
        self.drop_key(key)
    }

    fn drop_key(&mut self, key: String) -> Option<ViewChange> {
        self.held.remove(&key);
        self.known.remove(&key)?;
        Some(ViewChange { key, value: None })
    }
}
