//! The next step of a write, decided from one look at the store.

use super::error::{self, ApplyError};
use super::judge::{self, ProposalTimer, StageVerdict};
use crate::content::ContentHash;
use crate::head::{HeadDocument, RevisionStamp, WriteId, WriteMark, WriteTrace};
use crate::status::{RequiredVm, StatusLine};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// What one look at the store showed.
#[derive(Clone, Debug, Default)]
pub struct StoreLook {
    /// The head.
    pub head: HeadDocument,
    /// Version of the head.
    pub version: u64,
    /// The lines of all VMs.
    pub lines: Vec<StatusLine>,
    /// The VMs that must confirm.
    pub required: Vec<RequiredVm>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// The file is accepted.
    Accepted(RevisionStamp),
    /// The same file is in force already.
    NoChange(RevisionStamp),
    /// Give up, after proving that the write has no effect.
    Fail(ApplyError),
    /// Look again a little later.
    Wait,
    /// Write this head, expecting the version of the look.
    Propose(HeadDocument),
    /// Write this head, expecting the version of the look; that accepts the revision.
    Accept(HeadDocument, RevisionStamp),
}

/// A write under way.
#[derive(Clone, Debug)]
pub struct ApplyRun {
    /// Names the write.
    pub write_id: WriteId,
    /// Hash of the file; `None` where only a proposal that is already there may be accepted.
    pub hash: Option<ContentHash>,
    /// The revision that must be in force.
    pub expect: Option<u64>,
    /// How long another operator's proposal must stay unchanged before it is replaced.
    pub takeover_after: Duration,
    /// The number last proposed, zero for none.
    pub revision: u64,
    /// The VMs that were waited for at the last look.
    pub waiting: Vec<String>,
    above: u64,
    timer: ProposalTimer,
}

impl ApplyRun {
    /// A write that has done nothing yet.
    pub fn new(
        write_id: WriteId,
        hash: Option<ContentHash>,
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
            above: 0,
            timer: ProposalTimer::default(),
        }
    }

    /// Decides the next step; `mark` is left in the head where that is to be written.
    pub fn step(&mut self, look: &StoreLook, now: TimeStamp, mark: WriteMark) -> ApplyStep {
        // A restored store may have lost what VMs already have in force.
        if let Some(stamp) = judge::in_force_by(&self.write_id, &look.lines) {
            return ApplyStep::Accepted(stamp.clone());
        }
        match look.head.trace(&self.write_id) {
            WriteTrace::Accepted(stamp) => ApplyStep::Accepted(stamp),
            WriteTrace::Proposed(stamp) => self.stage(look, &stamp, mark),
            WriteTrace::Absent => self.start(look, now, mark),
        }
    }

    fn stage(&mut self, look: &StoreLook, stamp: &RevisionStamp, mark: WriteMark) -> ApplyStep {
        self.revision = stamp.revision;
        match judge::stage(stamp, &look.required, &look.lines) {
            StageVerdict::Complete => {
                ApplyStep::Accept(look.head.with_accepted(stamp, mark), stamp.clone())
            }
            StageVerdict::Waiting(vms) => {
                self.waiting = vms;
                ApplyStep::Wait
            }
            StageVerdict::Behind(highest) => {
                self.above = self.above.max(highest);
                self.propose(look, stamp.hash.clone(), mark)
            }
            StageVerdict::Refused(refusals) => ApplyStep::Fail(ApplyError::Refused { refusals }),
        }
    }

    fn start(&mut self, look: &StoreLook, now: TimeStamp, mark: WriteMark) -> ApplyStep {
        let current = judge::current(&look.head, &look.lines);
        let found = current.map_or(0, |stamp| stamp.revision);
        let Some(hash) = self.hash.clone() else {
            return ApplyStep::Fail(ApplyError::Overtaken {
                revision: look.head.highest(),
            });
        };
        if let Some(same) = current.filter(|stamp| stamp.hash == hash) {
            return ApplyStep::NoChange(same.clone());
        }
        if let Some(expected) = self.expect.filter(|expected| *expected != found) {
            return ApplyStep::Fail(ApplyError::Unexpected { expected, found });
        }
        if self.must_wait(look, now) {
            return ApplyStep::Wait;
        }
        self.propose(look, hash, mark)
    }

    fn must_wait(&mut self, look: &StoreLook, now: TimeStamp) -> bool {
        let Some(other) = &look.head.proposal else {
            return false;
        };
        !self.timer.is_abandoned(other, self.takeover_after, now)
    }

    fn propose(&mut self, look: &StoreLook, hash: ContentHash, mark: WriteMark) -> ApplyStep {
        let revision = judge::next_revision(&look.head, &look.lines, self.above);
        self.revision = revision;
        let stamp = RevisionStamp {
            revision,
            write_id: self.write_id.clone(),
            hash,
        };
        ApplyStep::Propose(look.head.with_proposal(Some(stamp), mark))
    }

    /// Why the write is given up when its time is over.
    pub fn late(&self, store_error: Option<String>, look: &StoreLook) -> ApplyError {
        if let Some(reason) = store_error {
            return ApplyError::StoreLost { reason };
        }
        match look.head.trace(&self.write_id) {
            WriteTrace::Proposed(_) => error::UnconfirmedSnafu {
                vms: self.waiting.clone(),
            }
            .build(),
            _ => error::OvertakenSnafu {
                revision: look.head.highest(),
            }
            .build(),
        }
    }
}
