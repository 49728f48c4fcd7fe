//! One tracker for all threads of a daemon.

use super::tracker;
use crate::content;
use crate::head;
use crate::status;
use async_std::channel::{self, Receiver, Sender};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

/// Checks a file; the error says in a line why it cannot be in force here.
pub type SharedCheck = Arc<dyn Fn(&str) -> Result<(), String> + Send + Sync>;

/// Told of each revision once it is in force, in order.
pub type ForceHook = Arc<dyn Fn(&tracker::RevisionRecord) + Send + Sync>;

/// A [`tracker::RevisionTracker`] with the check of its files and who is told of changes.
#[derive(Clone)]
pub struct SharedTracker {
    tracker: Arc<Mutex<tracker::RevisionTracker>>,
    check: SharedCheck,
    on_force: ForceHook,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl fmt::Debug for SharedTracker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("SharedTracker")
            .field(&*self.lock())
            .finish()
    }
}

impl SharedTracker {
    /// Shares a tracker.
    pub fn new(tracker: tracker::RevisionTracker, check: SharedCheck, on_force: ForceHook) -> Self {
        let (wake, woken) = channel::bounded(1);
        Self {
            tracker: Arc::new(Mutex::new(tracker)),
            check,
            on_force,
            wake,
            woken,
        }
    }

    /// Takes in that a revision is accepted, from any source.
    pub fn observe_accepted(
        &self,
        stamp: &head::RevisionStamp,
        source: tracker::RevisionSource,
    ) -> tracker::ObserveOutcome {
        let mut tracker = self.lock();
        let outcome = tracker.observe_accepted(stamp, source);
        if outcome == tracker::ObserveOutcome::InForce {
            self.announce(&tracker);
        }
        if outcome != tracker::ObserveOutcome::Old {
            self.wake();
        }
        outcome
    }

    /// Takes in that a revision is proposed, from any source.
    pub fn observe_proposed(&self, stamp: &head::RevisionStamp) {
        let mut tracker = self.lock();
        let serial = tracker.status().serial;
        tracker.observe_proposed(stamp);
        if tracker.status().serial != serial {
            self.wake();
        }
    }

    /// Takes in the highest number that a peer knows of; see
    /// [`tracker::RevisionTracker::raise_floor`].
    pub fn raise_floor(&self, highest: u64) {
        self.lock().raise_floor(highest);
    }

    /// Takes a file in, from any source.
    ///
    /// # Errors
    ///
    /// As [`tracker::RevisionTracker::add_file`].
    pub fn add_file(
        &self,
        hash: &content::ContentHash,
        text: &str,
    ) -> Result<tracker::FileOutcome, content::ContentError> {
        let mut tracker = self.lock();
        let outcome = tracker.add_file(hash, text, &*self.check)?;
        if outcome == tracker::FileOutcome::InForce {
            self.announce(&tracker);
        }
        if outcome != tracker::FileOutcome::Unwanted {
            self.wake();
        }
        Ok(outcome)
    }

    /// The revision in force.
    pub fn in_force(&self) -> Option<tracker::RevisionRecord> {
        self.lock().in_force().cloned()
    }

    /// The highest revision known to be accepted.
    pub fn accepted(&self) -> Option<head::RevisionStamp> {
        self.lock().accepted().cloned()
    }

    /// The revision last proposed, for a peer that does not reach the store.
    pub fn proposed(&self) -> Option<head::RevisionStamp> {
        self.lock().proposed().cloned()
    }

    /// Hashes of the files to fetch, the most urgent first.
    pub fn wanted(&self) -> Vec<content::ContentHash> {
        self.lock().wanted()
    }

    /// The file of `hash`, for a peer that wants it.
    pub fn file(&self, hash: &content::ContentHash) -> Option<Arc<str>> {
        self.lock().file(hash)
    }

    /// What the VM says of itself, for the store or for a peer that reaches it.
    pub fn status(&self) -> status::StatusLine {
        self.lock().status()
    }

    pub(super) fn repair(
        &self,
        head: &head::HeadDocument,
        mark: head::WriteMark,
    ) -> Option<(head::HeadDocument, tracker::RevisionRecord)> {
        self.lock().repair(head, mark)
    }

    /// Resolves after the next change.
    pub(super) async fn changed(&self) {
        // The sender lives as long as the receiver.
        let _closed = self.woken.recv().await;
    }

    /// Forgets changes so far, before the status that holds them is read.
    pub(super) fn clear_changed(&self) {
        while self.woken.try_recv().is_ok() {}
    }

    /// Called under the lock, so that revisions are told in order.
    fn announce(&self, tracker: &tracker::RevisionTracker) {
        if let Some(record) = tracker.in_force() {
            (self.on_force)(record);
        }
    }

    fn wake(&self) {
        // A full channel holds a wake-up already.
        let _full = self.wake.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, tracker::RevisionTracker> {
        self.tracker.lock().expect("no holder of the lock panics")
    }
}
