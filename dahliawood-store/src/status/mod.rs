//! The status in which each VM reports the revisions that it holds.
//!
//! A VM writes its status under its own key. A VM that reaches the store also writes the statuses
//! of peers that do not. Before a status replaces another one, their incarnations and serial
//! numbers are compared, so that an older one never replaces a newer one.

use crate::head;
use crate::protocol;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of all [`VmStatus`]es; the VM's name follows.
pub const STATUS_PREFIX: &str = "dahliawood/status/";

/// Number of earlier revisions that a status lists, so that a write that a restored store lost can
/// still be recognized as accepted.
pub const PAST_LIMIT: usize = 4;

/// Why a VM refused a proposed revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The VM knows of the same or a higher revision number.
    #[display("it knows of revision {highest} already")]
    Behind {
        /// The highest revision number that the VM knows.
        highest: u64,
    },
    /// The VM's check rejected the file.
    #[display("{reason}")]
    Check {
        /// The error of the check.
        reason: String,
    },
}

/// A proposed revision that a VM refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRefusal {
    /// The revision.
    pub stamp: head::RevisionStamp,
    /// The reason.
    pub cause: RefusalCause,
}

/// The revisions that one VM holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation: identifies the start of the VM's process; higher for each start.
    pub incarnation: u64,
    /// Number that increases with each change of this status.
    pub serial: u64,
    /// The revision in force.
    pub in_force: Option<head::RevisionStamp>,
    /// Revisions that were in force before the current one, newest first, at most [`PAST_LIMIT`].
    #[serde(default)]
    pub past: Vec<head::RevisionStamp>,
    /// The last proposed revision whose whole file the VM holds and has checked.
    pub staged: Option<head::RevisionStamp>,
    /// The last proposed revision that the VM refused.
    pub refused: Option<RevisionRefusal>,
    /// The highest revision number that the VM knows.
    pub highest: u64,
}

impl VmStatus {
    /// The key of a VM's status.
    pub fn key(vm: &str) -> String {
        format!("{STATUS_PREFIX}{vm}")
    }

    /// Whether this status is newer than `other` of the same VM.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.serial) > (other.incarnation, other.serial)
    }

    /// Whether the VM holds the whole file of `stamp` and its check passed.
    pub fn acknowledges(&self, stamp: &head::RevisionStamp) -> bool {
        self.staged.as_ref() == Some(stamp) || self.in_force.as_ref() == Some(stamp)
    }

    /// Whether the VM has `stamp` or a higher revision in force.
    pub fn has_in_force(&self, stamp: &head::RevisionStamp) -> bool {
        self.in_force.as_ref().is_some_and(|own| own >= stamp)
    }

    /// The VM's refusal of a write, if it refused it.
    pub fn refusal_of(&self, write_id: &head::WriteId) -> Option<&RevisionRefusal> {
        self.refused
            .as_ref()
            .filter(|refusal| refusal.stamp.write_id == *write_id)
    }
}

/// Parses all statuses of a list; one that cannot be parsed counts as absent.
pub fn parse(list: &protocol::KeyList) -> Vec<VmStatus> {
    list.entries
        .iter()
        .flat_map(|entry| &entry.value)
        .filter_map(|value| serde_json::from_str(value).ok())
        .collect()
}

/// A VM that must acknowledge a revision before it is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequiredVm {
    /// Name of the VM.
    pub name: String,
    /// The lowest incarnation of the VM whose status counts, if known.
    pub incarnation: Option<u64>,
}

impl RequiredVm {
    /// The status of this VM, unless an earlier incarnation wrote it.
    pub fn status<'a>(&self, statuses: &'a [VmStatus]) -> Option<&'a VmStatus> {
        statuses
            .iter()
            .find(|status| status.vm == self.name)
            .filter(|status| self.incarnation.is_none_or(|own| status.incarnation >= own))
    }
}

/// The VMs of a live list that are not leaving.
pub fn all_live(list: &protocol::LiveList) -> Vec<RequiredVm> {
    list.vms
        .iter()
        .filter(|vm| vm.state == protocol::LiveState::Live)
        .map(|vm| RequiredVm {
            name: vm.name.clone(),
            incarnation: vm.incarnation,
        })
        .collect()
}
