//! A file is accepted by all live VMs or by none.
//!
//! [`apply`] writes the file under its hash, proposes it in the head, waits until each required VM
//! says that it holds and understands it, and accepts it by compare-and-swap of the head. All
//! state is in the store, so [`resume`] finishes another process's write and [`resolve`] settles one
//! whose outcome is unknown. [`judge`] holds the decisions, [`drive`] the calls.
//!
//! Shortcomings: a write that more than [`crate::head::RECENT_LIMIT`] later ones have followed
//! cannot be told from one that never was. Files of old revisions are not removed from the store.

pub mod drive;
pub mod error;
pub mod judge;
pub mod step;

pub use self::drive::{apply, resolve, resume};

use crate::clock;
use crate::head;
use crate::protocol;
use crate::status;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Picks from the live list the VMs without which nothing is accepted.
pub type RequiredVms = Arc<dyn Fn(&protocol::LiveList) -> Vec<status::RequiredVm> + Send + Sync>;

/// Told once a revision is known to be accepted.
pub type AcceptedHook = Arc<dyn Fn(&head::RevisionStamp) + Send + Sync>;

/// How acceptance is gone about.
#[derive(Clone)]
pub struct AcceptOptions {
    /// The VMs without which nothing is accepted.
    pub required: RequiredVms,
    /// Told as soon as the revision is accepted, before it is followed.
    pub on_accepted: AcceptedHook,
    /// The clock and the sleep.
    pub time: clock::TimeSource,
    /// How long to go on until the file is accepted or given up.
    pub accept_within: Duration,
    /// How long to go on after that until it is known that a write will not take effect.
    pub settle_within: Duration,
    /// How long to wait until an accepted file is in force on all required VMs.
    pub follow_within: Duration,
    /// How long another operator's proposal must stay unchanged before it is replaced.
    pub takeover_after: Duration,
    /// The shortest time between two looks at the store.
    pub poll: Duration,
}

impl AcceptOptions {
    /// All live VMs must confirm within ten seconds.
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
    /// The revision that must be in force, zero for none; `None` overwrites any.
    pub expect: Option<u64>,
    /// Names this write.
    pub write_id: head::WriteId,
    /// How acceptance is gone about.
    pub accept: AcceptOptions,
}

/// Where a revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForceReport {
    /// Names of the required VMs that have it in force.
    pub in_force: Vec<String>,
    /// Names of those that have not said so.
    pub missing: Vec<String>,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is accepted and never reverts.
    Applied {
        /// Its number.
        revision: u64,
        /// Where it is in force.
        report: ForceReport,
    },
    /// The same file is in force already.
    NoChange {
        /// Its number.
        revision: u64,
        /// Where it is in force.
        report: ForceReport,
    },
    /// It is not accepted and never will be by this write.
    NotApplied {
        /// Why.
        why: error::ApplyError,
    },
    /// It may or may not be accepted: [`resolve`] later.
    Unknown {
        /// The write to ask about.
        write_id: head::WriteId,
    },
}
