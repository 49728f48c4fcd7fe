//! News that is still being passed on, each a bounded number of times.

use crate::identity::VmTag;
use crate::message::MemberDelta;

/// Sends of each piece of news on heartbeats, beyond half the logarithm of the fleet's size.
const EXTRA_SENDS: u32 = 2;
/// The most pieces of news that wait; the oldest goes first, anti-entropy carries it then.
const QUEUE_MOST: usize = 4_096;

/// One piece of news.
#[derive(Clone, Debug)]
struct RumourEntry {
    delta: MemberDelta,
    is_pushed: bool,
    sends_left: u32,
    known_by: Vec<VmTag>,
}

/// News to be pushed, with the neighbours that need not be told.
#[derive(Clone, Debug)]
pub(crate) struct UnpushedDelta {
    pub(crate) delta: MemberDelta,
    pub(crate) known_by: Vec<VmTag>,
}

/// All news that is still being passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumourQueue {
    entries: Vec<RumourEntry>,
}

impl RumourQueue {
    /// Adds news, in place of older news of the same kind about the same VM.
    pub(crate) fn add(&mut self, delta: MemberDelta, fleet: usize) {
        self.entries
            .retain(|entry| !is_superseded(&entry.delta, &delta));
        if self.entries.len() == QUEUE_MOST {
            self.entries.remove(0);
        }
        self.entries.push(RumourEntry {
            delta,
            is_pushed: false,
            sends_left: fleet.max(1).ilog2() / 2 + EXTRA_SENDS,
            known_by: Vec::new(),
        });
    }

    /// Takes in that a neighbour knows a piece of news: it is not pushed there, and needs one send
    /// less.
    pub(crate) fn known_by(&mut self, neighbour: VmTag, delta: &MemberDelta) {
        let entry = self.entries.iter_mut().find(|entry| entry.delta == *delta);
        let Some(entry) = entry else { return };
        entry.sends_left = entry.sends_left.saturating_sub(1);
        if !entry.is_pushed {
            entry.known_by.push(neighbour);
        }
        self.drop_spent();
    }

    /// News that was not pushed yet, at most `most`; each is given out once.
    pub(crate) fn take_unpushed(&mut self, most: usize) -> Vec<UnpushedDelta> {
        let unpushed = self.entries.iter_mut().filter(|entry| !entry.is_pushed);
        unpushed
            .take(most)
            .map(|entry| {
                entry.is_pushed = true;
                UnpushedDelta {
                    delta: entry.delta,
                    known_by: std::mem::take(&mut entry.known_by),
                }
            })
            .collect()
    }

    /// News for one heartbeat, at most `most`, the least often sent first.
    pub(crate) fn take_for_beat(&mut self, most: usize) -> Vec<MemberDelta> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries
            .sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        let taken = self.entries.iter_mut().take(most);
        let deltas = taken.map(|entry| {
            entry.sends_left = entry.sends_left.saturating_sub(1);
            entry.delta
        });
        let deltas = deltas.collect();
        self.drop_spent();
        deltas
    }

    /// Drops what was sent often enough and does not wait to be pushed.
    fn drop_spent(&mut self) {
        self.entries
            .retain(|entry| entry.sends_left > 0 || !entry.is_pushed);
    }

    /// Whether there is news that no neighbour was sent yet.
    pub(crate) fn has_unpushed(&self) -> bool {
        self.entries.iter().any(|entry| !entry.is_pushed)
    }
}

/// The VM that news is about.
fn subject(delta: &MemberDelta) -> VmTag {
    match delta {
        MemberDelta::Life(life) => life.tag,
        MemberDelta::Vote(vote) => vote.subject,
    }
}

/// Whether `new` makes `old` worthless: a life supersedes all older news of its VM.
fn is_superseded(old: &MemberDelta, new: &MemberDelta) -> bool {
    if subject(old) != subject(new) {
        return false;
    }
    match (old, new) {
        (MemberDelta::Vote(old), MemberDelta::Vote(new)) => old.voter == new.voter,
        (MemberDelta::Life(_) | MemberDelta::Vote(_), MemberDelta::Life(_)) => true,
        (MemberDelta::Life(_), MemberDelta::Vote(_)) => false,
    }
}
