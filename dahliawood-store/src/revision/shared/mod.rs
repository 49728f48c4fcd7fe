//! Shares one [`tracker::RevisionTracker`] between all threads of a daemon.

use super::tracker;
use crate::content;
use crate::head;
use crate::status;
use async_std::channel::{self, Receiver, Sender};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

/// Validates a file; the error states in one line why this VM cannot put it in force.
pub type SharedCheck = Arc<dyn Fn(&str) -> Result<(), String> + Send + Sync>;

/// Called with each revision once it is in force, in order of revision.
pub type InForceHook = Arc<dyn Fn(&tracker::RevisionRecord) + Send + Sync>;

/// A [`tracker::RevisionTracker`] with the validation of its files and the callback for revisions
/// that come into force.
#[derive(Clone)]
pub struct SharedTracker {
    tracker: Arc<Mutex<tracker::RevisionTracker>>,
    check: SharedCheck,
    on_in_force: InForceHook,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
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
    /// Wraps a tracker for sharing between threads.
    pub fn new(
        tracker: tracker::RevisionTracker,
        check: SharedCheck,
        on_in_force: InForceHook,
    ) -> Self {
        let (wake_sender, wake_receiver) = channel::bounded(1);
        Self {
            tracker: Arc::new(Mutex::new(tracker)),
            check,
            on_in_force,
            wake_sender,
            wake_receiver,
        }
    }

    /// Records that a revision is accepted, whatever the source.
    pub fn observe_accepted(
        &self,
        stamp: &head::RevisionStamp,
        source: tracker::RevisionSource,
    ) -> tracker::ObserveOutcome {
        let mut tracker = self.lock();
        let outcome = tracker.observe_accepted(stamp, source);
        if outcome == tracker::ObserveOutcome::InForce {
            self.notify_in_force(&tracker);
        }
        if outcome != tracker::ObserveOutcome::Old {
            self.wake();
        }
        outcome
    }

    /// Records that a revision is proposed, whatever the source.
    pub fn observe_proposed(&self, stamp: &head::RevisionStamp) {
        let mut tracker = self.lock();
        let serial = tracker.status().serial;
        tracker.observe_proposed(stamp);
        if tracker.status().serial != serial {
            self.wake();
        }
    }

    /// Records the highest revision number that a peer knows of; see
    /// [`tracker::RevisionTracker::raise_floor`].
    pub fn raise_floor(&self, highest: u64) {
        self.lock().raise_floor(highest);
    }

    /// Adds a file, whatever the source.
    ///
    /// # Errors
    ///
    /// Same as [`tracker::RevisionTracker::add_file`].
    pub fn add_file(
        &self,
        hash: &content::ContentHash,
        text: &str,
    ) -> Result<tracker::FileOutcome, content::ContentError> {
        let mut tracker = self.lock();
        let outcome = tracker.add_file(hash, text, &*self.check)?;
        if outcome == tracker::FileOutcome::InForce {
            self.notify_in_force(&tracker);
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

    /// The revision last proposed, for relaying to a peer that cannot reach the store.
    pub fn proposed(&self) -> Option<head::RevisionStamp> {
        self.lock().proposed().cloned()
    }

    /// Hashes of the files to fetch, most urgent first.
    pub fn hashes_to_fetch(&self) -> Vec<content::ContentHash> {
        self.lock().hashes_to_fetch()
    }

    /// The file with this hash, for a peer that needs it.
    pub fn file(&self, hash: &content::ContentHash) -> Option<Arc<str>> {
        self.lock().file(hash)
    }

    /// This VM's status, to be written to the store by this VM or by a peer that reaches the store.
    pub fn status(&self) -> status::VmStatus {
        self.lock().status()
    }

    pub(super) fn repair(
        &self,
        head: &head::HeadDocument,
        nonce: head::WriteNonce,
    ) -> Option<(head::HeadDocument, tracker::RevisionRecord)> {
        self.lock().repair(head, nonce)
    }

    /// Resolves after the next change of the tracker.
    pub(super) async fn changed(&self) {
        // The channel never closes, as the sender lives as long as the receiver.
        let _closed = self.wake_receiver.recv().await;
    }

    /// Discards pending change notifications. To be called before reading the status that includes
    /// those changes.
    pub(super) fn clear_changed(&self) {
        while self.wake_receiver.try_recv().is_ok() {}
    }

    /// Calls the callback. The caller holds the lock, so that revisions are announced in order.
    fn notify_in_force(&self, tracker: &tracker::RevisionTracker) {
        if let Some(record) = tracker.in_force() {
            (self.on_in_force)(record);
        }
    }

    fn wake(&self) {
        // A full channel already holds a pending wake-up.
        let _full = self.wake_sender.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, tracker::RevisionTracker> {
        self.tracker.lock().expect("no holder of the lock panics")
    }
}
