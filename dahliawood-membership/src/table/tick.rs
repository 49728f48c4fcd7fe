//! What is due with time: probes, votes, exchanges, the sweep.

use super::spread::is_unseen;
use super::{MemberEffect, MemberState, MemberTable};
use crate::choice;
use crate::identity::VmTag;
use crate::message::{MessageBody, VoteRecord};
use crate::reach::ReachStep;
use crate::row::MemberRow;
use dahliawood_model::keys::VmKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time without a tick after which this VM takes itself to have been paused.
const PAUSE_LEAST: Duration = Duration::from_millis(700);
/// How fresh a message of a third VM has to be for a vote.
const WITNESS_FRESH: Duration = Duration::from_millis(700);
/// How long a vote waits for a second one until other VMs probe too.
const HELP_AFTER: Duration = Duration::from_millis(150);
/// Time after which a vote that found no second one no longer calls for help.
const HELP_UNTIL: Duration = Duration::from_secs(3);
/// Time without any message after which others are probed.
const LONELY_AFTER: Duration = Duration::from_millis(900);
/// Time between two such probes.
const LONELY_EVERY: Duration = Duration::from_millis(300);
/// Time between two probes of members that are not heard.
const HEAL_EVERY: Duration = Duration::from_secs(1);
/// Time between two judgements of all members.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// Time between two exchanges while much is missing.
const CATCH_UP_EVERY: Duration = Duration::from_millis(200);
/// The same while many members have shown no life.
const UNSEEN_EVERY: Duration = Duration::from_millis(500);
/// What "many" is: more than one in so many.
const UNSEEN_ONE_IN: usize = 20;
/// Exchanges with members that are not heard: one in so many.
const SYNC_UNHEARD_ONE_IN: usize = 4;

impl MemberTable {
    /// Does what is due; to be called about ten times a second.
    pub fn tick(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        if now.since(self.due.ticked_at) >= PAUSE_LEAST {
            self.resume(now);
        }
        self.sweep(now);
        let mut effects = self.probe_or_vote(now);
        self.help(now);
        effects.extend(self.probe_regions(now));
        effects.extend(self.probe_when_lonely(now));
        effects.extend(self.probe_unheard(now));
        self.judge(now);
        effects.extend(self.beats(now));
        effects.extend(self.ask_sync(now));
        effects.extend(self.push(now));
        self.due.ticked_at = now;
        effects
    }

    /// Starts all spans of silence anew, as nothing could be heard for a while.
    fn resume(&mut self, now: TimeStamp) {
        self.watch.restart(now);
        self.reach.restart();
        self.heard
            .iter_mut()
            .flatten()
            .for_each(|heard| heard.at = now);
    }

    /// Judges everything once a second, for what changes with time alone.
    fn sweep(&mut self, now: TimeStamp) {
        if now < self.due.sweep {
            return;
        }
        self.due.sweep = now.after(SWEEP_EVERY);
        self.forget(now);
        self.judging.is_all_dirty = true;
        let accused = self.index.values().map(|key| (*key, &self.rows[*key]));
        let accused = accused.filter(|(_, row)| row.state != MemberState::Suspect);
        let votes =
            accused.flat_map(|(key, row)| row.voters.iter().map(move |voter| (key, *voter)));
        for (key, voter) in votes.collect::<Vec<_>>() {
            self.doubt_region(key, voter, now);
        }
    }

    /// Probes the watched that are silent, and votes against those that stay so.
    fn probe_or_vote(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let options = self.options;
        let mut silent = Vec::new();
        let mut votes = Vec::new();
        for entry in self.watch.entries_mut() {
            let silence = now.since(entry.heard_at);
            let mut is_first = false;
            let is_due = entry
                .probed_at
                .is_none_or(|at| now.since(at) >= options.probe_every);
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

    /// A probe of a silent VM, and of two others that show whether this one is heard at all.
    fn probe_with_witnesses(&mut self, tag: VmTag) -> Vec<MemberEffect> {
        let domain = self.place_of(tag).map(|place| place.domain);
        let witness = |row: &MemberRow| {
            row.state == MemberState::Live && row.tag != tag && Some(row.domain) != domain
        };
        let witnesses = [self.draw(witness), self.draw(witness)];
        let probed = std::iter::once(tag).chain(witnesses.into_iter().flatten());
        probed.filter_map(|tag| self.probe(tag)).collect()
    }

    /// A probe, with the votes against the one probed, so that it can refute them.
    fn probe(&self, tag: VmTag) -> Option<MemberEffect> {
        self.send(tag, MessageBody::Probe, self.votes_against(tag))
    }

    /// Votes against a silent VM, unless nobody else is heard either.
    fn vote(&mut self, tag: VmTag, incarnation: u64, now: TimeStamp) {
        let witnessed = self.heard_besides(tag);
        if witnessed.is_none_or(|at| now.since(at) > WITNESS_FRESH) {
            return;
        }
        let entry = self.watch.entries_mut().find(|entry| entry.tag == tag);
        if let Some(entry) = entry {
            entry.has_voted = true;
        }
        let life = self.row(tag).and_then(|row| row.life);
        let Some(life) = life.filter(|life| life.incarnation == incarnation) else {
            return;
        };
        let vote = VoteRecord {
            subject: tag,
            incarnation,
            counter: life.counter,
            voter: self.me.tag,
        };
        self.merge_vote(&vote, now);
    }

    /// Probes VMs that were voted against by too few, where this one is next in line.
    fn help(&mut self, now: TimeStamp) {
        let waiting = std::mem::take(&mut self.accused);
        for key in waiting {
            let Some(voted_at) = self.rows[key].voted_at else {
                continue;
            };
            let since = now.since(voted_at);
            if since < HELP_AFTER {
                self.accused.push(key);
            } else if since < HELP_UNTIL && self.rows[key].state == MemberState::Live {
                self.help_with(key, now);
            }
        }
    }

    /// Watches one VM once, where this one is among those next in line.
    fn help_with(&mut self, key: VmKey, now: TimeStamp) {
        let row = &self.rows[key];
        let subject = super::view::placed(row);
        let others = self.index.values().map(|key| &self.rows[*key]);
        let fitting = others.filter(|other| {
            other.state == MemberState::Live
                && other.voters.is_empty()
                && !row.voters.contains(&other.tag)
        });
        let candidates = fitting
            .map(super::view::placed)
            .chain(std::iter::once(self.place));
        let chosen = choice::watchers(&subject, &candidates, self.options.watchers);
        let incarnation = row.life.map_or(0, |life| life.incarnation);
        if chosen.contains(&self.me.tag) && !row.voters.contains(&self.me.tag) {
            let heard_at = now.before(self.options.probe_after);
            self.watch.watch_once(subject.tag, incarnation, heard_at);
        }
    }

    /// Probes regions that are doubtful or cut off.
    fn probe_regions(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let steps = self.reach.due(&self.options, now);
        let probed = steps.into_iter().filter_map(|step| match step {
            ReachStep::Cut(_) => {
                self.judging.is_all_dirty = true;
                None
            }
            ReachStep::Probe(region) => {
                let tag = self.draw(|row| row.region == region && row.state != MemberState::Gone);
                tag.and_then(|tag| self.probe(tag))
            }
        });
        probed.collect()
    }

    /// Probes two others, one of them near, where nobody was heard for a while; after longer, all
    /// are unreached.
    fn probe_when_lonely(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        let Some(heard) = self.heard[0] else {
            return Vec::new();
        };
        let silence = now.since(heard.at);
        if silence >= self.options.isolated_after && !self.judging.is_isolated {
            self.judging.is_isolated = true;
            self.judging.is_all_dirty = true;
        }
        if silence < LONELY_AFTER || now < self.due.lonely {
            return Vec::new();
        }
        self.due.lonely = now.after(LONELY_EVERY);
        let region = self.place.region;
        let near = self.draw(|row| row.state != MemberState::Gone && row.region == region);
        let any = self.draw(|row| row.state != MemberState::Gone);
        let drawn = near.into_iter().chain(any);
        drawn.filter_map(|tag| self.probe(tag)).collect()
    }

    /// Probes one of those that are not heard, so that what healed is found.
    fn probe_unheard(&mut self, now: TimeStamp) -> Option<MemberEffect> {
        if now < self.due.heal {
            return None;
        }
        self.due.heal = now.after(HEAL_EVERY);
        let unheard = [MemberState::Suspect, MemberState::Unreached];
        let tag = self.draw(|row| unheard.contains(&row.state))?;
        self.probe(tag)
    }

    /// Asks one member for differences; one that does not answer is watched.
    fn ask_sync(&mut self, now: TimeStamp) -> Option<MemberEffect> {
        if now < self.due.sync {
            return None;
        }
        let every = self.sync_span();
        self.due.sync = now.after(every);
        let is_unheard = self.rng.below(SYNC_UNHEARD_ONE_IN) == 0;
        let tag = self.draw_partner(is_unheard)?;
        if let Some(life) = self.row(tag).and_then(|row| row.life) {
            self.watch.watch_once(tag, life.incarnation, now);
        }
        self.send(
            tag,
            MessageBody::SyncAsk(Box::new(self.digests())),
            Vec::new(),
        )
    }

    /// Time until the next exchange: shorter where much is missing.
    fn sync_span(&self) -> Duration {
        let rows = self.index.values().map(|key| &self.rows[*key]);
        let unseen = rows.filter(|row| is_unseen(row)).count();
        if self.is_catching_up {
            CATCH_UP_EVERY
        } else if unseen * UNSEEN_ONE_IN > self.index.len() {
            UNSEEN_EVERY
        } else {
            self.options.sync_every
        }
    }

    /// A partner for an exchange: one that lives, or one that is accused or was never heard.
    fn draw_partner(&mut self, is_unheard: bool) -> Option<VmTag> {
        let lives = |row: &MemberRow| row.state == MemberState::Live;
        let is_doubtful = |row: &MemberRow| {
            row.state != MemberState::Gone && (!row.voters.is_empty() || is_unseen(row))
        };
        let first = if is_unheard {
            self.draw(is_doubtful)
        } else {
            self.draw(lives)
        };
        first
            .or_else(|| self.draw(lives))
            .or_else(|| self.draw(|row| row.state != MemberState::Gone))
    }
}
