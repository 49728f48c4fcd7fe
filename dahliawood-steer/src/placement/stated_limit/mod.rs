//! The limit on requests from all VMs together that a target states in its responses.
//!
//! This handles targets that can take only a few requests a second for a while. VMs do not talk
//! about it: each that was told keeps its own requests apart. VMs of the target's region divide the
//! limit in whole requests of a window, as they divide the limit of a cold target; since a small
//! limit over many VMs is less than one request each, only some of them have a part. A VM that was
//! told and has none sends a request now and then, from whose response it learns that the limit is
//! lifted.

use crate::placement::choose::VmLocation;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Shortest window of whose requests each VM has a part.
const MIN_WINDOW: Duration = Duration::from_secs(4);
/// Longest window, for limits below one request in that time; a lower limit counts as none at all.
const MAX_WINDOW: Duration = Duration::from_secs(60);
/// Share of the limit that VMs without a part use beyond it, to learn whether it is lifted.
const PROBE_SHARE: f64 = 0.25;
/// Requests a second, from all VMs without a part, for the lowest limits.
const MIN_PROBE_RATE: f64 = 0.05;
/// Shortest time between two requests of a VM without a part.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Highest limit that is distinguished from none, requests a second.
const MAX_LIMIT: f64 = 1e6;

/// How far a VM may run ahead of an even pace, where its pace is faster than that.
const BURST_TIME: Duration = Duration::from_millis(100);

/// What one VM was told of a target's limit, and its pace there.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedLimit {
    per_second: Option<f64>,
    /// The latest request of this VM, or when it was told.
    last_at: TimeStamp,
    /// When the next request is due at an even pace, with `interval` between requests.
    due_at: TimeStamp,
    interval: Duration,
}

/// A target's place as far as the division of its limit depends on it.
#[derive(Clone, Copy, Debug)]
pub struct LimitedTarget {
    /// Hash of its id.
    pub hash: u64,
    /// Whether it is in the VM's own region.
    pub is_local: bool,
}

impl StatedLimit {
    /// Whether the target states a limit.
    pub fn is_stated(&self) -> bool {
        self.per_second.is_some()
    }

    /// Takes over what the target states, requests a second, or that it states nothing; returns
    /// whether that is new.
    pub fn set(&mut self, per_second: Option<f64>, now: TimeStamp) -> bool {
        let per_second = per_second.filter(|limit| *limit < MAX_LIMIT);
        if self.per_second.is_none() {
            (self.last_at, self.interval) = (now, Duration::MAX);
        }
        let before = std::mem::replace(&mut self.per_second, per_second);
        before != per_second
    }

    /// When this VM may send the target its next request, `None` if no limit is stated.
    pub fn next_at(
        &self,
        location: &VmLocation,
        target: LimitedTarget,
        now: TimeStamp,
    ) -> Option<TimeStamp> {
        let interval = interval(self.per_second?, location, target, now);
        let due_at = self.due_at(interval);
        Some(match interval <= BURST_TIME {
            true => due_at.before(BURST_TIME),
            false => due_at,
        })
    }

    /// When the next request is due with `interval` between requests from now on.
    fn due_at(&self, interval: Duration) -> TimeStamp {
        match interval < self.interval {
            true => self.last_at.after(interval),
            false => self.due_at,
        }
    }

    /// Records that a request is sent.
    pub fn record(&mut self, location: &VmLocation, target: LimitedTarget, now: TimeStamp) {
        let Some(limit) = self.per_second else {
            return;
        };
        let interval = interval(limit, location, target, now);
        self.due_at = self.due_at(interval).max(now).after(interval);
        (self.last_at, self.interval) = (now, interval);
    }
}

/// How far apart this VM keeps its requests to a target that states `limit`.
fn interval(limit: f64, location: &VmLocation, target: LimitedTarget, now: TimeStamp) -> Duration {
    let window = Duration::from_secs_f64((1.0 / limit).min(MAX_WINDOW.as_secs_f64()));
    let window = window.max(MIN_WINDOW);
    // Rounded down, with room for the error of the division above.
    let requests = (limit * window.as_secs_f64() + 1e-6) as usize;
    let part = match target.is_local {
        true => location.sharers.part(requests, target.hash, now),
        false => 0,
    };
    if part > 0 {
        return window.div_f64(part as f64);
    }
    let probes = (limit * PROBE_SHARE).max(MIN_PROBE_RATE);
    let vms = location.fleet_sharers.count() as f64;
    // VMs that were told together do not probe together.
    let spread = 0.5 + location.sharers.position(target.hash);
    let interval = Duration::from_secs_f64(vms / probes);
    interval.max(MIN_PROBE_INTERVAL).mul_f64(spread)
}
