//! A hybrid logical clock: close to wall time, strictly increasing, and later than every accepted
//! stamp of another process.

/// Low bits of a stamp that count events within one microsecond.
const COUNTER_BITS: u32 = 8;

/// Maximum time that a stamp of another process may be ahead of the local wall clock, microseconds.
/// Stamps further ahead are ignored, so that one broken clock cannot advance the clocks of all
/// other processes.
const MAX_LEAD_MICROS: u64 = 60 * 1_000_000;

/// The hybrid logical clock of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

/// A time stamp: microseconds since the Unix epoch in the upper bits, a counter in the lower.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct HybridStamp(pub u64);

impl HybridStamp {
    /// Microseconds since the Unix epoch.
    pub fn wall_micros(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The earliest stamp of a microsecond.
    pub fn from_wall_micros(micros: u64) -> Self {
        Self(micros << COUNTER_BITS)
    }
}

impl HybridClock {
    /// Returns a stamp later than every stamp returned or accepted before.
    pub fn tick(&mut self, wall_micros: u64) -> HybridStamp {
        let wall = HybridStamp::from_wall_micros(wall_micros);
        self.last = wall.max(HybridStamp(self.last.0 + 1));
        self.last
    }

    /// Advances the clock to a stamp received from another process, unless the stamp is more than
    /// `MAX_LEAD_MICROS` ahead of the wall clock.
    pub fn observe(&mut self, remote: HybridStamp, wall_micros: u64) {
        let limit = HybridStamp::from_wall_micros(wall_micros + MAX_LEAD_MICROS);
        if remote <= limit {
            self.last = self.last.max(remote);
        }
    }

    /// The latest stamp; does not advance the clock.
    pub fn last(&self) -> HybridStamp {
        self.last
    }
}
