//! Decides, without I/O, whether a revision can be accepted and what a read of the store proves
//! about a write.

use super::error;
use crate::head;
use crate::status;
use dahliawood_model::stamp;
use std::time::Duration;

/// How far the required VMs have staged a proposed revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StagingStatus {
    /// All required VMs have acknowledged the revision.
    Complete,
    /// These VMs have not acknowledged the revision yet.
    Waiting(Vec<String>),
    /// A VM already knows a revision number as high as the proposal's, so the write must be
    /// proposed again with a number above this one, the highest that any VM knows.
    Behind(u64),
    /// The checks of these VMs rejected the file.
    Refused(Vec<error::VmRefusal>),
}

/// Evaluates a proposed revision by the statuses of the required VMs.
pub fn staging_status(
    stamp: &head::RevisionStamp,
    required: &[status::RequiredVm],
    statuses: &[status::VmStatus],
) -> StagingStatus {
    let refusals: Vec<_> = statuses
        .iter()
        .filter(|status| required.iter().any(|vm| vm.name == status.vm))
        .filter_map(|status| {
            status
                .refusal_of(&stamp.write_id)
                .map(|refusal| (status, refusal))
        })
        .filter(|(_, refusal)| refusal.stamp == *stamp)
        .collect();
    let behind = refusals
        .iter()
        .filter_map(|(_, refusal)| match refusal.cause {
            status::RefusalCause::Behind { highest } => Some(highest),
            status::RefusalCause::Check { .. } => None,
        });
    if let Some(highest) = behind.max() {
        return StagingStatus::Behind(highest);
    }
    if !refusals.is_empty() {
        return StagingStatus::Refused(refusals.into_iter().map(vm_refusal).collect());
    }
    let waiting = names_failing(required, statuses, |status| status.acknowledges(stamp));
    if waiting.is_empty() {
        return StagingStatus::Complete;
    }
    StagingStatus::Waiting(waiting)
}

/// On which of the required VMs a revision or a higher one is in force.
pub fn rollout_report(
    stamp: &head::RevisionStamp,
    required: &[status::RequiredVm],
    statuses: &[status::VmStatus],
) -> super::RolloutReport {
    let missing = names_failing(required, statuses, |status| status.has_in_force(stamp));
    let in_force = required
        .iter()
        .map(|vm| vm.name.clone())
        .filter(|name| !missing.contains(name))
        .collect();
    super::RolloutReport { in_force, missing }
}

/// The highest revision in force: the head's, or a VM's if the store lost it.
pub fn current_revision<'a>(
    head: &'a head::HeadDocument,
    statuses: &'a [status::VmStatus],
) -> Option<&'a head::RevisionStamp> {
    let in_force = statuses
        .iter()
        .filter_map(|status| status.in_force.as_ref());
    in_force.chain(head.accepted()).max()
}

/// The revision that a write created, if any VM has or had it in force.
pub fn find_in_force<'a>(
    write_id: &head::WriteId,
    statuses: &'a [status::VmStatus],
) -> Option<&'a head::RevisionStamp> {
    statuses
        .iter()
        .flat_map(|status| status.in_force.iter().chain(&status.past))
        .find(|stamp| stamp.write_id == *write_id)
}

/// The number for a new proposal: higher than all that are known to the head or to any VM, and than
/// `known_highest`.
pub fn next_revision(
    head: &head::HeadDocument,
    statuses: &[status::VmStatus],
    known_highest: u64,
) -> u64 {
    let seen = statuses
        .iter()
        .map(|status| status.highest)
        .max()
        .unwrap_or(0);
    1 + seen.max(head.highest()).max(known_highest)
}

/// What a read of the head proves about a write whose compare-and-swaps expected at most the
/// version [`WriteRecord::expected`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteProof {
    /// The write is accepted.
    Accepted(head::RevisionStamp),
    /// The write is proposed, and may be accepted.
    Proposed(head::RevisionStamp),
    /// The head does not contain the write and never will: its version is higher than any that the
    /// write expected.
    Fenced,
    /// The head does not contain the write, but the write may still take effect.
    Pending,
    /// The write may have been accepted and dropped from the head since.
    PossiblyDropped,
}

/// What was sent to the head for a write so far.
#[derive(Clone, Debug, Default)]
pub struct WriteRecord {
    /// The revision number last proposed, zero if none or unknown.
    pub revision: u64,
    /// The highest version that a compare-and-swap of this write expected.
    pub expected: Option<u64>,
    /// Nonces of the heads on which an accepting compare-and-swap was sent without a definite
    /// response.
    pub unconfirmed: Vec<head::WriteNonce>,
}

/// Determines what a head of version `version` proves about a write.
///
/// Stale reads are safe: the state that a read shows is newer than all versions below its own.
/// Restores are not: a restored store may have lost an acceptance that VMs saw. In that case the
/// head on which the acceptance was sent is missing from the trail too.
pub fn prove(
    head: &head::HeadDocument,
    version: u64,
    write_id: &head::WriteId,
    record: &WriteRecord,
) -> WriteProof {
    let is_lost = |nonce: &head::WriteNonce| !head.trail.contains(nonce);
    let may_be_dropped =
        || head.may_have_dropped(record.revision) || record.unconfirmed.iter().any(is_lost);
    match head.find_write(write_id) {
        head::WriteLookup::Accepted(stamp) => WriteProof::Accepted(stamp),
        head::WriteLookup::Proposed(stamp) => WriteProof::Proposed(stamp),
        head::WriteLookup::Absent if may_be_dropped() => WriteProof::PossiblyDropped,
        head::WriteLookup::Absent if record.expected.is_none_or(|expected| version > expected) => {
            WriteProof::Fenced
        }
        head::WriteLookup::Absent => WriteProof::Pending,
    }
}

/// Detects whether another operator's proposal was abandoned.
#[derive(Clone, Debug, Default)]
pub struct ProposalTimer {
    seen: Option<(head::RevisionStamp, stamp::TimeStamp)>,
}

impl ProposalTimer {
    /// Whether `proposal` has stayed unchanged for `span`.
    pub fn is_abandoned(
        &mut self,
        proposal: &head::RevisionStamp,
        span: Duration,
        now: stamp::TimeStamp,
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

fn names_failing(
    required: &[status::RequiredVm],
    statuses: &[status::VmStatus],
    is_done: impl Fn(&status::VmStatus) -> bool,
) -> Vec<String> {
    required
        .iter()
        .filter(|vm| !vm.status(statuses).is_some_and(&is_done))
        .map(|vm| vm.name.clone())
        .collect()
}

fn vm_refusal(
    (status, refusal): (&status::VmStatus, &crate::status::RevisionRefusal),
) -> error::VmRefusal {
    error::VmRefusal {
        vm: status.vm.clone(),
        refusal: refusal.clone(),
    }
}
