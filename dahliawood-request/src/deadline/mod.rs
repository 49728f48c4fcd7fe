//! Request deadlines: all tries of a request share one deadline.

use dahliawood_model::stamp;
use std::time::Duration;

/// The time by which a request must be answered, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline {
    /// Latest time for the answer.
    pub at: stamp::TimeStamp,
}

impl RequestDeadline {
    /// The deadline of a request that arrived at `arrival`: the service's timeout, or the caller's
    /// if that is shorter.
    pub fn new(arrival: stamp::TimeStamp, service: Duration, caller: Option<Duration>) -> Self {
        let span = caller.map_or(service, |caller| caller.min(service));
        Self {
            at: arrival.after(span),
        }
    }

    /// Remaining time at `now`; zero once the deadline has passed.
    pub fn remaining(self, now: stamp::TimeStamp) -> Duration {
        self.at.since(now)
    }
}
