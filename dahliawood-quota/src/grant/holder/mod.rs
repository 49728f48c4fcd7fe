//! The parts that a VM holds.

use crate::grant::book::GivenPart;
use crate::grant::{EVEN_PART, HALF_LIFE, PART_LIFE};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// A part of one customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldPart {
    part: f64,
    /// When the question was sent that the head answered with it.
    asked: TimeStamp,
}

/// The parts of one customer's limit that a VM held lately, the newest last.
#[derive(Clone, Debug, Default)]
struct PartHistory {
    parts: VecDeque<HeldPart>,
    /// Requests a second that are asked for at all VMs.
    demand: f64,
}

/// The parts that a VM holds of all customers' limits.
#[derive(Clone, Debug, Default)]
pub struct PartHolder {
    parts: FastMap<String, PartHistory>,
}

/// How a customer's limit is used on a VM.
#[derive(Clone, Copy, Debug)]
pub struct UseQuery {
    /// VMs that live.
    pub vms: usize,
    /// The customer's rate, requests a second.
    pub rate: f64,
    /// The span over which the limit holds.
    pub window: Duration,
}

/// The share of a customer's rate from which on all of its limit may be in use.
const CROWDED_SHARE: f64 = 0.85;
/// The longest span over which a limit holds.
const LONGEST_WINDOW: Duration = Duration::from_secs(20);

/// What of a part may still be used a while after it was asked for.
pub(super) fn usable(part: f64, asked: TimeStamp, now: TimeStamp) -> f64 {
    let age = now.since(asked);
    if age < PART_LIFE {
        part
    } else if age < PART_LIFE + HALF_LIFE {
        part / 2.0
    } else {
        0.0
    }
}

impl PartHistory {
    /// The least part that was held in a window up to now.
    fn least(&self, window: Duration, now: TimeStamp) -> f64 {
        let is_since = |held: &&HeldPart| now.since(held.asked) < window;
        let since = self.parts.iter().filter(is_since).map(|held| held.part);
        let before = self.parts.iter().rev().find(|held| !is_since(held));
        let before = before.map_or(0.0, |held| held.part);
        since.fold(before, f64::min)
    }
}

impl PartHolder {
    /// Takes what the head answered to a question sent at `asked`.
    pub fn take(&mut self, given: &GivenPart, asked: TimeStamp) {
        let history = self.parts.entry(given.customer.clone()).or_default();
        history.demand = given.demand;
        let part = given.part;
        history.parts.push_back(HeldPart { part, asked });
        // What was held when the window began counts, and so does all since.
        while history
            .parts
            .get(1)
            .is_some_and(|held| asked.since(held.asked) > LONGEST_WINDOW)
        {
            history.parts.pop_front();
        }
    }

    /// What this VM holds of a customer's limit beside the even part.
    pub fn held(&self, customer: &str, now: TimeStamp) -> f64 {
        let newest = self.parts.get(customer).and_then(|held| held.parts.back());
        newest.map_or(0.0, |held| usable(held.part, held.asked, now))
    }

    /// What this VM may use of a customer's limit, among `vms` that live.
    ///
    /// Who had a part before may have used it up within the window. Where a customer asks for about
    /// its `rate` or more, what was gained therefore counts only once it was held for a `window`.
    pub fn usable(&self, customer: &str, query: &UseQuery, now: TimeStamp) -> f64 {
        let even = EVEN_PART / query.vms.max(1) as f64;
        let held = self.held(customer, now);
        let Some(history) = self.parts.get(customer) else {
            return even;
        };
        if history.demand < query.rate * CROWDED_SHARE {
            return even + held;
        }
        even + held.min(history.least(query.window, now))
    }
}
