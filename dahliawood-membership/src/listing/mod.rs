//! Entries of the platform's live list, and what the last reading said about each VM.

use crate::identity::VmProfile;
use dahliawood_model::stamp;
use std::sync::Arc;

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedVm {
    /// Name, addresses and location of the VM.
    pub profile: Arc<VmProfile>,
    /// The incarnation that the platform knows, if any.
    pub incarnation: Option<u64>,
    /// Whether the platform will stop the VM.
    pub leaving: bool,
}

/// What the last reading of the list said about one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ListingStatus {
    /// Whether the last reading contained the VM.
    pub(crate) is_listed: bool,
    /// Whether the platform will stop the VM.
    pub(crate) leaving: bool,
    /// Time of the first reading without the VM; `None` if the VM is listed or no list was read.
    pub(crate) absent_since: Option<stamp::TimeStamp>,
}

impl ListingStatus {
    /// Records that a reading contains the VM.
    pub(crate) fn mark_present(&mut self, leaving: bool) {
        self.is_listed = true;
        self.leaving = leaving;
        self.absent_since = None;
    }

    /// Records that a reading does not contain the VM.
    pub(crate) fn mark_absent(&mut self, read_at: stamp::TimeStamp) {
        self.is_listed = false;
        self.absent_since.get_or_insert(read_at);
    }
}
