//! Spillover level: the share of a service's objects that this region sends to other regions.
//!
//! The level changes in small steps, so that a shift of callers between regions, or the end of an
//! overload, never moves a larger share of requests at once than the fleet tolerates. The hash of
//! an object decides whether it spills over, so all VMs of a region send away the same objects.

mod hot;
pub mod shares;

use crate::placement::spillover::hot::RecentObjects;
use crate::placement::spillover::shares::{RegionCapacity, RegionShares, ShareReason};
use std::collections::VecDeque;
use std::time::Duration;

/// Interval between two adjustments of the level.
pub const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum rise of the level per step.
const MAX_RISE: f64 = 0.02;
/// Maximum fall of the level per step.
const MAX_FALL: f64 = 0.015;
/// Share of requests that find no local slot in time above which the level rises.
const OVERFLOW_SHARE: f64 = 0.02;
/// Utilization of the region's slots below which the level falls.
const LOW_UTILIZATION: f64 = 0.55;
/// Utilization of the region's slots above which the level rises.
const HIGH_UTILIZATION: f64 = 0.85;
/// Maximum share of requests in a step that run on the other side than their object's, where the
/// object is less likely to be cached. The two sides are this region and all other regions.
const DIVERTED_SHARE: f64 = 0.03;
/// Steps per window; the share of requests that run remotely is compared between windows.
const WINDOW_STEPS: usize = 4;
/// Maximum change of the share from one window to the next; the fleet tolerates 0.15.
const MAX_SHARE_CHANGE: f64 = 0.1;
/// The same for a request that would be refused otherwise, in a region with few slots.
const MAX_SERVED_CHANGE: f64 = 0.13;
/// The share of requests that may run on the other side in a step, in a region with few slots. Larger
/// than `DIVERTED_SHARE`, as a request that finds no slot among few targets is refused otherwise.
const MAX_OVERFLOW: f64 = 0.1;
/// Change of the level from which on it is reported to operators again.
const REPORTED_CHANGE: f64 = 0.05;
/// Weight of earlier steps in the moving average of arrivals, so that it covers two seconds.
const ARRIVAL_DECAY: f64 = 0.7;
/// Minimum requests in a window for its share to be significant.
const MIN_WINDOW_REQUESTS: u32 = 12;

/// Requests sent to this region and to other regions in one step.
#[derive(Clone, Copy, Debug, Default)]
struct DispatchCount {
    local: u32,
    remote: u32,
}

impl DispatchCount {
    fn total(self) -> u32 {
        self.local + self.remote
    }

    fn sum<'a>(counts: impl Iterator<Item = &'a Self>) -> Self {
        counts.fold(Self::default(), |sum, count| Self {
            local: sum.local + count.local,
            remote: sum.remote + count.remote,
        })
    }
}

/// A change of the level of a region with few slots, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelChange {
    /// The level.
    pub level: f64,
    /// Why it is as it is.
    pub reason: ShareReason,
    /// The share of the objects in each region.
    pub shares: Vec<(String, f64)>,
}

/// Level of one service in this VM's region, with the counters since the last step.
#[derive(Clone, Debug, Default)]
pub struct SpilloverLevel {
    level: f64,
    is_initialized: bool,
    /// Shares of all regions, while this region has few slots.
    shares: Option<RegionShares>,
    /// Objects of the newest requests, while this region has few slots.
    recent: RecentObjects,
    /// The level and the reason that were reported last.
    reported: Option<(f64, ShareReason)>,
    /// Moving average of the requests per step.
    arrivals: Option<f64>,
    requests: u32,
    overflowed: u32,
    diverted: u32,
    /// Newest step first.
    steps: VecDeque<DispatchCount>,
}

impl SpilloverLevel {
    /// Share of objects that go to other regions, 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether the initial level was set.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Sets the initial level; later calls have no effect.
    pub fn init(&mut self, level: f64) {
        if !self.is_initialized {
            self.is_initialized = true;
            self.level = level.clamp(0.0, 1.0);
        }
    }

    /// The shares of all regions, if this region has few slots.
    pub fn shares(&self) -> Option<&RegionShares> {
        self.shares.as_ref()
    }

    /// Why the level is as it is, if this region has few slots.
    pub fn reason(&self) -> Option<ShareReason> {
        self.shares.as_ref().map(RegionShares::reason)
    }

    /// The shares, if the level or its reason has changed significantly since the last call.
    pub fn take_change(&mut self) -> Option<LevelChange> {
        let shares = self.shares.as_ref()?;
        let (level, reason) = (self.level, shares.reason());
        let is_same = |(before, known): (f64, ShareReason)| {
            let is_by_load = !reason.is_exceptional() && !known.is_exceptional();
            (level - before).abs() < REPORTED_CHANGE && (reason == known || is_by_load)
        };
        if self.reported.is_some_and(is_same) {
            return None;
        }
        self.reported = Some((level, reason));
        let shares = shares.all().collect();
        Some(LevelChange {
            level,
            reason,
            shares,
        })
    }

    /// Sets the initial level of a region with few slots; later calls have no effect.
    pub fn init_shares(&mut self, own: &str, capacities: &[RegionCapacity]) {
        if !self.is_initialized {
            self.is_initialized = true;
            let shares = RegionShares::by_slots(own, capacities);
            self.level = 1.0 - shares.share(own);
            self.shares = Some(shares);
        }
    }

    /// Records the object of a request. Returns the hash that decides in which region it runs: that of the
    /// object, or for a hot object in a region with few slots another one for each request.
    pub(super) fn record_object(&mut self, object: u64) -> u64 {
        match self.shares.is_some() {
            true => self.recent.record(object),
            false => object,
        }
    }

    /// Records a request, and whether this region had targets but no slot in time for it.
    pub fn record_request(&mut self, is_overflowed: bool) {
        self.requests += 1;
        self.overflowed += u32::from(is_overflowed);
    }

    /// Whether one more request may run remotely, or locally, without raising that side's share by
    /// more than `MAX_SHARE_CHANGE` over the previous window.
    pub fn allows_side(&self, is_remote: bool) -> bool {
        self.allows_change(is_remote, MAX_SHARE_CHANGE)
    }

    /// The same with another maximum change.
    fn allows_change(&self, is_remote: bool, max_change: f64) -> bool {
        let before = DispatchCount::sum(self.steps.iter().skip(WINDOW_STEPS));
        if before.total() < MIN_WINDOW_REQUESTS {
            return true;
        }
        let now = DispatchCount::sum(self.steps.iter().take(WINDOW_STEPS));
        let side = |count: DispatchCount| if is_remote { count.remote } else { count.local };
        let share = f64::from(side(before)) / f64::from(before.total());
        f64::from(side(now) + 1) <= (share + max_change) * f64::from(now.total() + 1)
    }

    /// Whether one more request may run on the other side than its object's; counts it if so.
    pub fn allow_diverted(&mut self, is_remote: bool) -> bool {
        let limit = f64::from(self.requests) * DIVERTED_SHARE;
        let allowed = f64::from(self.diverted) < limit && self.allows_side(is_remote);
        self.diverted += u32::from(allowed);
        allowed
    }

    /// The same in a region with few slots, for a request that would be refused otherwise.
    pub(super) fn allow_overflow(&mut self, is_remote: bool) -> bool {
        let limit = f64::from(self.requests) * MAX_OVERFLOW;
        let allowed =
            f64::from(self.diverted) < limit && self.allows_change(is_remote, MAX_SERVED_CHANGE);
        self.diverted += u32::from(allowed);
        allowed
    }

    /// Records on which side a request runs.
    pub fn record_dispatch(&mut self, is_remote: bool) {
        if self.steps.is_empty() {
            self.steps.push_front(DispatchCount::default());
        }
        if let Some(count) = self.steps.front_mut() {
            count.remote += u32::from(is_remote);
            count.local += u32::from(!is_remote);
        }
    }

    /// Adjusts the level by one step; `utilization` is the share of the region's slots in use,
    /// `remote` that of the other regions, if known. Objects come back only from regions that are
    /// busier than this one: they are no longer cached here, and would displace objects that
    /// stayed.
    pub fn step(&mut self, utilization: f64, remote: Option<f64>) {
        self.shares = None;
        let overflowed = f64::from(self.overflowed) / f64::from(self.requests.max(1));
        if overflowed > OVERFLOW_SHARE || utilization > HIGH_UTILIZATION {
            self.level += MAX_RISE.min(overflowed.max(utilization - HIGH_UTILIZATION));
        } else if utilization < LOW_UTILIZATION.min(remote.unwrap_or(LOW_UTILIZATION)) {
            self.level -= MAX_FALL;
        }
        self.level = self.level.clamp(0.0, 1.0);
        self.end_step();
    }

    /// Adjusts the shares of a region with few slots by one step. `vms` VMs share the region's requests,
    /// each of which takes `service_seconds` on average.
    pub fn step_shares(
        &mut self,
        own: &str,
        capacities: &[RegionCapacity],
        vms: usize,
        service_seconds: f64,
    ) {
        let arrived = f64::from(self.requests);
        let arrivals = self.arrivals.map_or(arrived, |before| {
            before * ARRIVAL_DECAY + arrived * (1.0 - ARRIVAL_DECAY)
        });
        self.arrivals = Some(arrivals);
        let per_second = arrivals * vms as f64 / STEP_INTERVAL.as_secs_f64();
        if self.is_initialized {
            let shares = self
                .shares
                .get_or_insert_with(|| RegionShares::at_level(own, self.level, capacities));
            shares.step(own, capacities, per_second * service_seconds);
            self.level = 1.0 - shares.share(own);
        }
        self.end_step();
    }

    /// Keeps the shares of a region with few slots for one step, as the registrations are not current.
    pub fn hold_shares(&mut self) {
        if let Some(shares) = &mut self.shares {
            shares.hold();
        }
        self.end_step();
    }

    /// Begins the counters of the next step.
    fn end_step(&mut self) {
        (self.requests, self.overflowed, self.diverted) = (0, 0, 0);
        self.steps.push_front(DispatchCount::default());
        self.steps.truncate(WINDOW_STEPS * 2);
    }
}
