//! Queue of deltas to spread to other members; each is sent a bounded number of times.

use crate::identity::VmTag;
use crate::message::MemberDelta;

/// Number of heartbeats that carry each delta, in addition to half the binary logarithm of the
/// fleet size.
const EXTRA_SENDS: u32 = 2;
/// Most deltas in the queue. When it is full, the oldest is dropped; anti-entropy then spreads
/// it.
const MAX_QUEUED: usize = 4_096;

/// One queued delta.
#[derive(Clone, Debug)]
struct GossipEntry {
    delta: MemberDelta,
    is_pushed: bool,
    sends_left: u32,
    known_by: Vec<VmTag>,
}

/// A delta to push, with the neighbours that already know it.
#[derive(Clone, Debug)]
pub(crate) struct UnpushedDelta {
    pub(crate) delta: MemberDelta,
    pub(crate) known_by: Vec<VmTag>,
}

/// The queue of deltas to spread.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    entries: Vec<GossipEntry>,
}

impl GossipQueue {
    /// Adds a delta; it replaces older ones that it supersedes.
    pub(crate) fn add(&mut self, delta: MemberDelta, fleet: usize) {
        self.entries
            .retain(|entry| !is_superseded(&entry.delta, &delta));
        if self.entries.len() == MAX_QUEUED {
            self.entries.remove(0);
        }
        self.entries.push(GossipEntry {
            delta,
            is_pushed: false,
            sends_left: fleet.max(1).ilog2() / 2 + EXTRA_SENDS,
            known_by: Vec::new(),
        });
    }

    /// Records that a neighbour knows a delta: it is not pushed to that neighbour and is sent once
    /// less.
    pub(crate) fn mark_known_by(&mut self, neighbour: VmTag, delta: &MemberDelta) {
        let entry = self.entries.iter_mut().find(|entry| entry.delta == *delta);
        let Some(entry) = entry else { return };
        entry.sends_left = entry.sends_left.saturating_sub(1);
        if !entry.is_pushed {
            entry.known_by.push(neighbour);
        }
        self.drop_spent();
    }

    /// Deltas that were not pushed yet, at most `limit`; each is returned once.
    pub(crate) fn take_unpushed(&mut self, limit: usize) -> Vec<UnpushedDelta> {
        let unpushed = self.entries.iter_mut().filter(|entry| !entry.is_pushed);
        unpushed
            .take(limit)
            .map(|entry| {
                entry.is_pushed = true;
                UnpushedDelta {
                    delta: entry.delta,
                    known_by: std::mem::take(&mut entry.known_by),
                }
            })
            .collect()
    }

    /// Deltas for one heartbeat, at most `limit`, those that were sent least often first.
    pub(crate) fn take_for_heartbeat(&mut self, limit: usize) -> Vec<MemberDelta> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries
            .sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        let taken = self.entries.iter_mut().take(limit);
        let deltas = taken.map(|entry| {
            entry.sends_left = entry.sends_left.saturating_sub(1);
            entry.delta
        });
        let deltas = deltas.collect();
        self.drop_spent();
        deltas
    }

    /// Drops the deltas that were pushed and sent often enough.
    fn drop_spent(&mut self) {
        self.entries
            .retain(|entry| entry.sends_left > 0 || !entry.is_pushed);
    }

    /// Whether any delta was not pushed yet.
    pub(crate) fn has_unpushed(&self) -> bool {
        self.entries.iter().any(|entry| !entry.is_pushed)
    }
}

/// The VM that a delta is about.
fn subject(delta: &MemberDelta) -> VmTag {
    match delta {
        MemberDelta::Report(report) => report.tag,
        MemberDelta::Vote(vote) => vote.subject,
    }
}

/// Whether `new` makes `old` obsolete: a report supersedes all older deltas about its VM.
fn is_superseded(old: &MemberDelta, new: &MemberDelta) -> bool {
    if subject(old) != subject(new) {
        return false;
    }
    match (old, new) {
        (MemberDelta::Vote(old), MemberDelta::Vote(new)) => old.voter == new.voter,
        (MemberDelta::Report(_) | MemberDelta::Vote(_), MemberDelta::Report(_)) => true,
        (MemberDelta::Report(_), MemberDelta::Vote(_)) => false,
    }
}
