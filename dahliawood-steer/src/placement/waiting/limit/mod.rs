//! Until when a request is worth waiting for a slot.

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Fraction of a route's target latency for which a request may be held and then be refused.
const HOLD_FRACTION: f64 = 0.125;
/// Longest time for which a request may be held: a held request keeps the configuration with which it
/// arrived, and a shutdown waits for it.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// What decides how long a request may wait.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// When it arrived.
    pub arrived: TimeStamp,
    /// When its caller must have the response.
    pub deadline: TimeStamp,
    /// Target latency of its route.
    pub target_latency: Duration,
    /// Expected time that it runs.
    pub work: Duration,
}

/// Until when a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartLimit {
    /// Latest start at which its response is still useful.
    pub latest_start: TimeStamp,
    /// When it is refused if it has not started.
    pub until: TimeStamp,
}

impl StartLimit {
    /// The limit of a request. Its latest useful start meets the target latency; where none does, it meets
    /// the deadline.
    pub fn new(times: RequestTimes) -> Self {
        let in_time = times.arrived.after(times.target_latency).before(times.work);
        let at_all = times.deadline.before(times.work);
        let latest_start = match in_time > times.arrived {
            true => in_time.min(at_all),
            false => at_all,
        };
        let hold = times.target_latency.mul_f64(HOLD_FRACTION).min(MAX_HOLD);
        let until = times.arrived.after(hold).min(latest_start);
        Self {
            latest_start,
            until,
        }
    }
}
