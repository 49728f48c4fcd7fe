//! How large a part of a service's objects this region hands to others.
//!
//! The level moves by small steps, so that a moved crowd or a fading overload never moves more of
//! the requests between regions at once than the fleet allows. Which objects go follows from their
//! hash, so all VMs of a region hand over the same ones.

use std::time::Duration;

/// How often the level moves.
pub const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// The most that the level rises in a step.
const RISE: f64 = 0.02;
/// The most that the level falls in a step.
const FALL: f64 = 0.015;
/// The share of requests without room from which on the level rises.
const OVERFLOW_SHARE: f64 = 0.02;
/// Use of the region's slots below which objects come back.
const CALM_USE: f64 = 0.55;
/// Use of the region's slots above which objects go.
const HIGH_USE: f64 = 0.85;
/// Most of the requests in a step that may leave one by one, beside whole objects.
const STRAY_SHARE: f64 = 0.03;

/// The level of one service in this VM's region, and what was seen since the last step.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpillLevel {
    level: f64,
    is_set: bool,
    asked: u32,
    crowded: u32,
    strayed: u32,
}

impl SpillLevel {
    /// The share of objects that go elsewhere, 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether the level was set before the first request.
    pub fn is_started(&self) -> bool {
        self.is_set
    }

    /// Sets the level before the first request, from the region's share of the room.
    pub fn start(&mut self, level: f64) {
        if !self.is_set {
            self.is_set = true;
            self.level = level.clamp(0.0, 1.0);
        }
    }

    /// Notes a request of this region, and whether its region had no room in time for it.
    pub fn note(&mut self, is_crowded: bool) {
        self.asked += 1;
        self.crowded += u32::from(is_crowded);
    }

    /// Whether a single request may leave the region now, beside the objects that do.
    pub fn may_stray(&mut self) -> bool {
        let most = f64::from(self.asked) * STRAY_SHARE;
        let may = f64::from(self.strayed) < most;
        self.strayed += u32::from(may);
        may
    }

    /// Moves the level by one step; `usage` is the share of the region's slots in use.
    pub fn step(&mut self, usage: f64) {
        let crowded = f64::from(self.crowded) / f64::from(self.asked.max(1));
        if crowded > OVERFLOW_SHARE || usage > HIGH_USE {
            self.level += RISE.min(crowded.max(usage - HIGH_USE));
        } else if usage < CALM_USE {
            self.level -= FALL;
        }
        self.level = self.level.clamp(0.0, 1.0);
        (self.asked, self.crowded, self.strayed) = (0, 0, 0);
    }
}
