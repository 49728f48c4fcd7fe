//! A two-way split by weight that is exact within one request over any window.
//!
//! The requests that are kept form a bracket sequence: the number kept among the first `n` is the
//! floor of `n` times the weight, plus a phase. Any window of consecutive requests therefore holds
//! the weight times its length, rounded down or up. A change of weight keeps the phase.

pub mod round_robin;

/// The weight that keeps every request.
pub const FULL_WEIGHT: u32 = 1 << 16;

/// Splits a stream of requests in two.
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

    /// The weight in force.
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
