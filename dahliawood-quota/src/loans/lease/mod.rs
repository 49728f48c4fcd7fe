//! Leases of whole shares to the VM that issues a limit, so that a small burst is in one place.
//!
//! The lender stops using its rate and burst before it answers; while a lease lasts it only grows. The borrower uses them until a
//! fixed time after it *sent* its newest ask; tokens that it lends on end one loan time later at
//! the latest. The lender takes its share back, empty, one lease and one loan time after it last
//! *granted*. A lost message costs that share for this time and creates nothing.

use crate::shares::plan;
use crate::{amount, bucket, limit, member, message, options};
use dahliawood_model::stamp;

/// Asks of one lease that may still be answered.
const ASKS_KEPT: usize = 8;

/// A share that is leased to another VM.
#[derive(Clone, Copy, Debug)]
struct OutLease {
    borrower: member::HolderId,
    serial: message::LoanSerial,
    share: plan::ShareTarget,
    tokens: amount::TokenAmount,
    until: stamp::TimeStamp,
    is_closed: bool,
}

impl OutLease {
    fn nothing(borrower: member::HolderId, serial: message::LoanSerial) -> Self {
        Self {
            borrower,
            serial,
            share: plan::ShareTarget::default(),
            tokens: amount::TokenAmount::ZERO,
            until: stamp::TimeStamp::MAX,
            is_closed: false,
        }
    }
}

/// A share that its owner stopped using, with the tokens that were in it.
#[derive(Clone, Copy, Debug)]
struct HandedShare {
    share: plan::ShareTarget,
    tokens: amount::TokenAmount,
}

/// When an ask was sent.
#[derive(Clone, Copy, Debug)]
struct SentAsk {
    sequence: u64,
    sent_at: stamp::TimeStamp,
}

/// A share that is leased from another VM, or asked for.
#[derive(Clone, Debug)]
struct HeldLease {
    lender: member::HolderId,
    serial: message::LoanSerial,
    share: plan::ShareTarget,
    tokens: amount::TokenAmount,
    is_granted: bool,
    usable_until: stamp::TimeStamp,
    asks: Vec<SentAsk>,
}

/// A lease message and who it is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DueLease<M> {
    /// The other VM.
    pub to: member::HolderId,
    /// The message.
    pub message: M,
}

/// One VM's part of one limit: its own share, what of it is leased out, what is leased in, and the
/// bucket that runs on the sum.
#[derive(Clone, Debug)]
pub struct ShareAccount {
    bucket: bucket::TokenBucket,
    own: plan::ShareTarget,
    bound: plan::ShareTarget,
    out: Option<OutLease>,
    held: Vec<HeldLease>,
    last_ask: u64,
}

impl ShareAccount {
    /// An account that holds nothing.
    pub fn new(now: stamp::TimeStamp) -> Self {
        Self {
            bucket: bucket::TokenBucket::new(now),
            own: plan::ShareTarget::default(),
            bound: plan::ShareTarget::default(),
            out: None,
            held: Vec::new(),
            last_ask: 0,
        }
    }

    /// The bucket; [`ShareAccount::refresh`] first.
    pub fn bucket(&self) -> &bucket::TokenBucket {
        &self.bucket
    }

    /// The bucket, to take from or return to.
    pub fn bucket_mut(&mut self) -> &mut bucket::TokenBucket {
        &mut self.bucket
    }

    /// What this VM still uses of its own share, leased out parts included.
    pub fn own_in_use(&self) -> plan::ShareTarget {
        let overhang = self.bucket.burst().less(self.bucket.burst_held());
        plan::ShareTarget {
            rate: self.own.rate,
            burst: self.own.burst + overhang,
        }
    }

    /// Whether shares are leased in.
    pub fn holds_leases(&self) -> bool {
        self.held.iter().any(|lease| lease.is_granted)
    }

    /// Whether the share of `lender` is leased in.
    pub fn leases_from(&self, lender: member::HolderId) -> bool {
        let matches = |lease: &HeldLease| lease.lender == lender && lease.is_granted;
        self.held.iter().any(matches)
    }

    /// Ends what is over on both sides and lets tokens accrue up to `now`.
    pub fn refresh(&mut self, now: stamp::TimeStamp) {
        self.end_held(now);
        if let Some(out) = self.out.take_if(|out| out.until <= now) {
            self.bucket.refill(out.until);
            self.bucket.grow(out.share.rate, out.share.burst);
            self.lower(self.bound);
        }
        self.bucket.refill(now);
    }

    fn end_held(&mut self, now: stamp::TimeStamp) {
        self.held.sort_by_key(|lease| lease.usable_until);
        let over = self
            .held
            .iter()
            .take_while(|lease| lease.usable_until <= now)
            .count();
        for lease in self.held.drain(..over) {
            self.bucket.refill(lease.usable_until);
            self.bucket.shrink(lease.share.rate, lease.share.burst);
        }
    }

    /// Lowers the own share as far as it is not leased out; returns the tokens that no longer fit.
    pub fn lower(&mut self, target: plan::ShareTarget) -> amount::TokenAmount {
        let out = self.out.map(|out| out.share).unwrap_or_default();
        self.bound = target;
        let rate = self.own.rate.min(target.rate.max(out.rate));
        let burst = self.own.burst.min(target.burst.max(out.burst));
        let less = plan::ShareTarget {
            rate: self.own.rate.less(rate),
            burst: self.own.burst.less(burst),
        };
        self.own = plan::ShareTarget { rate, burst };
        self.bucket.shrink(less.rate, less.burst)
    }

    /// Raises the own share; no tokens come with it. Returns by how much the burst in use grew.
    pub fn raise(&mut self, target: plan::ShareTarget) -> amount::TokenAmount {
        let before = self.own_in_use().burst;
        let more_rate = target.rate.less(self.own.rate);
        let more_burst = target.burst.less(self.own.burst);
        self.own.rate += more_rate;
        self.own.burst += more_burst;
        self.bound = self.own;
        self.bucket.grow(more_rate, more_burst);
        target.burst.less(before)
    }

    /// Answers an ask for this VM's share; `None` where it is not to be had.
    pub fn grant(
        &mut self,
        from: member::HolderId,
        request: message::LeaseRequest,
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Option<message::LeaseGrant> {
        if self.is_recalled() || self.holds_leases() {
            return None;
        }
        let is_other =
            |out: &OutLease| out.borrower != from || out.is_closed || request.serial < out.serial;
        if self.out.as_ref().is_some_and(is_other) {
            return None;
        }
        let more = self.hand_over();
        let out = self
            .out
            .get_or_insert(OutLease::nothing(from, request.serial));
        if out.serial < request.serial {
            out.serial = request.serial;
            out.tokens = amount::TokenAmount::ZERO;
        }
        out.share.rate += more.share.rate;
        out.share.burst += more.share.burst;
        out.tokens += more.tokens;
        out.until = now.after(spans.lease_recovery_time());
        Some(message::LeaseGrant {
            tag: request.tag,
            serial: request.serial,
            sequence: request.sequence,
            rate: out.share.rate,
            burst: out.share.burst,
            tokens: out.tokens,
        })
    }

    /// Stops using what is not leased out or lent yet.
    fn hand_over(&mut self) -> HandedShare {
        let out = self.out.map(|out| out.share).unwrap_or_default();
        let share = plan::ShareTarget {
            rate: self.own.rate.less(out.rate),
            burst: self
                .own
                .burst
                .less(out.burst)
                .less(self.bucket.outstanding()),
        };
        let tokens = self.bucket.shrink(share.rate, share.burst);
        HandedShare {
            share,
            tokens: tokens.min(share.burst),
        }
    }

    /// Whether this VM should hold less than it has.
    fn is_recalled(&self) -> bool {
        self.bound.rate < self.own.rate || self.bound.burst < self.own.burst
    }

    /// The borrower of a share that this VM has to give up.
    pub fn recalled_from(&self) -> Option<member::HolderId> {
        let out = self.out.filter(|out| !out.is_closed)?;
        self.is_recalled().then_some(out.borrower)
    }

    /// Takes a share back that its borrower no longer uses.
    pub fn take_return(&mut self, from: member::HolderId, back: message::LeaseReturn) {
        let matches = |out: &&mut OutLease| {
            out.borrower == from && out.serial == back.serial && !out.is_closed
        };
        let Some(out) = self.out.as_mut().filter(matches) else {
            return;
        };
        let rate = back.rate.min(out.share.rate);
        let burst = back.burst.min(out.share.burst);
        out.share.rate = out.share.rate.less(rate);
        out.share.burst = out.share.burst.less(burst);
        out.is_closed = true;
        self.bucket.grow(rate, burst);
        self.bucket.credit(back.tokens.min(burst));
        self.lower(self.bound);
    }

    /// The asks that are due, to begin leases and to renew them.
    pub fn due_asks(
        &mut self,
        tag: limit::LimitTag,
        lenders: &[member::HolderId],
        next_serial: &mut u64,
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<DueLease<message::LeaseRequest>> {
        let mut due = Vec::new();
        for lender in lenders {
            let known = self.held.iter().position(|lease| lease.lender == *lender);
            let index = known.unwrap_or_else(|| {
                *next_serial += 1;
                let until = now.after(spans.lease_time);
                let serial = message::LoanSerial(*next_serial);
                self.held.push(asked_lease(*lender, serial, until));
                self.held.len() - 1
            });
            let lease = &mut self.held[index];
            let every = spans.lease_time / 2;
            if lease
                .asks
                .last()
                .is_some_and(|sent| now < sent.sent_at.after(every))
            {
                continue;
            }
            self.last_ask += 1;
            lease.note_ask(self.last_ask, now);
            let message = message::LeaseRequest {
                tag,
                serial: lease.serial,
                sequence: self.last_ask,
            };
            due.push(DueLease {
                to: *lender,
                message,
            });
        }
        due
    }

    /// Takes the answer to an ask; what is late or repeated changes nothing.
    pub fn accept(
        &mut self,
        from: member::HolderId,
        grant: &message::LeaseGrant,
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        let matches = |lease: &&mut HeldLease| lease.lender == from && lease.serial == grant.serial;
        let Some(lease) = self.held.iter_mut().find(matches) else {
            return;
        };
        let Some(sent) = lease
            .asks
            .iter()
            .find(|sent| sent.sequence == grant.sequence)
        else {
            return;
        };
        let until = sent.sent_at.after(spans.borrower_time(spans.lease_time));
        if until <= now {
            return;
        }
        let kept_until = if lease.is_granted {
            lease.usable_until
        } else {
            until
        };
        lease.is_granted = true;
        lease.usable_until = kept_until.max(until);
        let more_rate = grant.rate.less(lease.share.rate);
        let more_burst = grant.burst.less(lease.share.burst);
        let more_tokens = grant.tokens.less(lease.tokens);
        lease.share.rate += more_rate;
        lease.share.burst += more_burst;
        lease.tokens += more_tokens;
        self.bucket.grow(more_rate, more_burst);
        self.bucket.credit(more_tokens);
    }

    /// Gives back all leased shares, or those of one lender.
    pub fn give_back(
        &mut self,
        tag: limit::LimitTag,
        of: Option<member::HolderId>,
    ) -> Vec<DueLease<message::LeaseReturn>> {
        let chosen = |lease: &HeldLease| of.is_none_or(|lender| lender == lease.lender);
        let (ended, kept) = self.held.drain(..).partition(chosen);
        self.held = kept;
        let ended: Vec<HeldLease> = ended;
        let granted = ended.iter().filter(|lease| lease.is_granted);
        granted
            .map(|lease| return_lease(&mut self.bucket, tag, lease))
            .collect()
    }
}

fn return_lease(
    bucket: &mut bucket::TokenBucket,
    tag: limit::LimitTag,
    lease: &HeldLease,
) -> DueLease<message::LeaseReturn> {
    let free = bucket.burst_held().less(bucket.outstanding());
    let burst = lease.share.burst.min(free);
    let excess = bucket.shrink(lease.share.rate, lease.share.burst);
    DueLease {
        to: lease.lender,
        message: message::LeaseReturn {
            tag,
            serial: lease.serial,
            rate: lease.share.rate,
            burst,
            tokens: excess.min(burst),
        },
    }
}

impl HeldLease {
    fn note_ask(&mut self, sequence: u64, sent_at: stamp::TimeStamp) {
        if ASKS_KEPT <= self.asks.len() {
            self.asks.remove(0);
        }
        self.asks.push(SentAsk { sequence, sent_at });
    }
}

fn asked_lease(
    lender: member::HolderId,
    serial: message::LoanSerial,
    until: stamp::TimeStamp,
) -> HeldLease {
    HeldLease {
        lender,
        serial,
        share: plan::ShareTarget::default(),
        tokens: amount::TokenAmount::ZERO,
        is_granted: false,
        usable_until: until,
        asks: Vec::new(),
    }
}
