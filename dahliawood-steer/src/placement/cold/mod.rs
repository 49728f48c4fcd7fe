//! What a cold target may be sent in a second: the VMs of its region divide what it bears.

use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The span over which requests to a cold target are counted, and some room for their way.
const WINDOW: Duration = Duration::from_millis(1_250);

/// The requests that this VM sent to a cold target lately.
#[derive(Clone, Debug, Default)]
pub struct ColdWindow {
    sent: VecDeque<TimeStamp>,
}

impl ColdWindow {
    /// Whether one more request may be sent, `most` in a window.
    pub fn has_room(&self, most: usize, now: TimeStamp) -> bool {
        let sent = self.sent.iter().filter(|sent| counts(**sent, now));
        sent.count() < most
    }

    /// Notes a request, and forgets those that no longer count.
    pub fn note(&mut self, now: TimeStamp) {
        while self.sent.front().is_some_and(|sent| !counts(*sent, now)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

fn counts(sent: TimeStamp, now: TimeStamp) -> bool {
    now.since(sent) < WINDOW
}
