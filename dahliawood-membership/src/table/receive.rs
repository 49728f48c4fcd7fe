//! Taking in a message and answering it.

use super::{HeardFrom, MemberTable};
use crate::identity::{LifeRecord, VmTag};
use crate::message::{MemberMessage, MessageBody, ProfileRecord};
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a profile that was asked for is asked for again.
const WANT_AGAIN: Duration = Duration::from_millis(500);
/// The most profiles asked for in one message.
const WANTED_MOST: usize = 16;

impl MemberTable {
    /// Takes in a message; the reply, where there is one, goes back to its sender.
    ///
    /// A message of an earlier life of its sender is ignored, whatever address it came from.
    pub fn receive(&mut self, message: &MemberMessage, now: TimeStamp) -> Option<MemberMessage> {
        let sender = message.sender;
        if sender.tag == self.me.tag || self.is_outdated(&sender) {
            return None;
        }
        for record in &message.profiles {
            self.merge_profile(record);
        }
        let mut unknown: Vec<VmTag> = self.merge_life(&sender).into_iter().collect();
        self.note_heard(&sender, now);
        for delta in &message.deltas {
            unknown.extend(self.merge(delta, sender.tag, now));
        }
        let reply = self.answer(message, &mut unknown, now);
        let reply = self.complete(reply, message, unknown, now);
        self.judge(now);
        reply
    }

    /// Whether a record is of a life that has ended.
    fn is_outdated(&self, life: &LifeRecord) -> bool {
        let known = self.row(life.tag).and_then(|row| row.life);
        known.is_some_and(|known| life.incarnation < known.incarnation)
    }

    /// Takes note of whom a message came from.
    fn note_heard(&mut self, sender: &LifeRecord, now: TimeStamp) {
        self.watch.heard(sender.tag, sender.incarnation, now);
        let heard = HeardFrom {
            tag: sender.tag,
            at: now,
        };
        if self.heard[0].is_some_and(|last| last.tag != sender.tag) {
            self.heard[1] = self.heard[0];
        }
        self.heard[0] = Some(heard);
        if std::mem::take(&mut self.judging.is_isolated) {
            self.judging.is_all_dirty = true;
        }
        let Some(key) = self.index.get(&sender.tag).copied() else {
            return;
        };
        self.rows[key].heard_at = Some(now);
        let region = self.rows[key].region;
        if self.reach.heard(region) {
            self.judging.is_all_dirty = true;
        }
    }

    /// When anybody but `tag` was last heard.
    pub(super) fn heard_besides(&self, tag: VmTag) -> Option<TimeStamp> {
        let others = self.heard.iter().flatten().filter(|heard| heard.tag != tag);
        others.map(|heard| heard.at).max()
    }

    /// What the message's body is answered with.
    fn answer(
        &mut self,
        message: &MemberMessage,
        unknown: &mut Vec<VmTag>,
        now: TimeStamp,
    ) -> Option<MessageBody> {
        let sender = message.sender;
        match &message.body {
            MessageBody::Beat => self.accept_subject(&sender, now),
            MessageBody::Release => {
                self.watch.remove(sender.tag);
                None
            }
            MessageBody::Refuse => {
                self.avoid(sender.tag, now);
                None
            }
            MessageBody::Probe => Some(MessageBody::Ack),
            MessageBody::Ack => {
                self.is_catching_up = false;
                None
            }
            MessageBody::News => None,
            MessageBody::SyncAsk(digests) => {
                let part = self.sync_part(digests);
                Some(part.map_or(MessageBody::Ack, MessageBody::SyncPart))
            }
            MessageBody::SyncPart(part) => {
                let back = self.take_part(part, unknown, now);
                back.map(MessageBody::SyncPart)
            }
        }
    }

    /// Watches the sender of a heartbeat, or refuses to.
    fn accept_subject(&mut self, sender: &LifeRecord, now: TimeStamp) -> Option<MessageBody> {
        let most = self.options.subjects_most;
        let is_accepted = self.watch.accept(sender.tag, sender.incarnation, most, now);
        (!is_accepted).then_some(MessageBody::Refuse)
    }

    /// Adds to a reply what the sender has to know or asked for; no reply where there is nothing.
    fn complete(
        &mut self,
        body: Option<MessageBody>,
        message: &MemberMessage,
        unknown: Vec<VmTag>,
        now: TimeStamp,
    ) -> Option<MemberMessage> {
        let deltas = self.votes_against(message.sender.tag);
        let wanted = self.due_wants(unknown, now);
        let profiles = self.profiles_of(&message.wanted);
        let is_empty = deltas.is_empty() && wanted.is_empty() && profiles.is_empty();
        if body.is_none() && is_empty {
            return None;
        }
        Some(MemberMessage {
            sender: self.me,
            body: body.unwrap_or(MessageBody::News),
            deltas,
            wanted,
            profiles,
        })
    }

    /// The unknown VMs whose profiles were not asked for of late.
    fn due_wants(&mut self, mut unknown: Vec<VmTag>, now: TimeStamp) -> Vec<VmTag> {
        unknown.sort_unstable();
        unknown.dedup();
        unknown.retain(|tag| {
            let asked_at = self.wanted.get(tag);
            asked_at.is_none_or(|at| now.since(*at) >= WANT_AGAIN)
        });
        unknown.truncate(WANTED_MOST);
        for tag in &unknown {
            self.wanted.insert(*tag, now);
        }
        unknown
    }

    /// The profiles of those that are known and have shown life.
    fn profiles_of(&self, wanted: &[VmTag]) -> Vec<ProfileRecord> {
        let known = wanted.iter().take(WANTED_MOST).filter_map(|tag| {
            if *tag == self.me.tag {
                return Some((self.me, &self.profile));
            }
            let row = self.row(*tag)?;
            Some((row.life?, &row.profile))
        });
        known
            .map(|(life, profile)| ProfileRecord {
                life,
                profile: Arc::clone(profile),
            })
            .collect()
    }
}
