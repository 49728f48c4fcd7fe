//! Whether a target is passed over for a while, from what became of this VM's requests.

use crate::health::ResultKind;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// The first pause; it doubles with each failure that follows.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// How long a target that shed a request gets nothing more.
const SHED_PAUSE: Duration = Duration::from_millis(120);
/// Weight of the newest result in the share of failures.
const NEWEST: f64 = 0.2;
/// The share of failures from which on a target is paused.
const FAILURE_SHARE: f64 = 0.45;

/// What this VM holds of a target's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: f64,
    in_a_row: u32,
    paused_until: TimeStamp,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Takes what became of a request.
    pub fn note(&mut self, kind: ResultKind, now: TimeStamp) {
        match kind {
            ResultKind::Cancelled => {}
            ResultKind::Answered => {
                self.failures *= 1.0 - NEWEST;
                self.in_a_row = 0;
                self.is_probing = false;
                self.paused_until = self.paused_until.min(now);
            }
            ResultKind::Shed => self.pause(SHED_PAUSE, now),
            ResultKind::ConnectFailed | ResultKind::TimedOut => self.fail(true, now),
            ResultKind::Errored => self.fail(false, now),
        }
    }

    fn fail(&mut self, is_hard: bool, now: TimeStamp) {
        self.failures = self.failures * (1.0 - NEWEST) + NEWEST;
        self.in_a_row += 1;
        if !is_hard && self.failures < FAILURE_SHARE && self.in_a_row < 3 {
            return;
        }
        let doubled = FIRST_PAUSE * (1 << self.in_a_row.saturating_sub(1).min(3));
        self.pause(doubled.min(LONGEST_PAUSE), now);
        self.is_probing = true;
    }

    fn pause(&mut self, span: Duration, now: TimeStamp) {
        self.paused_until = self.paused_until.max(now.after(span));
    }

    /// Whether a request may be sent, with `in_flight` requests of this VM there already: after a
    /// pause for failures one at a time, until one is answered.
    pub fn is_usable(&self, in_flight: u32, now: TimeStamp) -> bool {
        now >= self.paused_until && (!self.is_probing || in_flight == 0)
    }
}
