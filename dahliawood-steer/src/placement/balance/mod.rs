//! Balances demand over regions: sets and adjusts how much of a service's demand this region sends to
//! others.
//!
//! A region with less than half of the slots of an even share sends shares by capacity
//! ([`RegionShares`](crate::placement::spillover::shares::RegionShares)); in any other region the level
//! moves by fixed steps.

use crate::placement::choose::{PlacementQuery, VmLocation};
use crate::placement::spillover::SpilloverLevel;
use crate::placement::spillover::shares::RegionCapacity;
use crate::placement::table::PlacementTable;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Minimum number of remote targets with fresh reports for an estimate of remote utilization.
const MIN_REMOTE_TARGETS: usize = 3;
/// Assumed share of the fleet's slots in use, for the initial spillover level of bulk requests.
const ASSUMED_UTILIZATION: f64 = 0.4;

/// A region has few slots if it has less than this part of an even share of a service's open slots.
const FEW_SLOTS: f64 = 0.5;

/// What is known of each region that has registered targets of a service, and of this VM's region.
fn capacities(
    table: &PlacementTable,
    location: &VmLocation,
    service: &str,
    now: TimeStamp,
) -> Vec<RegionCapacity> {
    let region = |name: &str| RegionCapacity {
        region: name.to_owned(),
        ..RegionCapacity::default()
    };
    let mut regions = vec![region(&location.region)];
    let average = table.average_service_time(service);
    for target in table.targets(service) {
        let mut known = regions.iter();
        let known = known.position(|known| known.region == target.region);
        let index = known.unwrap_or_else(|| {
            regions.push(region(&target.region));
            regions.len() - 1
        });
        if !table.is_open(target) {
            continue;
        }
        let slots = f64::from(target.entry.slots);
        regions[index].open_slots += slots;
        if target.breaker.is_down() {
            continue;
        }
        regions[index].usable_slots += slots;
        if let Some(used) = target.load.reported(average, now) {
            regions[index].reported_used += used;
            regions[index].reported_slots += slots;
        }
    }
    regions
}

/// Whether a region has so few of the open slots that its shares are set by capacity.
fn has_few_slots(own: &str, capacities: &[RegionCapacity]) -> bool {
    let open = capacities.iter().filter(|region| region.open_slots > 0.0);
    let slots: f64 = open.clone().map(|region| region.open_slots).sum();
    let even = slots / open.count().max(1) as f64;
    let mut regions = capacities.iter();
    let own = regions.find(|region| region.region == own);
    own.is_some_and(|own| own.open_slots < even * FEW_SLOTS)
}

/// Slots of a service's open targets in this region and in all regions, and the number of regions.
fn slot_counts(table: &PlacementTable, location: &VmLocation, service: &str) -> (f64, f64, usize) {
    let mut regions: Vec<&str> = Vec::new();
    let (mut local, mut all) = (0.0, 0.0);
    for target in table
        .targets(service)
        .filter(|target| table.is_open(target))
    {
        let slots = f64::from(target.entry.slots);
        all += slots;
        local += if target.region == location.region {
            slots
        } else {
            0.0
        };
        if !regions.contains(&target.region.as_str()) {
            regions.push(&target.region);
        }
    }
    (local, all, regions.len())
}

/// Sets the initial spillover of a service: shares by capacity in a region with few slots, otherwise the
/// level at which all regions are equally utilized if callers are spread evenly. For bulk requests the transfer between regions costs
/// more than balanced utilization saves, so their objects spill over only if the assumed demand
/// exceeds the region's slots.
pub(super) fn init_spillover(
    table: &mut PlacementTable,
    location: &VmLocation,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) {
    if table
        .services
        .get(query.service)
        .is_none_or(|pool| pool.spillover.is_initialized())
    {
        return;
    }
    let known = capacities(table, location, query.service, now);
    if has_few_slots(&location.region, &known) {
        if let Some(pool) = table.services.get_mut(query.service) {
            pool.spillover.init_shares(&location.region, &known);
        }
        return;
    }
    let (local, all, regions) = slot_counts(table, location, query.service);
    let utilization = if query.is_bulk {
        ASSUMED_UTILIZATION
    } else {
        1.0
    };
    let demand = all * utilization / regions.max(1) as f64;
    if let Some(spillover) = table
        .services
        .get_mut(query.service)
        .map(|pool| &mut pool.spillover)
    {
        spillover.init(1.0 - local / demand.max(1.0));
    }
}

/// Adjusts the spillover levels of all services by one step; call it every
/// [`STEP_INTERVAL`](crate::placement::spillover::STEP_INTERVAL).
pub fn adjust_spillover(table: &mut PlacementTable, location: &VmLocation, now: TimeStamp) {
    let services: Vec<String> = table.services.keys().cloned().collect();
    for service in services {
        let average = table.average_service_time(&service);
        let known = capacities(table, location, &service, now);
        if has_few_slots(&location.region, &known) {
            if let Some(pool) = table.services.get_mut(&service) {
                adjust_shares(&mut pool.spillover, location, &known, average, now);
            }
            continue;
        }
        let (mut local, mut remote) = (SlotUsage::default(), SlotUsage::default());
        for target in table
            .targets(&service)
            .filter(|target| table.is_open(target))
        {
            let used = target.load.outstanding(average, now);
            let slots = f64::from(target.entry.slots);
            match target.region == location.region {
                true => local.add(used, slots),
                false if target.load.has_fresh_report(average, now) => remote.add(used, slots),
                false => {}
            }
        }
        let remote = (remote.targets >= MIN_REMOTE_TARGETS).then(|| remote.share());
        if let Some(spillover) = table
            .services
            .get_mut(&service)
            .map(|pool| &mut pool.spillover)
        {
            spillover.step(local.share(), remote);
        }
    }
}

/// Adjusts the shares of a region with few slots; a VM with stale registrations keeps them.
fn adjust_shares(
    spillover: &mut SpilloverLevel,
    location: &VmLocation,
    known: &[RegionCapacity],
    service_time: Duration,
    now: TimeStamp,
) {
    if !location.sharers.is_current(now) {
        spillover.hold_shares();
        return;
    }
    let vms = location.sharers.count().max(1);
    spillover.step_shares(&location.region, known, vms, service_time.as_secs_f64());
}

/// Slots in use over a set of targets.
#[derive(Clone, Copy, Debug, Default)]
struct SlotUsage {
    targets: usize,
    used: f64,
    slots: f64,
}

impl SlotUsage {
    fn add(&mut self, used: f64, slots: f64) {
        self.targets += 1;
        self.used += used;
        self.slots += slots;
    }

    /// Share of slots in use; 1 if there are no slots.
    fn share(self) -> f64 {
        match self.slots > 0.0 {
            true => self.used / self.slots,
            false => 1.0,
        }
    }
}
