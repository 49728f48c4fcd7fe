//! A hybrid logical clock: near wall time, never backward, and later than whatever was heard.

/// Bits of a reading that count events within one microsecond step.
const COUNTER_BITS: u32 = 8;

/// The furthest that a reading heard from another process may lead the own wall clock,
/// microseconds; a reading further ahead is not followed, so one broken clock cannot carry all
/// others away.
const MAX_LEAD_MICROS: u64 = 60 * 1_000_000;

/// The state of one process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridStamp,
}

/// A reading: microseconds since the Unix epoch in the upper bits, a counter in the lower.
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

    /// The first reading of a microsecond.
    pub fn from_wall_micros(micros: u64) -> Self {
        Self(micros << COUNTER_BITS)
    }
}

impl HybridClock {
    /// A reading later than every one given or followed before.
    pub fn tick(&mut self, wall_micros: u64) -> HybridStamp {
        let wall = HybridStamp::from_wall_micros(wall_micros);
        self.last = wall.max(HybridStamp(self.last.0 + 1));
        self.last
    }

    /// Follows a reading that another process sent, unless it leads the wall clock too far.
    pub fn observe(&mut self, heard: HybridStamp, wall_micros: u64) {
        let limit = HybridStamp::from_wall_micros(wall_micros + MAX_LEAD_MICROS);
        if heard <= limit {
            self.last = self.last.max(heard);
        }
    }

    /// The latest reading, without advancing.
    pub fn last(&self) -> HybridStamp {
        self.last
    }
}
