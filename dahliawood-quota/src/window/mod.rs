//! Sliding windows of the requests that this VM admitted for each customer.
//!
//! A limit holds over any window of a fixed length, summed over all VMs. Each VM keeps within its
//! own fraction of the limit in every window; [`crate::allocation`] decides which VM holds which
//! fraction.

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

/// One customer's admitted requests and its demand.
#[derive(Clone, Debug, Default)]
struct AdmittedWindow {
    steps: VecDeque<(TimeStamp, u32)>,
    total: u32,
    /// Requests a second, admitted or not, as a moving average, and when it was last updated.
    demand: f64,
    demand_at: TimeStamp,
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
    pub fn admit(&mut self, customer: &str, limit: f64, now: TimeStamp) -> Result<(), Duration> {
        if !self.admitted.contains_key(customer) {
            self.admitted
                .insert(customer.to_owned(), AdmittedWindow::default());
        }
        if let Some(window) = self.admitted.get_mut(customer) {
            window.record_demand(now);
        }
        self.admit_again(customer, limit, now)
    }

    /// Tries again to admit a request that [`CustomerWindows::admit`] refused. The request is not
    /// added to the demand a second time.
    ///
    /// # Errors
    /// If there is no room: how long until there is.
    pub fn admit_again(
        &mut self,
        customer: &str,
        limit: f64,
        now: TimeStamp,
    ) -> Result<(), Duration> {
        let (step, length) = self.spans();
        let Some(window) = self.admitted.get_mut(customer) else {
            return Ok(());
        };
        window.remove_expired(now, length);
        if f64::from(window.total) + 1.0 > limit + ROUNDING_TOLERANCE {
            let oldest = window.steps.front().map_or(now, |(at, _)| *at);
            let room_at = oldest.after(length);
            return Err(room_at.since(now));
        }
        window.record_admitted(now, step);
        Ok(())
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

    fn record_admitted(&mut self, now: TimeStamp, step: Duration) {
        self.total += 1;
        match self.steps.back_mut() {
            Some((at, count)) if now.since(*at) < step => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
    }
}
