//! Merges what was observed of one key: the one place that decides what is newer, whatever way an
//! observation came.
//!
//! Two orders exist. Revisions order what the service carried out, and what values say of themselves
//! orders what their writers said. A write whose response was lost may be carried out seconds later, so
//! they can differ:
//!
//! - which value is the newest is decided by what values say; the revision decides between values that
//!   say the same or nothing;
//! - whether the key exists is decided by revisions alone: that of the newest value against that of the
//!   latest removal.
//!
//! A value that cannot be read says nothing of its age. The latest such write stands beside the newest
//! value, and the later of the two is in force. So the state depends on the set of observations and not
//! on their order or repetition, but for writers whose clock stepped back (see [`LATE_WRITE_TIME`]).

use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a later write of an earlier process is not one that was carried out late: the clock of
/// its writer has stepped back.
pub const LATE_WRITE_TIME: Duration = Duration::from_secs(60);

/// What a value says of its age: values of a later process are newer, and of the same process those with
/// a higher sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriterOrder {
    /// The process that wrote the value, by the time of its start; zero for keys of one writer.
    pub process: u64,
    /// Rises with each value that the process writes.
    pub sequence: u64,
}

/// How old a value is by what it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrder {
    /// Values of the key are ordered by this; all equal where they say nothing of their age.
    Ordered(WriterOrder),
    /// The value cannot be read.
    Unreadable,
}

/// Determines the order of a key's value.
pub type OrderOf = fn(key: &str, value: &[u8]) -> ValueOrder;

/// The value of a key, with the revision of its write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The value.
    pub value: Arc<[u8]>,
    /// Revision of the write.
    pub revision: u64,
}

/// A write as it was observed.
#[derive(Clone, Debug)]
pub struct ObservedWrite {
    /// The value and its revision.
    pub write: VersionedValue,
    /// How old the value is by what it says.
    pub order: ValueOrder,
    /// When this VM learned of it.
    pub at: TimeStamp,
    /// Whether a service that returned to an older state lists it.
    pub is_restored: bool,
}

/// What a write led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The write is the newest of its kind.
    Taken,
    /// A write that is as new or newer was known, by both orders.
    Known,
    /// The service carried out the write after one of which the writer said later.
    Late,
}

/// The newest value by what values say.
#[derive(Clone, Debug)]
struct NewestWrite {
    write: VersionedValue,
    order: WriterOrder,
    /// When this VM learned of this order.
    at: TimeStamp,
}

/// All that is known of one key.
#[derive(Clone, Debug, Default)]
pub struct KeyRecord {
    newest: Option<NewestWrite>,
    unreadable: Option<VersionedValue>,
    /// The key did not exist at this revision.
    removed: u64,
}

impl KeyRecord {
    /// A key that did not exist at `revision`.
    pub fn absent_at(revision: u64) -> Self {
        Self {
            removed: revision,
            ..Self::default()
        }
    }

    /// Adds a write.
    pub fn merge_write(&mut self, observed: ObservedWrite) -> MergeOutcome {
        let order = match observed.order {
            ValueOrder::Ordered(order) => order,
            ValueOrder::Unreadable => return self.merge_unreadable(observed.write),
        };
        let revision = observed.write.revision;
        if let Some(newest) = &self.newest {
            let place = (newest.order, newest.write.revision);
            if (order, revision) <= place && !newest.is_replaced_by(&observed, order) {
                return match revision > newest.write.revision {
                    true => MergeOutcome::Late,
                    false => MergeOutcome::Known,
                };
            }
        }
        let same = self.newest.as_ref().filter(|newest| newest.order == order);
        let at = same.map_or(observed.at, |newest| newest.at);
        let write = observed.write;
        self.newest = Some(NewestWrite { write, order, at });
        MergeOutcome::Taken
    }

    fn merge_unreadable(&mut self, write: VersionedValue) -> MergeOutcome {
        let known = self.unreadable.as_ref().map_or(0, |known| known.revision);
        if write.revision <= known {
            return MergeOutcome::Known;
        }
        self.unreadable = Some(write);
        MergeOutcome::Taken
    }

    /// Adds that the key did not exist at `revision`.
    pub fn merge_removal(&mut self, revision: u64) {
        self.removed = self.removed.max(revision);
    }

    /// The value in force, whether or not the key was removed since.
    pub fn latest(&self) -> Option<&VersionedValue> {
        let newest = self.newest.as_ref().map(|newest| &newest.write);
        let writes = newest.into_iter().chain(&self.unreadable);
        writes.max_by_key(|write| write.revision)
    }

    /// Whether the key exists.
    pub fn is_present(&self) -> bool {
        let latest = self.latest();
        latest.is_some_and(|write| write.revision > self.removed)
    }
}

impl NewestWrite {
    /// Whether a later write with a lower order is of a process whose clock has stepped back.
    fn is_replaced_by(&self, observed: &ObservedWrite, order: WriterOrder) -> bool {
        order.process < self.order.process
            && observed.write.revision > self.write.revision
            && !observed.is_restored
            && observed.at.since(self.at) > LATE_WRITE_TIME
    }
}
