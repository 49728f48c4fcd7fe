//! The decisions of acceptance, without I/O.

use super::ForceReport;
use super::error::VmRefusal;
use crate::head::{HeadDocument, RevisionStamp, WriteId, WriteMark, WriteTrace};
use crate::status::{RefusalCause, RequiredVm, StatusLine};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// What the VMs say of a proposed revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageVerdict {
    /// All hold it.
    Complete,
    /// These have not said so yet.
    Waiting(Vec<String>),
    /// A VM knows of this number or a higher one, so the proposal needs a higher one still.
    Behind(u64),
    /// These do not understand it.
    Refused(Vec<VmRefusal>),
}

/// Judges a proposed revision by the lines of the required VMs.
pub fn stage(stamp: &RevisionStamp, required: &[RequiredVm], lines: &[StatusLine]) -> StageVerdict {
    let refusals: Vec<_> = lines
        .iter()
        .filter(|line| required.iter().any(|vm| vm.name == line.vm))
        .filter_map(|line| {
            line.refusal_of(&stamp.write_id)
                .map(|refusal| (line, refusal))
        })
        .filter(|(_, refusal)| refusal.stamp == *stamp)
        .collect();
    let behind = refusals
        .iter()
        .filter_map(|(_, refusal)| match refusal.cause {
            RefusalCause::Behind { highest } => Some(highest),
            RefusalCause::Check { .. } => None,
        });
    if let Some(highest) = behind.max() {
        return StageVerdict::Behind(highest);
    }
    if !refusals.is_empty() {
        return StageVerdict::Refused(refusals.into_iter().map(vm_refusal).collect());
    }
    let waiting = names_without(required, lines, |line| line.acknowledges(stamp));
    if waiting.is_empty() {
        return StageVerdict::Complete;
    }
    StageVerdict::Waiting(waiting)
}

/// Where a revision or a higher one is in force.
pub fn report(stamp: &RevisionStamp, required: &[RequiredVm], lines: &[StatusLine]) -> ForceReport {
    let missing = names_without(required, lines, |line| line.has_in_force(stamp));
    let in_force = required
        .iter()
        .map(|vm| vm.name.clone())
        .filter(|name| !missing.contains(name))
        .collect();
    ForceReport { in_force, missing }
}

/// The highest revision in force: that of the head, or that of a VM where the store lost it.
pub fn current<'a>(head: &'a HeadDocument, lines: &'a [StatusLine]) -> Option<&'a RevisionStamp> {
    let in_force = lines.iter().filter_map(|line| line.in_force.as_ref());
    in_force.chain(head.accepted()).max()
}

/// The revision that a write brought, where a VM has or had it in force.
pub fn in_force_by<'a>(write_id: &WriteId, lines: &'a [StatusLine]) -> Option<&'a RevisionStamp> {
    lines
        .iter()
        .flat_map(|line| line.in_force.iter().chain(&line.past))
        .find(|stamp| stamp.write_id == *write_id)
}

/// The number for a new proposal: above all that anybody has seen.
pub fn next_revision(head: &HeadDocument, lines: &[StatusLine], above: u64) -> u64 {
    let seen = lines.iter().map(|line| line.highest).max().unwrap_or(0);
    1 + seen.max(head.highest()).max(above)
}

/// What a read of the head proves about a write whose compare-and-swaps expected at most
/// `expected`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteProof {
    /// It is accepted.
    Accepted(RevisionStamp),
    /// It is proposed, and may be accepted.
    Proposed(RevisionStamp),
    /// It is not there and can never be: the version has passed all that it expected.
    Gone,
    /// It is not there, but may still arrive.
    Pending,
    /// It may have been accepted and forgotten.
    Forgotten,
}

/// What a write has sent to the head so far.
#[derive(Clone, Debug, Default)]
pub struct WriteRecord {
    /// The number last proposed, zero for none or not known.
    pub revision: u64,
    /// The highest version that a compare-and-swap with this write's proposal expected.
    pub expected: Option<u64>,
    /// Marks of the heads that an accepting write was sent on without an answer.
    pub unsure: Vec<WriteMark>,
}

/// Judges a write by a head of version `version`.
///
/// A stale read is no danger: whatever state it shows came after all versions below its own. A
/// restored store is one: it may have lost an acceptance that VMs saw. Then the head of that
/// moment is missing from the trail too.
pub fn prove(
    head: &HeadDocument,
    version: u64,
    write_id: &WriteId,
    record: &WriteRecord,
) -> WriteProof {
    let is_lost = |mark: &WriteMark| !head.trail.contains(mark);
    let is_forgotten =
        || head.may_have_forgotten(record.revision) || record.unsure.iter().any(is_lost);
    match head.trace(write_id) {
        WriteTrace::Accepted(stamp) => WriteProof::Accepted(stamp),
        WriteTrace::Proposed(stamp) => WriteProof::Proposed(stamp),
        WriteTrace::Absent if is_forgotten() => WriteProof::Forgotten,
        WriteTrace::Absent if record.expected.is_none_or(|expected| version > expected) => {
            WriteProof::Gone
        }
        WriteTrace::Absent => WriteProof::Pending,
    }
}

/// Watches whether another operator's proposal is still being worked on.
#[derive(Clone, Debug, Default)]
pub struct ProposalTimer {
    seen: Option<(RevisionStamp, TimeStamp)>,
}

impl ProposalTimer {
    /// Whether `proposal` has been the same for `span`.
    pub fn is_abandoned(
        &mut self,
        proposal: &RevisionStamp,
        span: Duration,
        now: TimeStamp,
    ) -> bool {
        match &self.seen {
            Some((seen, since)) if seen == proposal => now.since(*since) >= span,
            _ => {
                self.seen = Some((proposal.clone(), now));
                false
            }
        }
    }
}

fn names_without(
    required: &[RequiredVm],
    lines: &[StatusLine],
    is_done: impl Fn(&StatusLine) -> bool,
) -> Vec<String> {
    required
        .iter()
        .filter(|vm| !vm.line(lines).is_some_and(&is_done))
        .map(|vm| vm.name.clone())
        .collect()
}

fn vm_refusal((line, refusal): (&StatusLine, &crate::status::RevisionRefusal)) -> VmRefusal {
    VmRefusal {
        vm: line.vm.clone(),
        refusal: refusal.clone(),
    }
}
