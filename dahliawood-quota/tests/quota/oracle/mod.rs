//! Exact bounds, kept with the terms that the store has in force.

use dahliawood_quota::{amount, shares::document};

/// A token bucket of the whole fleet; a window over its bound takes it below nothing.
pub struct RateOracle {
    rate: u128,
    burst: u128,
    level: u128,
    updated: u64,
}

const PICOS: u128 = 1_000_000;

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
        assert!(self.updated <= at, "time goes on");
        let accrued = u128::from(at - self.updated) * self.rate;
        self.level = (self.level + accrued).min(self.burst);
        self.updated = at;
    }

    /// The store has a new document: in force is what is held, or the terms where they are more.
    pub fn revise(&mut self, entry: &document::LimitEntry, at: u64) {
        self.refill(at);
        let burst = held_burst(entry).max(entry.spec.terms.burst());
        let rate: amount::TokenRate = entry.grants.iter().map(|grant| grant.rate).sum();
        let rate = rate.max(entry.spec.terms.rate());
        let is_first = self.burst == 0;
        self.rate = u128::from(rate.micros_per_second);
        self.burst = u128::from(burst.micros) * PICOS;
        self.level = if is_first {
            self.burst
        } else {
            self.level.min(self.burst)
        };
    }

    /// One admission; says whether every window up to now keeps its bound.
    pub fn admit(&mut self, amount: amount::TokenAmount, at: u64) -> bool {
        self.refill(at);
        let taken = u128::from(amount.micros) * PICOS;
        let keeps = taken <= self.level;
        self.level = self.level.saturating_sub(taken);
        keeps
    }
}

/// Units of a count in use, each with its end.
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

    /// A unit is in use from `at` to `until`; returns its name and whether the bound is kept.
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
