//! Keys that are gone from the service and still held, and what became of them.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// What became of a key that is gone from the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldStep {
    /// The key is retained from now on.
    Begun,
    /// The key was retained, and its holder has written it again.
    Returned,
    /// The key was retained, and is dropped.
    Dropped,
}

/// A change of what is retained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldChange {
    /// The key.
    pub key: String,
    /// What became of it.
    pub step: HoldStep,
    /// For how long it was retained.
    pub held: Duration,
}

/// The retained keys, each with the time since which it is retained.
#[derive(Clone, Debug, Default)]
pub(super) struct RetainedKeys {
    since: FastMap<String, TimeStamp>,
    changes: Vec<HoldChange>,
}

impl RetainedKeys {
    pub fn contains(&self, key: &str) -> bool {
        self.since.contains_key(key)
    }

    pub fn len(&self) -> usize {
        self.since.len()
    }

    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.since.keys()
    }

    /// Retains a key, unless it is retained already.
    pub fn begin(&mut self, key: String, now: TimeStamp) {
        if self.contains(&key) {
            return;
        }
        self.since.insert(key.clone(), now);
        self.changes.push(HoldChange {
            key,
            step: HoldStep::Begun,
            held: Duration::ZERO,
        });
    }

    /// Retains a key no longer.
    pub fn end(&mut self, key: &str, step: HoldStep, now: TimeStamp) {
        if let Some((key, since)) = self.since.remove_entry(key) {
            let held = now.since(since);
            self.changes.push(HoldChange { key, step, held });
        }
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<HoldChange> {
        std::mem::take(&mut self.changes)
    }
}
