//! Periodic actions: probes, votes, anti-entropy exchanges, and the evaluation of all members.

use super::spread::is_unseen;
use super::{MemberEffect, MemberState, MemberTable};
use crate::identity::VmTag;
use crate::message::{MessageBody, VoteRecord};
use crate::reach::ReachStep;
use crate::row::MemberRow;
use crate::selection;
use dahliawood_model::keys::VmKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time without a tick after which this VM assumes that its process was paused.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// Greatest age of the last message of a third VM for this VM to vote.
const MAX_WITNESS_AGE: Duration = Duration::from_millis(700);
/// Time after the first vote against a VM until other VMs check that VM too, if it still counts as
/// live.
const ACCUSED_CHECK_AFTER: Duration = Duration::from_millis(150);
/// Time after the first vote from which on other VMs no longer check the VM.
const ACCUSED_CHECK_UNTIL: Duration = Duration::from_secs(3);
/// Time without any message after which this VM probes others.
const SILENCE_PROBE_AFTER: Duration = Duration::from_millis(900);
/// Interval between two such probes.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two probes of members from which no messages arrive.
const UNHEARD_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two evaluations of all members.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two exchanges while many records are missing.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two exchanges while many members have not reported yet.
const UNSEEN_INTERVAL: Duration = Duration::from_millis(500);
/// The fleet counts as having many members that have not reported if they are more than one in this
/// number.
const UNSEEN_ONE_IN: usize = 20;
/// One exchange in this number is with a member that is accused or has not reported.
const SYNC_UNHEARD_ONE_IN: usize = 4;

impl MemberTable {
    /// Carries out all actions that are due. To be called about ten times per second.
    pub fn tick(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        if now.since(self.due.ticked_at) >= MIN_PAUSE {
            self.resume(now);
        }
        self.sweep(now);
        let mut effects = self.probe_or_vote(now);
        self.check_accused(now);
        effects.extend(self.probe_regions(now));
        effects.extend(self.probe_when_silent(now));
        effects.extend(self.probe_unheard(now));
        self.evaluate(now);
        effects.extend(self.heartbeats(now));
        effects.extend(self.start_sync(now));
        effects.extend(self.push(now));
        self.due.ticked_at = now;
        effects
    }

    /// Restarts all measurements of silence, as no message could be processed for a while.
    fn resume(&mut self, now: TimeStamp) {
        self.watch.restart(now);
        self.reach.restart();
        self.last_heard
            .iter_mut()
            .flatten()
            .for_each(|heard| heard.at = now);
    }

    /// Evaluates all members once per second, for changes that depend on time alone.
    fn sweep(&mut self, now: TimeStamp) {
        if now < self.due.sweep {
            return;
        }
        self.due.sweep = now.after(SWEEP_INTERVAL);
        self.forget(now);
        self.evaluation.is_all_dirty = true;
        let accused = self.index.values().map(|key| (*key, &self.rows[*key]));
        let accused = accused.filter(|(_, row)| row.state != MemberState::Suspect);
        let votes =
            accused.flat_map(|(key, row)| row.voters.iter().map(move |voter| (key, *voter)));
        for (key, voter) in votes.collect::<Vec<_>>() {
            self.suspect_region(key, voter, now);
        }
    }

    /// Probes watched VMs that are silent, and votes against those that stay silent.
    fn probe_or_vote(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let options = self.options;
        let mut silent = Vec::new();
        let mut votes = Vec::new();
        for entry in self.watch.entries_mut() {
            let silence = now.since(entry.heard_at);
            let mut is_first = false;
            let is_due = entry
                .probed_at
                .is_none_or(|at| now.since(at) >= options.probe_interval);
            if silence >= options.probe_after && is_due && !entry.has_voted {
                is_first = entry.probed_at.is_none();
                entry.probed_at = Some(now);
                silent.push(entry.tag);
            }
            if silence >= options.vote_after && !entry.has_voted && !is_first {
                votes.push((entry.tag, entry.incarnation));
            }
        }
        for (tag, incarnation) in votes {
            self.vote(tag, incarnation, now);
        }
        let probed = silent
            .into_iter()
            .flat_map(|tag| self.probe_with_witnesses(tag));
        probed.collect()
    }

    /// Probes of a silent VM and of two others, whose responses show that this VM's own connection
    /// works.
    fn probe_with_witnesses(&mut self, tag: VmTag) -> Vec<MemberEffect> {
        let domain = self.location_of(tag).map(|location| location.domain);
        let witness = |row: &MemberRow| {
            row.state == MemberState::Live && row.tag != tag && Some(row.domain) != domain
        };
        let witnesses = [self.draw(witness), self.draw(witness)];
        let probed = std::iter::once(tag).chain(witnesses.into_iter().flatten());
        probed.filter_map(|tag| self.probe(tag)).collect()
    }

    /// A probe, which carries the votes against the probed VM so that it can refute them.
    fn probe(&self, tag: VmTag) -> Option<MemberEffect> {
        self.send(tag, MessageBody::Probe, self.votes_against(tag))
    }

    /// Votes against a silent VM, unless no other VM was heard recently either.
    fn vote(&mut self, tag: VmTag, incarnation: u64, now: TimeStamp) {
        let heard_at = self.last_heard_except(tag);
        if heard_at.is_none_or(|at| now.since(at) > MAX_WITNESS_AGE) {
            return;
        }
        let entry = self.watch.entries_mut().find(|entry| entry.tag == tag);
        if let Some(entry) = entry {
            entry.has_voted = true;
        }
        let report = self.row(tag).and_then(|row| row.report);
        let Some(report) = report.filter(|report| report.incarnation == incarnation) else {
            return;
        };
        let vote = VoteRecord {
            subject: tag,
            incarnation,
            counter: report.counter,
            voter: self.own_report.tag,
        };
        self.merge_vote(&vote, now);
    }

    /// Makes this VM check accused VMs that still count as live, as they have too few votes against
    /// them, if this VM is among their next watchers in line.
    fn check_accused(&mut self, now: TimeStamp) {
        let waiting = std::mem::take(&mut self.accused);
        for key in waiting {
            let Some(voted_at) = self.rows[key].voted_at else {
                continue;
            };
            let since = now.since(voted_at);
            if since < ACCUSED_CHECK_AFTER {
                self.accused.push(key);
            } else if since < ACCUSED_CHECK_UNTIL && self.rows[key].state == MemberState::Live {
                self.check_accused_vm(key, now);
            }
        }
    }

    /// Watches one VM until one message arrives, if this VM is among the next watchers in line.
    fn check_accused_vm(&mut self, key: VmKey, now: TimeStamp) {
        let row = &self.rows[key];
        let subject = super::view::located(row);
        let others = self.index.values().map(|key| &self.rows[*key]);
        let eligible = others.filter(|other| {
            other.state == MemberState::Live
                && other.voters.is_empty()
                && !row.voters.contains(&other.tag)
        });
        let candidates = eligible
            .map(super::view::located)
            .chain(std::iter::once(self.location));
        let selected = selection::select_watchers(&subject, &candidates, self.options.watchers);
        let incarnation = row.report.map_or(0, |report| report.incarnation);
        if selected.contains(&self.own_report.tag) && !row.voters.contains(&self.own_report.tag) {
            let heard_at = now.before(self.options.probe_after);
            self.watch.watch_once(subject.tag, incarnation, heard_at);
        }
    }

    /// Probes regions that are suspect or cut off.
    fn probe_regions(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let steps = self.reach.due(&self.options, now);
        let probed = steps.into_iter().filter_map(|step| match step {
            ReachStep::Cut(_) => {
                self.evaluation.is_all_dirty = true;
                None
            }
            ReachStep::Probe(region) => {
                let tag = self.draw(|row| row.region == region && row.state != MemberState::Gone);
                tag.and_then(|tag| self.probe(tag))
            }
        });
        probed.collect()
    }

    /// Probes two other VMs, one of them in this region, if no message arrived for a while. After a
    /// longer time this VM considers itself isolated: all others are unreachable.
    fn probe_when_silent(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let Some(heard) = self.last_heard[0] else {
            return Vec::new();
        };
        let silence = now.since(heard.at);
        if silence >= self.options.isolated_after && !self.evaluation.is_isolated {
            self.evaluation.is_isolated = true;
            self.evaluation.is_all_dirty = true;
        }
        if silence < SILENCE_PROBE_AFTER || now < self.due.silence_probe {
            return Vec::new();
        }
        self.due.silence_probe = now.after(SILENCE_PROBE_INTERVAL);
        let region = self.location.region;
        let near = self.draw(|row| row.state != MemberState::Gone && row.region == region);
        let any = self.draw(|row| row.state != MemberState::Gone);
        let drawn = near.into_iter().chain(any);
        drawn.filter_map(|tag| self.probe(tag)).collect()
    }

    /// Probes one member from which no messages arrive, to detect when the connection is restored.
    fn probe_unheard(&mut self, now: TimeStamp) -> Option<MemberEffect> {
        if now < self.due.unheard_probe {
            return None;
        }
        self.due.unheard_probe = now.after(UNHEARD_PROBE_INTERVAL);
        let unheard = [MemberState::Suspect, MemberState::Unreachable];
        let tag = self.draw(|row| unheard.contains(&row.state))?;
        self.probe(tag)
    }

    /// Starts an anti-entropy exchange with one member, and watches that member until it responds.
    fn start_sync(&mut self, now: TimeStamp) -> Option<MemberEffect> {
        if now < self.due.sync {
            return None;
        }
        let every = self.next_sync_interval();
        self.due.sync = now.after(every);
        let is_unheard = self.rng.below(SYNC_UNHEARD_ONE_IN) == 0;
        let tag = self.draw_partner(is_unheard)?;
        if let Some(report) = self.row(tag).and_then(|row| row.report) {
            self.watch.watch_once(tag, report.incarnation, now);
        }
        self.send(
            tag,
            MessageBody::SyncRequest(Box::new(self.digests())),
            Vec::new(),
        )
    }

    /// Time until the next exchange, which is shorter if much is missing.
    fn next_sync_interval(&self) -> Duration {
        let rows = self.index.values().map(|key| &self.rows[*key]);
        let unseen = rows.filter(|row| is_unseen(row)).count();
        if self.is_catching_up {
            CATCH_UP_INTERVAL
        } else if unseen * UNSEEN_ONE_IN > self.index.len() {
            UNSEEN_INTERVAL
        } else {
            self.options.sync_interval
        }
    }

    /// A random partner for an exchange: one that is alive, or one that is accused or has not
    /// reported.
    fn draw_partner(&mut self, is_unheard: bool) -> Option<VmTag> {
        let is_live = |row: &MemberRow| row.state == MemberState::Live;
        let is_uncertain = |row: &MemberRow| {
            row.state != MemberState::Gone && (!row.voters.is_empty() || is_unseen(row))
        };
        let first = if is_unheard {
            self.draw(is_uncertain)
        } else {
            self.draw(is_live)
        };
        first
            .or_else(|| self.draw(is_live))
            .or_else(|| self.draw(|row| row.state != MemberState::Gone))
    }
}
