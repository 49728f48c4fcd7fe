//! Circuit breaker for a target, driven by the results of this VM's requests.
//!
//! The breaker opens for a pause after failures. After the pause one probe at a time is let through
//! until one is answered.

use crate::health::ResultKind;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// First pause after failures; it doubles with each further failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Pause of a target that shed a request.
const SHED_PAUSE: Duration = Duration::from_millis(120);
/// Weight of the newest result in the moving average of failures.
const EWMA_WEIGHT: f64 = 0.2;
/// Moving average of failures from which on a target is paused.
const FAILURE_SHARE: f64 = 0.45;

/// Breaker state of one target at this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failure_share: f64,
    consecutive_failures: u32,
    paused_until: TimeStamp,
    /// End of the pause that the target asked for, which no answer shortens.
    asked_until: TimeStamp,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Records the result of a request.
    pub fn record(&mut self, kind: ResultKind, now: TimeStamp) {
        match kind {
            ResultKind::Cancelled => {}
            ResultKind::Answered => {
                self.failure_share *= 1.0 - EWMA_WEIGHT;
                self.consecutive_failures = 0;
                self.is_probing = now < self.asked_until;
                self.paused_until = self.paused_until.min(now);
            }
            ResultKind::Shed => self.pause(SHED_PAUSE, now),
            ResultKind::ConnectFailed | ResultKind::TimedOut => self.fail(true, now),
            ResultKind::Errored => self.fail(false, now),
        }
    }

    fn fail(&mut self, is_hard: bool, now: TimeStamp) {
        self.failure_share = self.failure_share * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT;
        self.consecutive_failures += 1;
        if !is_hard && self.failure_share < FAILURE_SHARE && self.consecutive_failures < 3 {
            return;
        }
        let doubled = FIRST_PAUSE * (1 << self.consecutive_failures.saturating_sub(1).min(3));
        self.pause(doubled.min(LONGEST_PAUSE), now);
        self.is_probing = true;
    }

    fn pause(&mut self, span: Duration, now: TimeStamp) {
        self.paused_until = self.paused_until.max(now.after(span));
    }

    /// Records that the target asked for a pause. After it, one request at a time may be sent until
    /// one is answered, as VMs whose pauses end together would otherwise all return at once.
    pub fn ask_pause(&mut self, span: Duration, now: TimeStamp) {
        self.asked_until = self.asked_until.max(now.after(span));
        self.is_probing = true;
    }

    /// End of the pause that the target asked for.
    pub fn asked_until(&self) -> TimeStamp {
        self.asked_until
    }

    /// Whether a request may be sent, where `in_flight` requests of this VM run at the target.
    /// After a pause for failures one request at a time may be sent, until one is answered.
    pub fn is_usable(&self, in_flight: u32, now: TimeStamp) -> bool {
        now >= self.paused_until.max(self.asked_until) && (!self.is_probing || in_flight == 0)
    }
}
