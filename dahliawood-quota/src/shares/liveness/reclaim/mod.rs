//! Decides which members have stopped for good, so that their shares may be reclaimed.

use super::{
    DueProbe, MemberLiveness, OpenProbe, PROBES_PER_TIMEOUT, is_fresh, open_probe, probe_members,
};
use crate::shares::document;
use crate::{member, options};
use dahliawood_model::stamp;
use std::time::Duration;

/// A probed VM has [`options::QuotaOptions::reclaim_delay`] divided by this to answer.
const ANSWER_TIME_DIVISOR: u32 = 4;

impl MemberLiveness {
    /// Whether the members in `agreed`, which declared `subject` silent, leave it no majority in
    /// any membership that it may know.
    ///
    /// Members stand in the order in which they joined, so every older membership is a prefix of
    /// `members`. A membership of the subject alone is ignored, because a single member has no
    /// majority. The subject knows each membership that this VM saw one `reclaim_delay` before it
    /// last read the subject in the live list.
    pub(super) fn leaves_no_majority(
        &self,
        subject: member::HolderId,
        agreed: &[member::HolderId],
        document: &document::ShareDocument,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> bool {
        let members = &document.members;
        let is_recent = |at: &&stamp::TimeStamp| now < at.after(options.reclaim_delay);
        let removed = self.removed_at.values().filter(is_recent).count();
        // A subject that this VM never read in the list was last listed before this VM started.
        let listed_at = self.listed_at.get(&subject).unwrap_or(&self.started_at);
        let since = listed_at.before(options.reclaim_delay);
        let is_old = |id: &member::HolderId| self.seen_at.get(id).is_some_and(|at| *at <= since);
        let joined = members.iter().position(|member| member.id == subject);
        let knows_removals = document.removals == 0 || self.read_at.is_some_and(|at| at <= since);
        let Some(joined) = joined.filter(|_| knows_removals) else {
            return false;
        };
        (joined..members.len()).all(|last| {
            let is_outdated = members.get(last + 1).is_some_and(|next| is_old(&next.id));
            let known = &members[..=last];
            let against = known
                .iter()
                .filter(|member| agreed.contains(&member.id))
                .count();
            let members = known.len() + removed;
            let proves_nothing = members == 1;
            is_outdated || proves_nothing || members <= against * 2
        })
    }

    /// Declares `subject` silent if it has been silent for `reclaim_delay` and has left a probe
    /// unanswered. Returns how long it has been silent, or zero if it is not declared silent.
    pub(super) fn declare_silence(
        &mut self,
        subject: member::HolderId,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Duration {
        let heard_at = self.heard_at.get(&subject).copied().unwrap_or_default();
        let heard_at = heard_at.max(self.started_at);
        let probed_at = self
            .probed_at
            .get(&subject)
            .filter(|probed| heard_at <= **probed);
        let answer = options.reclaim_delay / ANSWER_TIME_DIVISOR;
        let is_unanswered = probed_at.is_some_and(|probed| probed.after(answer) <= now);
        if subject == self.me || !is_unanswered || now.since(heard_at) < options.reclaim_delay {
            return Duration::ZERO;
        }
        self.declared_silent_until
            .insert(subject, now.after(options.reclaim_delay));
        now.since(heard_at)
    }

    /// The probe that asks `subject` for an answer, unless it was probed since its last message.
    pub fn probe_subject(
        &mut self,
        subject: member::HolderId,
        now: stamp::TimeStamp,
    ) -> Option<DueProbe> {
        let heard_at = self.heard_at.get(&subject).copied().unwrap_or_default();
        let probed_at = self.probed_at.get(&subject);
        if subject == self.me || probed_at.is_some_and(|probed| heard_at <= *probed) {
            return None;
        }
        self.probed_at.insert(subject, now);
        let probe = self.next_probe(None);
        Some(DueProbe { to: subject, probe })
    }

    pub(super) fn is_absent(
        &self,
        member: &member::MemberEntry,
        options: &options::QuotaOptions,
    ) -> bool {
        let span = self.absences.get(&member.id);
        span.is_some_and(|span| span.is_long_enough(member, options))
    }

    pub(super) fn poll_subject(
        &mut self,
        subject: member::HolderId,
        members: &[member::MemberEntry],
        options: &options::QuotaOptions,
        due: &mut Vec<DueProbe>,
        now: stamp::TimeStamp,
    ) {
        due.extend(self.probe_subject(subject, now));
        let every = options.liveness_timeout / PROBES_PER_TIMEOUT;
        let is_open = |probe: &OpenProbe| now < probe.sent_at.after(every);
        if self.polls.get(&subject).is_some_and(is_open) {
            return;
        }
        let probe = self.next_probe(Some(subject));
        let mut open = open_probe(probe, now);
        if options.reclaim_delay <= self.declare_silence(subject, options, now) {
            open.agreed.push(self.me);
        }
        self.polls.insert(subject, open);
        due.extend(probe_members(members, self.me, probe));
    }

    /// The members whose shares may be reclaimed at `now`: those that are proven silent and, once
    /// [`options::QuotaOptions::max_outstanding_time`] has passed since the start of this VM,
    /// earlier processes at its address.
    pub fn reclaimable_members(
        &self,
        document: &document::ShareDocument,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<member::HolderId> {
        let members = &document.members;
        let is_gone = |member: &member::MemberEntry| {
            let poll = self.polls.get(&member.id);
            let is_agreed = poll.is_some_and(|poll| {
                is_fresh(poll, options, now)
                    && self.leaves_no_majority(member.id, &poll.agreed, document, options, now)
            });
            self.is_absent(member, options) && is_agreed
        };
        let replaced_at = self.started_at.after(options.max_outstanding_time());
        let is_replaced = |id: member::HolderId| {
            id.address == self.me.address && id != self.me && replaced_at <= now
        };
        let reclaimable = members
            .iter()
            .filter(|member| is_gone(member) || is_replaced(member.id));
        reclaimable.map(|member| member.id).collect()
    }
}
