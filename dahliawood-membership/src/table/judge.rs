//! What is made of a member, from votes, reach and the live list.

use super::view::placed;
use super::{MemberChange, MemberState, MemberTable};
use crate::choice::PlacedVm;
use crate::row::MemberRow;
use dahliawood_model::keys::{ArenaKey, DomainKey, VmKey};
use dahliawood_model::stamp::TimeStamp;

/// Voters' failure domains that are needed against a VM, where there are so many.
const QUORUM_DOMAINS: usize = 2;

/// Voters' regions that are needed where none is the VM's own, where there are so many.
const QUORUM_REGIONS: usize = 2;

/// How far a member can be heard, whatever it announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hearing {
    Heard,
    Unreached,
    Silent,
}

impl MemberTable {
    /// Judges every row that may have changed.
    pub(super) fn judge(&mut self, now: TimeStamp) {
        if self.judging.is_all_dirty {
            self.judging.is_all_dirty = false;
            self.judging.dirty = self.index.values().copied().collect();
            self.count_domains();
        }
        for key in std::mem::take(&mut self.judging.dirty) {
            self.judge_row(key, now);
        }
    }

    /// Counts the members that may vote, by failure domain and region.
    fn count_domains(&mut self) {
        let mut living = vec![0; self.domains.len()];
        let mut unaccused = vec![0; self.domains.len()];
        living[self.place.domain.index()] += 1;
        unaccused[self.place.domain.index()] += 1;
        let mut regions = vec![0; self.regions.len()];
        regions[self.place.region.index()] += 1;
        let rows = self.index.values().map(|key| &self.rows[*key]);
        for row in rows.filter(|row| row.life.is_some() && row.state != MemberState::Gone) {
            living[row.domain.index()] += 1;
            unaccused[row.domain.index()] += u32::from(row.voters.is_empty());
            regions[row.region.index()] += u32::from(row.state != MemberState::Suspect);
        }
        self.judging.living = living;
        self.judging.unaccused = unaccused;
        self.judging.possible_regions = regions;
    }

    /// Judges one row.
    fn judge_row(&mut self, key: VmKey, now: TimeStamp) {
        if !self.index.contains_key(&self.rows[key].tag) {
            return;
        }
        let hearing = self.hearing(&self.rows[key]);
        let row = &mut self.rows[key];
        match hearing {
            Hearing::Heard => row.silent_since = None,
            Hearing::Unreached | Hearing::Silent => {
                row.silent_since.get_or_insert(now);
            }
        }
        let (before, after) = (row.state, self.judged(&self.rows[key], hearing, now));
        if before == after {
            return;
        }
        let row = &mut self.rows[key];
        row.state = after;
        row.gone_at = (after == MemberState::Gone).then_some(now);
        self.judging.are_watchers_stale = true;
        self.changes.push(MemberChange {
            profile: std::sync::Arc::clone(&row.profile),
            incarnation: row.life.map_or(0, |life| life.incarnation),
            before,
            after,
        });
        if after == MemberState::Gone {
            self.watch.remove(row.tag);
        }
    }

    /// The state of a row.
    fn judged(&self, row: &MemberRow, hearing: Hearing, now: TimeStamp) -> MemberState {
        if self.is_gone(row, hearing, now) {
            return MemberState::Gone;
        }
        let is_leaving = row.listing.leaving || row.life.is_some_and(|life| life.leaving);
        match hearing {
            _ if is_leaving => MemberState::Leaving,
            Hearing::Heard => MemberState::Live,
            Hearing::Unreached => MemberState::Unreached,
            Hearing::Silent => MemberState::Suspect,
        }
    }

    /// How far a member is heard.
    fn hearing(&self, row: &MemberRow) -> Hearing {
        if row.life.is_none() {
            return Hearing::Silent;
        }
        let voters = row.voters.iter().filter_map(|voter| self.place_of(*voter));
        let mut domains: Vec<DomainKey> = voters.clone().map(|voter| voter.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let is_near = voters.clone().any(|voter| voter.region == row.region);
        let is_quorum = |counts: &[u32]| {
            !domains.is_empty() && domains.len() >= possible(counts, row).min(QUORUM_DOMAINS)
        };
        if is_near && is_quorum(&self.judging.living) {
            return Hearing::Silent;
        }
        let is_far_quorum = is_near || self.is_region_quorum(voters.clone(), row);
        let is_unreached = is_quorum(&self.judging.unaccused) && is_far_quorum
            || self.reach.is_cut(placed(row).region)
            || self.judging.is_isolated;
        if is_unreached {
            Hearing::Unreached
        } else {
            Hearing::Heard
        }
    }

    /// Whether voters of other regions are of enough different ones, so that they do not all stand
    /// behind one cut link.
    fn is_region_quorum(&self, voters: impl Iterator<Item = PlacedVm>, row: &MemberRow) -> bool {
        let mut regions: Vec<_> = voters.map(|voter| voter.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let counts = self.judging.possible_regions.iter().enumerate();
        let others = counts.filter(|(index, count)| *index != row.region.index() && **count > 0);
        regions.len() >= others.count().min(QUORUM_REGIONS)
    }

    /// Whether a member has been silent, and absent from the list over readings, for its hold
    /// time.
    fn is_gone(&self, row: &MemberRow, hearing: Hearing, now: TimeStamp) -> bool {
        let hold = match hearing {
            Hearing::Heard => return false,
            Hearing::Unreached => self.options.unreached_hold,
            Hearing::Silent => self.options.absent_hold,
        };
        let absent = row.listing.absent_since.zip(self.list_read_at);
        let is_absent = absent.is_some_and(|(since, read_at)| read_at.since(since) >= hold);
        let silent = row.silent_since;
        is_absent && silent.is_some_and(|since| now.since(since) >= hold)
    }
}

/// Failure domains that hold a possible voter against a row, the row itself not counted.
fn possible(counts: &[u32], row: &MemberRow) -> usize {
    let own = u32::from(row.life.is_some());
    let domains = counts.iter().enumerate();
    domains
        .filter(|(index, count)| {
            let own = if *index == row.domain.index() { own } else { 0 };
            **count > own
        })
        .count()
}
