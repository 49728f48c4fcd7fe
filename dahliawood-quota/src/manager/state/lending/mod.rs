//! What a VM lets others have of one limit.

use super::{LimitState, StateContext};
use crate::loans::ledger;
use crate::{amount, member, message};
use dahliawood_model::stamp;

/// The part of a limit's burst that is lent only to requests that wait.
const RESERVES_PER_BURST: u64 = 4;

impl LimitState {
    /// Answers an ask for this VM's share.
    pub(crate) fn lend_share(
        &mut self,
        from: member::HolderId,
        request: message::LeaseRequest,
        context: StateContext<'_>,
    ) -> Option<message::LeaseGrant> {
        self.account.refresh(context.now);
        if !context.is_active || context.is_leaving || self.terms.is_count() {
            return None;
        }
        self.account
            .grant(from, request, context.spans, context.now)
    }

    /// Takes back a share that was leased out.
    pub(crate) fn take_lease_back(
        &mut self,
        from: member::HolderId,
        back: message::LeaseReturn,
        now: stamp::TimeStamp,
    ) {
        self.account.refresh(now);
        self.account.take_return(from, back);
    }

    /// Whom to ask for a share that is leased out although this VM should hold less.
    pub(crate) fn due_recall(&self) -> Option<member::HolderId> {
        self.account.recalled_from()
    }

    /// What a lender keeps for its own requests that wait: half of a rate, and all of a count,
    /// whose units would lie idle on the way to another VM and back.
    pub(super) fn kept(&self) -> amount::TokenAmount {
        let level = self.account.bucket().level();
        if self.terms.is_count() {
            return self.waiting().min(level);
        }
        self.waiting()
            .min(amount::TokenAmount::from_micros(level.micros / 2))
    }

    /// What a lender keeps from VMs that only stock up.
    pub(super) fn reserve(&self) -> amount::TokenAmount {
        amount::TokenAmount::from_micros(self.terms.burst().micros / RESERVES_PER_BURST)
    }

    /// Answers an ask of a peer.
    pub(crate) fn lend(
        &mut self,
        from: member::HolderId,
        mut request: message::LoanRequest,
        context: StateContext<'_>,
    ) -> message::LoanGrant {
        self.account.refresh(context.now);
        self.demand_at = Some(context.now);
        if !context.is_active {
            request.need = amount::TokenAmount::ZERO;
            request.want = amount::TokenAmount::ZERO;
        }
        let judge = ledger::GrantOptions {
            kept: self.kept(),
            reserve: self.reserve(),
            is_count: self.terms.is_count(),
        };
        let (ledger, bucket) = (&mut self.ledger, self.account.bucket_mut());
        ledger::grant_loan(
            ledger,
            bucket,
            from,
            request,
            judge,
            context.spans,
            context.now,
        )
    }

    /// Takes a borrower's report.
    pub(crate) fn take_report(
        &mut self,
        from: member::HolderId,
        report: message::LoanReport,
        now: stamp::TimeStamp,
    ) {
        self.account.refresh(now);
        ledger::take_report(&mut self.ledger, self.account.bucket_mut(), from, report);
    }
}
