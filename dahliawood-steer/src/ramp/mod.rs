//! The ramp of a target that starts cold, led by its answers.
//!
//! A cold target first gets one request in sixteen of those it would get warm. After each batch of
//! answers the share doubles where their mean latency is near that of warm peers, or no longer
//! falls; it halves where the target is far slower or fails, and stays otherwise. There is no
//! clock in it: a target that gets no request does not become warm.

use crate::split;

/// The share at the start, one in sixteen.
const FIRST_WEIGHT: u32 = split::FULL_WEIGHT / 16;
/// Answers that make a batch.
const BATCH_ANSWERS: u32 = 4;
/// Latency up to which a batch counts as warm, as a multiple of the warm peers.
const WARM_MULTIPLE: f64 = 1.5;
/// Latency from which a batch counts as overloaded, as a multiple of the warm peers.
const COLD_MULTIPLE: f64 = 4.0;
/// Latency of the batch before up to which a batch counts as settled, as a multiple of it.
const SETTLED_MULTIPLE: f64 = 1.2;

/// How far a cold target has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampState {
    split: split::WeightSplit,
    answers: u32,
    failures: u32,
    sum_us: f64,
    last_mean_us: Option<f64>,
}

/// What a ramp says after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStep {
    /// It goes on.
    Going,
    /// The target is warm.
    Warm,
}

impl Default for RampState {
    fn default() -> Self {
        Self {
            split: split::WeightSplit::new(FIRST_WEIGHT),
            answers: 0,
            failures: 0,
            sum_us: 0.0,
            last_mean_us: None,
        }
    }
}

impl RampState {
    /// The share of its usual requests that it gets, of [`split::FULL_WEIGHT`].
    pub fn weight(&self) -> u32 {
        self.split.weight()
    }

    /// Whether the next request that it could take is offered to it.
    pub fn offer_next(&mut self) -> bool {
        self.split.keep_next()
    }

    /// The most requests at once, out of `limit`.
    pub fn in_flight_limit(&self, limit: u32) -> u32 {
        let share = u64::from(limit) * u64::from(self.weight()) / u64::from(split::FULL_WEIGHT);
        (share as u32).max(1).min(limit)
    }

    /// Takes in one answer; `warm_us` is the median latency of warm peers, where there are any.
    pub fn record(&mut self, latency_us: f64, failed: bool, warm_us: Option<f64>) -> RampStep {
        self.answers += 1;
        self.failures += u32::from(failed);
        self.sum_us += latency_us;
        if self.answers < BATCH_ANSWERS {
            return RampStep::Going;
        }
        self.end_batch(warm_us)
    }

    fn end_batch(&mut self, warm_us: Option<f64>) -> RampStep {
        let mean_us = self.sum_us / f64::from(self.answers);
        let warm = warm_us.is_some_and(|warm| mean_us <= WARM_MULTIPLE * warm);
        let far = warm_us.is_some_and(|warm| mean_us > COLD_MULTIPLE * warm);
        let last_us = self.last_mean_us;
        let settled = last_us.is_some_and(|last| SETTLED_MULTIPLE * mean_us >= last);
        let near = warm || (settled && !far);
        let failed = self.failures > 0;
        let full = self.weight() == split::FULL_WEIGHT;
        if near && !failed && full {
            return RampStep::Warm;
        }
        if near && !failed {
            self.split.set_weight(self.weight() * 2);
        } else if far || failed {
            self.split.set_weight((self.weight() / 2).max(FIRST_WEIGHT));
        }
        *self = Self {
            split: self.split,
            last_mean_us: Some(mean_us),
            ..Self::default()
        };
        RampStep::Going
    }
}
