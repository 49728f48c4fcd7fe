//! The table of members and the systems that run over it.

mod judge;
mod merge;
mod receive;
mod spread;
mod state;
mod sync;
mod tick;
mod view;

pub use state::{MemberChange, MemberEffect, MemberState, MemberView};

use crate::choice::PlacedVm;
use crate::identity::{ChoiceRng, LifeRecord, VmProfile, VmTag};
use crate::listing::{ListStanding, ListedVm};
use crate::message::MemberDelta;
use crate::options::MemberOptions;
use crate::{reach, row, rumour, watch};
use dahliawood_model::keys::{ArenaKey, DomainKey, EntityArena, RegionKey, VmKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::sync::Arc;

/// The members of the fleet as one VM knows them.
///
/// Drive it with [`MemberTable::tick`] about ten times a second, hand each message that arrives to
/// [`MemberTable::receive`] and each reading of the live list to [`MemberTable::apply_live_list`].
#[derive(Debug)]
pub struct MemberTable {
    options: MemberOptions,
    me: LifeRecord,
    profile: Arc<VmProfile>,
    place: PlacedVm,
    domains: Vec<String>,
    regions: Vec<String>,
    rows: EntityArena<VmKey, row::MemberRow>,
    index: FastMap<VmTag, VmKey>,
    free: Vec<VmKey>,
    judging: JudgeState,
    rumours: rumour::RumourQueue,
    watch: watch::WatchTable,
    reach: reach::ReachTable,
    watchers: Vec<VmTag>,
    avoided: Vec<AvoidedVm>,
    accused: Vec<VmKey>,
    heard: [Option<HeardFrom>; 2],
    list_read_at: Option<TimeStamp>,
    wanted: FastMap<VmTag, TimeStamp>,
    due: DueTimes,
    push_tokens: f64,
    is_catching_up: bool,
    rng: ChoiceRng,
    changes: Vec<MemberChange>,
}

/// Which rows have to be judged anew, and what judging needs of the whole fleet.
#[derive(Debug, Default)]
struct JudgeState {
    dirty: Vec<VmKey>,
    is_all_dirty: bool,
    is_isolated: bool,
    /// Members of each failure domain that have shown life and are not gone.
    living: Vec<u32>,
    /// The same without those that anybody votes against.
    unaccused: Vec<u32>,
    /// Members of each region that may live, be they reached from here or not.
    possible_regions: Vec<u32>,
    are_watchers_stale: bool,
}

/// A VM that is not to be a watcher for a while.
#[derive(Clone, Copy, Debug)]
struct AvoidedVm {
    tag: VmTag,
    until: TimeStamp,
}

/// Who was heard, and when.
#[derive(Clone, Copy, Debug)]
struct HeardFrom {
    tag: VmTag,
    at: TimeStamp,
}

/// When things are due.
#[derive(Clone, Copy, Debug)]
struct DueTimes {
    ticked_at: TimeStamp,
    beat: TimeStamp,
    sync: TimeStamp,
    heal: TimeStamp,
    sweep: TimeStamp,
    lonely: TimeStamp,
}

impl MemberTable {
    /// The table of a VM that starts at `now` with a new incarnation, higher than all of its name
    /// before.
    pub fn new(
        profile: Arc<VmProfile>,
        incarnation: u64,
        options: MemberOptions,
        now: TimeStamp,
    ) -> Self {
        let tag = profile.tag();
        let mut rng = ChoiceRng::new(tag.0 ^ incarnation);
        let phase = rng.below(options.beat_every.as_micros() as usize) as u64;
        Self {
            options,
            me: LifeRecord {
                tag,
                incarnation,
                counter: 0,
                revision: 0,
                leaving: false,
            },
            place: PlacedVm {
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
            judging: JudgeState::default(),
            rumours: rumour::RumourQueue::default(),
            watch: watch::WatchTable::default(),
            reach: reach::ReachTable::default(),
            watchers: Vec::new(),
            avoided: Vec::new(),
            accused: Vec::new(),
            heard: [None; 2],
            list_read_at: None,
            wanted: FastMap::default(),
            due: DueTimes {
                ticked_at: now,
                beat: TimeStamp::from_micros(now.as_micros() + phase),
                sync: now,
                heal: now,
                sweep: now,
                lonely: now,
            },
            push_tokens: options.push_burst,
            is_catching_up: true,
            rng,
            changes: Vec::new(),
        }
    }

    /// Takes in a reading of the live list that was asked for at `read_at`; one older than the
    /// last is ignored. Where the list cannot be read, nothing is handed in and the last reading
    /// stands.
    pub fn apply_live_list(&mut self, listed: &[ListedVm], read_at: TimeStamp, now: TimeStamp) {
        if self.list_read_at.is_some_and(|last| read_at < last) {
            return;
        }
        self.list_read_at = Some(read_at);
        let mut present = FastSet::default();
        for vm in listed {
            present.insert(vm.profile.tag());
            self.list_entry(vm);
        }
        let keys: Vec<_> = self.index.values().copied().collect();
        for key in keys {
            let row = &mut self.rows[key];
            if !present.contains(&row.tag) {
                row.listing.absent(read_at);
            }
        }
        self.judging.is_all_dirty = true;
        self.judge(now);
    }

    /// Takes in one entry of the list.
    fn list_entry(&mut self, vm: &ListedVm) {
        let tag = vm.profile.tag();
        if tag == self.me.tag {
            return;
        }
        let key = self.row_of(tag, &vm.profile);
        let row = &mut self.rows[key];
        let known = row.life.map_or(0, |life| life.incarnation);
        if vm.incarnation.is_some_and(|listed| listed < known) {
            // The list has not caught up with a restart: that entry is about an older life.
            row.listing.present(false);
            return;
        }
        row.listing.present(vm.leaving);
        if vm.incarnation.is_some_and(|listed| listed > known) && row.life.take().is_some() {
            row.voters.clear();
        }
        if row.life.is_none() || row.state != MemberState::Live {
            self.set_profile(key, &vm.profile);
        }
    }

    /// Announces that this VM is shutting down; the effects are to be sent at once.
    pub fn leave(&mut self, now: TimeStamp) -> Vec<MemberEffect> {
        if !self.me.leaving {
            self.me.leaving = true;
            self.me.counter += 1;
            self.announce(MemberDelta::Life(self.me));
        }
        self.push(now)
    }

    /// Announces the revision that this VM has in force.
    pub fn set_revision(&mut self, revision: u64) {
        if revision <= self.me.revision {
            return;
        }
        let is_first = self.me.revision == 0;
        self.me.revision = revision;
        if is_first || self.index.len() < self.options.revisions_up_to {
            self.announce(MemberDelta::Life(self.me));
        }
    }

    /// Queues news for the neighbours.
    fn announce(&mut self, delta: MemberDelta) {
        self.rumours.add(delta, self.index.len() + 1);
    }

    /// The row of a VM, added where there is none.
    fn row_of(&mut self, tag: VmTag, profile: &Arc<VmProfile>) -> VmKey {
        if let Some(key) = self.index.get(&tag) {
            return *key;
        }
        let mut listing = ListStanding::default();
        if let Some(read_at) = self.list_read_at {
            listing.absent(read_at);
        }
        let domain = position(&mut self.domains, &profile.domain);
        let region = position(&mut self.regions, &profile.region);
        self.place_row(row::MemberRow {
            tag,
            domain: DomainKey::from_index(domain),
            region: RegionKey::from_index(region),
            profile: Arc::clone(profile),
            life: None,
            voters: Vec::new(),
            voted_at: None,
            silent_since: None,
            listing,
            heard_at: None,
            state: MemberState::Suspect,
            gone_at: None,
        })
    }

    /// Puts a row into the arena.
    fn place_row(&mut self, row: row::MemberRow) -> VmKey {
        let tag = row.tag;
        let key = match self.free.pop() {
            Some(key) => {
                self.rows[key] = row;
                key
            }
            None => self.rows.push(row),
        };
        self.index.insert(tag, key);
        self.judging.dirty.push(key);
        key
    }

    /// Takes over a VM's profile.
    fn set_profile(&mut self, key: VmKey, profile: &Arc<VmProfile>) {
        let domain = position(&mut self.domains, &profile.domain);
        let region = position(&mut self.regions, &profile.region);
        let row = &mut self.rows[key];
        row.domain = DomainKey::from_index(domain);
        row.region = RegionKey::from_index(region);
        row.profile = Arc::clone(profile);
    }
}

/// The position of a name, added where it is new.
fn position(names: &mut Vec<String>, name: &str) -> usize {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
