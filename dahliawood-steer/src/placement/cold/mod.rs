//! Rate limit for requests to a cold target; the VMs of its region share the limit equally.

use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Sliding window for counting requests: one second, plus a margin for network delay.
const WINDOW: Duration = Duration::from_millis(1_250);

/// Recent requests of this VM to a cold target.
#[derive(Clone, Debug, Default)]
pub struct ColdWindow {
    sent: VecDeque<TimeStamp>,
}

impl ColdWindow {
    /// Whether one more request may be sent, with at most `limit` in a window.
    pub fn has_room(&self, limit: usize, now: TimeStamp) -> bool {
        let sent = self.sent.iter().filter(|sent| is_in_window(**sent, now));
        sent.count() < limit
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
