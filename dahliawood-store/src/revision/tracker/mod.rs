//! What a VM knows of revisions, and the rule that it only goes forward.

use crate::content;
use crate::head;
use crate::status;
use std::sync::Arc;

/// Where a VM learned of a revision.
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

/// A revision in force with its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionRecord {
    /// Which one.
    pub stamp: head::RevisionStamp,
    /// The file.
    pub text: Arc<str>,
    /// Where the VM learned that it is accepted.
    pub source: RevisionSource,
}

/// What an accepted revision meant to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObserveOutcome {
    /// It is not above the one known.
    Old,
    /// It is now in force.
    InForce,
    /// It is the highest known; its file is not here or not understood.
    Wanted,
}

/// What a file meant to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOutcome {
    /// Nobody asked for it.
    Unwanted,
    /// It is held, for a revision that is proposed only.
    Staged,
    /// Its revision is now in force.
    InForce,
    /// It is not understood.
    Refused,
}

/// Checks a file; the error says in a line why it cannot be in force here.
pub type FileCheck<'a> = &'a dyn Fn(&str) -> Result<(), String>;

/// The revisions of one VM.
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
    floor: u64,
}

impl RevisionTracker {
    /// A VM that has just started and knows nothing.
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
            floor: 0,
        }
    }

    /// Takes in the highest number that a peer knows of, so that this VM promises none below it.
    ///
    /// A VM that starts asks its peers; a number that they promised is then not used again after
    /// they are gone.
    pub fn raise_floor(&mut self, highest: u64) {
        self.floor = self.floor.max(highest);
    }

    /// The revision in force; a VM without one takes no work.
    pub fn in_force(&self) -> Option<&RevisionRecord> {
        self.in_force.as_ref()
    }

    /// The highest revision known to be accepted, in force here or not.
    pub fn accepted(&self) -> Option<&head::RevisionStamp> {
        self.accepted.as_ref().map(|(stamp, _)| stamp)
    }

    /// The revision last proposed, accepted or not.
    pub fn proposed(&self) -> Option<&head::RevisionStamp> {
        self.proposed.as_ref()
    }

    /// The file of `hash`, where it is in force or staged here.
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

    /// Takes in that a revision is accepted.
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
        if self.enforce() {
            return ObserveOutcome::InForce;
        }
        ObserveOutcome::Wanted
    }

    /// Takes in that a revision is proposed.
    ///
    /// The promise to hold it outlasts the proposal: no number that was promised is ever
    /// promised to another write, so a store that forgot a proposal cannot use its number again.
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
        // The same file may be here already, from an earlier number of the same write.
        if let Some(text) = self.file(&stamp.hash) {
            self.staged = Some((stamp.clone(), text));
        }
    }

    /// Hashes of the files to fetch, the most urgent first.
    pub fn wanted(&self) -> Vec<content::ContentHash> {
        let accepted = self.accepted().filter(|stamp| !self.is_done_with(stamp));
        let proposed = self
            .proposed
            .as_ref()
            .filter(|stamp| !self.is_done_with(stamp));
        let mut hashes: Vec<_> = accepted
            .into_iter()
            .chain(proposed)
            .map(|stamp| stamp.hash.clone())
            .collect();
        hashes.dedup();
        hashes
    }

    /// Takes a file in, from wherever it came.
    ///
    /// # Errors
    ///
    /// [`content::ContentError::WrongHash`] where it is not the file of `hash`; nothing is changed.
    pub fn add_file(
        &mut self,
        hash: &content::ContentHash,
        text: &str,
        check: FileCheck<'_>,
    ) -> Result<FileOutcome, content::ContentError> {
        content::verify(hash, text)?;
        let is_wanted = |stamp: &&head::RevisionStamp| stamp.hash == *hash;
        let accepted = self.accepted().filter(is_wanted);
        let proposed = self.proposed.as_ref().filter(is_wanted);
        let Some(stamp) = accepted.or(proposed).cloned() else {
            return Ok(FileOutcome::Unwanted);
        };
        if let Err(reason) = check(text) {
            self.refuse(&stamp, status::RefusalCause::Check { reason });
            return Ok(FileOutcome::Refused);
        }
        self.staged = Some((stamp, Arc::from(text)));
        self.serial += 1;
        if self.enforce() {
            return Ok(FileOutcome::InForce);
        }
        Ok(FileOutcome::Staged)
    }

    /// The head to write where the store lost a revision that is known here to be accepted.
    pub fn repair(
        &self,
        head: &head::HeadDocument,
        mark: head::WriteMark,
    ) -> Option<(head::HeadDocument, RevisionRecord)> {
        let record = self.in_force()?;
        if head.accepted() >= Some(&record.stamp) {
            return None;
        }
        Some((head.with_accepted(&record.stamp, mark), record.clone()))
    }

    /// What the VM says of itself.
    pub fn status(&self) -> status::StatusLine {
        status::StatusLine {
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
        accepted.max(proposed).max(self.floor)
    }

    /// Puts the accepted revision in force if its file is here.
    fn enforce(&mut self) -> bool {
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

    /// Whether the file of a revision is here or was not understood.
    ///
    /// A refused number says nothing of the file, which may be accepted without this VM.
    fn is_done_with(&self, stamp: &head::RevisionStamp) -> bool {
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
