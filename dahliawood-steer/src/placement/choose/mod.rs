//! The choice of one target for one request.

use crate::placement::spillover::SpilloverLevel;
use crate::placement::table::{PlacementTable, TargetRecord};
use crate::rendezvous;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Targets of a region that an object is spread over when the first is busy.
const SPREAD: usize = 3;
/// The part of its `max_wait` that a request waits for the target that knows its object best.
const SOON_SHARE: f64 = 0.6;
/// A target this many times slower than its service's average is passed over.
const SLOW_FACTOR: f64 = 3.0;
/// The share of what a cold target bears that is used: VMs may disagree on who lives.
const COLD_SHARE: f64 = 0.8;
/// The least that a refused caller is told to wait.
const LEAST_RETRY: Duration = Duration::from_millis(150);
/// How long a VM that is no longer named is taken to be sending.
const VMS_LINGER: Duration = Duration::from_secs(8);
/// Targets of other regions whose use says something about all of them.
const LEAST_KNOWN: usize = 3;
/// The usual use of the fleet's slots, for the first guess of what a small region hands over.
const ASSUMED_USE: f64 = 0.4;

/// Where this VM stands.
#[derive(Clone, Debug, Default)]
pub struct VmLocation {
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// VMs of its region that may be sending, itself included.
    pub vms: usize,
    /// Until when a lower count waits.
    pub vms_until: TimeStamp,
}

impl VmLocation {
    /// Takes how many VMs of the region are known to live. A VM that is no longer named, since it is
    /// leaving or its registration lapsed, may still be sending, so a lower count waits.
    pub fn set_vms(&mut self, count: usize, now: TimeStamp) {
        if count >= self.vms || now >= self.vms_until {
            self.vms = count;
        }
        if count >= self.vms {
            self.vms_until = now.after(VMS_LINGER);
        }
    }
}

/// What a cold target bears from all VMs together.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests in a second.
    pub per_second: f64,
}

/// One request that wants a target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Hash of the object that it concerns.
    pub object: Option<u64>,
    /// Whether its answer is large, so that its way matters.
    pub is_bulk: bool,
    /// Regions that may serve it, for the route and for the customer; empty for all.
    pub regions: [&'a [String]; 2],
    /// Targets that it was tried at.
    pub tried: &'a [TargetKey],
    /// How long it may wait for a slot.
    pub max_wait: Duration,
    /// What a cold target bears.
    pub cold: ColdLimit,
}

/// What the choice came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementChoice {
    /// Send it there.
    Target(TargetKey),
    /// No target would start it in time.
    Busy {
        /// When there may be room.
        retry_after: Duration,
    },
    /// No target may serve it.
    None,
}

/// A target that could serve, in the order of preference.
struct Candidate {
    key: TargetKey,
    wait: Duration,
}

/// Chooses a target.
pub fn choose(
    table: &mut PlacementTable,
    own: &VmLocation,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) -> PlacementChoice {
    let object = query.object.unwrap_or_else(rand::random);
    start_spill(table, own, query);
    let level = spill(table, query.service).map_or(0.0, SpilloverLevel::level);
    let is_away = is_spilled(object, level) && allows(query, &own.region);
    let own_list = candidates(table, own, query, object, &own.region, now);
    let is_served = !own_list.is_empty();
    let here = first_in_time(&own_list, query.max_wait);
    if let Some(spill) = spill_mut(table, query.service)
        && query.tried.is_empty()
    {
        spill.note(is_served && here.is_none());
    }
    if !is_away && let Some(key) = here {
        return run(table, query.service, key, false);
    }
    let away = away(table, own, query, object, now);
    let there = first_in_time(&away, query.max_wait);
    if let Some(key) = there {
        let is_free = !is_served || (is_away && may_run(table, query.service, true));
        if is_free || may_stray(table, query.service, true) {
            return run(table, query.service, key, true);
        }
    }
    if let Some(key) = here
        && (there.is_some() || may_stray(table, query.service, false))
    {
        return run(table, query.service, key, false);
    }
    busy(own_list.iter().chain(&away), query.max_wait)
}

/// What to say where nothing is in time.
fn busy<'a>(all: impl Iterator<Item = &'a Candidate>, max_wait: Duration) -> PlacementChoice {
    match all.map(|candidate| candidate.wait).min() {
        None => PlacementChoice::None,
        Some(wait) => PlacementChoice::Busy {
            retry_after: wait.saturating_sub(max_wait).max(LEAST_RETRY),
        },
    }
}

/// The first candidate that starts the request well in time, in the order of preference: another
/// one knows the object less. Where there is none, the one that starts it soonest.
fn first_in_time(list: &[Candidate], max_wait: Duration) -> Option<TargetKey> {
    let spread = &list[..list.len().min(SPREAD)];
    let soon = max_wait.mul_f64(SOON_SHARE);
    let first = spread.iter().find(|candidate| candidate.wait <= soon);
    let least = || spread.iter().min_by_key(|candidate| candidate.wait);
    first
        .or_else(least)
        .filter(|candidate| candidate.wait <= max_wait)
        .map(|candidate| candidate.key)
}

/// Whether the route and the customer may be served in a region.
fn allows(query: &PlacementQuery<'_>, region: &str) -> bool {
    let is_allowed =
        |regions: &&[String]| regions.is_empty() || regions.iter().any(|allowed| allowed == region);
    query.regions.iter().all(is_allowed)
}

/// The targets of other regions, those of each object's own next region first.
fn away(
    table: &PlacementTable,
    own: &VmLocation,
    query: &PlacementQuery<'_>,
    object: u64,
    now: TimeStamp,
) -> Vec<Candidate> {
    let mut regions: Vec<(u64, String)> = Vec::new();
    for target in targets(table, query.service) {
        let region = &target.region;
        if *region != own.region && !regions.iter().any(|(_, known)| known == region) {
            let hash = rendezvous::name_hash(region.as_bytes());
            regions.push((rendezvous::score(object, hash), region.clone()));
        }
    }
    regions.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    let lists = regions
        .iter()
        .map(|(_, region)| candidates(table, own, query, object, region, now));
    let mut lists: Vec<_> = lists.collect();
    lists.sort_by_key(|list| first_in_time(list, query.max_wait).is_none());
    lists.into_iter().flatten().collect()
}

/// The targets of one region that could serve, in the order of preference.
fn candidates(
    table: &PlacementTable,
    own: &VmLocation,
    query: &PlacementQuery<'_>,
    object: u64,
    region: &str,
    now: TimeStamp,
) -> Vec<Candidate> {
    if !allows(query, region) {
        return Vec::new();
    }
    let usual = table.average_service_time(query.service);
    let mut ranked = Vec::new();
    for (key, target) in keyed_targets(table, query.service) {
        if target.region != region || !table.is_open(target) || query.tried.contains(&key) {
            continue;
        }
        let is_usable = target.sick.is_usable(target.load.in_flight, now)
            && target.load.service_time(usual, now) <= usual.mul_f64(SLOW_FACTOR);
        if !is_usable || !bears(target, own, query, now) {
            continue;
        }
        let is_far = query.is_bulk && target.entry.domain != own.domain;
        let wait = target.load.wait(target.entry.slots, usual, now);
        let score = rendezvous::score(object, target.hash);
        ranked.push((is_far, std::cmp::Reverse(score), Candidate { key, wait }));
    }
    ranked.sort_by_key(|(is_far, score, _)| (*is_far, *score));
    ranked
        .into_iter()
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Whether a target is warm, or bears one more request of this VM now: those of its own region
/// divide what it bears.
fn bears(
    target: &TargetRecord,
    own: &VmLocation,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) -> bool {
    if now >= target.cold_until {
        return true;
    }
    let most = query.cold.per_second * COLD_SHARE / own.vms.max(1) as f64;
    target.region == own.region && target.cold.has_room(most as usize, now)
}

/// Whether an object belongs to the part that goes elsewhere.
fn is_spilled(object: u64, level: f64) -> bool {
    let place = rendezvous::score(object, 0) as f64 / u64::MAX as f64;
    place < level
}

fn spill<'a>(table: &'a PlacementTable, service: &str) -> Option<&'a SpilloverLevel> {
    table.services.get(service).map(|pool| &pool.spill)
}

fn spill_mut<'a>(table: &'a mut PlacementTable, service: &str) -> Option<&'a mut SpilloverLevel> {
    table.services.get_mut(service).map(|pool| &mut pool.spill)
}

fn may_run(table: &PlacementTable, service: &str, is_away: bool) -> bool {
    spill(table, service).is_none_or(|spill| spill.may_run(is_away))
}

fn may_stray(table: &mut PlacementTable, service: &str, is_away: bool) -> bool {
    spill_mut(table, service).is_some_and(|spill| spill.may_stray(is_away))
}

/// Notes where the request runs.
fn run(
    table: &mut PlacementTable,
    service: &str,
    key: TargetKey,
    is_away: bool,
) -> PlacementChoice {
    if let Some(spill) = spill_mut(table, service) {
        spill.note_run(is_away);
    }
    PlacementChoice::Target(key)
}

/// The targets of a service, with their keys.
fn keyed_targets<'a>(
    table: &'a PlacementTable,
    service: &str,
) -> impl Iterator<Item = (TargetKey, &'a TargetRecord)> {
    let keys = table.services.get(service).map(|pool| &pool.targets);
    let keys = keys.into_iter().flatten();
    keys.filter_map(|key| Some((*key, table.get(*key)?)))
}

/// The targets of a service.
fn targets<'a>(table: &'a PlacementTable, service: &str) -> impl Iterator<Item = &'a TargetRecord> {
    keyed_targets(table, service).map(|(_, target)| target)
}

/// Slots of a service's open targets in this region and in all.
fn room(table: &PlacementTable, own: &VmLocation, service: &str) -> (f64, f64, usize) {
    let mut regions: Vec<&str> = Vec::new();
    let (mut here, mut all) = (0.0, 0.0);
    for target in targets(table, service).filter(|target| table.is_open(target)) {
        let slots = f64::from(target.entry.slots);
        all += slots;
        here += if target.region == own.region {
            slots
        } else {
            0.0
        };
        if !regions.contains(&target.region.as_str()) {
            regions.push(&target.region);
        }
    }
    (here, all, regions.len())
}

/// Guesses what a region with few targets hands over from the start: as much as makes all regions
/// equally busy, where callers are spread evenly. A large answer's way costs more than that gains,
/// so those go only where the usual demand does not fit.
fn start_spill(table: &mut PlacementTable, own: &VmLocation, query: &PlacementQuery<'_>) {
    if spill(table, query.service).is_none_or(SpilloverLevel::is_started) {
        return;
    }
    let (here, all, regions) = room(table, own, query.service);
    let usage = if query.is_bulk { ASSUMED_USE } else { 1.0 };
    let demand = all * usage / regions.max(1) as f64;
    if let Some(spill) = spill_mut(table, query.service) {
        spill.start(1.0 - here / demand.max(1.0));
    }
}

/// Moves the spill levels of all services by one step.
pub fn adjust_spillover(table: &mut PlacementTable, own: &VmLocation, now: TimeStamp) {
    let services: Vec<String> = table.services.keys().cloned().collect();
    for service in services {
        let usual = table.average_service_time(&service);
        let (mut here, mut away) = (SlotUse::default(), SlotUse::default());
        for target in targets(table, &service).filter(|target| table.is_open(target)) {
            let used = target.load.outstanding(usual, now);
            let slots = f64::from(target.entry.slots);
            match target.region == own.region {
                true => here.add(used, slots),
                false if target.load.is_known(usual, now) => away.add(used, slots),
                false => {}
            }
        }
        let away = (away.targets >= LEAST_KNOWN).then(|| away.share());
        if let Some(spill) = spill_mut(table, &service) {
            spill.step(here.share(), away);
        }
    }
}

/// How many slots of some targets are in use.
#[derive(Clone, Copy, Debug, Default)]
struct SlotUse {
    targets: usize,
    used: f64,
    slots: f64,
}

impl SlotUse {
    fn add(&mut self, used: f64, slots: f64) {
        self.targets += 1;
        self.used += used;
        self.slots += slots;
    }

    /// The share in use; where there are no slots, all.
    fn share(self) -> f64 {
        match self.slots > 0.0 {
            true => self.used / self.slots,
            false => 1.0,
        }
    }
}
