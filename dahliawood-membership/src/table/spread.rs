//! Sends heartbeats to the watchers, and pushes deltas to the neighbours.

use super::{MemberEffect, MemberState, MemberTable};
use crate::identity::VmTag;
use crate::message::{MemberDelta, MemberMessage, MessageBody};
use crate::row::MemberRow;
use crate::selection;
use dahliawood_model::stamp::TimeStamp;

/// Most deltas on one heartbeat.
const MAX_HEARTBEAT_DELTAS: usize = 6;

impl MemberTable {
    /// Heartbeats to the watchers, which are selected again if members changed.
    pub(super) fn heartbeats(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        if now < self.due.heartbeat {
            return Vec::new();
        }
        self.due.heartbeat = self
            .due
            .heartbeat
            .max(now.before(self.options.heartbeat_interval));
        self.due.heartbeat = self.due.heartbeat.after(self.options.heartbeat_interval);
        let mut effects = self.update_watchers(now);
        for tag in self.watchers.clone() {
            let deltas = self.gossip.take_for_heartbeat(MAX_HEARTBEAT_DELTAS);
            effects.extend(self.send(tag, MessageBody::Heartbeat, deltas));
        }
        effects
    }

    /// Selects the watchers, and notifies those that are no longer watchers.
    fn update_watchers(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let avoided = self.avoided.len();
        self.avoided.retain(|avoided| avoided.until > now);
        if !self.evaluation.are_watchers_stale && self.avoided.len() == avoided {
            return Vec::new();
        }
        self.evaluation.are_watchers_stale = false;
        let rows = self.index.values().map(|key| &self.rows[*key]);
        let eligible = rows.filter(|row| self.avoided.iter().all(|known| known.tag != row.tag));
        let live = eligible
            .clone()
            .filter(|row| row.state == MemberState::Live);
        let count = self.options.watchers;
        let mut selected =
            selection::select_watchers(&self.location, &live.map(super::view::located), count);
        if selected.len() < count {
            // No other VM has reported yet, as when the whole fleet starts.
            let unseen = eligible.filter(|row| is_unseen(row));
            let missing = count - selected.len();
            let more = selection::select_watchers(
                &self.location,
                &unseen.map(super::view::located),
                missing,
            );
            selected.extend(more);
        }
        let before = std::mem::replace(&mut self.watchers, selected);
        let released = before.iter().filter(|tag| !self.watchers.contains(tag));
        released
            .filter_map(|tag| self.send(*tag, MessageBody::Release, Vec::new()))
            .collect()
    }

    /// Messages that push new deltas to all neighbours at once, within the rate limit.
    pub(super) fn push(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let passed = now.since(self.due.ticked_at).as_secs_f64();
        let tokens = self.push_tokens + passed * self.options.push_per_second;
        self.push_tokens = tokens.min(self.options.push_burst);
        let mut effects = Vec::new();
        if !self.gossip.has_unpushed() {
            return effects;
        }
        let neighbours = self.neighbours();
        let cost = neighbours.len() as f64;
        while !neighbours.is_empty() && self.push_tokens >= cost && self.gossip.has_unpushed() {
            self.push_tokens -= cost;
            let deltas = self.gossip.take_unpushed(self.options.max_deltas);
            for tag in &neighbours {
                let unknown = deltas.iter().filter(|entry| !entry.known_by.contains(tag));
                let unknown: Vec<_> = unknown.map(|entry| entry.delta).collect();
                if !unknown.is_empty() {
                    effects.extend(self.send(*tag, MessageBody::Gossip, unknown));
                }
            }
        }
        effects
    }

    /// The neighbours: the watchers and the VMs watched, except those that are not alive.
    fn neighbours(&self) -> Vec<VmTag> {
        let mut neighbours = self.watchers.clone();
        neighbours.extend(self.watch.subjects());
        neighbours.sort_unstable();
        neighbours.dedup();
        neighbours.retain(|tag| {
            let row = self.row(*tag);
            row.is_some_and(|row| row.state == MemberState::Live || is_unseen(row))
        });
        neighbours
    }

    /// The effect that sends a message to a member.
    pub(super) fn send(
        &self,
        to: VmTag,
        body: MessageBody,
        deltas: Vec<MemberDelta>,
    ) -> Option<MemberEffect> {
        let address = self.row(to)?.profile.peer;
        let message = MemberMessage {
            deltas,
            ..MemberMessage::new(self.own_report, body)
        };
        Some(MemberEffect::Send {
            to,
            address,
            message,
        })
    }
}

/// Whether a listed VM has not reported yet.
pub(super) fn is_unseen(row: &MemberRow) -> bool {
    row.report.is_none() && row.state != MemberState::Gone
}
