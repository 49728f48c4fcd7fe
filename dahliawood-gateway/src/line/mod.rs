//! Structured log of JSON events, rate-limited so that high load does not produce high log volume.

use crate::clock;
use dahliawood_model::stamp::TimeStamp;
use serde::Serialize;
use std::sync::{Mutex, PoisonError};

/// Events per second for requests answered as usual; each request writes two events.
const ROUTINE_PER_SECOND: f64 = 10.0;
/// Events per second for everything else that concerns requests.
const NOTABLE_PER_SECOND: f64 = 40.0;
/// Burst size, in seconds' worth of events.
const BURST_SECONDS: f64 = 2.0;

/// Importance of an event, which selects its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineRank {
    /// A request was answered as usual.
    Routine,
    /// Any other event that concerns a request.
    Notable,
    /// The state of the process changed; never rate-limited.
    State,
}

#[derive(Clone, Copy, Debug)]
struct LineBudget {
    per_second: f64,
    left: f64,
    at: TimeStamp,
}

impl LineBudget {
    fn new(per_second: f64) -> Self {
        let left = per_second * BURST_SECONDS;
        let at = TimeStamp::ZERO;
        Self {
            per_second,
            left,
            at,
        }
    }

    fn spend(&mut self, now: TimeStamp) -> bool {
        let earned = now.since(self.at).as_secs_f64() * self.per_second;
        self.left = (self.left + earned).min(self.per_second * BURST_SECONDS);
        self.at = now;
        let is_left = self.left >= 1.0;
        self.left -= if is_left { 1.0 } else { 0.0 };
        is_left
    }
}

#[derive(Debug)]
struct LineState {
    routine: LineBudget,
    notable: LineBudget,
    passed_over: u64,
}

/// Writes events within their rate limits.
#[derive(Debug)]
pub struct LineLog {
    state: Mutex<LineState>,
}

impl Default for LineLog {
    fn default() -> Self {
        Self {
            state: Mutex::new(LineState {
                routine: LineBudget::new(ROUTINE_PER_SECOND),
                notable: LineBudget::new(NOTABLE_PER_SECOND),
                passed_over: 0,
            }),
        }
    }
}

/// An event with the fields that all events have.
#[derive(Serialize)]
struct FullLine<'a, T> {
    at_ms: u64,
    event: &'a str,
    #[serde(skip_serializing_if = "is_zero")]
    passed_over: u64,
    #[serde(flatten)]
    body: &'a T,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl LineLog {
    /// Writes an event; `body` is only called if the rate limit admits the event.
    pub fn write<T: Serialize>(&self, rank: LineRank, event: &str, body: impl FnOnce() -> T) {
        let Some(passed_over) = self.admit(rank) else {
            return;
        };
        let line = FullLine {
            at_ms: clock::wall_millis(),
            event,
            passed_over,
            body: &body(),
        };
        match serde_json::to_string(&line) {
            Ok(text) => log::info!("{text}"),
            Err(error) => log::error!("cannot encode the log event '{event}': {error}"),
        }
    }

    /// The number of events dropped since the last written one, `None` if this event is dropped
    /// too.
    fn admit(&self, rank: LineRank) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = clock::now();
        let is_admitted = match rank {
            LineRank::Routine => state.routine.spend(now),
            LineRank::Notable => state.notable.spend(now),
            LineRank::State => true,
        };
        if is_admitted {
            return Some(std::mem::take(&mut state.passed_over));
        }
        state.passed_over += 1;
        None
    }
}
