//! Sliding windows of the requests that this VM admitted for each customer.
//!
//! A limit holds over any window of a fixed length, summed over all VMs. Each VM keeps within its
//! own fraction of the limit in every window; [`crate::allocation`] decides which VM holds which
//! fraction.
//!
//! A limit also holds over each span within a window ([`crate::usage_limit`]): all requests that were admitted
//! since a step are compared with what may run in that span.
//!
//! This handles a load pattern in which targets refuse a part of the admitted requests and callers
//! come back with them: if refused requests stayed counted, callers would use up the limit without
//! being served. A request that has not run and never will is therefore given back: it leaves the
//! step in which it was counted, and the demand. A [`CountedRequest`] can be given back once.

use crate::usage_limit::UsageLimit;
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

    /// Admits and counts a request within `limit`, the part of the customer's limit that this VM has.
    ///
    /// # Errors
    /// If there is no room: how long until there is.
    pub fn admit(
        &mut self,
        customer: &str,
        limit: &UsageLimit,
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
        limit: &UsageLimit,
        arrived: TimeStamp,
        now: TimeStamp,
    ) -> Result<CountedRequest, Duration> {
        let (step, length) = self.spans();
        let window = self.admitted.entry(customer.to_owned()).or_default();
        window.remove_expired(now, length);
        if !window.has_room(limit, now) {
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
    pub fn next_return(&mut self, customer: &str, limit: &UsageLimit, now: TimeStamp) -> Duration {
        let (_, length) = self.spans();
        let window = self.admitted.entry(customer.to_owned()).or_default();
        window.remove_expired(now, length);
        let room_at = window.room_at(limit, length, now);
        let after_last = window
            .last_return
            .after(length.div_f64(limit.per_window.max(1.0)));
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

    /// The fraction of a customer's `limit` that its counted requests take, with `more` that are admitted now.
    pub fn fraction(
        &mut self,
        customer: &str,
        limit: &UsageLimit,
        more: f64,
        now: TimeStamp,
    ) -> f64 {
        let (_, length) = self.spans();
        let window = self.admitted.get_mut(customer);
        window.map_or(more / limit.at_once, |window| {
            window.remove_expired(now, length);
            window.fraction(limit, more, now)
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

    /// The spans from the start of each step until `now`, the shortest first, each with the requests that
    /// were admitted in it.
    fn spans(&self, now: TimeStamp) -> impl Iterator<Item = (TimeStamp, Duration, f64)> {
        let steps = self.steps.iter().rev();
        steps.scan(0_u32, move |sum, (at, count)| {
            *sum += count;
            Some((*at, now.since(*at), f64::from(*sum)))
        })
    }

    /// The fraction of `limit` that the counted requests take, with `more` that are admitted at `now`.
    fn fraction(&self, limit: &UsageLimit, more: f64, now: TimeStamp) -> f64 {
        let taken = |(_, span, count)| (count + more) / limit.within(span);
        let all = self.spans(now).map(taken);
        all.fold(more / limit.at_once, f64::max)
    }

    /// Whether one more request is within `limit` in all spans until `now`.
    fn has_room(&self, limit: &UsageLimit, now: TimeStamp) -> bool {
        let is_within = |count, most| count + 1.0 <= most + ROUNDING_TOLERANCE;
        is_within(0.0, limit.within(Duration::ZERO))
            && self
                .spans(now)
                .all(|(_, span, count)| is_within(count, limit.within(span)))
    }

    /// When there will be room for one more.
    fn room_at(&self, limit: &UsageLimit, length: Duration, now: TimeStamp) -> TimeStamp {
        if limit.within(Duration::ZERO) + ROUNDING_TOLERANCE < 1.0 {
            return now.after(REALLOCATION_INTERVAL);
        }
        let room_at = |(at, _, count): (TimeStamp, Duration, f64)| {
            // The step leaves the window, or so much time has passed.
            let expires_at = at.after(length);
            let beyond = (count + 1.0 - limit.at_once).max(0.0);
            let is_in_window = count + 1.0 <= limit.per_window + ROUNDING_TOLERANCE;
            if count + 1.0 <= limit.even + ROUNDING_TOLERANCE {
                return at;
            }
            match is_in_window && limit.rate > 0.0 {
                true => {
                    let wait = Duration::try_from_secs_f64(beyond / limit.rate);
                    expires_at.min(at.after(wait.unwrap_or(length)))
                }
                false => expires_at,
            }
        };
        self.spans(now).map(room_at).fold(now, TimeStamp::max)
    }
}
