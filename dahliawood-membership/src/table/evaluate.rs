//! Evaluates the state of each member from votes, the reachability of regions, and the live list.

use super::view::located;
use super::{MemberChange, MemberState, MemberTable};
use crate::row::MemberRow;
use crate::selection::LocatedVm;
use dahliawood_model::keys::{ArenaKey, DomainKey, VmKey};
use dahliawood_model::stamp::TimeStamp;

/// Number of failure domains from which votes are needed against a VM, if that many have possible
/// voters.
const QUORUM_DOMAINS: usize = 2;

/// Number of regions from which votes are needed if none is the VM's own, if that many may have
/// live members.
const QUORUM_REGIONS: usize = 2;

/// How well messages of a member arrive, regardless of what it announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// The member has reported, and the votes against it are not enough for another value.
    Reachable,
    /// No messages of the member arrive here, but it may be alive.
    Unreachable,
    /// The member has not reported, or the votes against it are enough to presume it dead.
    Silent,
}

impl MemberTable {
    /// Evaluates every row that may have changed.
    pub(super) fn evaluate(&mut self, now: TimeStamp) {
        if self.evaluation.is_all_dirty {
            self.evaluation.is_all_dirty = false;
            self.evaluation.dirty = self.index.values().copied().collect();
            self.count_domains();
        }
        for key in std::mem::take(&mut self.evaluation.dirty) {
            self.evaluate_row(key, now);
        }
    }

    /// Counts the members that may vote, by failure domain and by region.
    fn count_domains(&mut self) {
        let mut living = vec![0; self.domains.len()];
        let mut unaccused = vec![0; self.domains.len()];
        living[self.location.domain.index()] += 1;
        unaccused[self.location.domain.index()] += 1;
        let mut regions = vec![0; self.regions.len()];
        regions[self.location.region.index()] += 1;
        let rows = self.index.values().map(|key| &self.rows[*key]);
        for row in rows.filter(|row| row.report.is_some() && row.state != MemberState::Gone) {
            living[row.domain.index()] += 1;
            unaccused[row.domain.index()] += u32::from(row.voters.is_empty());
            regions[row.region.index()] += u32::from(row.state != MemberState::Suspect);
        }
        self.evaluation.living = living;
        self.evaluation.unaccused = unaccused;
        self.evaluation.possible_regions = regions;
    }

    /// Evaluates one row and records a change of its state.
    fn evaluate_row(&mut self, key: VmKey, now: TimeStamp) {
        if !self.index.contains_key(&self.rows[key].tag) {
            return;
        }
        let reachability = self.reachability(&self.rows[key]);
        let row = &mut self.rows[key];
        match reachability {
            Reachability::Reachable => row.silent_since = None,
            Reachability::Unreachable | Reachability::Silent => {
                row.silent_since.get_or_insert(now);
            }
        }
        let (before, after) = (
            row.state,
            self.evaluated_state(&self.rows[key], reachability, now),
        );
        if before == after {
            return;
        }
        let row = &mut self.rows[key];
        row.state = after;
        row.gone_at = (after == MemberState::Gone).then_some(now);
        self.evaluation.are_watchers_stale = true;
        self.changes.push(MemberChange {
            profile: std::sync::Arc::clone(&row.profile),
            incarnation: row.report.map_or(0, |report| report.incarnation),
            before,
            after,
        });
        if after == MemberState::Gone {
            self.watch.remove(row.tag);
        }
    }

    /// The state of a row that follows from the evidence.
    fn evaluated_state(
        &self,
        row: &MemberRow,
        reachability: Reachability,
        now: TimeStamp,
    ) -> MemberState {
        if self.is_gone(row, reachability, now) {
            return MemberState::Gone;
        }
        let is_leaving = row.listing.leaving || row.report.is_some_and(|report| report.leaving);
        match reachability {
            _ if is_leaving => MemberState::Leaving,
            Reachability::Reachable => MemberState::Live,
            Reachability::Unreachable => MemberState::Unreachable,
            Reachability::Silent => MemberState::Suspect,
        }
    }

    /// How well messages of a member arrive.
    fn reachability(&self, row: &MemberRow) -> Reachability {
        if row.report.is_none() {
            return Reachability::Silent;
        }
        let voters = row
            .voters
            .iter()
            .filter_map(|voter| self.location_of(*voter));
        let mut domains: Vec<DomainKey> = voters.clone().map(|voter| voter.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let is_near = voters.clone().any(|voter| voter.region == row.region);
        let is_quorum = |counts: &[u32]| {
            !domains.is_empty()
                && domains.len() >= possible_domains(counts, row).min(QUORUM_DOMAINS)
        };
        if is_near && is_quorum(&self.evaluation.living) {
            return Reachability::Silent;
        }
        let is_far_quorum = is_near || self.is_region_quorum(voters.clone(), row);
        let is_unreachable = is_quorum(&self.evaluation.unaccused) && is_far_quorum
            || self.reach.is_cut(located(row).region)
            || self.evaluation.is_isolated;
        if is_unreachable {
            Reachability::Unreachable
        } else {
            Reachability::Reachable
        }
    }

    /// Whether the voters are in enough different regions other than the member's, so that a single
    /// cut link cannot explain all their votes.
    fn is_region_quorum(&self, voters: impl Iterator<Item = LocatedVm>, row: &MemberRow) -> bool {
        let mut regions: Vec<_> = voters.map(|voter| voter.region).collect();
        regions.sort_unstable();
        regions.dedup();
        let counts = self.evaluation.possible_regions.iter().enumerate();
        let others = counts.filter(|(index, count)| *index != row.region.index() && **count > 0);
        regions.len() >= others.count().min(QUORUM_REGIONS)
    }

    /// Whether a member has been silent, and absent from the list over several readings, for its
    /// hold time.
    fn is_gone(&self, row: &MemberRow, reachability: Reachability, now: TimeStamp) -> bool {
        let hold = match reachability {
            Reachability::Reachable => return false,
            Reachability::Unreachable => self.options.unreachable_hold,
            Reachability::Silent => self.options.absent_hold,
        };
        let absent = row.listing.absent_since.zip(self.list_read_at);
        let is_absent = absent.is_some_and(|(since, read_at)| read_at.since(since) >= hold);
        let silent = row.silent_since;
        is_absent && silent.is_some_and(|since| now.since(since) >= hold)
    }
}

/// Number of failure domains with a possible voter against a row; the row itself does not count.
fn possible_domains(counts: &[u32], row: &MemberRow) -> usize {
    let own = u32::from(row.report.is_some());
    let domains = counts.iter().enumerate();
    domains
        .filter(|(index, count)| {
            let own = if *index == row.domain.index() { own } else { 0 };
            **count > own
        })
        .count()
}
