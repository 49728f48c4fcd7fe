//! Whether whole regions can be reached from here.
//!
//! A vote from this region against a VM of another makes the other region doubtful. It is then
//! probed from here, several VMs one after another; where none answers, the region counts as cut
//! off until a message from it arrives.

use crate::options::MemberOptions;
use dahliawood_model::keys::{ArenaKey, RegionKey};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How long a doubt waits for votes that settle it.
const DOUBT_GRACE: Duration = Duration::from_millis(200);
/// Time between two probes of a doubtful region.
const PROBE_EVERY: Duration = Duration::from_millis(200);
/// The same while it is cut off.
const HEAL_EVERY: Duration = Duration::from_secs(1);

/// One region.
#[derive(Clone, Debug, Default)]
struct RegionReach {
    doubted_at: Option<TimeStamp>,
    probed_at: Option<TimeStamp>,
    is_cut: bool,
}

/// All regions.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReachTable {
    regions: Vec<RegionReach>,
}

/// What is due for one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachStep {
    /// One of its VMs is to be probed.
    Probe(RegionKey),
    /// It is cut off from now on.
    Cut(RegionKey),
}

impl ReachTable {
    /// Whether a region is cut off from here.
    pub(crate) fn is_cut(&self, region: RegionKey) -> bool {
        self.regions
            .get(region.index())
            .is_some_and(|reach| reach.is_cut)
    }

    /// Takes in a vote from here against a VM of the region.
    pub(crate) fn doubt(&mut self, region: RegionKey, now: TimeStamp) {
        let reach = self.entry(region);
        reach.doubted_at.get_or_insert(now);
    }

    /// Takes in a message from the region; says whether it was cut off.
    pub(crate) fn heard(&mut self, region: RegionKey) -> bool {
        std::mem::take(self.entry(region)).is_cut
    }

    /// Ends all doubts, after a time in which nothing could be heard.
    pub(crate) fn restart(&mut self) {
        let doubtful = self.regions.iter_mut().filter(|reach| !reach.is_cut);
        doubtful.for_each(|reach| *reach = RegionReach::default());
    }

    /// What is due at `now`.
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

/// What is due for one region.
fn step(
    reach: &mut RegionReach,
    region: RegionKey,
    options: &MemberOptions,
    now: TimeStamp,
) -> Option<ReachStep> {
    let doubted = now.since(reach.doubted_at?);
    if !reach.is_cut && doubted >= DOUBT_GRACE + options.cut_after {
        reach.is_cut = true;
        return Some(ReachStep::Cut(region));
    }
    let every = if reach.is_cut {
        HEAL_EVERY
    } else {
        PROBE_EVERY
    };
    let is_due = reach.probed_at.is_none_or(|at| now.since(at) >= every);
    if doubted < DOUBT_GRACE || !is_due {
        return None;
    }
    reach.probed_at = Some(now);
    Some(ReachStep::Probe(region))
}
