//! Early refusal of a share of a service's requests while its targets' queues are too long.
//!
//! This handles a load pattern in which slightly more requests arrive than a service can run. All
//! queues then grow until nearly every answer is late, although refusing the small excess would
//! leave time for the others. Each VM sees few answers of each target, so the length of a single
//! queue is known too late; a controller therefore adjusts the share in small steps by the queueing
//! delay that answers report, as active queue management does (PIE, RFC 8033).

pub mod by_rank;

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Minimum interval between two adjustments.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum number of answers for their average delay to be significant.
const MIN_ANSWERS: u32 = 3;
/// Queueing delay that is aimed at, relative to what a request can wait and still be in time: one
/// at which a typical request just is.
const TARGET_DELAY: f64 = 1.0;
/// Change of the share per second and unit of excess delay.
const INTEGRAL_GAIN: f64 = 0.2;
/// Change of the share per unit by which the delay has changed since the last step.
const PROPORTIONAL_GAIN: f64 = 0.1;
/// Largest rise of the share per second, so that a short peak refuses little.
const MAX_RISE: f64 = 0.25;
/// Time without enough answers after which the share begins to fall.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// The share falls by this factor per second without enough answers.
const IDLE_DECAY: f64 = 0.6;
/// Largest relative delay that counts; longer queues make no difference to the next steps.
const MAX_DELAY: f64 = 4.0;
/// Largest share that is refused, so that the delay stays known.
const MAX_SHARE: f64 = 0.8;

/// The share of a service's requests that one VM refuses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShedShare {
    share: f64,
    /// Fraction of a refusal that is due.
    due: f64,
    delay_sum: f64,
    answers: u32,
    last_delay: f64,
    stepped_at: TimeStamp,
}

impl ShedShare {
    /// The share, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Records the queueing delay that an answer reports: that of the next request at its target,
    /// relative to what the answered request could have waited.
    pub fn record_delay(&mut self, delay: f64) {
        self.delay_sum += delay.min(MAX_DELAY);
        self.answers += 1;
    }

    /// Whether the next request is refused; refusals are spread evenly.
    pub fn take_refusal(&mut self) -> bool {
        self.due += self.share;
        let is_due = self.due >= 1.0;
        if is_due {
            self.due -= 1.0;
        }
        is_due
    }

    /// Adjusts the share if a step is due at `now`.
    pub fn advance(&mut self, now: TimeStamp) {
        self.advance_within(IDLE_TIME, now);
    }

    /// Adjusts the share if a step is due at `now`; it falls after `idle_time` without enough answers.
    pub fn advance_within(&mut self, idle_time: Duration, now: TimeStamp) {
        let elapsed = now.since(self.stepped_at);
        if elapsed < STEP_INTERVAL {
            return;
        }
        if self.answers >= MIN_ANSWERS {
            self.step(elapsed.min(idle_time));
        } else if elapsed >= idle_time {
            self.share *= IDLE_DECAY.powf(elapsed.as_secs_f64());
        } else {
            return;
        }
        self.stepped_at = now;
    }

    /// Decays the share over a gap in which this VM was idle or paused, and returns by which factor.
    /// Answers from before say nothing of the queues after it.
    pub fn resume(&mut self, gap: Duration, now: TimeStamp) -> f64 {
        let kept = IDLE_DECAY.powf(gap.as_secs_f64());
        self.share *= kept;
        (self.delay_sum, self.answers) = (0.0, 0);
        self.stepped_at = now;
        kept
    }

    fn step(&mut self, elapsed: Duration) {
        let delay = self.delay_sum / f64::from(self.answers);
        let excess = delay - TARGET_DELAY;
        let seconds = elapsed.as_secs_f64();
        let change =
            INTEGRAL_GAIN * excess * seconds + PROPORTIONAL_GAIN * (delay - self.last_delay);
        let most = if excess > 0.0 {
            MAX_RISE * seconds
        } else {
            0.0
        };
        self.share = (self.share + change.min(most)).clamp(0.0, MAX_SHARE);
        (self.delay_sum, self.answers, self.last_delay) = (0.0, 0, delay);
    }
}
