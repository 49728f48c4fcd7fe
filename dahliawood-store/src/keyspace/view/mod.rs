//! Caches a key space; no key goes back to what is older.
//!
//! [`crate::keyspace::record`] decides for each key what is newer, whatever way it came: as a change, in
//! a list of the service or of another VM, or apart from others. This module adds what concerns all keys:
//! which revision all changes are known up to, and for how long what is gone is still held.
//!
//! While the service is unavailable, leases may expire although their holders are alive. Leased
//! keys that are missing when the service is back are retained for [`settle::SETTLE_TIME`], and dropped if
//! their holders don't write them again by then. A key whose writer had said that it leaves is never
//! retained. Until when keys are retained is decided by [`settle`] alone.
//!
//! The service may also return to an older state of itself, in a new epoch. Its writers then write
//! again what was lost. Until they had time for it, nothing goes back: no key is dropped that the
//! service lost, none appears again that was removed, and no value is replaced by an older one.

pub mod retained;
pub mod settle;
pub mod told;

use crate::keyspace::availability::AnswerSpan;
use crate::keyspace::call::KeyspaceItem;
use crate::keyspace::changes::ChangeLog;
use crate::keyspace::epoch;
use crate::keyspace::record::{
    KeyRecord, MergeOutcome, ObservedWrite, OrderOf, ValueOrder, VersionedValue, WriterOrder,
};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use retained::{HoldChange, HoldStep, RetainedKeys};
use settle::SettleClock;
use std::sync::Arc;
use std::time::Duration;

/// How long a key that is gone is remembered, so that a write which the service carries out late does not
/// bring it back.
pub const REMOVED_TIME: Duration = Duration::from_secs(600);

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
    /// Whether the other VM tells when the service answered, so that this VM knows what that is worth: a
    /// process that has just started knows of no outage.
    pub tells_answers: bool,
}

/// The cached key space of one VM.
#[derive(Clone, Debug)]
pub struct KeyspaceView {
    records: FastMap<String, KeyRecord>,
    /// Keys that are gone from the service but retained until their holders had time to write them
    /// again.
    retained: RetainedKeys,
    /// Keys that are gone, and since when.
    gone: FastMap<String, TimeStamp>,
    /// Writes that were carried out late, since they were last taken.
    late: Vec<LateWrite>,
    revision: u64,
    /// The latest changes up to `revision`, for VMs that follow this one.
    log: ChangeLog,
    /// The newest revision that another VM reported; the view's is the higher of this one and
    /// `revision`.
    heard_revision: u64,
    settle: SettleClock,
    is_leased: fn(&str) -> bool,
    order_of: OrderOf,
    is_leaving: IsLeaving,
    /// Keys that a restored service lists again although they were removed.
    reappeared: FastMap<String, KeyspaceItem>,
}

/// Whether a key's value says that its writer leaves, so that the removal of the key is meant.
pub type IsLeaving = fn(key: &str, value: &[u8]) -> bool;

/// A write that the service carried out after one of which the writer said later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateWrite {
    /// The key.
    pub key: String,
    /// Revision of the write.
    pub revision: u64,
}

impl LateWrite {
    /// Whether an item is this write.
    fn is_of(&self, item: &KeyspaceItem) -> bool {
        self.key == item.key && self.revision == item.revision
    }
}

/// Where an item comes from.
#[derive(Clone, Copy, Debug)]
struct ItemOrigin {
    /// The revision at which a key that this VM does not know is known not to have existed.
    absent_at: u64,
    /// Whether a service that returned to an older state lists it.
    is_restored: bool,
}

impl ItemOrigin {
    /// An item that proves that its key existed.
    const LISTED: Self = Self {
        absent_at: 0,
        is_restored: false,
    };
}

impl KeyspaceView {
    /// An empty view; `is_leased` tells which keys are bound to a lease.
    pub fn new(is_leased: fn(&str) -> bool) -> Self {
        Self {
            records: FastMap::default(),
            retained: RetainedKeys::default(),
            gone: FastMap::default(),
            late: Vec::new(),
            revision: 0,
            log: ChangeLog::default(),
            heard_revision: 0,
            settle: SettleClock::default(),
            is_leased,
            order_of: |_, _| ValueOrder::Ordered(WriterOrder::default()),
            is_leaving: |_, _| false,
            reappeared: FastMap::default(),
        }
    }

    /// Sets how values of a key are ordered by what they say.
    #[must_use]
    pub fn with_order(self, order_of: OrderOf) -> Self {
        Self { order_of, ..self }
    }

    /// Sets which values say that their writer leaves.
    #[must_use]
    pub fn with_leaving(self, is_leaving: IsLeaving) -> Self {
        Self { is_leaving, ..self }
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

    /// The write of a key that is in force.
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.shown(key, self.records.get(key)?)
    }

    /// All keys that exist, with their values.
    pub fn known(&self) -> impl Iterator<Item = (&String, &VersionedValue)> {
        let records = self.records.iter();
        records.filter_map(|(key, record)| Some((key, self.shown(key, record)?)))
    }

    /// The value of a key that exists, or is retained.
    fn shown<'a>(&self, key: &str, record: &'a KeyRecord) -> Option<&'a VersionedValue> {
        let is_shown = record.is_present() || self.retained.contains(key);
        record.latest().filter(|_| is_shown)
    }

    /// Number of keys of which anything is remembered, those that are gone included.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    /// Records that a key was written and its value is to be fetched apart.
    pub fn expect_value(&mut self, key: &str) {
        if !self.records.contains_key(key) {
            self.records.insert(key.to_owned(), KeyRecord::default());
        }
    }

    /// The writes that were carried out late since the last call; they are not in force, and must not be
    /// passed on.
    pub fn take_late_writes(&mut self) -> Vec<LateWrite> {
        std::mem::take(&mut self.late)
    }

    /// The changes of what is retained since the last call.
    pub fn take_hold_changes(&mut self) -> Vec<HoldChange> {
        self.retained.take_changes()
    }

    /// Number of keys that are gone from the service and retained.
    pub fn retained(&self) -> usize {
        self.retained.len()
    }

    /// Records when the service answered this VM, or another one that tells of it. To be called before
    /// what came with the answer is applied.
    pub fn record_answers(&mut self, span: AnswerSpan) {
        self.settle.record_answers(span);
    }

    /// Records that a call of this VM to the service got no answer.
    pub fn record_failure(&mut self) {
        self.settle.record_failure();
    }

    /// The latest span in which the service is known to have answered, to tell other VMs.
    pub fn answers(&self) -> Option<AnswerSpan> {
        self.settle.answers()
    }

    /// How long the service was away last; `None` if it was not since the first answer that is known.
    pub fn outage(&self) -> Option<Duration> {
        self.settle.outage()
    }

    /// Holds back removals of leased keys until `settles_at` at least, as a VM of an earlier version does
    /// that this one follows.
    pub fn hold_removals(&mut self, settles_at: TimeStamp) {
        self.settle.hold_until(settles_at);
    }

    /// How much longer removals of leased keys are held back.
    pub fn settles_in(&self, now: TimeStamp) -> Duration {
        self.settle.settles_in(now)
    }

    /// Whether removals of leased keys are held back at `now`.
    pub fn is_settling(&self, now: TimeStamp) -> bool {
        self.settle.is_settling(now)
    }

    /// Applies changes up to `revision`, and returns what changed in the view.
    pub fn apply(
        &mut self,
        items: Vec<KeyspaceItem>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let mut told = items.clone();
        let late_before = self.late.len();
        let changes = self.observe_all(items, self.followed(), now);
        self.revision = self.revision.max(revision);
        let late = &self.late[late_before..];
        told.retain(|item| !late.iter().any(|write| write.is_of(item)));
        self.log.extend(&told, revision);
        changes
    }

    /// The origin of an item beside which all changes up to this view's revision are known.
    fn followed(&self) -> ItemOrigin {
        ItemOrigin {
            absent_at: self.revision,
            is_restored: false,
        }
    }

    /// Applies a value that was fetched apart from the changes around it.
    pub fn apply_fetched(&mut self, item: KeyspaceItem, now: TimeStamp) -> Option<ViewChange> {
        // Followers that lack the value don't find it among later changes.
        self.log.reset(self.revision);
        self.observe(item, ItemOrigin::LISTED, now)
    }

    /// Merges the whole key space as it was at `revision`; pages may be of later revisions.
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
        let mut changes = self.apply_list(items, revision, now);
        for key in self.unlisted_keys(&listed, now) {
            changes.extend(self.remove(key, revision, now));
        }
        changes
    }

    /// Applies what another VM knows up to `source.revision`: `listed` are all keys that exist
    /// there, and `items` are the entries that are newer than this VM's.
    ///
    /// If the service responds to that VM, keys that it does not list are removed, at once if it has
    /// responded for long enough to somebody; what that VM told of it must have been
    /// [recorded](KeyspaceView::record_answers). Otherwise this VM keeps its own revision and
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
            return self.observe_all(items, self.followed(), now);
        }
        let mut changes = self.apply_list(items, source.revision, now);
        for key in self.unlisted_keys(listed, now) {
            changes.extend(match source.tells_answers {
                true => self.remove(key, source.revision, now),
                false => self.drop_key(key, source.revision, now),
            });
        }
        changes
    }

    /// Applies the items of a list of all keys at `revision`.
    fn apply_list(
        &mut self,
        items: Vec<KeyspaceItem>,
        revision: u64,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let origin = match revision >= self.revision {
            true => ItemOrigin::LISTED,
            false => self.followed(),
        };
        let changes = self.observe_all(items, origin, now);
        self.advance(revision);
        changes
    }

    /// Whether the source knows changes that this view does not.
    pub fn has_newer(&self, source: RelaySource) -> bool {
        match source.is_settled {
            true => source.revision > self.revision,
            false => source.revision > self.heard_revision(),
        }
    }

    /// Known keys that are not in a list, but for those that may still be written again.
    fn unlisted_keys(&self, listed: &FastSet<String>, now: TimeStamp) -> Vec<String> {
        let keys = self.records.keys();
        let unlisted = keys.filter(|key| !listed.contains(*key) && !self.is_awaited(key, now));
        unlisted.cloned().collect()
    }

    /// Drops the retained keys that were not written again before the key space settled, and takes
    /// over those that a restored service still lists.
    pub fn expire(&mut self, now: TimeStamp) -> Vec<ViewChange> {
        if self.is_settling(now) || self.settle.is_restoring(now) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let due: Vec<String> = self.retained.keys().cloned().collect();
        for key in due {
            let revision = self.get(&key).map_or(0, |shown| shown.revision);
            changes.extend(self.drop_key(key, revision, now));
        }
        let reappeared = std::mem::take(&mut self.reappeared).into_values();
        changes.extend(reappeared.filter_map(|item| self.observe(item, ItemOrigin::LISTED, now)));
        self.forget_gone(now);
        changes
    }

    /// Forgets the keys that have been gone for [`REMOVED_TIME`].
    fn forget_gone(&mut self, now: TimeStamp) {
        let records = &mut self.records;
        self.gone.retain(|key, since| {
            let is_kept = now.since(*since) < REMOVED_TIME;
            if !is_kept {
                records.remove(key);
            }
            is_kept
        });
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
        self.settle.begin_restoration(now);
        self.reappeared.clear();
        let lost = self.known().map(|(key, _)| key);
        let lost: Vec<String> = lost.filter(|key| !listed.contains(*key)).cloned().collect();
        for key in lost {
            self.retained.begin(key, now);
        }
        let restored = items.into_iter();
        let changes = restored.filter_map(|item| self.restore_item(item, now));
        let changes = changes.collect();
        self.advance(revision);
        changes
    }

    /// Records that all changes up to `revision` are known, but not one by one.
    fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.log.reset(self.revision);
    }

    /// Applies one key that a restored service lists; one that was removed is held back.
    fn restore_item(&mut self, item: KeyspaceItem, now: TimeStamp) -> Option<ViewChange> {
        if self.gone.contains_key(&item.key) {
            self.reappeared.insert(item.key.clone(), item);
            return None;
        }
        let origin = ItemOrigin {
            absent_at: 0,
            is_restored: true,
        };
        self.observe(item, origin, now)
    }

    /// Whether a key that a restored service does not list may still be written again.
    fn is_awaited(&self, key: &str, now: TimeStamp) -> bool {
        self.settle.is_restoring(now) && self.retained.contains(key)
    }

    fn observe_all(
        &mut self,
        items: Vec<KeyspaceItem>,
        origin: ItemOrigin,
        now: TimeStamp,
    ) -> Vec<ViewChange> {
        let observed = items.into_iter();
        observed
            .filter_map(|item| self.observe(item, origin, now))
            .collect()
    }

    /// Merges one item into what is known of its key.
    fn observe(
        &mut self,
        item: KeyspaceItem,
        origin: ItemOrigin,
        now: TimeStamp,
    ) -> Option<ViewChange> {
        let KeyspaceItem {
            key,
            value,
            revision,
        } = item;
        let Some(value) = value else {
            return self.remove(key, revision, now);
        };
        let before = self.get(&key).map(|shown| Arc::clone(&shown.value));
        let order = (self.order_of)(&key, &value);
        let absent = || KeyRecord::absent_at(origin.absent_at);
        let record = self.records.entry(key.clone()).or_insert_with(absent);
        let outcome = record.merge_write(ObservedWrite {
            write: VersionedValue {
                value: value.into(),
                revision,
            },
            order,
            at: now,
            is_restored: origin.is_restored,
        });
        match outcome {
            MergeOutcome::Taken if record.is_present() => {
                self.retained.end(&key, HoldStep::Returned, now);
                self.reappeared.remove(&key);
            }
            MergeOutcome::Late => {
                let key = key.clone();
                self.late.push(LateWrite { key, revision });
            }
            MergeOutcome::Taken | MergeOutcome::Known => {}
        }
        self.finish_change(key, before.as_ref(), now)
    }

    /// Merges that a key did not exist at `revision`; one with a lease is retained while the key space
    /// settles.
    fn remove(&mut self, key: String, revision: u64, now: TimeStamp) -> Option<ViewChange> {
        let is_leaving = |shown: &VersionedValue| (self.is_leaving)(&key, &shown.value);
        let is_lost = self.get(&key).is_some_and(|shown| !is_leaving(shown));
        if is_lost && (self.is_leased)(&key) && self.is_settling(now) {
            let record = self.records.entry(key.clone()).or_default();
            record.merge_removal(revision);
            if !record.is_present() {
                self.reappeared.remove(&key);
                self.retained.begin(key, now);
            }
            return None;
        }
        self.drop_key(key, revision, now)
    }

    /// Merges that a key did not exist at `revision`, and retains it no longer unless it exists.
    fn drop_key(&mut self, key: String, revision: u64, now: TimeStamp) -> Option<ViewChange> {
        let record = self.records.entry(key.clone()).or_default();
        let before = record.latest().map(|latest| Arc::clone(&latest.value));
        let before = before.filter(|_| record.is_present() || self.retained.contains(&key));
        record.merge_removal(revision);
        if !record.is_present() {
            self.retained.end(&key, HoldStep::Dropped, now);
            self.reappeared.remove(&key);
        }
        self.finish_change(key, before.as_ref(), now)
    }

    /// The change of a key that had the value `before`, `None` if it has it still.
    fn finish_change(
        &mut self,
        key: String,
        before: Option<&Arc<[u8]>>,
        now: TimeStamp,
    ) -> Option<ViewChange> {
        let value = self.get(&key).map(|shown| Arc::clone(&shown.value));
        match &value {
            Some(_) => self.gone.remove(&key),
            None => Some(*self.gone.entry(key.clone()).or_insert(now)),
        };
        (value.as_ref() != before).then_some(ViewChange { key, value })
    }
}
