//! Exponential backoff with full jitter.

use std::time::Duration;

/// Waits whose upper bound doubles from `base` to `cap`; each wait is drawn uniformly between zero
/// and its upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Upper bound of the first wait.
    pub base: Duration,
    /// Upper bound of the longest wait.
    pub cap: Duration,
}

impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            cap: Duration::from_secs(2),
        }
    }
}

impl BackoffPolicy {
    /// The wait after `failures` consecutive failures; `draw` is a random number in `0.0..1.0`.
    pub fn wait(&self, failures: u32, draw: f64) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = self.base.saturating_mul(1 << doublings).min(self.cap);
        bound.mul_f64(draw.clamp(0.0, 1.0))
    }
}
