//! What each VM says of the revisions that it holds.
//!
//! A VM writes its line under its own key and a VM that reaches the store writes those of its
//! peers that do not, so a line is compared with its `serial` before it replaces another.

use crate::head::{RevisionStamp, WriteId};
use crate::protocol::{KeyList, LiveList, LiveState};
use serde::{Deserialize, Serialize};

/// Prefix of the keys of all [`StatusLine`]s; the VM's name follows.
pub const STATUS_PREFIX: &str = "dahliawood/status/";

/// How many earlier revisions a line names, so that a write that a restored store forgot is known.
pub const PAST_LIMIT: usize = 4;

/// Why a VM does not hold a proposed revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// It knows of a revision at least as high.
    #[display("it knows of revision {highest} already")]
    Behind {
        /// The highest number that it knows of.
        highest: u64,
    },
    /// It does not understand the file.
    #[display("{reason}")]
    Check {
        /// What its check said.
        reason: String,
    },
}

/// A proposed revision that a VM does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRefusal {
    /// The revision.
    pub stamp: RevisionStamp,
    /// Why.
    pub cause: RefusalCause,
}

/// The revisions that one VM holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusLine {
    /// Name of the VM.
    pub vm: String,
    /// Which start of its process this is.
    pub incarnation: u64,
    /// Grows with each change of this line.
    pub serial: u64,
    /// The revision in force.
    pub in_force: Option<RevisionStamp>,
    /// Revisions that were in force before, newest first, at most [`PAST_LIMIT`].
    #[serde(default)]
    pub past: Vec<RevisionStamp>,
    /// The last proposed revision that it holds whole and understands.
    pub staged: Option<RevisionStamp>,
    /// The last proposed revision that it refused.
    pub refused: Option<RevisionRefusal>,
    /// The highest number that it knows of.
    pub highest: u64,
}

impl StatusLine {
    /// The key of a VM's line.
    pub fn key(vm: &str) -> String {
        format!("{STATUS_PREFIX}{vm}")
    }

    /// Whether this line was written after `other` of the same VM.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }

    /// Whether the VM holds `stamp` whole and understands it.
    pub fn acknowledges(&self, stamp: &RevisionStamp) -> bool {
        self.staged.as_ref() == Some(stamp) || self.in_force.as_ref() == Some(stamp)
    }

    /// Whether the VM has `stamp` or something higher in force.
    pub fn has_in_force(&self, stamp: &RevisionStamp) -> bool {
        self.in_force.as_ref().is_some_and(|own| own >= stamp)
    }

    /// Why the VM refused a write, if it did.
    pub fn refusal_of(&self, write_id: &WriteId) -> Option<&RevisionRefusal> {
        self.refused
            .as_ref()
            .filter(|refusal| refusal.stamp.write_id == *write_id)
    }
}

/// Reads all lines of a list; one that cannot be read counts as absent.
pub fn parse(list: &KeyList) -> Vec<StatusLine> {
    list.entries
        .iter()
        .flat_map(|entry| &entry.value)
        .filter_map(|value| serde_json::from_str(value).ok())
        .collect()
}

/// A VM that must hold a revision before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequiredVm {
    /// Its name.
    pub name: String,
    /// The start of its process at least, where it is known.
    pub incarnation: Option<u64>,
}

impl RequiredVm {
    /// The line of this VM, unless it is of an earlier start of its process.
    pub fn line<'a>(&self, lines: &'a [StatusLine]) -> Option<&'a StatusLine> {
        lines
            .iter()
            .find(|line| line.vm == self.name)
            .filter(|line| self.incarnation.is_none_or(|own| line.incarnation >= own))
    }
}

/// The VMs of a live list that are not leaving.
pub fn all_live(list: &LiveList) -> Vec<RequiredVm> {
    list.vms
        .iter()
        .filter(|vm| vm.state == LiveState::Live)
        .map(|vm| RequiredVm {
            name: vm.name.clone(),
            incarnation: vm.incarnation,
        })
        .collect()
}
