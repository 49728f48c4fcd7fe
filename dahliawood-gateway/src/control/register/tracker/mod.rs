//! What a VM does to stay registered: decides only, [`crate::control::register`] makes the calls.
//!
//! This handles writes whose answers are lost, and which the store carries out seconds later, beside
//! restarts of this VM. Such a write must not bind the entry to a lease that nobody renews, nor put
//! the entry of an earlier process in the place of this one's. Therefore all writes of a process name
//! one lease until the store says that it has ended, each write has the condition that the entry is
//! as this VM knows it, and an entry that is no longer as this process wrote it is written again.

use crate::control::vms::VmRecord;
use dahliawood_store::keyspace::call::{StoredEntry, WriteCall};
use dahliawood_store::keyspace::record::VersionedValue;

/// A VM's registration as its process knows it.
#[derive(Clone, Debug)]
pub struct RegistrationTracker {
    key: String,
    value: Vec<u8>,
    born_millis: u64,
    lease: Option<u64>,
    /// Revision of this process's entry, `None` if it must be written.
    written: Option<u64>,
    /// Revision that the entry must have to be written; zero if it must not exist.
    expected: u64,
}

/// The next call of a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationStep {
    /// Gets a lease.
    Grant,
    /// Writes the entry.
    Write(WriteCall),
    /// Renews the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
}

/// What this VM's copy of the key space has for its entry.
#[derive(Clone, Copy, Debug)]
pub struct ListedEntry<'a> {
    /// The last write of the entry, `None` if it does not exist.
    pub entry: Option<&'a VersionedValue>,
    /// The revision up to which the copy knows all changes.
    pub revision: u64,
}

impl ListedEntry<'_> {
    /// Whether the entry is not any more as it was written at the revision `written`.
    fn is_lost(&self, written: u64) -> bool {
        match self.entry {
            Some(entry) if entry.revision == written => false,
            // It is older where the copy does not know that write yet.
            Some(entry) => entry.revision > written || self.revision >= written,
            None => self.revision >= written,
        }
    }
}

impl RegistrationTracker {
    /// The registration of a process that has not written its entry yet.
    ///
    /// # Errors
    /// Fails if the record cannot be encoded.
    pub fn new(record: &VmRecord) -> Result<Self, serde_json::Error> {
        Ok(Self {
            key: record.key(),
            value: serde_json::to_vec(record)?,
            born_millis: record.born_millis,
            lease: None,
            written: None,
            expected: 0,
        })
    }

    /// Key of the entry.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The lease under which the entry is written, or may yet be.
    pub fn lease(&self) -> Option<u64> {
        self.lease
    }

    /// Decides on the next call; `listed` is the entry in this VM's copy of the key space.
    pub fn plan(&mut self, listed: ListedEntry<'_>) -> RegistrationStep {
        let Some(lease) = self.lease else {
            return RegistrationStep::Grant;
        };
        if let Some(written) = self.written {
            if !listed.is_lost(written) {
                return RegistrationStep::Renew { lease };
            }
            self.written = None;
            self.expected = listed.entry.map_or(0, |entry| {
                self.replaceable_revision(&entry.value, entry.revision)
            });
            log::warn!(
                "the entry at '{}' is not as this process wrote it, writing it again",
                self.key
            );
        }
        RegistrationStep::Write(WriteCall {
            key: self.key.clone(),
            value: self.value.clone(),
            lease: Some(lease),
            expected: self.expected,
        })
    }

    /// The revision that a write must expect to replace an entry. The entry of a process that was
    /// started later is not replaced: the write waits until it is gone.
    fn replaceable_revision(&self, value: &[u8], revision: u64) -> u64 {
        let found: Option<VmRecord> = serde_json::from_slice(value).ok();
        match found.is_some_and(|found| found.born_millis > self.born_millis) {
            true => 0,
            false => revision,
        }
    }

    /// Records a granted lease.
    pub fn record_lease(&mut self, lease: u64) {
        self.lease = Some(lease);
        self.written = None;
    }

    /// Records that the entry was written.
    pub fn record_written(&mut self, revision: u64) {
        self.written = Some(revision);
    }

    /// Records that the entry is not as expected. It may be this process's own, by a write whose
    /// answer was lost.
    pub fn record_conflict(&mut self, current: Option<&StoredEntry>) {
        let Some(current) = current else {
            self.expected = 0;
            return;
        };
        if current.value == self.value && current.lease == self.lease {
            self.written = Some(current.revision);
            return;
        }
        self.expected = match current.lease {
            // Nothing else would ever remove it.
            None => current.revision,
            Some(_) => self.replaceable_revision(&current.value, current.revision),
        };
    }

    /// Records that the lease has ended, or that the store may have lost the entry and the lease.
    pub fn forget_lease(&mut self) {
        self.lease = None;
        self.written = None;
    }
}
