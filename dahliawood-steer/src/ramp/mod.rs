//! Slow start of a cold target, driven by the latency of its answers.
//!
//! A cold target first gets one in sixteen of the requests that it would get when warm. After each
//! batch of answers the share doubles if their mean latency is close to that of warm peers or has
//! stopped falling; it halves if the target is much slower or fails, and otherwise stays. Elapsed
//! time has no effect: a target that gets no requests does not become warm.

use crate::split;

/// Initial share of requests, one in sixteen.
const INITIAL_WEIGHT: u32 = split::FULL_WEIGHT / 16;
/// Answers per batch; the share changes at most once per batch.
const BATCH_SIZE: u32 = 4;
/// Highest mean latency of a warm batch, as a multiple of the median of warm peers.
const WARM_MULTIPLE: f64 = 1.5;
/// A batch with a higher mean latency counts as overloaded; a multiple of the median of warm peers.
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Latency counts as no longer falling if the previous batch took at most this multiple of it.
const SETTLED_MULTIPLE: f64 = 1.2;

/// Slow start progress of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampState {
    split: split::WeightSplit,
    answers: u32,
    failures: u32,
    latency_sum_us: f64,
    last_mean_us: Option<f64>,
}

/// State of the slow start after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStep {
    /// The target is still cold.
    InProgress,
    /// The target is warm.
    Warm,
}

impl Default for RampState {
    fn default() -> Self {
        Self {
            split: split::WeightSplit::new(INITIAL_WEIGHT),
            answers: 0,
            failures: 0,
            latency_sum_us: 0.0,
            last_mean_us: None,
        }
    }
}

impl RampState {
    /// Share of its usual requests that the target gets, out of [`split::FULL_WEIGHT`].
    pub fn weight(&self) -> u32 {
        self.split.weight()
    }

    /// Whether the next request that the target could take goes to it.
    pub fn offer_next(&mut self) -> bool {
        self.split.keep_next()
    }

    /// Maximum concurrent requests, scaled down from `limit`; at least 1 if `limit` is positive.
    pub fn in_flight_limit(&self, limit: u32) -> u32 {
        let share = u64::from(limit) * u64::from(self.weight()) / u64::from(split::FULL_WEIGHT);
        (share as u32).max(1).min(limit)
    }

    /// Records one answer or failure; `warm_us` is the median latency of warm peers, if any.
    pub fn record(&mut self, latency_us: f64, failed: bool, warm_us: Option<f64>) -> RampStep {
        self.answers += 1;
        self.failures += u32::from(failed);
        self.latency_sum_us += latency_us;
        if self.answers < BATCH_SIZE {
            return RampStep::InProgress;
        }
        self.end_batch(warm_us)
    }

    fn end_batch(&mut self, warm_us: Option<f64>) -> RampStep {
        let mean_us = self.latency_sum_us / f64::from(self.answers);
        let warm = warm_us.is_some_and(|warm| mean_us <= WARM_MULTIPLE * warm);
        let overloaded = warm_us.is_some_and(|warm| mean_us > OVERLOAD_MULTIPLE * warm);
        let last_us = self.last_mean_us;
        let settled = last_us.is_some_and(|last| SETTLED_MULTIPLE * mean_us >= last);
        let healthy = warm || (settled && !overloaded);
        let failed = self.failures > 0;
        let full = self.weight() == split::FULL_WEIGHT;
        if healthy && !failed && full {
            return RampStep::Warm;
        }
        if healthy && !failed {
            self.split.set_weight(self.weight() * 2);
        } else if overloaded || failed {
            self.split
                .set_weight((self.weight() / 2).max(INITIAL_WEIGHT));
        }
        *self = Self {
            split: self.split,
            last_mean_us: Some(mean_us),
            ..Self::default()
        };
        RampStep::InProgress
    }
}
