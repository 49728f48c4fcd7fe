//! The VMs that this VM watches for silence.

use crate::identity::VmTag;
use dahliawood_model::stamp;

/// Why a VM is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchKind {
    /// The VM sends its heartbeats to this VM.
    Subject,
    /// The VM was sent a request, or another VM votes against it; it is watched until one message
    /// from it arrives.
    Once,
}

/// One watched VM.
#[derive(Clone, Debug)]
pub(crate) struct WatchEntry {
    pub(crate) tag: VmTag,
    pub(crate) incarnation: u64,
    pub(crate) kind: WatchKind,
    pub(crate) heard_at: stamp::TimeStamp,
    pub(crate) probed_at: Option<stamp::TimeStamp>,
    pub(crate) has_voted: bool,
}

/// All watched VMs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchTable {
    entries: Vec<WatchEntry>,
}

impl WatchTable {
    /// Whether a VM is watched.
    pub(crate) fn is_watched(&self, tag: VmTag) -> bool {
        self.entries.iter().any(|entry| entry.tag == tag)
    }

    /// The VMs that send their heartbeats to this VM.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = VmTag> {
        let subjects = self.entries.iter();
        subjects
            .filter(|entry| entry.kind == WatchKind::Subject)
            .map(|entry| entry.tag)
    }

    /// Starts to watch the sender of a heartbeat; returns `false` if `limit` others already send
    /// theirs.
    pub(crate) fn accept(
        &mut self,
        tag: VmTag,
        incarnation: u64,
        limit: usize,
        now: stamp::TimeStamp,
    ) -> bool {
        let is_subject = self.subjects().any(|subject| subject == tag);
        if !is_subject && self.subjects().count() >= limit {
            return false;
        }
        self.remove(tag);
        self.entries.push(WatchEntry {
            tag,
            incarnation,
            kind: WatchKind::Subject,
            heard_at: now,
            probed_at: None,
            has_voted: false,
        });
        true
    }

    /// Watches a VM until one message from it arrives, as if its last one had arrived at
    /// `heard_at`.
    pub(crate) fn watch_once(&mut self, tag: VmTag, incarnation: u64, heard_at: stamp::TimeStamp) {
        if self.is_watched(tag) {
            return;
        }
        self.entries.push(WatchEntry {
            tag,
            incarnation,
            kind: WatchKind::Once,
            heard_at,
            probed_at: None,
            has_voted: false,
        });
    }

    /// Records that a message of a VM arrived.
    pub(crate) fn heard(&mut self, tag: VmTag, incarnation: u64, now: stamp::TimeStamp) {
        self.entries
            .retain(|entry| entry.tag != tag || entry.kind == WatchKind::Subject);
        let heard = self.entries.iter_mut().find(|entry| entry.tag == tag);
        if let Some(entry) = heard.filter(|entry| entry.incarnation <= incarnation) {
            entry.incarnation = incarnation;
            entry.heard_at = now;
            entry.probed_at = None;
            entry.has_voted = false;
        }
    }

    /// Stops watching a VM.
    pub(crate) fn remove(&mut self, tag: VmTag) {
        self.entries.retain(|entry| entry.tag != tag);
    }

    /// Stops watching a VM that refuted votes, if this VM had voted against it.
    pub(crate) fn remove_if_voted(&mut self, tag: VmTag) {
        self.entries
            .retain(|entry| entry.tag != tag || !entry.has_voted);
    }

    /// Restarts the measurement of silence for all VMs, after a time in which no message could
    /// arrive.
    pub(crate) fn restart(&mut self, now: stamp::TimeStamp) {
        self.entries
            .retain(|entry| entry.kind == WatchKind::Subject);
        for entry in &mut self.entries {
            entry.heard_at = now;
            entry.probed_at = None;
        }
    }

    /// The entries, for probing and voting.
    pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = &mut WatchEntry> {
        self.entries.iter_mut()
    }
}
