//! Circuit breaker for a target, driven by the results of this VM's requests.
//!
//! The breaker opens for a pause after failures. After the pause one probe at a time is let through
//! until one is answered. A target whose process is gone gets no request as a probe: connections
//! are opened to it until one is accepted, because the process that accepts it is a new one, and all
//! VMs would send it their probes at the same time.

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

/// By how much the ends of two pauses differ at most that count as one: responses to requests that were
/// in flight together.
const SAME_PAUSE: Duration = Duration::from_millis(100);
/// Failed connections in a row from which on the target's process is taken to be gone, if none was
/// refused.
const DOWN_FAILURES: u32 = 2;

/// Breaker state of one target at this VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failure_share: f64,
    consecutive_failures: u32,
    paused_until: TimeStamp,
    /// End of the pause that the target asked for, which no answer shortens.
    asked_until: TimeStamp,
    is_probing: bool,
    /// Connections in a row that could not be made.
    failed_connections: u32,
    /// Since when the target's process is gone, `None` if it is there or has come back.
    down_since: Option<TimeStamp>,
    /// Whether a connection is being opened to learn whether it is back.
    is_checking: bool,
    /// Whether a connection is being opened to learn whether it is gone, as another VM says.
    is_doubted: bool,
}

impl CircuitBreaker {
    /// Records the result of a request.
    pub fn record(&mut self, kind: ResultKind, now: TimeStamp) {
        self.record_contact(kind, now);
        match kind {
            ResultKind::Cancelled => {}
            ResultKind::Answered => {
                self.failure_share *= 1.0 - EWMA_WEIGHT;
                self.consecutive_failures = 0;
                self.is_probing = now < self.asked_until;
                self.paused_until = self.paused_until.min(now);
            }
            ResultKind::Shed => self.pause(SHED_PAUSE, now),
            ResultKind::ConnectFailed | ResultKind::Refused | ResultKind::TimedOut => {
                self.fail(true, now);
            }
            ResultKind::Errored => self.fail(false, now),
        }
    }

    /// Records what a result says about whether the target's process is there.
    fn record_contact(&mut self, kind: ResultKind, now: TimeStamp) {
        match kind {
            ResultKind::Answered | ResultKind::Shed => self.failed_connections = 0,
            ResultKind::ConnectFailed => self.failed_connections += 1,
            ResultKind::Refused => self.failed_connections = DOWN_FAILURES,
            // A request that was in flight when the process ended may end so, later.
            ResultKind::Errored | ResultKind::TimedOut | ResultKind::Cancelled => return,
        }
        self.down_since = match self.failed_connections >= DOWN_FAILURES {
            true => self.down_since.or(Some(now)),
            false => None,
        };
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

    /// Records that the target asked for a pause; returns whether it is a new one. After it, one request
    /// at a time may be sent until one is answered, as VMs whose pauses end together would otherwise
    /// all return at once.
    pub fn ask_pause(&mut self, span: Duration, now: TimeStamp) -> bool {
        let until = now.after(span);
        let is_new = until > self.asked_until.after(SAME_PAUSE);
        self.asked_until = self.asked_until.max(until);
        self.is_probing = true;
        is_new
    }

    /// End of the pause that the target asked for.
    pub fn asked_until(&self) -> TimeStamp {
        self.asked_until
    }

    /// Since when the target's process is gone, as far as is known.
    pub fn down_since(&self) -> Option<TimeStamp> {
        self.down_since
    }

    /// Whether failures stop requests, but for one at a time, until one is answered.
    pub fn is_tripped(&self) -> bool {
        self.is_probing && self.consecutive_failures > 0
    }

    /// Whether the target's process is gone, as far as is known.
    pub fn is_down(&self) -> bool {
        self.down_since.is_some()
    }

    /// Whether the latest result that tells of the target's health was a failure.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the latest connection to the target could not be made.
    pub fn is_unreached(&self) -> bool {
        self.failed_connections > 0
    }

    /// Records that another VM takes the target's process to be gone: a connection is to be opened, and
    /// no request is sent until [`Self::settle_doubt`]. Returns whether that is needed.
    pub fn begin_doubt(&mut self) -> bool {
        let is_needed = !self.is_down() && !self.is_doubted;
        self.is_doubted |= is_needed;
        is_needed
    }

    /// Records that the connection has shown what it can.
    pub fn settle_doubt(&mut self) {
        self.is_doubted = false;
    }

    /// Forgets failures: they were this VM's, not the target's. What the target asked for stays.
    pub fn forgive(&mut self) {
        *self = Self {
            asked_until: self.asked_until,
            is_probing: self.asked_until > TimeStamp::ZERO && self.is_probing,
            ..Self::default()
        };
    }

    /// Whether a connection is to be opened now, to learn whether the target's process is back; it
    /// counts as being opened until [`Self::finish_check`].
    pub fn begin_check(&mut self, now: TimeStamp) -> bool {
        let is_due = self.is_down() && !self.is_checking && now >= self.paused_until;
        self.is_checking |= is_due;
        is_due
    }

    /// Records whether the connection of a check was accepted.
    pub fn finish_check(&mut self, is_accepted: bool, now: TimeStamp) {
        self.is_checking = false;
        if !self.is_down() {
            return;
        }
        match is_accepted {
            true => {
                let asked_until = self.asked_until;
                *self = Self {
                    asked_until,
                    ..Self::default()
                };
            }
            false => self.fail(true, now),
        }
    }

    /// Whether a request may be sent, where `in_flight` requests of this VM run at the target.
    /// After a pause for failures one request at a time may be sent, until one is answered.
    pub fn is_usable(&self, in_flight: u32, now: TimeStamp) -> bool {
        !self.is_down()
            && !self.is_doubted
            && now >= self.paused_until.max(self.asked_until)
            && (!self.is_probing || in_flight == 0)
    }
}
