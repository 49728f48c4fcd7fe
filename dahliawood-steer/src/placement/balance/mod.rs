//! Balances demand over regions: sets and adjusts how much of a service's demand this region sends to
//! others.

use crate::placement::choose::{PlacementQuery, VmLocation};
use crate::placement::table::PlacementTable;
use dahliawood_model::stamp::TimeStamp;

/// Minimum number of remote targets with fresh reports for an estimate of remote utilization.
const MIN_REMOTE_TARGETS: usize = 3;
/// Assumed share of the fleet's slots in use, for the initial spillover level of bulk requests.
const ASSUMED_UTILIZATION: f64 = 0.4;

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

/// Sets the initial spillover level of a region with few targets, such that all regions are equally
/// utilized if callers are spread evenly. For bulk requests the transfer between regions costs
/// more than balanced utilization saves, so their objects spill over only if the assumed demand
/// exceeds the region's slots.
pub(super) fn init_spillover(
    table: &mut PlacementTable,
    location: &VmLocation,
    query: &PlacementQuery<'_>,
) {
    if table
        .services
        .get(query.service)
        .is_none_or(|pool| pool.spillover.is_initialized())
    {
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
