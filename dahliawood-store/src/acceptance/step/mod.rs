//! Decides the next step of a write from one read of the store.

use super::decision;
use super::error;
use crate::content;
use crate::head;
use crate::status;
use dahliawood_model::stamp;
use std::time::Duration;

/// State of the store in one read.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    /// The head.
    pub head: head::HeadDocument,
    /// Version of the head.
    pub version: u64,
    /// The statuses of all VMs.
    pub statuses: Vec<status::VmStatus>,
    /// The VMs that must acknowledge.
    pub required: Vec<status::RequiredVm>,
}

/// The next step of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// The revision is accepted.
    Accepted(head::RevisionStamp),
    /// The same file is already in force.
    NoChange(head::RevisionStamp),
    /// Give up, after making sure that the write has no effect.
    Fail(error::ApplyError),
    /// Read the store again a little later.
    Wait,
    /// Write this head, if its version is still that of the snapshot.
    Propose(head::HeadDocument),
    /// Write this head, if its version is still that of the snapshot; this accepts the revision.
    Accept(head::HeadDocument, head::RevisionStamp),
}

/// A write in progress.
#[derive(Clone, Debug)]
pub struct ApplyRun {
    /// Identifies the write.
    pub write_id: head::WriteId,
    /// Hash of the file; `None` if no new proposal may be made and only an existing one be
    /// accepted.
    pub hash: Option<content::ContentHash>,
    /// The revision that must be in force.
    pub expect: Option<u64>,
    /// Time for which another operator's proposal must stay unchanged before it is replaced.
    pub takeover_after: Duration,
    /// The revision number last proposed, zero for none.
    pub revision: u64,
    /// The VMs that had not acknowledged at the last read.
    pub waiting: Vec<String>,
    known_highest: u64,
    timer: decision::ProposalTimer,
}

impl ApplyRun {
    /// A write that has not made any step.
    pub fn new(
        write_id: head::WriteId,
        hash: Option<content::ContentHash>,
        expect: Option<u64>,
        takeover_after: Duration,
    ) -> Self {
        Self {
            write_id,
            hash,
            expect,
            takeover_after,
            revision: 0,
            waiting: Vec::new(),
            known_highest: 0,
            timer: decision::ProposalTimer::default(),
        }
    }

    /// Decides the next step; `nonce` is added to the head if that is to be written.
    pub fn step(
        &mut self,
        snapshot: &StoreSnapshot,
        now: stamp::TimeStamp,
        nonce: head::WriteNonce,
    ) -> ApplyStep {
        // VMs may have the revision in force although a restored store lost it.
        if let Some(stamp) = decision::find_in_force(&self.write_id, &snapshot.statuses) {
            return ApplyStep::Accepted(stamp.clone());
        }
        match snapshot.head.find_write(&self.write_id) {
            head::WriteLookup::Accepted(stamp) => ApplyStep::Accepted(stamp),
            head::WriteLookup::Proposed(stamp) => self.advance_proposal(snapshot, &stamp, nonce),
            head::WriteLookup::Absent => self.start(snapshot, now, nonce),
        }
    }

    fn advance_proposal(
        &mut self,
        snapshot: &StoreSnapshot,
        stamp: &head::RevisionStamp,
        nonce: head::WriteNonce,
    ) -> ApplyStep {
        self.revision = stamp.revision;
        match decision::staging_status(stamp, &snapshot.required, &snapshot.statuses) {
            decision::StagingStatus::Complete => {
                ApplyStep::Accept(snapshot.head.with_accepted(stamp, nonce), stamp.clone())
            }
            decision::StagingStatus::Waiting(vms) => {
                self.waiting = vms;
                ApplyStep::Wait
            }
            decision::StagingStatus::Behind(highest) => {
                self.known_highest = self.known_highest.max(highest);
                self.propose(snapshot, stamp.hash.clone(), nonce)
            }
            decision::StagingStatus::Refused(refusals) => {
                ApplyStep::Fail(error::ApplyError::Refused { refusals })
            }
        }
    }

    fn start(
        &mut self,
        snapshot: &StoreSnapshot,
        now: stamp::TimeStamp,
        nonce: head::WriteNonce,
    ) -> ApplyStep {
        let current = decision::current_revision(&snapshot.head, &snapshot.statuses);
        let found = current.map_or(0, |stamp| stamp.revision);
        let Some(hash) = self.hash.clone() else {
            return ApplyStep::Fail(error::ApplyError::Superseded {
                revision: snapshot.head.highest(),
            });
        };
        if let Some(same) = current.filter(|stamp| stamp.hash == hash) {
            return ApplyStep::NoChange(same.clone());
        }
        if let Some(expected) = self.expect.filter(|expected| *expected != found) {
            return ApplyStep::Fail(error::ApplyError::RevisionMismatch { expected, found });
        }
        if self.must_wait_for_proposal(snapshot, now) {
            return ApplyStep::Wait;
        }
        self.propose(snapshot, hash, nonce)
    }

    fn must_wait_for_proposal(&mut self, snapshot: &StoreSnapshot, now: stamp::TimeStamp) -> bool {
        let Some(other) = &snapshot.head.proposal else {
            return false;
        };
        !self.timer.is_abandoned(other, self.takeover_after, now)
    }

    fn propose(
        &mut self,
        snapshot: &StoreSnapshot,
        hash: content::ContentHash,
        nonce: head::WriteNonce,
    ) -> ApplyStep {
        let revision =
            decision::next_revision(&snapshot.head, &snapshot.statuses, self.known_highest);
        self.revision = revision;
        let stamp = head::RevisionStamp {
            revision,
            write_id: self.write_id.clone(),
            hash,
        };
        ApplyStep::Propose(snapshot.head.with_proposal(Some(stamp), nonce))
    }

    /// The error when the time limit for acceptance has passed.
    pub fn timeout_error(
        &self,
        store_error: Option<String>,
        snapshot: &StoreSnapshot,
    ) -> error::ApplyError {
        if let Some(reason) = store_error {
            return error::ApplyError::StoreUnreachable { reason };
        }
        match snapshot.head.find_write(&self.write_id) {
            head::WriteLookup::Proposed(_) => error::UnacknowledgedSnafu {
                vms: self.waiting.clone(),
            }
            .build(),
            _ => error::SupersededSnafu {
                revision: snapshot.head.highest(),
            }
            .build(),
        }
    }
}
