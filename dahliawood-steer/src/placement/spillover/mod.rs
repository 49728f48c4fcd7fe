//! Spillover level: the share of a service's objects that this region sends to other regions.
//!
//! The level changes in small steps, so that a shift of callers between regions, or the end of an
//! overload, never moves a larger share of requests at once than the fleet tolerates. The hash of
//! an object decides whether it spills over, so all VMs of a region send away the same objects.

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

/// Level of one service in this VM's region, with the counters since the last step.
#[derive(Clone, Debug, Default)]
pub struct SpilloverLevel {
    level: f64,
    is_initialized: bool,
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

    /// Records a request, and whether this region had targets but no slot in time for it.
    pub fn record_request(&mut self, is_overflowed: bool) {
        self.requests += 1;
        self.overflowed += u32::from(is_overflowed);
    }

    /// Whether one more request may run remotely, or locally, without raising that side's share by
    /// more than `MAX_SHARE_CHANGE` over the previous window.
    pub fn allows_side(&self, is_remote: bool) -> bool {
        let before = DispatchCount::sum(self.steps.iter().skip(WINDOW_STEPS));
        if before.total() < MIN_WINDOW_REQUESTS {
            return true;
        }
        let now = DispatchCount::sum(self.steps.iter().take(WINDOW_STEPS));
        let side = |count: DispatchCount| if is_remote { count.remote } else { count.local };
        let share = f64::from(side(before)) / f64::from(before.total());
        f64::from(side(now) + 1) <= (share + MAX_SHARE_CHANGE) * f64::from(now.total() + 1)
    }

    /// Whether one more request may run on the other side than its object's; counts it if so.
    pub fn allow_diverted(&mut self, is_remote: bool) -> bool {
        let limit = f64::from(self.requests) * DIVERTED_SHARE;
        let allowed = f64::from(self.diverted) < limit && self.allows_side(is_remote);
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
        let overflowed = f64::from(self.overflowed) / f64::from(self.requests.max(1));
        if overflowed > OVERFLOW_SHARE || utilization > HIGH_UTILIZATION {
            self.level += MAX_RISE.min(overflowed.max(utilization - HIGH_UTILIZATION));
        } else if utilization < LOW_UTILIZATION.min(remote.unwrap_or(LOW_UTILIZATION)) {
            self.level -= MAX_FALL;
        }
        self.level = self.level.clamp(0.0, 1.0);
        (self.requests, self.overflowed, self.diverted) = (0, 0, 0);
        self.steps.push_front(DispatchCount::default());
        self.steps.truncate(WINDOW_STEPS * 2);
    }
}
