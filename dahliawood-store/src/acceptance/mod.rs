//! Applies a configuration file so that either all live VMs accept it or none does.
//!
//! [`apply`] writes the file under its hash, proposes it in the head, waits until each required VM
//! has acknowledged that it holds the file and that the file passed the VM's validation, and
//! accepts the revision by a compare-and-swap of the head. All state is in the store, so [`resume`]
//! can finish a write of another process, and [`resolve`] determines the outcome of a write for
//! which it is unknown. [`decision`] and [`step`] make the decisions without I/O, [`driver`] makes
//! the calls.
//!
//! Limitations: a write that was followed by more than [`crate::head::RECENT_LIMIT`] later ones
//! cannot be told from one that never happened. Files of old revisions are not removed from the
//! store.

pub mod decision;
pub mod driver;
pub mod error;
pub mod step;

pub use self::driver::{apply, resolve, resume};

use crate::clock;
use crate::head;
use crate::protocol;
use crate::status;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Selects from the live list the VMs that must acknowledge a revision before it is accepted.
pub type RequiredVms = Arc<dyn Fn(&protocol::LiveList) -> Vec<status::RequiredVm> + Send + Sync>;

/// Called once a revision is known to be accepted.
pub type AcceptedHook = Arc<dyn Fn(&head::RevisionStamp) + Send + Sync>;

/// Options for getting a revision accepted.
#[derive(Clone)]
pub struct AcceptOptions {
    /// Selects the VMs that must acknowledge the revision.
    pub required: RequiredVms,
    /// Called as soon as the revision is accepted, before waiting for it to be in force.
    pub on_accepted: AcceptedHook,
    /// Clock, sleep and jitter.
    pub time: clock::TimeSource,
    /// Time limit for the file to be accepted; afterwards the write is given up.
    pub accept_within: Duration,
    /// Time limit, after that, for making sure that a write that was given up will not take effect.
    pub settle_within: Duration,
    /// Time limit for an accepted file to be in force on all required VMs.
    pub follow_within: Duration,
    /// Time for which another operator's proposal must stay unchanged before this write replaces
    /// it.
    pub takeover_after: Duration,
    /// Shortest interval between two reads of the store.
    pub poll: Duration,
}

impl AcceptOptions {
    /// Options by which all live VMs must acknowledge a revision within ten seconds.
    pub fn new(time: clock::TimeSource) -> Self {
        Self {
            required: Arc::new(status::all_live),
            on_accepted: Arc::new(|_stamp| ()),
            time,
            accept_within: Duration::from_secs(10),
            settle_within: Duration::from_secs(10),
            follow_within: Duration::from_secs(10),
            takeover_after: Duration::from_secs(3),
            poll: Duration::from_millis(50),
        }
    }
}

impl fmt::Debug for AcceptOptions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("AcceptOptions")
            .field("accept_within", &self.accept_within)
            .field("follow_within", &self.follow_within)
            .finish_non_exhaustive()
    }
}

/// A file to apply.
#[derive(Clone, Debug)]
pub struct ApplyOptions {
    /// The file.
    pub file_text: String,
    /// The revision that must be in force, zero for none; `None` replaces any revision.
    pub expect: Option<u64>,
    /// Identifies this write.
    pub write_id: head::WriteId,
    /// Options for getting the file accepted.
    pub accept: AcceptOptions,
}

/// On which VMs a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutReport {
    /// Names of the required VMs that have it in force.
    pub in_force: Vec<String>,
    /// Names of the required VMs that have not reported it in force.
    pub missing: Vec<String>,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The write is accepted and never reverts.
    Applied {
        /// Its revision number.
        revision: u64,
        /// On which VMs it is in force.
        report: RolloutReport,
    },
    /// The same file is already in force.
    NoChange {
        /// Its revision number.
        revision: u64,
        /// On which VMs it is in force.
        report: RolloutReport,
    },
    /// The file is not accepted and never will be by this write.
    NotApplied {
        /// The reason.
        why: error::ApplyError,
    },
    /// The write may or may not be accepted: call [`resolve`] later.
    Unknown {
        /// The write to resolve.
        write_id: head::WriteId,
    },
}
