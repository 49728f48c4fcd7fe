//! The VMs that this one watches.

use crate::identity::VmTag;
use dahliawood_model::stamp;

/// Why a VM is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchKind {
    /// It sends its heartbeats here.
    Subject,
    /// It was asked something, or another VM votes against it; watched until it is heard once.
    Once,
}

/// One VM that is watched.
#[derive(Clone, Debug)]
pub(crate) struct WatchEntry {
    pub(crate) tag: VmTag,
    pub(crate) incarnation: u64,
    pub(crate) kind: WatchKind,
    pub(crate) heard_at: stamp::TimeStamp,
    pub(crate) probed_at: Option<stamp::TimeStamp>,
    pub(crate) has_voted: bool,
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct WatchTable {
    entries: Vec<WatchEntry>,
}

impl WatchTable {
    /// Whether a VM is watched.
    pub(crate) fn holds(&self, tag: VmTag) -> bool {
        self.entries.iter().any(|entry| entry.tag == tag)
    }

    /// The VMs that send their heartbeats here.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = VmTag> {
        let subjects = self.entries.iter();
        subjects
            .filter(|entry| entry.kind == WatchKind::Subject)
            .map(|entry| entry.tag)
    }

    /// Takes in a heartbeat; false where `most` others are watched already.
    pub(crate) fn accept(
        &mut self,
        tag: VmTag,
        incarnation: u64,
        most: usize,
        now: stamp::TimeStamp,
    ) -> bool {
        let is_subject = self.subjects().any(|subject| subject == tag);
        if !is_subject && self.subjects().count() >= most {
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

    /// Watches a VM until it is heard once, as if it had last been heard at `heard_at`.
    pub(crate) fn watch_once(&mut self, tag: VmTag, incarnation: u64, heard_at: stamp::TimeStamp) {
        if self.holds(tag) {
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

    /// Takes in that a VM was heard.
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

    /// Ends the watch over a VM.
    pub(crate) fn remove(&mut self, tag: VmTag) {
        self.entries.retain(|entry| entry.tag != tag);
    }

    /// Ends the watch over a VM that refuted votes, where one of them came from here.
    pub(crate) fn refuted(&mut self, tag: VmTag) {
        self.entries
            .retain(|entry| entry.tag != tag || !entry.has_voted);
    }

    /// Starts all spans anew, after a time in which nothing could be heard.
    pub(crate) fn restart(&mut self, now: stamp::TimeStamp) {
        self.entries
            .retain(|entry| entry.kind == WatchKind::Subject);
        for entry in &mut self.entries {
            entry.heard_at = now;
            entry.probed_at = None;
        }
    }

    /// The entries, for the system that probes and votes.
    pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = &mut WatchEntry> {
        self.entries.iter_mut()
    }
}
