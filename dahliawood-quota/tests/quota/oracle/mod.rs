//! Checks every admission against the exact bounds of the limits that are in force in the store.

use dahliawood_quota::{amount, shares::document};

/// A token bucket for the whole fleet. A window exceeds its bound when the bucket lacks tokens.
pub struct RateOracle {
    rate: u128,
    burst: u128,
    level: u128,
    updated: u64,
}

const PICOS_PER_MICRO: u128 = 1_000_000;

impl RateOracle {
    pub fn new() -> Self {
        Self {
            rate: 0,
            burst: 0,
            level: 0,
            updated: 0,
        }
    }

    fn refill(&mut self, at: u64) {
        assert!(self.updated <= at, "events are in order of time");
        let accrued = u128::from(at - self.updated) * self.rate;
        self.level = (self.level + accrued).min(self.burst);
        self.updated = at;
    }

    /// Applies a new document of the store. The limit in force is the sum of the shares, or the
    /// configured limit if that is more.
    pub fn revise(&mut self, entry: &document::LimitEntry, at: u64) {
        self.refill(at);
        let burst = held_burst(entry).max(entry.spec.terms.burst());
        let rate: amount::TokenRate = entry.grants.iter().map(|grant| grant.rate).sum();
        let rate = rate.max(entry.spec.terms.rate());
        let is_first = self.burst == 0;
        self.rate = u128::from(rate.micros_per_second);
        self.burst = u128::from(burst.micros) * PICOS_PER_MICRO;
        self.level = if is_first {
            self.burst
        } else {
            self.level.min(self.burst)
        };
    }

    /// Counts one admission. Returns whether every window up to `at` stays within its bound.
    pub fn admit(&mut self, amount: amount::TokenAmount, at: u64) -> bool {
        self.refill(at);
        let taken = u128::from(amount.micros) * PICOS_PER_MICRO;
        let is_within_bound = taken <= self.level;
        self.level = self.level.saturating_sub(taken);
        is_within_bound
    }
}

/// The units of a count that are in use, each with the end of its use.
pub struct CountOracle {
    pub total: u64,
    in_use: Vec<(u64, u64)>,
    last: u64,
}

impl CountOracle {
    pub fn new() -> Self {
        Self {
            total: 0,
            in_use: Vec::new(),
            last: 0,
        }
    }

    pub fn revise(&mut self, entry: &document::LimitEntry) {
        self.total = held_burst(entry).max(entry.spec.terms.burst()).whole();
    }

    /// Records a unit in use from `at` to `until`. Returns its name and whether the units in use
    /// stay within the bound.
    pub fn occupy(&mut self, at: u64, until: u64) -> (u64, bool) {
        self.in_use.retain(|(_, until)| at < *until);
        self.last += 1;
        self.in_use.push((self.last, until));
        (self.last, self.in_use.len() as u64 <= self.total)
    }

    pub fn vacate(&mut self, name: u64) {
        self.in_use.retain(|(other, _)| *other != name);
    }
}

fn held_burst(entry: &document::LimitEntry) -> amount::TokenAmount {
    entry.grants.iter().map(|grant| grant.burst).sum()
}
