//! Call rates of the stand-in and the count of calls that it took.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Call rates, calls a second; a waiting watch counts as one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRates {
    /// Puts, deletes and leases.
    pub writes_per_second: u32,
    /// Gets, lists, watches and live lists.
    pub reads_per_second: u32,
}

impl Default for CallRates {
    fn default() -> Self {
        Self {
            writes_per_second: 500,
            reads_per_second: 2_000,
        }
    }
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    /// Writes that were let through.
    pub writes: u64,
    /// Reads that were let through, watches among them.
    pub reads: u64,
    /// Calls above the rate.
    pub refused: u64,
    /// Bytes of values that were sent and received.
    pub value_bytes: u64,
}

/// A token bucket that holds one second's worth of calls.
#[derive(Clone, Copy, Debug)]
pub struct RateBucket {
    per_second: f64,
    tokens: f64,
    filled_at: Instant,
}

impl RateBucket {
    /// A full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            filled_at: now,
        }
    }

    /// Takes one call, or returns `false` where there is no room.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Time between two looks for lapsed leases.
pub const LEASE_TICK: Duration = Duration::from_millis(10);
