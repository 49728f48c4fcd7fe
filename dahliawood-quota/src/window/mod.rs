//! What customers sent through this VM lately, against this VM's part of their limits.
//!
//! A limit holds over any window of a fixed length, summed over all VMs. Each VM keeps within its
//! part of the limit in every window by itself; who has which part is decided elsewhere.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Counts of a window are kept in so many steps.
const STEPS: u32 = 50;

/// What sums of parts may be off by rounding, requests.
const ROUNDING: f64 = 1e-3;

/// The span over which demand is averaged.
const DEMAND_SPAN: Duration = Duration::from_millis(1_500);

/// What one customer sent.
#[derive(Clone, Debug, Default)]
struct SentWindow {
    steps: VecDeque<(TimeStamp, u32)>,
    total: u32,
    /// Requests asked for a second, as a moving average, and when it was brought up to date.
    demand: f64,
    demand_at: TimeStamp,
}

/// The windows of all customers.
#[derive(Clone, Debug)]
pub struct CustomerWindows {
    length: Duration,
    sent: FastMap<String, SentWindow>,
}

impl CustomerWindows {
    /// Nothing was sent yet; limits hold over windows of `length`.
    pub fn new(length: Duration) -> Self {
        let sent = FastMap::default();
        Self { length, sent }
    }

    /// Counts a request, `most` in a window.
    ///
    /// # Errors
    /// There is no room for it: answers how long until there is.
    pub fn admit(&mut self, customer: &str, most: f64, now: TimeStamp) -> Result<(), Duration> {
        if !self.sent.contains_key(customer) {
            self.sent.insert(customer.to_owned(), SentWindow::default());
        }
        if let Some(window) = self.sent.get_mut(customer) {
            window.ask(now);
        }
        self.admit_again(customer, most, now)
    }

    /// The same for a request that was not admitted before, which adds nothing to the demand.
    ///
    /// # Errors
    /// There is no room for it: answers how long until there is.
    pub fn admit_again(
        &mut self,
        customer: &str,
        most: f64,
        now: TimeStamp,
    ) -> Result<(), Duration> {
        let (step, length) = self.spans();
        let Some(window) = self.sent.get_mut(customer) else {
            return Ok(());
        };
        window.forget(now, length);
        if f64::from(window.total) + 1.0 > most + ROUNDING {
            let oldest = window.steps.front().map_or(now, |(at, _)| *at);
            let room_at = oldest.after(length);
            return Err(room_at.since(now));
        }
        window.note(now, step);
        Ok(())
    }

    /// One step, and how long a step counts: it may have begun that much before its last request.
    fn spans(&self) -> (Duration, Duration) {
        let step = self.length / STEPS;
        (step, self.length + step)
    }

    /// Requests of a customer that were admitted and still count.
    pub fn admitted(&mut self, customer: &str, now: TimeStamp) -> u32 {
        let (_, length) = self.spans();
        let window = self.sent.get_mut(customer);
        window.map_or(0, |window| {
            window.forget(now, length);
            window.total
        })
    }

    /// Requests a second that were asked for of a customer, whether they were admitted or not.
    pub fn demand(&self, customer: &str, now: TimeStamp) -> f64 {
        let window = self.sent.get(customer);
        window.map_or(0.0, |window| window.demand * window.faded(now))
    }
}

impl SentWindow {
    /// What is left of the average of demand now.
    fn faded(&self, now: TimeStamp) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64();
        (-age / DEMAND_SPAN.as_secs_f64()).exp()
    }

    /// Notes that a request was asked for.
    fn ask(&mut self, now: TimeStamp) {
        self.demand = self.demand * self.faded(now) + 1.0 / DEMAND_SPAN.as_secs_f64();
        self.demand_at = now;
    }

    fn forget(&mut self, now: TimeStamp, length: Duration) {
        while let Some((at, count)) = self.steps.front().copied() {
            if now.since(at) < length {
                return;
            }
            self.steps.pop_front();
            self.total -= count;
        }
    }

    fn note(&mut self, now: TimeStamp, step: Duration) {
        self.total += 1;
        match self.steps.back_mut() {
            Some((at, count)) if now.since(*at) < step => *count += 1,
            _ => self.steps.push_back((now, 1)),
        }
    }
}
