//! How large a part of a service's objects this region hands to others.
//!
//! The level moves by small steps, so that a moved crowd or a fading overload never moves more of
//! the requests between regions at once than the fleet allows. Which objects go follows from their
//! hash, so all VMs of a region hand over the same ones.

use std::collections::VecDeque;
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
/// Most of the requests in a step that run on another side than their object's, which knows them
/// less.
const STRAY_SHARE: f64 = 0.03;
/// Steps in a window; the share of requests that run elsewhere is compared window by window.
const WINDOW_STEPS: usize = 4;
/// The most that the share may change from one window to the next; the fleet tolerates 0.15.
const MOST_CHANGE: f64 = 0.1;
/// Requests in a window from which on its share says something.
const LEAST_COUNT: u32 = 12;

/// Requests that ran in this region and elsewhere in one step.
#[derive(Clone, Copy, Debug, Default)]
struct SideCount {
    here: u32,
    away: u32,
}

impl SideCount {
    fn total(self) -> u32 {
        self.here + self.away
    }

    fn sum<'a>(counts: impl Iterator<Item = &'a Self>) -> Self {
        counts.fold(Self::default(), |sum, count| Self {
            here: sum.here + count.here,
            away: sum.away + count.away,
        })
    }
}

/// The level of one service in this VM's region, and what was seen since the last step.
#[derive(Clone, Debug, Default)]
pub struct SpilloverLevel {
    level: f64,
    is_set: bool,
    asked: u32,
    crowded: u32,
    strayed: u32,
    /// The newest step is the first.
    steps: VecDeque<SideCount>,
}

impl SpilloverLevel {
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

    /// Whether one more request may run elsewhere, or here, without the share of both changing too
    /// much since the window before.
    pub fn may_run(&self, is_away: bool) -> bool {
        let before = SideCount::sum(self.steps.iter().skip(WINDOW_STEPS));
        if before.total() < LEAST_COUNT {
            return true;
        }
        let now = SideCount::sum(self.steps.iter().take(WINDOW_STEPS));
        let side = |count: SideCount| if is_away { count.away } else { count.here };
        let share = f64::from(side(before)) / f64::from(before.total());
        f64::from(side(now) + 1) <= (share + MOST_CHANGE) * f64::from(now.total() + 1)
    }

    /// Whether one more request may run on another side than its object's.
    pub fn may_stray(&mut self, is_away: bool) -> bool {
        let most = f64::from(self.asked) * STRAY_SHARE;
        let may = f64::from(self.strayed) < most && self.may_run(is_away);
        self.strayed += u32::from(may);
        may
    }

    /// Notes where a request runs.
    pub fn note_run(&mut self, is_away: bool) {
        if self.steps.is_empty() {
            self.steps.push_front(SideCount::default());
        }
        if let Some(count) = self.steps.front_mut() {
            count.away += u32::from(is_away);
            count.here += u32::from(!is_away);
        }
    }

    /// Moves the level by one step; `usage` is the share of the region's slots in use, `away` that
    /// of the other regions where it is known. Objects come back to a calm region only from busier
    /// ones: they are cold here, and their place is needed for those that stayed.
    pub fn step(&mut self, usage: f64, away: Option<f64>) {
        let crowded = f64::from(self.crowded) / f64::from(self.asked.max(1));
        if crowded > OVERFLOW_SHARE || usage > HIGH_USE {
            self.level += RISE.min(crowded.max(usage - HIGH_USE));
        } else if usage < CALM_USE.min(away.unwrap_or(CALM_USE)) {
            self.level -= FALL;
        }
        self.level = self.level.clamp(0.0, 1.0);
        (self.asked, self.crowded, self.strayed) = (0, 0, 0);
        self.steps.push_front(SideCount::default());
        self.steps.truncate(WINDOW_STEPS * 2);
    }
}
