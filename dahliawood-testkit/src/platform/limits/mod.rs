//! The rate limits of the stand-in and the counters of the calls that it received.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Rate limits, calls a second. A watch counts as one read, however long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRates {
    /// Limit on puts, deletes and lease calls.
    pub writes_per_second: u32,
    /// Limit on gets, lists, watches and reads of the live list.
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

/// Call counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    /// Writes that were admitted.
    pub writes: u64,
    /// Reads that were admitted, watches included.
    pub reads: u64,
    /// Calls refused because they were above the rate limit.
    pub refused: u64,
    /// Bytes of values sent and received.
    pub value_bytes: u64,
}

/// A token bucket that holds one second's worth of calls.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: f64::from(per_second),
            tokens: f64::from(per_second),
            refilled_at: now,
        }
    }

    /// Takes the token for one call; returns `false` where less than one token is left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Interval between two checks for expired leases.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
