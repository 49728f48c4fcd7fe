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
pub enum EventClass {
    /// A request was answered as usual.
    Routine,
    /// Any other event that concerns a request.
    Notable,
    /// The state of the process changed; never rate-limited.
    State,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    updated: TimeStamp,
}

impl TokenBucket {
    fn new(per_second: f64) -> Self {
        let tokens = per_second * BURST_SECONDS;
        let updated = TimeStamp::ZERO;
        Self {
            per_second,
            tokens,
            updated,
        }
    }

    fn spend(&mut self, now: TimeStamp) -> bool {
        let refill = now.since(self.updated).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second * BURST_SECONDS);
        self.updated = now;
        let is_available = self.tokens >= 1.0;
        self.tokens -= if is_available { 1.0 } else { 0.0 };
        is_available
    }
}

#[derive(Debug)]
struct LogState {
    routine: TokenBucket,
    notable: TokenBucket,
    passed_over: u64,
}

/// Writes events within their rate limits.
#[derive(Debug)]
pub struct StructuredLog {
    state: Mutex<LogState>,
}

impl Default for StructuredLog {
    fn default() -> Self {
        Self {
            state: Mutex::new(LogState {
                routine: TokenBucket::new(ROUTINE_PER_SECOND),
                notable: TokenBucket::new(NOTABLE_PER_SECOND),
                passed_over: 0,
            }),
        }
    }
}

/// An event with the fields that all events have.
#[derive(Serialize)]
struct FullEvent<'a, T> {
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

impl StructuredLog {
    /// Writes an event; `body` is only called if the rate limit admits the event.
    pub fn write<T: Serialize>(&self, class: EventClass, event: &str, body: impl FnOnce() -> T) {
        let Some(passed_over) = self.admit(class) else {
            return;
        };
        let line = FullEvent {
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
    fn admit(&self, class: EventClass) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = clock::now();
        let is_admitted = match class {
            EventClass::Routine => state.routine.spend(now),
            EventClass::Notable => state.notable.spend(now),
            EventClass::State => true,
        };
        if is_admitted {
            return Some(std::mem::take(&mut state.passed_over));
        }
        state.passed_over += 1;
        None
    }
}
