//! The requests of this VM to a cold target within the window of the target's limit; which part of
//! the limit this VM has is decided in [`crate::placement::sharers`].

use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Sliding window for counting requests: one second, plus a margin for network delay.
pub const WINDOW: Duration = Duration::from_millis(1_250);

/// Recent requests of this VM to a target.
#[derive(Clone, Debug, Default)]
pub struct ColdWindow {
    sent: VecDeque<TimeStamp>,
}

/// What this VM sent to one cold target since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdUsage {
    /// Requests sent.
    pub sent: usize,
    /// The most requests within the window of a [`ColdWindow`].
    pub peak: usize,
    /// The longest time from the choice of the target until the request was written.
    pub longest_delay: Duration,
}

impl ColdUsage {
    /// Records a request after which `window` holds the recent ones.
    pub fn record(&mut self, window: &ColdWindow) {
        self.sent += 1;
        self.peak = self.peak.max(window.sent.len());
    }
}

impl ColdWindow {
    /// Number of recent requests.
    pub fn recent(&self, now: TimeStamp) -> usize {
        let sent = self.sent.iter().filter(|sent| is_in_window(**sent, now));
        sent.count()
    }

    /// Whether one more request may be sent, with at most `limit` in a window.
    pub fn has_room(&self, limit: usize, now: TimeStamp) -> bool {
        self.recent(now) < limit
    }

    /// Records a request and drops those that have left the window.
    pub fn record(&mut self, now: TimeStamp) {
        while self
            .sent
            .front()
            .is_some_and(|sent| !is_in_window(*sent, now))
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

fn is_in_window(sent: TimeStamp, now: TimeStamp) -> bool {
    now.since(sent) < WINDOW
}
