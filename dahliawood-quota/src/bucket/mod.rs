//! A fixed-point token bucket of one holder, for the part of a limit that it holds.
//!
//! The bucket keeps `level + out <= burst`: what is lent (or, for a count, in use) takes room until
//! it is reported spent, comes back or expires. Raising never adds tokens to a rate limit, so the
//! sum of all levels and loans stays within the sum of all bursts, and admissions in every window
//! of length `t` stay within `burst + rate * t`.

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
    /// An empty bucket that holds nothing of its limit.
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

    /// The burst in use: what is held, or what is out where that is more.
    pub fn burst(&self) -> TokenAmount {
        self.burst.max(self.outstanding)
    }

    /// What is lent or in use and counts against the burst.
    pub fn outstanding(&self) -> TokenAmount {
        self.outstanding
    }

    /// Adds what accrued up to `now`, as far as there is room; an earlier `now` adds nothing.
    pub fn refill(&mut self, now: TimeStamp) {
        let elapsed = now.since(self.updated).as_micros();
        let accrued = elapsed * u128::from(self.rate.micros_per_second);
        let room = self.room_picos();
        self.level_picos = self.level_picos.saturating_add(accrued).min(room);
        self.updated = self.updated.max(now);
    }

    /// Lets the time up to `now` pass without accrual.
    pub fn skip(&mut self, now: TimeStamp) {
        self.updated = self.updated.max(now);
    }

    fn room_picos(&self) -> u128 {
        picos(self.burst.less(self.outstanding))
    }

    /// What may be spent or lent now; [`TokenBucket::refill`] first.
    pub fn level(&self) -> TokenAmount {
        TokenAmount::from_micros((self.level_picos / PICOS_PER_MICRO) as u64)
    }

    /// Takes `amount` for good; says whether there was enough.
    pub fn spend(&mut self, amount: TokenAmount) -> bool {
        let enough = picos(amount) <= self.level_picos;
        if enough {
            self.level_picos -= picos(amount);
        }
        enough
    }

    /// Takes `amount`, which keeps its room until it is settled or restored; says whether there
    /// was enough.
    pub fn lend(&mut self, amount: TokenAmount) -> bool {
        let enough = self.spend(amount);
        if enough {
            self.outstanding += amount;
        }
        enough
    }

    /// Frees the room of `amount` that was lent and will not come back.
    pub fn settle(&mut self, amount: TokenAmount) {
        self.outstanding = self.outstanding.less(amount);
    }

    /// Takes back `amount` that was lent and is unspent.
    pub fn restore(&mut self, amount: TokenAmount) {
        let amount = amount.min(self.outstanding);
        self.outstanding = self.outstanding.less(amount);
        self.level_picos = (self.level_picos + picos(amount)).min(self.room_picos());
    }

    /// Adds tokens that another holder subtracted, as far as there is room.
    pub fn credit(&mut self, amount: TokenAmount) {
        self.level_picos = (self.level_picos + picos(amount)).min(self.room_picos());
    }

    /// The burst held, whatever is out.
    pub fn burst_held(&self) -> TokenAmount {
        self.burst
    }

    /// Takes away a part of what is held and returns the tokens that no longer fit; they are gone
    /// here.
    ///
    /// What is out keeps its room until it is settled or restored; until then
    /// [`TokenBucket::burst`] stays above what is held.
    pub fn shrink(&mut self, rate: TokenRate, burst: TokenAmount) -> TokenAmount {
        self.rate = self.rate.less(rate);
        self.burst = self.burst.less(burst);
        let excess = self.level_picos.saturating_sub(self.room_picos());
        self.level_picos -= excess;
        TokenAmount::from_micros((excess / PICOS_PER_MICRO) as u64)
    }

    /// Adds to what is held; no tokens come with it.
    pub fn grow(&mut self, rate: TokenRate, burst: TokenAmount) {
        self.rate += rate;
        self.burst += burst;
    }

    /// Microseconds until `amount` could be taken if nothing else is, `None` if never.
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
