//! Merges reports, votes and profiles of members into the table.

use super::{AvoidedVm, MemberState, MemberTable};
use crate::identity::{SelfReport, VmTag};
use crate::message::{MemberDelta, ProfileRecord, VoteRecord};
use crate::row::RowChange;
use dahliawood_model::keys::VmKey;
use dahliawood_model::stamp::TimeStamp;

impl MemberTable {
    /// Merges one delta; returns the tag of a VM whose profile must be requested.
    pub(super) fn merge_delta(
        &mut self,
        delta: &MemberDelta,
        from: VmTag,
        now: TimeStamp,
    ) -> Option<VmTag> {
        let unknown = match delta {
            MemberDelta::Report(report) => self.merge_report(report),
            MemberDelta::Vote(vote) => self.merge_vote(vote, now),
        };
        self.gossip.mark_known_by(from, delta);
        unknown
    }

    /// Merges a report; returns its tag if the VM's profile must be requested, as it is unknown or
    /// may have changed with a restart.
    pub(super) fn merge_report(&mut self, report: &SelfReport) -> Option<VmTag> {
        if report.tag == self.own_report.tag {
            self.refute_report(report);
            return None;
        }
        let Some(key) = self.index.get(&report.tag).copied() else {
            return Some(report.tag);
        };
        let row = &mut self.rows[key];
        let known = row.report.map(|known| known.incarnation);
        let change = row.merge_report(report);
        let merged = row.report.unwrap_or(*report);
        if change == RowChange::None {
            return None;
        }
        if change == RowChange::Report {
            self.evaluation.dirty.push(key);
            self.watch.remove_if_voted(report.tag);
            self.announce(MemberDelta::Report(merged));
        } else if self.index.len() < self.options.revision_spread_limit {
            self.announce(MemberDelta::Report(merged));
        }
        let is_restart = known.is_some_and(|known| known < report.incarnation);
        is_restart.then_some(report.tag)
    }

    /// Raises this VM's counter above one that others know, such as from a notice of leaving that
    /// this VM never sent.
    fn refute_report(&mut self, report: &SelfReport) {
        let is_ours = report.incarnation == self.own_report.incarnation;
        if is_ours && report.counter > self.own_report.counter {
            self.own_report.counter = report.counter + 1;
            self.announce(MemberDelta::Report(self.own_report));
        }
    }

    /// Merges a vote; returns the subject's tag if its profile must be requested.
    pub(super) fn merge_vote(&mut self, vote: &VoteRecord, now: TimeStamp) -> Option<VmTag> {
        if vote.subject == self.own_report.tag {
            self.refute_vote(vote, now);
            return None;
        }
        let Some(key) = self.index.get(&vote.subject).copied() else {
            // There is no need to learn about a VM that is already silent.
            return None;
        };
        let unknown = self.merge_report(&SelfReport {
            tag: vote.subject,
            incarnation: vote.incarnation,
            counter: vote.counter,
            revision: 0,
            leaving: self.rows[key].report.is_some_and(|report| report.leaving),
        });
        let row = &mut self.rows[key];
        let is_current = row.report.is_some_and(|report| {
            (report.incarnation, report.counter) == (vote.incarnation, vote.counter)
        });
        if is_current && row.add_voter(vote.voter, now) {
            self.evaluation.dirty.push(key);
            self.accused.push(key);
            self.suspect_region(key, vote.voter, now);
            self.announce(MemberDelta::Vote(*vote));
        }
        unknown
    }

    /// Refutes a vote against this VM, and avoids that watcher for a while.
    fn refute_vote(&mut self, vote: &VoteRecord, now: TimeStamp) {
        if vote.incarnation != self.own_report.incarnation || vote.counter < self.own_report.counter
        {
            return;
        }
        self.own_report.counter = vote.counter + 1;
        self.announce(MemberDelta::Report(self.own_report));
        self.avoid(vote.voter, now);
    }

    /// Avoids a watcher for a while.
    pub(super) fn avoid(&mut self, tag: VmTag, now: TimeStamp) {
        self.avoided.retain(|known| known.tag != tag);
        self.avoided.push(AvoidedVm {
            tag,
            until: now.after(self.options.avoid_for),
        });
        self.evaluation.are_watchers_stale = true;
    }

    /// Marks another region as suspect if a VM of this region votes against one of its VMs.
    pub(super) fn suspect_region(&mut self, key: VmKey, voter: VmTag, now: TimeStamp) {
        let region = self.rows[key].region;
        let is_local_vote = self
            .location_of(voter)
            .is_some_and(|location| location.region == self.location.region);
        if is_local_vote && region != self.location.region {
            self.reach.suspect(region, now);
        }
    }

    /// Merges a profile.
    pub(super) fn merge_profile(&mut self, record: &ProfileRecord) {
        let tag = record.report.tag;
        if tag == self.own_report.tag || tag != record.profile.tag() {
            return;
        }
        self.profile_requested_at.remove(&tag);
        let key = self.row_of(tag, &record.profile);
        let known = self.rows[key].report.map_or(0, |report| report.incarnation);
        if record.report.incarnation < known {
            return;
        }
        self.set_profile(key, &record.profile);
        self.merge_report(&record.report);
    }

    /// The current votes against a VM.
    pub(super) fn votes_against(&self, tag: VmTag) -> Vec<MemberDelta> {
        let Some(row) = self.row(tag) else {
            return Vec::new();
        };
        let Some(report) = row.report else {
            return Vec::new();
        };
        let voters = row.voters.iter();
        voters
            .map(|voter| {
                MemberDelta::Vote(VoteRecord {
                    subject: tag,
                    incarnation: report.incarnation,
                    counter: report.counter,
                    voter: *voter,
                })
            })
            .collect()
    }

    /// Removes rows that have been gone for `forget_after`.
    pub(super) fn forget(&mut self, now: TimeStamp) {
        let span = self.options.forget_after;
        let rows = self.index.values().map(|key| (*key, &self.rows[*key]));
        let old = rows.filter(|(_, row)| {
            row.state == MemberState::Gone && row.gone_at.is_some_and(|at| now.since(at) >= span)
        });
        let old: Vec<_> = old.map(|(key, row)| (key, row.tag)).collect();
        for (key, tag) in old {
            self.index.remove(&tag);
            self.free.push(key);
            self.accused.retain(|accused| *accused != key);
        }
    }
}
