//! One keeper for all threads of a daemon.

use super::keeper::{ForceRecord, ObserveOutcome, RevisionKeeper, RevisionSource, SupplyOutcome};
use crate::content::{ContentError, ContentHash};
use crate::head::{HeadDocument, RevisionStamp, WriteMark};
use crate::status::StatusLine;
use async_std::channel::{self, Receiver, Sender};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

/// Checks a file; the error says in a line why it cannot be in force here.
pub type SharedCheck = Arc<dyn Fn(&str) -> Result<(), String> + Send + Sync>;

/// Told of each revision once it is in force, in order.
pub type ForceHook = Arc<dyn Fn(&ForceRecord) + Send + Sync>;

/// A [`RevisionKeeper`] with the check of its files and who is told of changes.
#[derive(Clone)]
pub struct SharedKeeper {
    keeper: Arc<Mutex<RevisionKeeper>>,
    check: SharedCheck,
    on_force: ForceHook,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl fmt::Debug for SharedKeeper {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("SharedKeeper")
            .field(&*self.lock())
            .finish()
    }
}

impl SharedKeeper {
    /// Shares a keeper.
    pub fn new(keeper: RevisionKeeper, check: SharedCheck, on_force: ForceHook) -> Self {
        let (wake, woken) = channel::bounded(1);
        Self {
            keeper: Arc::new(Mutex::new(keeper)),
            check,
            on_force,
            wake,
            woken,
        }
    }

    /// Takes in that a revision is accepted, from any source.
    pub fn observe(&self, stamp: &RevisionStamp, source: RevisionSource) -> ObserveOutcome {
        let mut keeper = self.lock();
        let outcome = keeper.observe(stamp, source);
        if outcome == ObserveOutcome::InForce {
            self.announce(&keeper);
        }
        if outcome != ObserveOutcome::Old {
            self.wake();
        }
        outcome
    }

    /// Takes in that a revision is proposed, from any source.
    pub fn propose(&self, stamp: &RevisionStamp) {
        let mut keeper = self.lock();
        let serial = keeper.status().serial;
        keeper.propose(stamp);
        if keeper.status().serial != serial {
            self.wake();
        }
    }

    /// Takes in the highest number that a peer knows of; see [`RevisionKeeper::raise`].
    pub fn raise(&self, highest: u64) {
        self.lock().raise(highest);
    }

    /// Takes a file in, from any source.
    ///
    /// # Errors
    ///
    /// As [`RevisionKeeper::supply`].
    pub fn supply(&self, hash: &ContentHash, text: &str) -> Result<SupplyOutcome, ContentError> {
        let mut keeper = self.lock();
        let outcome = keeper.supply(hash, text, &*self.check)?;
        if outcome == SupplyOutcome::InForce {
            self.announce(&keeper);
        }
        if outcome != SupplyOutcome::Unwanted {
            self.wake();
        }
        Ok(outcome)
    }

    /// The revision in force.
    pub fn in_force(&self) -> Option<ForceRecord> {
        self.lock().in_force().cloned()
    }

    /// The highest revision known to be accepted.
    pub fn accepted(&self) -> Option<RevisionStamp> {
        self.lock().accepted().cloned()
    }

    /// The revision last proposed, for a peer that does not reach the store.
    pub fn proposed(&self) -> Option<RevisionStamp> {
        self.lock().proposed().cloned()
    }

    /// Hashes of the files to fetch, the most urgent first.
    pub fn wanted(&self) -> Vec<ContentHash> {
        self.lock().wanted()
    }

    /// The file of `hash`, for a peer that wants it.
    pub fn file(&self, hash: &ContentHash) -> Option<Arc<str>> {
        self.lock().file(hash)
    }

    /// What the VM says of itself, for the store or for a peer that reaches it.
    pub fn status(&self) -> StatusLine {
        self.lock().status()
    }

    pub(super) fn repair(
        &self,
        head: &HeadDocument,
        mark: WriteMark,
    ) -> Option<(HeadDocument, ForceRecord)> {
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
    fn announce(&self, keeper: &RevisionKeeper) {
        if let Some(record) = keeper.in_force() {
            (self.on_force)(record);
        }
    }

    fn wake(&self) {
        // A full channel holds a wake-up already.
        let _full = self.wake.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, RevisionKeeper> {
        self.keeper.lock().expect("no holder of the lock panics")
    }
}
