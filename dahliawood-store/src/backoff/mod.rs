//! How long to wait before the next try.

use std::time::Duration;

/// Waits that double from `base` to `cap`, each drawn evenly between zero and its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPlan {
    /// Bound of the first wait.
    pub base: Duration,
    /// Bound of the longest wait.
    pub cap: Duration,
}

impl Default for RetryPlan {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            cap: Duration::from_secs(2),
        }
    }
}

impl RetryPlan {
    /// The wait after `failures` failures in a row; `draw` is in `0.0..1.0`.
    pub fn wait(&self, failures: u32, draw: f64) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let bound = self.base.saturating_mul(1 << doublings).min(self.cap);
        bound.mul_f64(draw.clamp(0.0, 1.0))
    }
}
