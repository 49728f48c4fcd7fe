//! How many requests of a customer may run in spans of any length up to a window.
//!
//! This handles the loss of all processes: nobody is left who knows what they let through, and some of it
//! still counts against the limit. If a customer could use its whole limit at once, as much could be used
//! again after the loss, or all would have to be refused for a window. Use is therefore limited in every
//! span `s` of a window to [`at_once`](UsageLimit::at_once) and [`rate`](UsageLimit::rate) `* s`, and new
//! processes let through `rate * t` within `t` of their start. With
//!
//! `at_once + rate * s + rate * (window - s) + even <= most`
//!
//! (`even`: what processes before and after the loss use of the part that needs no allocation)
//!
//! no window exceeds the most that is tolerated, however often and whenever processes are lost. Customers that
//! stay within their rate and burst are not refused for it, since `at_once` is at least the burst, and a
//! customer that sends steadily may use the whole limit of each window.
//!
//! Where nothing beyond the limit is tolerated, it may be used at once: otherwise a customer would get no more than
//! its burst in a moment, for the sake of a loss that may never come.
//!
//! Where VMs get few requests of a customer in a window, each of them would hold a fraction of `at_once` for a
//! whole request, and the fractions of all VMs would last for fewer requests than one count for the fleet.
//! The fewer requests, the nearer `at_once` is to the whole limit, and `rate` to a limit in each window: such a
//! customer may exceed what is tolerated if it used much more than its rate at once, just before a loss, and
//! goes on.

use crate::allocation::EVEN_FRACTION;
use std::time::Duration;

/// Requests of a customer at a VM in a window from which its use is limited in each span.
const DENSE_REQUESTS: f64 = 10.0;
/// Fraction of a limit that processes before and after a loss use without an allocation.
const EVEN_FRACTIONS: f64 = 2.0 * EVEN_FRACTION;

/// What a customer's limit is made of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTerms {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once beyond the rate.
    pub burst: f64,
    /// Length of the windows that the limit holds over.
    pub window: Duration,
    /// Requests beyond rate and burst that are given to the customer in a window.
    pub extra: f64,
    /// The most requests that are tolerated in a window.
    pub most: f64,
    /// VMs over which its requests are spread.
    pub vms: usize,
}

/// How many requests may run in a span, for a whole limit or a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageLimit {
    /// Requests in a window.
    pub per_window: f64,
    /// Requests at once.
    pub at_once: f64,
    /// Requests a second beyond those, and of a fleet of new processes.
    pub rate: f64,
    /// Requests in a window that are not limited in shorter spans.
    pub even: f64,
}

impl UsageLimit {
    /// The limit of a customer.
    pub fn new(terms: &LimitTerms) -> Self {
        let in_window = terms.rate * terms.window.as_secs_f64();
        let per_window = in_window + terms.burst + terms.extra;
        if terms.most <= per_window {
            return Self::flat(per_window, terms.window);
        }
        // `even` is the two fractions of what the window allows beyond `at_once`.
        let beyond_rate = terms.most - in_window - EVEN_FRACTIONS * per_window;
        let at_once = beyond_rate / (1.0 - EVEN_FRACTIONS);
        let dense = at_once.max(terms.burst).min(per_window);
        let requests = in_window / terms.vms.max(1) as f64;
        let density = (requests / DENSE_REQUESTS).min(1.0);
        let sparse_rate = per_window / terms.window.as_secs_f64();
        Self {
            per_window,
            at_once: per_window - (per_window - dense) * density * density,
            rate: sparse_rate - (sparse_rate - terms.rate) * density * density,
            even: 0.0,
        }
    }

    /// A limit of a window that may be used at once.
    pub fn flat(per_window: f64, window: Duration) -> Self {
        Self {
            per_window,
            at_once: per_window,
            rate: per_window / window.as_secs_f64(),
            even: 0.0,
        }
    }

    /// A fraction of this limit, of which the `even` fraction needs no allocation.
    #[must_use]
    pub fn part(self, fraction: f64, even: f64) -> Self {
        Self {
            per_window: self.per_window * fraction,
            at_once: self.at_once * fraction,
            rate: self.rate * fraction,
            even: self.per_window * even.min(fraction),
        }
    }

    /// Requests that may run within a span.
    pub fn within(&self, span: Duration) -> f64 {
        let paced = self.at_once + self.rate * span.as_secs_f64();
        paced.max(self.even).min(self.per_window)
    }

    /// The fraction of the limit that a fleet may hold whose oldest process has run for `age`, so that it
    /// lets no more than the rate through, whatever processes before it let through.
    pub fn earned_fraction(&self, age: Duration) -> f64 {
        let within = self.within(age);
        if within <= 0.0 {
            return 0.0;
        }
        (self.rate * age.as_secs_f64() / within).min(1.0)
    }
}
