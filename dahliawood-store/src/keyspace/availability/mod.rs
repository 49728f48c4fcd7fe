//! When the service is known to have answered, whichever VM it answered.
//!
//! While the service is unavailable, leases end although their holders are alive. A VM that follows
//! another one gets no answers of its own for minutes, so its own last answer says nothing of how long the
//! service was away. VMs therefore tell each other the span in which they know that the service answered,
//! and join what they are told to what they know: a pause counts only if nobody up the chain has an answer
//! from it.

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Shortest time that leases last without renewal.
pub const MIN_LEASE_TIME: Duration = Duration::from_secs(2);
/// Number of spans that are remembered, to be joined by what others tell later.
const MAX_SPANS: usize = 4;

/// A span in which the service answered without a pause in which leases could end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSpan {
    /// The latest time of the first answer; later than `until` if there was one answer only.
    pub since: TimeStamp,
    /// The earliest time of the last answer.
    pub until: TimeStamp,
    /// Whether there was a pause before the span in which leases could end; otherwise nothing is known of
    /// the time before it.
    pub is_after_outage: bool,
}

impl AnswerSpan {
    /// The span of the answer to one call.
    pub fn of_answer(asked_at: TimeStamp, answered_at: TimeStamp) -> Self {
        Self {
            since: answered_at,
            until: asked_at,
            is_after_outage: false,
        }
    }

    /// Whether no lease can have ended between the last answer of this span and the first of a later one.
    fn is_joined_by(&self, later: &Self) -> bool {
        later.since.since(self.until) <= MIN_LEASE_TIME
    }

    /// Extends this span by a later one, or by one within it.
    fn join(&mut self, later: &Self) {
        self.since = self.since.min(later.since);
        self.until = self.until.max(later.until);
    }
}

/// The latest spans in which the service is known to have answered.
#[derive(Clone, Debug, Default)]
pub struct AnswerHistory {
    /// In order of time, with a pause between any two.
    spans: Vec<AnswerSpan>,
    /// Whether calls failed before the first answer.
    has_failed_first: bool,
}

impl AnswerHistory {
    /// Adds what this VM knows of its own answers, or what another VM tells.
    pub fn record(&mut self, span: AnswerSpan) {
        // The usual case: an answer to this VM, soon after the one before.
        if let Some(latest) = self.spans.last_mut()
            && latest.since <= span.since
            && latest.is_joined_by(&span)
        {
            latest.join(&span);
            return;
        }
        let is_first = self.spans.is_empty();
        self.spans.push(AnswerSpan {
            is_after_outage: span.is_after_outage || (is_first && self.has_failed_first),
            ..span
        });
        self.spans.sort_by_key(|span| span.since);
        let mut joined: Vec<AnswerSpan> = Vec::with_capacity(self.spans.len());
        for mut span in self.spans.drain(..) {
            match joined.last_mut() {
                Some(earlier) if earlier.is_joined_by(&span) => earlier.join(&span),
                earlier => {
                    span.is_after_outage |= earlier.is_some();
                    joined.push(span);
                }
            }
        }
        let forgotten = joined.len().saturating_sub(MAX_SPANS);
        self.spans = joined.split_off(forgotten);
    }

    /// Records that a call got no answer. It matters before the first answer only: later, the pause between
    /// answers tells more.
    pub fn record_failure(&mut self) {
        self.has_failed_first |= self.spans.is_empty();
    }

    /// Whether the service may be away for so long that leases end.
    pub fn is_away(&self, now: TimeStamp) -> bool {
        match self.latest() {
            Some(span) => now.since(span.until) > MIN_LEASE_TIME,
            None => self.has_failed_first,
        }
    }

    /// The latest span, `None` before the first answer.
    pub fn latest(&self) -> Option<AnswerSpan> {
        self.spans.last().copied()
    }

    /// How long the service was away before the latest span; `None` if nothing is known of an answer
    /// before it.
    pub fn outage(&self) -> Option<Duration> {
        let [.., before, latest] = self.spans.as_slice() else {
            return None;
        };
        Some(latest.since.since(before.until))
    }
}
