//! The platform's live list as evidence.

use crate::identity::VmProfile;
use dahliawood_model::stamp;
use std::sync::Arc;

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedVm {
    /// Who and where it is.
    pub profile: Arc<VmProfile>,
    /// Which life the platform knows, where it knows any.
    pub incarnation: Option<u64>,
    /// Whether the platform will stop it.
    pub leaving: bool,
}

/// What the last reading of the list said of one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ListStanding {
    /// Whether any reading ever held it.
    pub(crate) is_listed: bool,
    /// Whether the platform will stop it.
    pub(crate) leaving: bool,
    /// Since which reading it is absent; `None` where it is present or no list was read.
    pub(crate) absent_since: Option<stamp::TimeStamp>,
}

impl ListStanding {
    /// Takes in that a reading holds the VM.
    pub(crate) fn present(&mut self, leaving: bool) {
        self.is_listed = true;
        self.leaving = leaving;
        self.absent_since = None;
    }

    /// Takes in that a reading does not hold the VM.
    pub(crate) fn absent(&mut self, read_at: stamp::TimeStamp) {
        self.is_listed = false;
        self.absent_since.get_or_insert(read_at);
    }
}
