//! Heartbeats to the watchers, and news to the neighbours.

use super::{MemberEffect, MemberState, MemberTable};
use crate::choice;
use crate::identity::VmTag;
use crate::message::{MemberDelta, MemberMessage, MessageBody};
use crate::row::MemberRow;
use dahliawood_model::stamp::TimeStamp;

/// The most deltas on one heartbeat.
const DELTAS_ON_BEAT: usize = 6;

impl MemberTable {
    /// Heartbeats to the watchers, chosen anew where the members changed.
    pub(super) fn beats(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        if now < self.due.beat {
            return Vec::new();
        }
        self.due.beat = self.due.beat.max(now.before(self.options.beat_every));
        self.due.beat = self.due.beat.after(self.options.beat_every);
        let mut effects = self.choose_watchers(now);
        for tag in self.watchers.clone() {
            let deltas = self.rumours.take_for_beat(DELTAS_ON_BEAT);
            effects.extend(self.send(tag, MessageBody::Beat, deltas));
        }
        effects
    }

    /// Chooses the watchers; those that are none any more are told.
    fn choose_watchers(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let avoided = self.avoided.len();
        self.avoided.retain(|avoided| avoided.until > now);
        if !self.judging.are_watchers_stale && self.avoided.len() == avoided {
            return Vec::new();
        }
        self.judging.are_watchers_stale = false;
        let rows = self.index.values().map(|key| &self.rows[*key]);
        let fitting = rows.filter(|row| self.avoided.iter().all(|known| known.tag != row.tag));
        let live = fitting.clone().filter(|row| row.state == MemberState::Live);
        let count = self.options.watchers;
        let mut chosen = choice::watchers(&self.place, &live.map(super::view::placed), count);
        if chosen.len() < count {
            // Nobody else has shown life yet, as at the start of the fleet.
            let unseen = fitting.filter(|row| is_unseen(row));
            let missing = count - chosen.len();
            let more = choice::watchers(&self.place, &unseen.map(super::view::placed), missing);
            chosen.extend(more);
        }
        let before = std::mem::replace(&mut self.watchers, chosen);
        let released = before.iter().filter(|tag| !self.watchers.contains(tag));
        released
            .filter_map(|tag| self.send(*tag, MessageBody::Release, Vec::new()))
            .collect()
    }

    /// News that no neighbour was sent yet, to all of them at once.
    pub(super) fn push(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let passed = now.since(self.due.ticked_at).as_secs_f64();
        let tokens = self.push_tokens + passed * self.options.push_per_second;
        self.push_tokens = tokens.min(self.options.push_burst);
        let mut effects = Vec::new();
        if !self.rumours.has_unpushed() {
            return effects;
        }
        let contacts = self.contacts();
        let cost = contacts.len() as f64;
        while !contacts.is_empty() && self.push_tokens >= cost && self.rumours.has_unpushed() {
            self.push_tokens -= cost;
            let deltas = self.rumours.take_unpushed(self.options.deltas_most);
            for tag in &contacts {
                let unknown = deltas.iter().filter(|entry| !entry.known_by.contains(tag));
                let unknown: Vec<_> = unknown.map(|entry| entry.delta).collect();
                if !unknown.is_empty() {
                    effects.extend(self.send(*tag, MessageBody::News, unknown));
                }
            }
        }
        effects
    }

    /// The neighbours: the watchers and the watched, those left out that do not live.
    fn contacts(&self) -> Vec<VmTag> {
        let mut contacts = self.watchers.clone();
        contacts.extend(self.watch.subjects());
        contacts.sort_unstable();
        contacts.dedup();
        contacts.retain(|tag| {
            let row = self.row(*tag);
            row.is_some_and(|row| row.state == MemberState::Live || is_unseen(row))
        });
        contacts
    }

    /// A message to a member.
    pub(super) fn send(
        &self,
        to: VmTag,
        body: MessageBody,
        deltas: Vec<MemberDelta>,
    ) -> Option<MemberEffect> {
        let address = self.row(to)?.profile.peer;
        let message = MemberMessage {
            deltas,
            ..MemberMessage::new(self.me, body)
        };
        Some(MemberEffect::Send {
            to,
            address,
            message,
        })
    }
}

/// Whether a listed VM has not shown life yet.
pub(super) fn is_unseen(row: &MemberRow) -> bool {
    row.life.is_none() && row.state != MemberState::Gone
}
