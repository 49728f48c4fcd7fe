//! Decides which revision a VM puts in force, and enforces that it never goes back to a lower one.

use crate::content;
use crate::head;
use crate::status;
use std::sync::Arc;

/// Where a VM learned that a revision is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RevisionSource {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another VM.
    #[display("peer")]
    Peer,
    /// The `apply` that this VM ran itself.
    #[display("apply")]
    Apply,
}

/// A revision in force, with its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionRecord {
    /// The revision.
    pub stamp: head::RevisionStamp,
    /// The file.
    pub text: Arc<str>,
    /// Where the VM learned that it is accepted.
    pub source: RevisionSource,
}

/// Result of observing an accepted revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObserveOutcome {
    /// The revision is not higher than the accepted one already known.
    Old,
    /// The revision is now in force.
    InForce,
    /// The revision is the highest known, but its file is missing or was rejected by the check.
    AwaitingFile,
}

/// Result of adding a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOutcome {
    /// No known revision needs the file.
    Unwanted,
    /// The file is stored for a revision that is only proposed.
    Staged,
    /// The file's revision is now in force.
    InForce,
    /// The check rejected the file.
    Refused,
}

/// Validates a file; the error states in one line why this VM cannot put it in force.
pub type FileCheck<'a> = &'a dyn Fn(&str) -> Result<(), String>;

/// The revisions that one VM knows of.
#[derive(Clone, Debug)]
pub struct RevisionTracker {
    vm: String,
    incarnation: u64,
    serial: u64,
    in_force: Option<RevisionRecord>,
    past: Vec<head::RevisionStamp>,
    accepted: Option<(head::RevisionStamp, RevisionSource)>,
    proposed: Option<head::RevisionStamp>,
    staged: Option<(head::RevisionStamp, Arc<str>)>,
    refused: Option<status::RevisionRefusal>,
    revision_floor: u64,
}

impl RevisionTracker {
    /// The state of a VM that has just started and knows no revision.
    pub fn new(vm: &str, incarnation: u64) -> Self {
        Self {
            vm: vm.to_owned(),
            incarnation,
            serial: 0,
            in_force: None,
            past: Vec::new(),
            accepted: None,
            proposed: None,
            staged: None,
            refused: None,
            revision_floor: 0,
        }
    }

    /// Records the highest revision number that a peer knows of, so that this VM acknowledges no
    /// proposal at or below it.
    ///
    /// A VM that starts asks its peers for this number. Numbers that the peers acknowledged are
    /// therefore not used again after those peers are gone.
    pub fn raise_floor(&mut self, highest: u64) {
        self.revision_floor = self.revision_floor.max(highest);
    }

    /// The revision in force; a VM without one accepts no requests.
    pub fn in_force(&self) -> Option<&RevisionRecord> {
        self.in_force.as_ref()
    }

    /// The highest revision known to be accepted, whether or not it is in force here.
    pub fn accepted(&self) -> Option<&head::RevisionStamp> {
        self.accepted.as_ref().map(|(stamp, _)| stamp)
    }

    /// The revision last proposed, whether or not it was accepted since.
    pub fn proposed(&self) -> Option<&head::RevisionStamp> {
        self.proposed.as_ref()
    }

    /// The file with this hash, if it is in force or staged here.
    pub fn file(&self, hash: &content::ContentHash) -> Option<Arc<str>> {
        let in_force = self
            .in_force
            .iter()
            .map(|record| (&record.stamp, &record.text));
        let staged = self.staged.iter().map(|(stamp, text)| (stamp, text));
        in_force
            .chain(staged)
            .find(|(stamp, _)| stamp.hash == *hash)
            .map(|(_, text)| Arc::clone(text))
    }

    /// Records that a revision is accepted.
    pub fn observe_accepted(
        &mut self,
        stamp: &head::RevisionStamp,
        source: RevisionSource,
    ) -> ObserveOutcome {
        if self.accepted() >= Some(stamp) {
            return ObserveOutcome::Old;
        }
        self.accepted = Some((stamp.clone(), source));
        self.serial += 1;
        if self.put_in_force() {
            return ObserveOutcome::InForce;
        }
        ObserveOutcome::AwaitingFile
    }

    /// Records that a revision is proposed.
    ///
    /// A VM never acknowledges one revision number for two different writes, even after the first
    /// proposal is withdrawn. A store that was restored and lost a proposal can therefore not
    /// assign its number to another write.
    pub fn observe_proposed(&mut self, stamp: &head::RevisionStamp) {
        if self.proposed.as_ref() == Some(stamp) || self.accepted() == Some(stamp) {
            return;
        }
        if stamp.revision <= self.highest() {
            let highest = self.highest();
            self.refuse(stamp, status::RefusalCause::Behind { highest });
            return;
        }
        self.proposed = Some(stamp.clone());
        self.serial += 1;
        // The same write may have been proposed with a lower number before, so its file may be
        // present.
        if let Some(text) = self.file(&stamp.hash) {
            self.staged = Some((stamp.clone(), text));
        }
    }

    /// Hashes of the files to fetch, most urgent first.
    pub fn hashes_to_fetch(&self) -> Vec<content::ContentHash> {
        let accepted = self.accepted().filter(|stamp| !self.needs_no_fetch(stamp));
        let proposed = self
            .proposed
            .as_ref()
            .filter(|stamp| !self.needs_no_fetch(stamp));
        let mut hashes: Vec<_> = accepted
            .into_iter()
            .chain(proposed)
            .map(|stamp| stamp.hash.clone())
            .collect();
        hashes.dedup();
        hashes
    }

    /// Adds a file, whatever the source.
    ///
    /// # Errors
    ///
    /// [`content::ContentError::WrongHash`] if the text does not have this hash; the tracker is
    /// then unchanged.
    pub fn add_file(
        &mut self,
        hash: &content::ContentHash,
        text: &str,
        check: FileCheck<'_>,
    ) -> Result<FileOutcome, content::ContentError> {
        content::verify(hash, text)?;
        let has_hash = |stamp: &&head::RevisionStamp| stamp.hash == *hash;
        let accepted = self.accepted().filter(has_hash);
        let proposed = self.proposed.as_ref().filter(has_hash);
        let Some(stamp) = accepted.or(proposed).cloned() else {
            return Ok(FileOutcome::Unwanted);
        };
        if let Err(reason) = check(text) {
            self.refuse(&stamp, status::RefusalCause::Check { reason });
            return Ok(FileOutcome::Refused);
        }
        self.staged = Some((stamp, Arc::from(text)));
        self.serial += 1;
        if self.put_in_force() {
            return Ok(FileOutcome::InForce);
        }
        Ok(FileOutcome::Staged)
    }

    /// The head to write if the store lost a revision that this VM has in force; `None` if nothing
    /// was lost.
    pub fn repair(
        &self,
        head: &head::HeadDocument,
        nonce: head::WriteNonce,
    ) -> Option<(head::HeadDocument, RevisionRecord)> {
        let record = self.in_force()?;
        if head.accepted() >= Some(&record.stamp) {
            return None;
        }
        Some((head.with_accepted(&record.stamp, nonce), record.clone()))
    }

    /// The status that this VM publishes.
    pub fn status(&self) -> status::VmStatus {
        status::VmStatus {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            serial: self.serial,
            in_force: self.in_force.as_ref().map(|record| record.stamp.clone()),
            past: self.past.clone(),
            staged: self.staged.as_ref().map(|(stamp, _)| stamp.clone()),
            refused: self.refused.clone(),
            highest: self.highest(),
        }
    }

    fn highest(&self) -> u64 {
        let accepted = self.accepted().map_or(0, |stamp| stamp.revision);
        let proposed = self.proposed.as_ref().map_or(0, |stamp| stamp.revision);
        accepted.max(proposed).max(self.revision_floor)
    }

    /// Puts the accepted revision in force if its file is present; returns whether it did.
    fn put_in_force(&mut self) -> bool {
        let Some((stamp, source)) = self.accepted.clone() else {
            return false;
        };
        let is_in_force = self
            .in_force
            .as_ref()
            .is_some_and(|record| record.stamp >= stamp);
        let Some(text) = self.file(&stamp.hash).filter(|_| !is_in_force) else {
            return false;
        };
        let record = RevisionRecord {
            stamp,
            text,
            source,
        };
        if let Some(before) = self.in_force.replace(record) {
            self.past.insert(0, before.stamp);
            self.past.truncate(status::PAST_LIMIT);
        }
        true
    }

    fn refuse(&mut self, stamp: &head::RevisionStamp, cause: status::RefusalCause) {
        let refusal = status::RevisionRefusal {
            stamp: stamp.clone(),
            cause,
        };
        if self.refused.as_ref() != Some(&refusal) {
            self.refused = Some(refusal);
            self.serial += 1;
        }
    }

    /// Whether the file of a revision needs no fetching: it is present, or the check rejected it.
    ///
    /// A refusal because of the revision number does not count: other VMs may have the revision
    /// accepted without this one, which then needs the file.
    fn needs_no_fetch(&self, stamp: &head::RevisionStamp) -> bool {
        let is_staged = self
            .staged
            .as_ref()
            .is_some_and(|(staged, _)| staged == stamp);
        let is_in_force = self
            .in_force
            .as_ref()
            .is_some_and(|record| record.stamp == *stamp);
        let is_refused = self.refused.as_ref().is_some_and(|refusal| {
            refusal.stamp == *stamp && matches!(refusal.cause, status::RefusalCause::Check { .. })
        });
        is_staged || is_in_force || is_refused
    }
}
