//! The state of one limit on one VM: its bucket, its loans and the requests that wait for it.

mod admission;
mod borrowing;
mod lending;

use crate::loans::{borrowed, forecast, lease, ledger};
use crate::manager::effect;
use crate::shares::{document, plan};
use crate::{amount, bucket, limit, member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::collections::VecDeque;

/// A request that waits for allowance.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: effect::WaitTicket,
    amount: amount::TokenAmount,
    until: stamp::TimeStamp,
    deadline: stamp::TimeStamp,
}

/// A request that waited and has been granted or refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResolvedRequest {
    pub(crate) ticket: effect::WaitTicket,
    pub(crate) admission: effect::Admission,
}

/// A loan request to send, and the VM that it is for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueLoanRequest {
    pub(crate) lender: member::HolderId,
    pub(crate) request: message::LoanRequest,
}

/// The options and the state of the VM that all its limits share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateContext<'a> {
    pub(crate) options: &'a options::QuotaOptions,
    /// Whether this VM may use its shares.
    pub(crate) is_active: bool,
    pub(crate) is_leaving: bool,
    pub(crate) me: member::HolderId,
    /// VMs that did not answer and have sent nothing since, and when to try them again.
    pub(crate) unresponsive: &'a FastMap<member::HolderId, stamp::TimeStamp>,
    pub(crate) now: stamp::TimeStamp,
}

impl StateContext<'_> {
    fn is_unresponsive(&self, id: member::HolderId) -> bool {
        self.unresponsive
            .get(&id)
            .is_some_and(|until| self.now < *until)
    }
}

/// A lease message to send, and the VM that it is for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueLeaseMessage {
    pub(crate) to: member::HolderId,
    pub(crate) message: message::QuotaMessage,
}

impl DueLeaseMessage {
    fn from_due<M: Into<message::QuotaMessage>>(due: lease::DueLease<M>) -> Self {
        Self {
            to: due.to,
            message: due.message.into(),
        }
    }
}

fn granted_share(grant: &document::ShareGrant) -> plan::ShareSize {
    plan::ShareSize {
        rate: grant.rate,
        burst: grant.burst,
    }
}

/// One limit on one VM.
#[derive(Clone, Debug)]
pub(crate) struct LimitState {
    key: limit::LimitKey,
    tag: limit::LimitTag,
    terms: limit::LimitTerms,
    is_paced: bool,
    share: lease::LeasableShare,
    ledger: ledger::LoanLedger,
    borrowed: borrowed::BorrowedLoans,
    forecast: forecast::DemandForecast,
    waiters: VecDeque<WaitingRequest>,
    /// Homes that hold shares, in order of rank, this VM included.
    homes: Vec<member::HolderId>,
    /// Lenders that granted less than requests wait for, and when to ask each of them again.
    exhausted_until: FastMap<member::HolderId, stamp::TimeStamp>,
    /// When this VM last received a request to admit or a loan request.
    last_demand_at: Option<stamp::TimeStamp>,
    /// The time before which no tokens are prefetched, because a lender granted less than was
    /// requested.
    prefetch_after: stamp::TimeStamp,
    /// Tokens from the document's pool that the bucket has been credited with, in all.
    credited: amount::TokenAmount,
    /// Tokens that this VM gave up with decreases of its share, in all.
    given: amount::TokenAmount,
}

impl LimitState {
    pub(crate) fn new(
        key: limit::LimitKey,
        spec: &limit::LimitSpec,
        now: stamp::TimeStamp,
    ) -> Self {
        Self {
            key,
            tag: limit::LimitTag::of(&spec.name),
            terms: spec.terms,
            is_paced: spec.is_paced,
            share: lease::LeasableShare::new(now),
            ledger: ledger::LoanLedger::default(),
            borrowed: borrowed::BorrowedLoans::default(),
            forecast: forecast::DemandForecast::default(),
            waiters: VecDeque::new(),
            homes: Vec::new(),
            exhausted_until: FastMap::default(),
            last_demand_at: None,
            prefetch_after: stamp::TimeStamp::ZERO,
            credited: amount::TokenAmount::ZERO,
            given: amount::TokenAmount::ZERO,
        }
    }

    pub(crate) fn set_spec(&mut self, spec: &limit::LimitSpec) {
        self.terms = spec.terms;
        self.is_paced = spec.is_paced;
    }

    pub(crate) fn bucket(&self) -> &bucket::TokenBucket {
        self.share.bucket()
    }

    /// Applies this VM's grant and the homes that hold shares, from a newer document.
    pub(crate) fn apply(
        &mut self,
        grant: Option<&document::ShareGrant>,
        homes: Vec<member::HolderId>,
        may_raise: bool,
        now: stamp::TimeStamp,
    ) {
        self.homes = homes;
        self.exhausted_until
            .retain(|lender, _| self.homes.contains(lender));
        self.share.refresh(now);
        let Some(grant) = grant else {
            self.share.lower(plan::ShareSize::default());
            self.credited = amount::TokenAmount::ZERO;
            self.given = amount::TokenAmount::ZERO;
            return;
        };
        self.share.lower(granted_share(grant));
        if may_raise {
            self.raise(grant);
        }
    }

    fn raise(&mut self, grant: &document::ShareGrant) {
        let more = self.share.raise(granted_share(grant));
        let bucket = self.share.bucket_mut();
        if self.terms.is_count() {
            bucket.credit(more);
            return;
        }
        bucket.credit(grant.received.saturating_subtract(self.credited));
        self.credited = grant.received;
        bucket.credit(self.given.saturating_subtract(grant.given));
        self.given = grant.given;
    }

    /// Lowers what this VM uses itself, before a decrease is written to the share document.
    pub(crate) fn lower(
        &mut self,
        size: plan::ShareSize,
        now: stamp::TimeStamp,
    ) -> plan::LoweredShare {
        self.share.refresh(now);
        let excess = self.share.lower(size);
        if !self.terms.is_count() {
            self.given += excess;
        }
        let in_use = self.share.own_in_use();
        plan::LoweredShare {
            rate: in_use.rate,
            burst: in_use.burst,
            given: self.given,
        }
    }

    fn own_level(&self, is_active: bool) -> amount::TokenAmount {
        if is_active {
            return self.share.bucket().level();
        }
        amount::TokenAmount::ZERO
    }

    pub(crate) fn available(&self, context: StateContext<'_>) -> amount::TokenAmount {
        self.own_level(context.is_active) + self.borrowed.available(context.now)
    }

    fn waiting(&self) -> amount::TokenAmount {
        self.waiters.iter().map(|waiter| waiter.amount).sum()
    }
}
