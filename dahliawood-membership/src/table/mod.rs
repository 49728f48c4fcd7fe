//! The table of members and the operations on it.

mod evaluate;
mod merge;
mod receive;
mod spread;
mod state;
mod sync;
mod tick;
mod view;

pub use state::{MemberChange, MemberEffect, MemberState, MemberView};

use crate::identity::{SelectionRng, SelfReport, VmProfile, VmTag};
use crate::listing::{ListedVm, ListingStatus};
use crate::message::MemberDelta;
use crate::options::MemberOptions;
use crate::selection::LocatedVm;
use crate::{gossip, reach, row, watch};
use dahliawood_model::keys::{ArenaKey, DomainKey, EntityArena, RegionKey, VmKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::sync::Arc;

/// The members of the fleet as this VM knows them.
///
/// Call [`MemberTable::tick`] about ten times per second, [`MemberTable::receive`] with each
/// message that arrives, and [`MemberTable::apply_live_list`] with each reading of the live list.
#[derive(Debug)]
pub struct MemberTable {
    options: MemberOptions,
    own_report: SelfReport,
    profile: Arc<VmProfile>,
    location: LocatedVm,
    domains: Vec<String>,
    regions: Vec<String>,
    rows: EntityArena<VmKey, row::MemberRow>,
    index: FastMap<VmTag, VmKey>,
    free: Vec<VmKey>,
    evaluation: EvaluationState,
    gossip: gossip::GossipQueue,
    watch: watch::WatchTable,
    reach: reach::ReachTable,
    watchers: Vec<VmTag>,
    avoided: Vec<AvoidedVm>,
    accused: Vec<VmKey>,
    last_heard: [Option<HeardSender>; 2],
    list_read_at: Option<TimeStamp>,
    /// When each profile that has not arrived yet was last requested.
    profile_requested_at: FastMap<VmTag, TimeStamp>,
    due: DueTimes,
    push_tokens: f64,
    is_catching_up: bool,
    rng: SelectionRng,
    changes: Vec<MemberChange>,
}

/// Which rows must be evaluated again, and what their evaluation needs to know about the whole
/// fleet.
#[derive(Debug, Default)]
struct EvaluationState {
    dirty: Vec<VmKey>,
    is_all_dirty: bool,
    is_isolated: bool,
    /// For each failure domain, the number of members that have reported and are not gone.
    living: Vec<u32>,
    /// The same, without members that anybody votes against.
    unaccused: Vec<u32>,
    /// For each region, the number of members that may be alive, whether reachable from this VM or
    /// not.
    possible_regions: Vec<u32>,
    are_watchers_stale: bool,
}

/// A VM that is not selected as a watcher for a while.
#[derive(Clone, Copy, Debug)]
struct AvoidedVm {
    tag: VmTag,
    until: TimeStamp,
}

/// Sender and time of a message.
#[derive(Clone, Copy, Debug)]
struct HeardSender {
    tag: VmTag,
    at: TimeStamp,
}

/// Times of the last tick and of the next periodic actions.
#[derive(Clone, Copy, Debug)]
struct DueTimes {
    ticked_at: TimeStamp,
    heartbeat: TimeStamp,
    sync: TimeStamp,
    unheard_probe: TimeStamp,
    sweep: TimeStamp,
    silence_probe: TimeStamp,
}

impl MemberTable {
    /// The table of a VM that starts at `now`. The incarnation must be higher than all earlier ones
    /// of this name.
    pub fn new(
        profile: Arc<VmProfile>,
        incarnation: u64,
        options: MemberOptions,
        now: TimeStamp,
    ) -> Self {
        let tag = profile.tag();
        let mut rng = SelectionRng::new(tag.0 ^ incarnation);
        let phase = rng.below(options.heartbeat_interval.as_micros() as usize) as u64;
        Self {
            options,
            own_report: SelfReport {
                tag,
                incarnation,
                counter: 0,
                revision: 0,
                leaving: false,
            },
            location: LocatedVm {
                tag,
                domain: DomainKey(0),
                region: RegionKey(0),
            },
            domains: vec![profile.domain.clone()],
            regions: vec![profile.region.clone()],
            profile,
            rows: EntityArena::default(),
            index: FastMap::default(),
            free: Vec::new(),
            evaluation: EvaluationState::default(),
            gossip: gossip::GossipQueue::default(),
            watch: watch::WatchTable::default(),
            reach: reach::ReachTable::default(),
            watchers: Vec::new(),
            avoided: Vec::new(),
            accused: Vec::new(),
            last_heard: [None; 2],
            list_read_at: None,
            profile_requested_at: FastMap::default(),
            due: DueTimes {
                ticked_at: now,
                heartbeat: TimeStamp::from_micros(now.as_micros() + phase),
                sync: now,
                unheard_probe: now,
                sweep: now,
                silence_probe: now,
            },
            push_tokens: options.push_burst,
            is_catching_up: true,
            rng,
            changes: Vec::new(),
        }
    }

    /// Applies a reading of the live list that was requested at `read_at`; one older than the last
    /// is ignored. If the list cannot be read, do not call this function; the last reading then
    /// remains in effect.
    pub fn apply_live_list(&mut self, listed: &[ListedVm], read_at: TimeStamp, now: TimeStamp) {
        if self.list_read_at.is_some_and(|last| read_at < last) {
            return;
        }
        self.list_read_at = Some(read_at);
        let mut present = FastSet::default();
        for vm in listed {
            present.insert(vm.profile.tag());
            self.apply_list_entry(vm);
        }
        let keys: Vec<_> = self.index.values().copied().collect();
        for key in keys {
            let row = &mut self.rows[key];
            if !present.contains(&row.tag) {
                row.listing.mark_absent(read_at);
            }
        }
        self.evaluation.is_all_dirty = true;
        self.evaluate(now);
    }

    /// Applies one entry of the list.
    fn apply_list_entry(&mut self, vm: &ListedVm) {
        let tag = vm.profile.tag();
        if tag == self.own_report.tag {
            return;
        }
        let key = self.row_of(tag, &vm.profile);
        let row = &mut self.rows[key];
        let known = row.report.map_or(0, |report| report.incarnation);
        if vm.incarnation.is_some_and(|listed| listed < known) {
            // The list has not caught up with a restart: this entry is about an earlier
            // incarnation.
            row.listing.mark_present(false);
            return;
        }
        row.listing.mark_present(vm.leaving);
        if vm.incarnation.is_some_and(|listed| listed > known) && row.report.take().is_some() {
            row.voters.clear();
        }
        if row.report.is_none() || row.state != MemberState::Live {
            self.set_profile(key, &vm.profile);
        }
    }

    /// Announces that this VM is shutting down; the returned effects must be sent at once.
    pub fn leave(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        if !self.own_report.leaving {
            self.own_report.leaving = true;
            self.own_report.counter += 1;
            self.announce(MemberDelta::Report(self.own_report));
        }
        self.push(now)
    }

    /// Sets and announces the revision that this VM has in force.
    pub fn set_revision(&mut self, revision: u64) {
        if revision <= self.own_report.revision {
            return;
        }
        let is_first = self.own_report.revision == 0;
        self.own_report.revision = revision;
        if is_first || self.index.len() < self.options.revision_spread_limit {
            self.announce(MemberDelta::Report(self.own_report));
        }
    }

    /// Queues a delta for the neighbours.
    fn announce(&mut self, delta: MemberDelta) {
        self.gossip.add(delta, self.index.len() + 1);
    }

    /// The key of a VM's row, which is added if there is none.
    fn row_of(&mut self, tag: VmTag, profile: &Arc<VmProfile>) -> VmKey {
        if let Some(key) = self.index.get(&tag) {
            return *key;
        }
        let mut listing = ListingStatus::default();
        if let Some(read_at) = self.list_read_at {
            listing.mark_absent(read_at);
        }
        let domain = position(&mut self.domains, &profile.domain);
        let region = position(&mut self.regions, &profile.region);
        self.insert_row(row::MemberRow {
            tag,
            domain: DomainKey::from_index(domain),
            region: RegionKey::from_index(region),
            profile: Arc::clone(profile),
            report: None,
            voters: Vec::new(),
            voted_at: None,
            silent_since: None,
            listing,
            heard_at: None,
            state: MemberState::Suspect,
            gone_at: None,
        })
    }

    /// Inserts a row into the arena.
    fn insert_row(&mut self, row: row::MemberRow) -> VmKey {
        let tag = row.tag;
        let key = match self.free.pop() {
            Some(key) => {
                self.rows[key] = row;
                key
            }
            None => self.rows.push(row),
        };
        self.index.insert(tag, key);
        self.evaluation.dirty.push(key);
        key
    }

    /// Sets a VM's profile.
    fn set_profile(&mut self, key: VmKey, profile: &Arc<VmProfile>) {
        let domain = position(&mut self.domains, &profile.domain);
        let region = position(&mut self.regions, &profile.region);
        let row = &mut self.rows[key];
        row.domain = DomainKey::from_index(domain);
        row.region = RegionKey::from_index(region);
        row.profile = Arc::clone(profile);
    }
}

/// The position of a name, which is added if it is new.
fn position(names: &mut Vec<String>, name: &str) -> usize {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
