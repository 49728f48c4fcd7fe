//! Revisions of a service that may return to an older state.
//!
//! After such a restoration the service gives out revisions again that it had given out before. It
//! also gives out a higher epoch with each response. Adapters put the epoch above the revision, so
//! that all that compares revisions compares epoch and revision: the key space, change logs, and
//! copies between VMs.

/// Bits of a revision below its epoch.
const REVISION_BITS: u32 = 40;

/// A revision that orders by its epoch first.
pub fn stamped(epoch: u64, revision: u64) -> u64 {
    (epoch << REVISION_BITS) | revision_of(revision)
}

/// The epoch of a stamped revision; zero for a service without epochs.
pub fn epoch_of(stamped: u64) -> u64 {
    stamped >> REVISION_BITS
}

/// The service's own revision of a stamped one.
pub fn revision_of(stamped: u64) -> u64 {
    stamped & ((1 << REVISION_BITS) - 1)
}
