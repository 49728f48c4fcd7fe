//! Deadlines that shrink by the time already spent.

use dahliawood_model::stamp;
use std::time::Duration;

/// When a request must be answered, whatever number of tries that takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDeadline {
    /// The last moment for its answer.
    pub at: stamp::TimeStamp,
}

impl RequestDeadline {
    /// The deadline of a request that arrived at `arrival`: the service's timeout, or the caller's
    /// own limit where that is shorter.
    pub fn new(arrival: stamp::TimeStamp, service: Duration, caller: Option<Duration>) -> Self {
        let span = caller.map_or(service, |caller| caller.min(service));
        Self {
            at: arrival.after(span),
        }
    }

    /// What is left for a try that starts `now`; zero once it has passed.
    pub fn remaining(self, now: stamp::TimeStamp) -> Duration {
        self.at.since(now)
    }
}
