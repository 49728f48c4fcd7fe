//! Processes received messages and builds the replies.

use super::{HeardSender, MemberTable};
use crate::identity::{SelfReport, VmTag};
use crate::message::{MemberMessage, MessageBody, ProfileRecord};
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a requested profile is requested again.
const REQUEST_RETRY: Duration = Duration::from_millis(500);
/// Most profiles requested in one message.
const MAX_PROFILE_REQUESTS: usize = 16;

impl MemberTable {
    /// Processes a message and returns the reply to its sender, if any.
    ///
    /// A message of an earlier incarnation of its sender is ignored, whatever address it came from.
    pub fn receive(&mut self, message: &MemberMessage, now: TimeStamp) -> Option<MemberMessage> {
        let sender = message.sender;
        if sender.tag == self.own_report.tag || self.is_outdated(&sender) {
            return None;
        }
        for record in &message.profiles {
            self.merge_profile(record);
        }
        let mut unknown: Vec<VmTag> = self.merge_report(&sender).into_iter().collect();
        self.record_heard(&sender, now);
        for delta in &message.deltas {
            unknown.extend(self.merge_delta(delta, sender.tag, now));
        }
        let reply = self.reply_body(message, &mut unknown, now);
        let reply = self.complete_reply(reply, message, unknown, now);
        self.evaluate(now);
        reply
    }

    /// Whether a report is of an earlier incarnation than the known one.
    fn is_outdated(&self, report: &SelfReport) -> bool {
        let known = self.row(report.tag).and_then(|row| row.report);
        known.is_some_and(|known| report.incarnation < known.incarnation)
    }

    /// Records the sender and the time of a message.
    fn record_heard(&mut self, sender: &SelfReport, now: TimeStamp) {
        self.watch.heard(sender.tag, sender.incarnation, now);
        let heard = HeardSender {
            tag: sender.tag,
            at: now,
        };
        if self.last_heard[0].is_some_and(|last| last.tag != sender.tag) {
            self.last_heard[1] = self.last_heard[0];
        }
        self.last_heard[0] = Some(heard);
        if std::mem::take(&mut self.evaluation.is_isolated) {
            self.evaluation.is_all_dirty = true;
        }
        let Some(key) = self.index.get(&sender.tag).copied() else {
            return;
        };
        self.rows[key].heard_at = Some(now);
        let region = self.rows[key].region;
        if self.reach.heard(region) {
            self.evaluation.is_all_dirty = true;
        }
    }

    /// When the last message of a VM other than `tag` arrived.
    pub(super) fn last_heard_except(&self, tag: VmTag) -> Option<TimeStamp> {
        let others = self
            .last_heard
            .iter()
            .flatten()
            .filter(|heard| heard.tag != tag);
        others.map(|heard| heard.at).max()
    }

    /// Processes a message's body and returns the body of the reply, if any.
    fn reply_body(
        &mut self,
        message: &MemberMessage,
        unknown: &mut Vec<VmTag>,
        now: TimeStamp,
    ) -> Option<MessageBody> {
        let sender = message.sender;
        match &message.body {
            MessageBody::Heartbeat => self.accept_subject(&sender, now),
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
            MessageBody::Gossip => None,
            MessageBody::SyncRequest(digests) => {
                let part = self.sync_part(digests);
                Some(part.map_or(MessageBody::Ack, MessageBody::SyncPart))
            }
            MessageBody::SyncPart(part) => {
                let back = self.merge_part(part, unknown, now);
                back.map(MessageBody::SyncPart)
            }
        }
    }

    /// Watches the sender of a heartbeat, or refuses if there are too many.
    fn accept_subject(&mut self, sender: &SelfReport, now: TimeStamp) -> Option<MessageBody> {
        let limit = self.options.max_subjects;
        let is_accepted = self
            .watch
            .accept(sender.tag, sender.incarnation, limit, now);
        (!is_accepted).then_some(MessageBody::Refuse)
    }

    /// Adds to a reply the votes against the sender, the profiles that it requested and requests
    /// for unknown ones; `None` if there is nothing to send.
    fn complete_reply(
        &mut self,
        body: Option<MessageBody>,
        message: &MemberMessage,
        unknown: Vec<VmTag>,
        now: TimeStamp,
    ) -> Option<MemberMessage> {
        let deltas = self.votes_against(message.sender.tag);
        let profile_requests = self.profiles_to_request(unknown, now);
        let profiles = self.profiles_of(&message.profile_requests);
        let is_empty = deltas.is_empty() && profile_requests.is_empty() && profiles.is_empty();
        if body.is_none() && is_empty {
            return None;
        }
        Some(MemberMessage {
            sender: self.own_report,
            body: body.unwrap_or(MessageBody::Gossip),
            deltas,
            profile_requests,
            profiles,
        })
    }

    /// The unknown VMs whose profiles were not requested recently.
    fn profiles_to_request(&mut self, mut unknown: Vec<VmTag>, now: TimeStamp) -> Vec<VmTag> {
        unknown.sort_unstable();
        unknown.dedup();
        unknown.retain(|tag| {
            let requested_at = self.profile_requested_at.get(tag);
            requested_at.is_none_or(|at| now.since(*at) >= REQUEST_RETRY)
        });
        unknown.truncate(MAX_PROFILE_REQUESTS);
        for tag in &unknown {
            self.profile_requested_at.insert(*tag, now);
        }
        unknown
    }

    /// The profiles of those VMs that are known and have reported.
    fn profiles_of(&self, profile_requests: &[VmTag]) -> Vec<ProfileRecord> {
        let known = profile_requests
            .iter()
            .take(MAX_PROFILE_REQUESTS)
            .filter_map(|tag| {
                if *tag == self.own_report.tag {
                    return Some((self.own_report, &self.profile));
                }
                let row = self.row(*tag)?;
                Some((row.report?, &row.profile))
            });
        known
            .map(|(report, profile)| ProfileRecord {
                report,
                profile: Arc::clone(profile),
            })
            .collect()
    }
}
