//! Taking in news about members.

use super::{AvoidedVm, MemberState, MemberTable};
use crate::identity::{LifeRecord, VmTag};
use crate::message::{MemberDelta, ProfileRecord, VoteRecord};
use crate::row::RowChange;
use dahliawood_model::keys::VmKey;
use dahliawood_model::stamp::TimeStamp;

impl MemberTable {
    /// Takes in one piece of news; gives the tag of a VM that is not known.
    pub(super) fn merge(
        &mut self,
        delta: &MemberDelta,
        from: VmTag,
        now: TimeStamp,
    ) -> Option<VmTag> {
        let unknown = match delta {
            MemberDelta::Life(life) => self.merge_life(life),
            MemberDelta::Vote(vote) => self.merge_vote(vote, now),
        };
        self.rumours.known_by(from, delta);
        unknown
    }

    /// Takes in a life; gives its tag where the VM is not known.
    pub(super) fn merge_life(&mut self, life: &LifeRecord) -> Option<VmTag> {
        if life.tag == self.me.tag {
            self.refute_life(life);
            return None;
        }
        let Some(key) = self.index.get(&life.tag).copied() else {
            return Some(life.tag);
        };
        let row = &mut self.rows[key];
        let known = row.life.map(|known| known.incarnation);
        let change = row.merge_life(life);
        let record = row.life.unwrap_or(*life);
        if change == RowChange::None {
            return None;
        }
        if change == RowChange::Life {
            self.judging.dirty.push(key);
            self.watch.refuted(life.tag);
            self.announce(MemberDelta::Life(record));
        } else if self.index.len() < self.options.revisions_up_to {
            self.announce(MemberDelta::Life(record));
        }
        let is_restart = known.is_some_and(|known| known < life.incarnation);
        is_restart.then_some(life.tag)
    }

    /// Outbids what others hold of this VM's own life, such as a leaving that was never announced.
    fn refute_life(&mut self, life: &LifeRecord) {
        let is_ours = life.incarnation == self.me.incarnation;
        if is_ours && life.counter > self.me.counter {
            self.me.counter = life.counter + 1;
            self.announce(MemberDelta::Life(self.me));
        }
    }

    /// Takes in a vote; gives the subject's tag where that VM is not known.
    pub(super) fn merge_vote(&mut self, vote: &VoteRecord, now: TimeStamp) -> Option<VmTag> {
        if vote.subject == self.me.tag {
            self.refute_vote(vote, now);
            return None;
        }
        let Some(key) = self.index.get(&vote.subject).copied() else {
            // A VM that is silent already is of no use to one that does not know it.
            return None;
        };
        let unknown = self.merge_life(&LifeRecord {
            tag: vote.subject,
            incarnation: vote.incarnation,
            counter: vote.counter,
            revision: 0,
            leaving: self.rows[key].life.is_some_and(|life| life.leaving),
        });
        let row = &mut self.rows[key];
        let is_current = row.life.is_some_and(|life| {
            (life.incarnation, life.counter) == (vote.incarnation, vote.counter)
        });
        if is_current && row.add_voter(vote.voter, now) {
            self.judging.dirty.push(key);
            self.accused.push(key);
            self.doubt_region(key, vote.voter, now);
            self.announce(MemberDelta::Vote(*vote));
        }
        unknown
    }

    /// Refutes a vote against this VM, and does without that watcher for a while.
    fn refute_vote(&mut self, vote: &VoteRecord, now: TimeStamp) {
        if vote.incarnation != self.me.incarnation || vote.counter < self.me.counter {
            return;
        }
        self.me.counter = vote.counter + 1;
        self.announce(MemberDelta::Life(self.me));
        self.avoid(vote.voter, now);
    }

    /// Does without a watcher for a while.
    pub(super) fn avoid(&mut self, tag: VmTag, now: TimeStamp) {
        self.avoided.retain(|known| known.tag != tag);
        self.avoided.push(AvoidedVm {
            tag,
            until: now.after(self.options.avoid_for),
        });
        self.judging.are_watchers_stale = true;
    }

    /// Doubts another region where a vote against one of its VMs comes from this one.
    pub(super) fn doubt_region(&mut self, key: VmKey, voter: VmTag, now: TimeStamp) {
        let region = self.rows[key].region;
        let is_from_here = self
            .place_of(voter)
            .is_some_and(|place| place.region == self.place.region);
        if is_from_here && region != self.place.region {
            self.reach.doubt(region, now);
        }
    }

    /// Takes in a profile.
    pub(super) fn merge_profile(&mut self, record: &ProfileRecord) {
        let tag = record.life.tag;
        if tag == self.me.tag || tag != record.profile.tag() {
            return;
        }
        self.wanted.remove(&tag);
        let key = self.row_of(tag, &record.profile);
        let known = self.rows[key].life.map_or(0, |life| life.incarnation);
        if record.life.incarnation < known {
            return;
        }
        self.set_profile(key, &record.profile);
        self.merge_life(&record.life);
    }

    /// The votes that stand against a VM.
    pub(super) fn votes_against(&self, tag: VmTag) -> Vec<MemberDelta> {
        let Some(row) = self.row(tag) else {
            return Vec::new();
        };
        let Some(life) = row.life else {
            return Vec::new();
        };
        let voters = row.voters.iter();
        voters
            .map(|voter| {
                MemberDelta::Vote(VoteRecord {
                    subject: tag,
                    incarnation: life.incarnation,
                    counter: life.counter,
                    voter: *voter,
                })
            })
            .collect()
    }

    /// Forgets rows that have been gone for long.
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
