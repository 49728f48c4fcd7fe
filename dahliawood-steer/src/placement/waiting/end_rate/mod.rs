//! Rate at which this VM's requests at a service end, each of which frees a slot.

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Time constant of the average: some tens of requests of a small VM.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Number of ends from which on the rate is known.
const MIN_ENDS: u32 = 3;
/// Least part of the average that counts as covered, so that the first ends give no absurd rate.
const MIN_COVERED: f64 = 0.1;

/// Moving average of the number of ends per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndRate {
    sum: f64,
    ends: u32,
    first_at: TimeStamp,
    last_at: TimeStamp,
}

impl EndRate {
    /// Records the end of a request.
    pub fn record(&mut self, now: TimeStamp) {
        if self.ends == 0 {
            self.first_at = now;
        }
        self.sum = self.decayed_sum(now) + 1.0;
        self.ends = self.ends.saturating_add(1);
        self.last_at = now;
    }

    /// Ends per second, `None` while too few were seen.
    pub fn per_second(&self, now: TimeStamp) -> Option<f64> {
        if self.ends < MIN_ENDS {
            return None;
        }
        let observed = now.since(self.first_at).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        let covered = (1.0 - (-observed).exp()).max(MIN_COVERED);
        Some(self.decayed_sum(now) / (covered * AVERAGE_TIME.as_secs_f64()))
    }

    fn decayed_sum(&self, now: TimeStamp) -> f64 {
        let elapsed = now.since(self.last_at).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.sum * (-elapsed).exp()
    }
}
