//! What a view tells other VMs: the changes since a revision, or a whole copy.
//!
//! The receiver follows from the revision that it is told, so it never learns what is missing up to there.
//! Whatever is told therefore comes from the view alone, which knows what is missing: a copy that claims
//! all changes up to a revision lists what exists there, and nothing of which the view knows that it is
//! gone and still retains it.

use super::KeyspaceView;
use crate::keyspace::call::KeyspaceItem;
use crate::keyspace::record::VersionedValue;
use dahliawood_model::stamp::TimeStamp;

/// The changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldChanges {
    /// The changes, in their order.
    pub items: Vec<KeyspaceItem>,
    /// The revision up to which they are all.
    pub revision: u64,
}

/// A whole copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldCopy<'a> {
    /// If the copy is settled, the revision up to which all changes are in it; otherwise that up to which
    /// all writes are, but not all removals.
    pub revision: u64,
    /// Whether what is not listed is gone.
    pub is_settled: bool,
    /// The keys with the writes in force.
    pub entries: Vec<(&'a str, &'a VersionedValue)>,
}

impl KeyspaceView {
    /// The changes after a revision, `None` if some of them are no longer kept.
    pub fn changes_since(&self, after: u64) -> Option<ToldChanges> {
        let items = self.log.since(after)?;
        Some(ToldChanges {
            items,
            revision: self.log.revision().max(after),
        })
    }

    /// A whole copy, settled if the view `is_current` and holds no removals back.
    pub fn copy(&self, is_current: bool, now: TimeStamp) -> ToldCopy<'_> {
        let is_settled = is_current && !self.is_settling(now);
        // A VM without the service may need what is retained; it learns of the removals later.
        let entries = self
            .known()
            .filter(|(key, _)| !(is_settled && self.retained.contains(key)));
        ToldCopy {
            revision: match is_settled {
                true => self.revision,
                false => self.heard_revision(),
            },
            is_settled,
            entries: entries.map(|(key, known)| (key.as_str(), known)).collect(),
        }
    }
}
