//! Leases of whole shares to the issuer of a limit, so that a small burst is held in one place.
//!
//! The lender stops using its rate and burst before it answers. While a lease lasts, the leased
//! amounts only grow. The borrower may use them until a fixed time after it *sent* its newest
//! request; tokens that it lends to other VMs expire one loan time later at the latest. The lender
//! takes its share back, without tokens, one lease time and one loan time after it last *granted*.
//! A lost message makes the share unusable for this time; it never creates allowance.

use crate::shares::plan;
use crate::{amount, bucket, limit, member, message, options};
use dahliawood_model::stamp;

/// The newest requests of one lease that are remembered; answers to older ones are ignored.
const MAX_KEPT_REQUESTS: usize = 8;

/// A share that is leased to another VM. It is closed once the borrower has returned it.
#[derive(Clone, Copy, Debug)]
struct OutgoingLease {
    borrower: member::HolderId,
    serial: message::LoanSerial,
    share: plan::ShareSize,
    tokens: amount::TokenAmount,
    until: stamp::TimeStamp,
    is_closed: bool,
}

impl OutgoingLease {
    fn nothing(borrower: member::HolderId, serial: message::LoanSerial) -> Self {
        Self {
            borrower,
            serial,
            share: plan::ShareSize::default(),
            tokens: amount::TokenAmount::ZERO,
            until: stamp::TimeStamp::MAX,
            is_closed: false,
        }
    }
}

/// A share that its owner has stopped using, with the tokens that were in it.
#[derive(Clone, Copy, Debug)]
struct ReleasedShare {
    share: plan::ShareSize,
    tokens: amount::TokenAmount,
}

/// A lease request and when it was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u64,
    sent_at: stamp::TimeStamp,
}

/// A share that is leased from another VM, or requested.
#[derive(Clone, Debug)]
struct IncomingLease {
    lender: member::HolderId,
    serial: message::LoanSerial,
    share: plan::ShareSize,
    tokens: amount::TokenAmount,
    is_granted: bool,
    usable_until: stamp::TimeStamp,
    requests: Vec<SentRequest>,
}

/// A lease message and the VM that it is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DueLease<M> {
    /// The other VM.
    pub to: member::HolderId,
    /// The message.
    pub message: M,
}

/// One VM's share of one limit, the leases from and to other VMs, and the token bucket that runs on
/// the sum. `bound` is the size that the own share is lowered to as soon as its lease ends.
#[derive(Clone, Debug)]
pub struct LeasableShare {
    bucket: bucket::TokenBucket,
    own: plan::ShareSize,
    bound: plan::ShareSize,
    outgoing: Option<OutgoingLease>,
    incoming: Vec<IncomingLease>,
    last_sequence: u64,
}

impl LeasableShare {
    /// An empty share without leases.
    pub fn new(now: stamp::TimeStamp) -> Self {
        Self {
            bucket: bucket::TokenBucket::new(now),
            own: plan::ShareSize::default(),
            bound: plan::ShareSize::default(),
            outgoing: None,
            incoming: Vec::new(),
            last_sequence: 0,
        }
    }

    /// The token bucket; call [`LeasableShare::refresh`] first.
    pub fn bucket(&self) -> &bucket::TokenBucket {
        &self.bucket
    }

    /// The token bucket, to take tokens from or return them to.
    pub fn bucket_mut(&mut self) -> &mut bucket::TokenBucket {
        &mut self.bucket
    }

    /// The part of this VM's own share that is still in use, including what it leased to another VM
    /// and outstanding tokens that exceed the burst held.
    pub fn own_in_use(&self) -> plan::ShareSize {
        let excess = self
            .bucket
            .burst()
            .saturating_subtract(self.bucket.burst_held());
        plan::ShareSize {
            rate: self.own.rate,
            burst: self.own.burst + excess,
        }
    }

    /// Whether this VM holds a lease of another VM's share.
    pub fn has_incoming(&self) -> bool {
        self.incoming.iter().any(|lease| lease.is_granted)
    }

    /// Whether this VM holds a lease of the share of `lender`.
    pub fn leases_from(&self, lender: member::HolderId) -> bool {
        let matches = |lease: &IncomingLease| lease.lender == lender && lease.is_granted;
        self.incoming.iter().any(matches)
    }

    /// Ends the leases that have expired, on either side, and lets tokens accrue up to `now`.
    pub fn refresh(&mut self, now: stamp::TimeStamp) {
        self.expire_incoming(now);
        if let Some(outgoing) = self.outgoing.take_if(|outgoing| outgoing.until <= now) {
            self.bucket.refill(outgoing.until);
            self.bucket.grow(outgoing.share.rate, outgoing.share.burst);
            self.lower(self.bound);
        }
        self.bucket.refill(now);
    }

    fn expire_incoming(&mut self, now: stamp::TimeStamp) {
        self.incoming.sort_by_key(|lease| lease.usable_until);
        let over = self
            .incoming
            .iter()
            .take_while(|lease| lease.usable_until <= now)
            .count();
        for lease in self.incoming.drain(..over) {
            self.bucket.refill(lease.usable_until);
            self.bucket.shrink(lease.share.rate, lease.share.burst);
        }
    }

    /// Lowers the own share to `size`, or to what is leased to another VM if that is more. Returns
    /// the tokens that no longer fit.
    pub fn lower(&mut self, size: plan::ShareSize) -> amount::TokenAmount {
        let outgoing = self
            .outgoing
            .map(|outgoing| outgoing.share)
            .unwrap_or_default();
        self.bound = size;
        let rate = self.own.rate.min(size.rate.max(outgoing.rate));
        let burst = self.own.burst.min(size.burst.max(outgoing.burst));
        let decrease = plan::ShareSize {
            rate: self.own.rate.saturating_subtract(rate),
            burst: self.own.burst.saturating_subtract(burst),
        };
        self.own = plan::ShareSize { rate, burst };
        self.bucket.shrink(decrease.rate, decrease.burst)
    }

    /// Raises the own share to `size` without adding tokens. Returns by how much the burst in use
    /// grew.
    pub fn raise(&mut self, size: plan::ShareSize) -> amount::TokenAmount {
        let before = self.own_in_use().burst;
        let more_rate = size.rate.saturating_subtract(self.own.rate);
        let more_burst = size.burst.saturating_subtract(self.own.burst);
        self.own.rate += more_rate;
        self.own.burst += more_burst;
        self.bound = self.own;
        self.bucket.grow(more_rate, more_burst);
        size.burst.saturating_subtract(before)
    }

    /// Answers a request for this VM's share. Returns `None` if the share must be lowered, if this
    /// VM itself holds leases, or if the share is already leased and the request is from another
    /// VM, for a lease that was returned or for an older lease.
    pub fn grant(
        &mut self,
        from: member::HolderId,
        request: message::LeaseRequest,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Option<message::LeaseGrant> {
        if self.is_recalled() || self.has_incoming() {
            return None;
        }
        let is_other = |outgoing: &OutgoingLease| {
            outgoing.borrower != from || outgoing.is_closed || request.serial < outgoing.serial
        };
        if self.outgoing.as_ref().is_some_and(is_other) {
            return None;
        }
        let more = self.release_unused();
        let outgoing = self
            .outgoing
            .get_or_insert(OutgoingLease::nothing(from, request.serial));
        if outgoing.serial < request.serial {
            outgoing.serial = request.serial;
            outgoing.tokens = amount::TokenAmount::ZERO;
        }
        outgoing.share.rate += more.share.rate;
        outgoing.share.burst += more.share.burst;
        outgoing.tokens += more.tokens;
        outgoing.until = now.after(options.lease_recovery_time());
        Some(message::LeaseGrant {
            tag: request.tag,
            serial: request.serial,
            sequence: request.sequence,
            rate: outgoing.share.rate,
            burst: outgoing.share.burst,
            tokens: outgoing.tokens,
        })
    }

    /// Stops using what is not yet leased or lent, and returns it.
    fn release_unused(&mut self) -> ReleasedShare {
        let outgoing = self
            .outgoing
            .map(|outgoing| outgoing.share)
            .unwrap_or_default();
        let share = plan::ShareSize {
            rate: self.own.rate.saturating_subtract(outgoing.rate),
            burst: self
                .own
                .burst
                .saturating_subtract(outgoing.burst)
                .saturating_subtract(self.bucket.outstanding()),
        };
        let tokens = self.bucket.shrink(share.rate, share.burst);
        ReleasedShare {
            share,
            tokens: tokens.min(share.burst),
        }
    }

    /// Whether the own share must be lowered and has not been yet, because it is leased.
    fn is_recalled(&self) -> bool {
        self.bound.rate < self.own.rate || self.bound.burst < self.own.burst
    }

    /// The VM that should return this VM's share, because the share must be lowered.
    pub fn borrower_to_recall(&self) -> Option<member::HolderId> {
        let outgoing = self.outgoing.filter(|outgoing| !outgoing.is_closed)?;
        self.is_recalled().then_some(outgoing.borrower)
    }

    /// Takes back a share that its borrower has stopped using.
    pub fn accept_return(&mut self, from: member::HolderId, returned: message::LeaseReturn) {
        let matches = |outgoing: &&mut OutgoingLease| {
            outgoing.borrower == from && outgoing.serial == returned.serial && !outgoing.is_closed
        };
        let Some(outgoing) = self.outgoing.as_mut().filter(matches) else {
            return;
        };
        let rate = returned.rate.min(outgoing.share.rate);
        let burst = returned.burst.min(outgoing.share.burst);
        outgoing.share.rate = outgoing.share.rate.saturating_subtract(rate);
        outgoing.share.burst = outgoing.share.burst.saturating_subtract(burst);
        outgoing.is_closed = true;
        self.bucket.grow(rate, burst);
        self.bucket.credit(returned.tokens.min(burst));
        self.lower(self.bound);
    }

    /// The lease requests that are due, to begin leases or to renew them.
    pub fn due_requests(
        &mut self,
        tag: limit::LimitTag,
        lenders: &[member::HolderId],
        next_serial: &mut u64,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<DueLease<message::LeaseRequest>> {
        let mut due = Vec::new();
        for lender in lenders {
            let known = self
                .incoming
                .iter()
                .position(|lease| lease.lender == *lender);
            let index = known.unwrap_or_else(|| {
                *next_serial += 1;
                let until = now.after(options.lease_time);
                let serial = message::LoanSerial(*next_serial);
                self.incoming.push(requested_lease(*lender, serial, until));
                self.incoming.len() - 1
            });
            let lease = &mut self.incoming[index];
            let every = options.lease_time / 2;
            if lease
                .requests
                .last()
                .is_some_and(|sent| now < sent.sent_at.after(every))
            {
                continue;
            }
            self.last_sequence += 1;
            lease.record_request(self.last_sequence, now);
            let message = message::LeaseRequest {
                tag,
                serial: lease.serial,
                sequence: self.last_sequence,
            };
            due.push(DueLease {
                to: *lender,
                message,
            });
        }
        due
    }

    /// Accepts the answer to a request. A late or repeated answer has no effect.
    pub fn accept(
        &mut self,
        from: member::HolderId,
        grant: &message::LeaseGrant,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        let matches =
            |lease: &&mut IncomingLease| lease.lender == from && lease.serial == grant.serial;
        let Some(lease) = self.incoming.iter_mut().find(matches) else {
            return;
        };
        let Some(sent) = lease
            .requests
            .iter()
            .find(|sent| sent.sequence == grant.sequence)
        else {
            return;
        };
        let until = sent
            .sent_at
            .after(options.borrower_time(options.lease_time));
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
        let more_rate = grant.rate.saturating_subtract(lease.share.rate);
        let more_burst = grant.burst.saturating_subtract(lease.share.burst);
        let more_tokens = grant.tokens.saturating_subtract(lease.tokens);
        lease.share.rate += more_rate;
        lease.share.burst += more_burst;
        lease.tokens += more_tokens;
        self.bucket.grow(more_rate, more_burst);
        self.bucket.credit(more_tokens);
    }

    /// Returns all leased shares, or those of one lender.
    pub fn return_leases(
        &mut self,
        tag: limit::LimitTag,
        of: Option<member::HolderId>,
    ) -> Vec<DueLease<message::LeaseReturn>> {
        let chosen = |lease: &IncomingLease| of.is_none_or(|lender| lender == lease.lender);
        let (ended, kept) = self.incoming.drain(..).partition(chosen);
        self.incoming = kept;
        let ended: Vec<IncomingLease> = ended;
        let granted = ended.iter().filter(|lease| lease.is_granted);
        granted
            .map(|lease| return_lease(&mut self.bucket, tag, lease))
            .collect()
    }
}

fn return_lease(
    bucket: &mut bucket::TokenBucket,
    tag: limit::LimitTag,
    lease: &IncomingLease,
) -> DueLease<message::LeaseReturn> {
    let free = bucket
        .burst_held()
        .saturating_subtract(bucket.outstanding());
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

impl IncomingLease {
    fn record_request(&mut self, sequence: u64, sent_at: stamp::TimeStamp) {
        if MAX_KEPT_REQUESTS <= self.requests.len() {
            self.requests.remove(0);
        }
        self.requests.push(SentRequest { sequence, sent_at });
    }
}

fn requested_lease(
    lender: member::HolderId,
    serial: message::LoanSerial,
    until: stamp::TimeStamp,
) -> IncomingLease {
    IncomingLease {
        lender,
        serial,
        share: plan::ShareSize::default(),
        tokens: amount::TokenAmount::ZERO,
        is_granted: false,
        usable_until: until,
        requests: Vec::new(),
    }
}
