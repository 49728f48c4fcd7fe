//! A fixed-point token bucket for one holder's share of a limit.
//!
//! The bucket keeps `level + outstanding <= burst`: tokens that are lent (or, for a count, units in
//! use) take up room until they are reported as spent, are returned or expire. An increase of the
//! share never adds tokens to a rate limit. The sum of all levels and loans therefore stays within
//! the sum of all bursts, and admissions in every window of length `t` stay within
//! `burst + rate * t`.

use crate::amount::{TokenAmount, TokenRate};
use dahliawood_model::stamp::TimeStamp;

/// 10^-12 of a unit in a millionth of one.
const PICOS_PER_MICRO: u128 = 1_000_000;

/// A token bucket; its level is exact to 10^-12 of a unit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TokenBucket {
    rate: TokenRate,
    burst: TokenAmount,
    level_picos: u128,
    outstanding: TokenAmount,
    updated: TimeStamp,
}

impl TokenBucket {
    /// An empty bucket with no rate and no burst.
    pub fn new(now: TimeStamp) -> Self {
        Self {
            updated: now,
            ..Self::default()
        }
    }

    /// The rate held.
    pub fn rate(&self) -> TokenRate {
        self.rate
    }

    /// The burst in use: the burst held, or the outstanding amount if that is more.
    pub fn burst(&self) -> TokenAmount {
        self.burst.max(self.outstanding)
    }

    /// The amount that is lent or in use and counts against the burst.
    pub fn outstanding(&self) -> TokenAmount {
        self.outstanding
    }

    /// Adds the tokens that accrued up to `now`, as far as there is room. An earlier `now` adds
    /// nothing.
    pub fn refill(&mut self, now: TimeStamp) {
        let elapsed = now.since(self.updated).as_micros();
        let accrued = elapsed * u128::from(self.rate.micros_per_second);
        let room = self.room_picos();
        self.level_picos = self.level_picos.saturating_add(accrued).min(room);
        self.updated = self.updated.max(now);
    }

    /// Advances to `now` without accrual.
    pub fn skip(&mut self, now: TimeStamp) {
        self.updated = self.updated.max(now);
    }

    fn room_picos(&self) -> u128 {
        picos(self.burst.saturating_subtract(self.outstanding))
    }

    /// The amount that may be spent or lent now; call [`TokenBucket::refill`] first.
    pub fn level(&self) -> TokenAmount {
        TokenAmount::from_micros((self.level_picos / PICOS_PER_MICRO) as u64)
    }

    /// Takes `amount` for good. Returns whether there was enough.
    pub fn spend(&mut self, amount: TokenAmount) -> bool {
        let enough = picos(amount) <= self.level_picos;
        if enough {
            self.level_picos -= picos(amount);
        }
        enough
    }

    /// Takes `amount`, which takes up room until it is settled or restored. Returns whether there
    /// was enough.
    pub fn lend(&mut self, amount: TokenAmount) -> bool {
        let enough = self.spend(amount);
        if enough {
            self.outstanding += amount;
        }
        enough
    }

    /// Frees the room of `amount` that was lent and will not be returned.
    pub fn settle(&mut self, amount: TokenAmount) {
        self.outstanding = self.outstanding.saturating_subtract(amount);
    }

    /// Takes back `amount` that was lent and not spent.
    pub fn restore(&mut self, amount: TokenAmount) {
        let amount = amount.min(self.outstanding);
        self.outstanding = self.outstanding.saturating_subtract(amount);
        self.level_picos = (self.level_picos + picos(amount)).min(self.room_picos());
    }

    /// Adds tokens that another holder gave up, as far as there is room.
    pub fn credit(&mut self, amount: TokenAmount) {
        self.level_picos = (self.level_picos + picos(amount)).min(self.room_picos());
    }

    /// The burst held, whatever is outstanding.
    pub fn burst_held(&self) -> TokenAmount {
        self.burst
    }

    /// Reduces the rate held by `rate` and the burst held by `burst`. Removes the tokens that no
    /// longer fit and returns them.
    ///
    /// Outstanding tokens keep their room until they are settled or restored; until then
    /// [`TokenBucket::burst`] may stay above the burst held.
    pub fn shrink(&mut self, rate: TokenRate, burst: TokenAmount) -> TokenAmount {
        self.rate = self.rate.saturating_subtract(rate);
        self.burst = self.burst.saturating_subtract(burst);
        let excess = self.level_picos.saturating_sub(self.room_picos());
        self.level_picos -= excess;
        TokenAmount::from_micros((excess / PICOS_PER_MICRO) as u64)
    }

    /// Increases the rate held by `rate` and the burst held by `burst`, without adding tokens.
    pub fn grow(&mut self, rate: TokenRate, burst: TokenAmount) {
        self.rate += rate;
        self.burst += burst;
    }

    /// Microseconds until `amount` can be taken if nothing else is taken; `None` if never.
    pub fn wait_micros(&self, amount: TokenAmount) -> Option<u64> {
        let missing = picos(amount).saturating_sub(self.level_picos);
        if missing == 0 {
            return Some(0);
        }
        if self.rate.micros_per_second == 0 || picos(amount) > self.room_picos() {
            return None;
        }
        let micros = missing.div_ceil(u128::from(self.rate.micros_per_second));
        Some(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

fn picos(amount: TokenAmount) -> u128 {
    u128::from(amount.micros) * PICOS_PER_MICRO
}
