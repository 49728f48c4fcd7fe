//! Sliding windows of the requests that this VM admitted for each customer.
//!
//! A limit holds over any window of a fixed length, summed over all VMs. Each VM keeps within its
//! own fraction of the limit in every window; [`crate::allocation`] decides which VM holds which
//! fraction.
//!
//! This handles a load pattern in which targets refuse a part of the admitted requests and callers
//! come back with them: if refused requests stayed counted, callers would use up the limit without
//! being served. A request that has not run and never will is therefore given back: it leaves the
//! step in which it was counted, and the demand. A [`CountedRequest`] can be given back once.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The number of steps in which the counts of a window are kept.
const STEPS_PER_WINDOW: u32 = 50;

/// How much rounding may change a sum of fractions, in requests.
const ROUNDING_TOLERANCE: f64 = 1e-3;

/// The span over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(1_500);

/// When a refused caller may come back if this VM's own requests do not tell when there is room:
/// the coordinator allocates anew with each VM's report, every 500 ms.
const REALLOCATION_INTERVAL: Duration = Duration::from_millis(500);

/// A request that a window counts. It is neither `Clone` nor `Copy`, so that it is given back at
/// most once.
#[derive(Debug)]
#[must_use = "a request that has not run is given back"]
pub struct CountedRequest {
    /// Start of the step in which the request is counted.
    step_at: TimeStamp,
    /// When the request was added to the demand.
    arrived: TimeStamp,
}

/// One customer's admitted requests and its demand.
#[derive(Clone, Debug, Default)]
struct AdmittedWindow {
    steps: VecDeque<(TimeStamp, u32)>,
    total: u32,
    /// Requests a second, admitted or not, as a moving average, and when it was last updated.
    demand: f64,
    demand_at: TimeStamp,
    /// When the caller that was refused last was told to come back.
    last_return: TimeStamp,
}

/// The windows of all customers.
#[derive(Clone, Debug)]
pub struct CustomerWindows {
    length: Duration,
    admitted: FastMap<String, AdmittedWindow>,
}

impl CustomerWindows {
    /// Creates empty windows; limits hold over windows of `length`.
    pub fn new(length: Duration) -> Self {
        let admitted = FastMap::default();
        Self { length, admitted }
    }

    /// Admits and counts a request, at most `limit` of them in a window.
    ///
    /// # Errors
    /// If there is no room: how long until there is.
    pub fn admit(
        &mut self,
        customer: &str,
        limit: f64,
        now: TimeStamp,
    ) -> Result<CountedRequest, Duration> {
        let window = self.admitted.entry(customer.to_owned()).or_default();
        window.record_demand(now);
        self.admit_again(customer, limit, now, now)
    }

    /// Tries again to admit a request that [`CustomerWindows::admit`] refused at `arrived`. The
    /// request is not added to the demand a second time.
    ///
    /// # Errors
    /// If there is no room: how long until there is.
    pub fn admit_again(
        &mut self,
        customer: &str,
        limit: f64,
        arrived: TimeStamp,
        now: TimeStamp,
    ) -> Result<CountedRequest, Duration> {
        let (step, length) = self.spans();
        let window = self.admitted.entry(customer.to_owned()).or_default();
        window.remove_expired(now, length);
        if window.excess(limit) > 0 {
            return Err(window.room_at(limit, length, now).since(now));
        }
        let step_at = window.record_admitted(now, step);
        Ok(CountedRequest { step_at, arrived })
    }

    /// Gives back a request that has not run and never will; returns whether it still counted. A
    /// request whose step has expired no longer counts.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "consumed, so that it is given back at most once"
    )]
    pub fn give_back(&mut self, customer: &str, request: CountedRequest, now: TimeStamp) -> bool {
        let (_, length) = self.spans();
        let CountedRequest { step_at, arrived } = request;
        let Some(window) = self.admitted.get_mut(customer) else {
            return false;
        };
        window.remove_expired(now, length);
        window.remove_demand(arrived, now);
        window.remove_admitted(step_at)
    }

    /// How long a caller that is refused finally should wait. Each caller gets a time of its own,
    /// as far apart as requests of this VM leave the window on average: callers that are told the
    /// same time come back together, and all but one are refused again.
    pub fn next_return(&mut self, customer: &str, limit: f64, now: TimeStamp) -> Duration {
        let (_, length) = self.spans();
        let window = self.admitted.entry(customer.to_owned()).or_default();
        window.remove_expired(now, length);
        let room_at = window.room_at(limit, length, now);
        let after_last = window.last_return.after(length.div_f64(limit.max(1.0)));
        let latest = now.after(length).max(room_at);
        window.last_return = room_at.max(after_last).min(latest);
        window.last_return.since(now)
    }

    /// The length of a step, and how long a step counts: one step longer than the window, because a
    /// step may have begun that much before its last request.
    fn spans(&self) -> (Duration, Duration) {
        let step = self.length / STEPS_PER_WINDOW;
        (step, self.length + step)
    }

    /// The number of a customer's requests that were admitted and still count.
    pub fn admitted(&mut self, customer: &str, now: TimeStamp) -> u32 {
        let (_, length) = self.spans();
        let window = self.admitted.get_mut(customer);
        window.map_or(0, |window| {
            window.remove_expired(now, length);
            window.total
        })
    }

    /// A customer's requests a second, whether they were admitted or not.
    pub fn demand(&self, customer: &str, now: TimeStamp) -> f64 {
        let window = self.admitted.get(customer);
        window.map_or(0.0, |window| window.demand * window.decay(now))
    }
}

impl AdmittedWindow {
    /// The factor by which the average demand has decayed by `now`.
    fn decay(&self, now: TimeStamp) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64();
        (-age / DEMAND_SPAN.as_secs_f64()).exp()
    }

    /// Adds a request to the average demand.
    fn record_demand(&mut self, now: TimeStamp) {
        self.demand = self.demand * self.decay(now) + 1.0 / DEMAND_SPAN.as_secs_f64();
        self.demand_at = now;
    }

    fn remove_expired(&mut self, now: TimeStamp, length: Duration) {
        while let Some((at, count)) = self.steps.front().copied() {
            if now.since(at) < length {
                return;
            }
            self.steps.pop_front();
            self.total -= count;
        }
    }

    /// Counts a request and returns the start of its step.
    fn record_admitted(&mut self, now: TimeStamp, step: Duration) -> TimeStamp {
        self.total += 1;
        match self.steps.back_mut() {
            Some((at, count)) if now.since(*at) < step => {
                *count += 1;
                *at
            }
            _ => {
                self.steps.push_back((now, 1));
                now
            }
        }
    }

    /// Takes a request out of its step, if that has not expired.
    fn remove_admitted(&mut self, step_at: TimeStamp) -> bool {
        let Ok(index) = self.steps.binary_search_by_key(&step_at, |(at, _)| *at) else {
            return false;
        };
        self.total -= 1;
        self.steps[index].1 -= 1;
        // An empty step must not be taken for one whose end makes room.
        if self.steps[index].1 == 0 {
            self.steps.remove(index);
        }
        true
    }

    /// Takes a request that arrived at `arrived` out of the average demand. Its caller comes back
    /// with it, and it is added again then.
    fn remove_demand(&mut self, arrived: TimeStamp, now: TimeStamp) {
        let span = DEMAND_SPAN.as_secs_f64();
        let part = (-now.since(arrived).as_secs_f64() / span).exp() / span;
        self.demand = (self.demand * self.decay(now) - part).max(0.0);
        self.demand_at = now;
    }

    /// How many requests must leave the window before one more has room.
    fn excess(&self, limit: f64) -> u32 {
        let excess = f64::from(self.total) + 1.0 - limit - ROUNDING_TOLERANCE;
        excess.max(0.0).ceil() as u32
    }

    /// When enough requests will have left the window for one more.
    fn room_at(&self, limit: f64, length: Duration, now: TimeStamp) -> TimeStamp {
        let mut excess = self.excess(limit);
        if excess == 0 {
            return now;
        }
        for (at, count) in &self.steps {
            if excess <= *count {
                return at.after(length);
            }
            excess -= count;
        }
        now.after(REALLOCATION_INTERVAL)
    }
}
