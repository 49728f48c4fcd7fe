//! Log of the latest changes of a key space, from which a VM answers other VMs that follow it.
//!
//! The log repeats what the store said and lasts no longer than its process. It is bounded; a VM
//! that is too far behind reads a whole copy instead.

use crate::keyspace::call::KeyspaceItem;
use std::collections::VecDeque;

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 4_096;

/// The changes of a key space since a revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// All changes after this revision are kept.
    base: u64,
    /// The revision up to which all changes are known.
    revision: u64,
    changes: VecDeque<KeyspaceItem>,
}

impl ChangeLog {
    /// Starts again at `revision`, as after reading the whole key space.
    pub fn reset(&mut self, revision: u64) {
        self.base = revision;
        self.revision = revision;
        self.changes.clear();
    }

    /// Adds the changes that lead to `revision`, in their order.
    pub fn extend(&mut self, items: &[KeyspaceItem], revision: u64) {
        let newer = items.iter().filter(|item| item.revision > self.revision);
        self.changes.extend(newer.cloned());
        self.revision = self.revision.max(revision);
        let excess = self.changes.len().saturating_sub(MAX_CHANGES);
        for dropped in self.changes.drain(..excess) {
            self.base = self.base.max(dropped.revision);
        }
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The changes after a revision, `None` if some of them are no longer kept.
    pub fn since(&self, after: u64) -> Option<Vec<KeyspaceItem>> {
        if after < self.base {
            return None;
        }
        let newer = self.changes.iter().filter(|item| item.revision > after);
        Some(newer.cloned().collect())
    }
}
