//! Detects regions that can no longer be reached from this VM.
//!
//! When a VM of this region votes against a VM of another region, the other region becomes suspect.
//! This VM then probes several of its VMs one after another. If none responds, the region counts as
//! cut off until a message from it arrives.

use crate::options::MemberOptions;
use dahliawood_model::keys::{ArenaKey, RegionKey};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time between the first vote and the first probe, in which votes may settle whether only a VM has
/// failed.
const SUSPICION_GRACE: Duration = Duration::from_millis(200);
/// Interval between two probes of a suspect region.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two probes of a region that is cut off.
const CUT_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Reachability of one region.
#[derive(Clone, Debug, Default)]
struct RegionReach {
    suspected_at: Option<TimeStamp>,
    probed_at: Option<TimeStamp>,
    is_cut: bool,
}

/// Reachability of all regions.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachTable {
    regions: Vec<RegionReach>,
}

/// An action that is due for one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachStep {
    /// Probe one of the region's VMs.
    Probe(RegionKey),
    /// The region is cut off from now on.
    Cut(RegionKey),
}

impl ReachTable {
    /// Whether a region is cut off from this VM.
    pub(crate) fn is_cut(&self, region: RegionKey) -> bool {
        self.regions
            .get(region.index())
            .is_some_and(|reach| reach.is_cut)
    }

    /// Records that a VM of this region voted against a VM of the given region.
    pub(crate) fn suspect(&mut self, region: RegionKey, now: TimeStamp) {
        let reach = self.entry(region);
        reach.suspected_at.get_or_insert(now);
    }

    /// Records a message from the region; returns whether the region was cut off.
    pub(crate) fn heard(&mut self, region: RegionKey) -> bool {
        std::mem::take(self.entry(region)).is_cut
    }

    /// Clears all suspicion, except of regions that are cut off, after a time in which no message
    /// could arrive.
    pub(crate) fn restart(&mut self) {
        let suspects = self.regions.iter_mut().filter(|reach| !reach.is_cut);
        suspects.for_each(|reach| *reach = RegionReach::default());
    }

    /// The actions that are due at `now`.
    pub(crate) fn due(&mut self, options: &MemberOptions, now: TimeStamp) -> Vec<ReachStep> {
        let regions = self.regions.iter_mut().enumerate();
        regions
            .filter_map(|(index, reach)| step(reach, RegionKey::from_index(index), options, now))
            .collect()
    }

    fn entry(&mut self, region: RegionKey) -> &mut RegionReach {
        let index = region.index();
        if self.regions.len() <= index {
            self.regions.resize_with(index + 1, RegionReach::default);
        }
        &mut self.regions[index]
    }
}

/// The action that is due for one region.
fn step(
    reach: &mut RegionReach,
    region: RegionKey,
    options: &MemberOptions,
    now: TimeStamp,
) -> Option<ReachStep> {
    let suspected_for = now.since(reach.suspected_at?);
    if !reach.is_cut && suspected_for >= SUSPICION_GRACE + options.cut_after {
        reach.is_cut = true;
        return Some(ReachStep::Cut(region));
    }
    let every = if reach.is_cut {
        CUT_PROBE_INTERVAL
    } else {
        PROBE_INTERVAL
    };
    let is_due = reach.probed_at.is_none_or(|at| now.since(at) >= every);
    if suspected_for < SUSPICION_GRACE || !is_due {
        return None;
    }
    reach.probed_at = Some(now);
    Some(ReachStep::Probe(region))
}
