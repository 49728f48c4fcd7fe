//! A two-way split by weight that is exact within one request over any window.
//!
//! The splitter adds the weight to an accumulator, the phase, and keeps a request whenever the
//! phase overflows. Among the first `n` requests it keeps the floor of `n` times the weight (as a
//! fraction of [`FULL_WEIGHT`]) plus the initial phase. Any window of consecutive requests
//! therefore keeps its length times the weight, rounded down or up. A change of weight keeps the
//! phase.

pub mod round_robin;

/// The weight that keeps every request.
pub const FULL_WEIGHT: u32 = 1 << 16;

/// Splits a stream of requests into those that are kept and the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightSplit {
    weight: u32,
    phase: u32,
}

impl WeightSplit {
    /// A split that keeps `weight` of [`FULL_WEIGHT`] requests.
    pub fn new(weight: u32) -> Self {
        Self {
            weight: weight.min(FULL_WEIGHT),
            phase: 0,
        }
    }

    /// The current weight.
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Changes the weight from the next request on.
    pub fn set_weight(&mut self, weight: u32) {
        self.weight = weight.min(FULL_WEIGHT);
    }

    /// Whether the next request is kept.
    pub fn keep_next(&mut self) -> bool {
        self.phase += self.weight;
        let keep = self.phase >= FULL_WEIGHT;
        self.phase -= if keep { FULL_WEIGHT } else { 0 };
        keep
    }
}
