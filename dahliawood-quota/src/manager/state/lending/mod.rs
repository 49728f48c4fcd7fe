//! What a VM lends to other VMs of one limit.

use super::{LimitState, StateContext};
use crate::loans::ledger;
use crate::{amount, member, message};
use dahliawood_model::stamp;

/// The burst divided by this is lent only if requests wait for it at the borrower.
const RESERVE_DIVISOR: u64 = 4;

impl LimitState {
    /// Answers a lease request for this VM's share.
    pub(crate) fn lend_share(
        &mut self,
        from: member::HolderId,
        request: message::LeaseRequest,
        context: StateContext<'_>,
    ) -> Option<message::LeaseGrant> {
        self.share.refresh(context.now);
        if !context.is_active || context.is_leaving || self.terms.is_count() {
            return None;
        }
        self.share
            .grant(from, request, context.options, context.now)
    }

    /// Takes back this VM's share from its borrower.
    pub(crate) fn accept_lease_return(
        &mut self,
        from: member::HolderId,
        returned: message::LeaseReturn,
        now: stamp::TimeStamp,
    ) {
        self.share.refresh(now);
        self.share.accept_return(from, returned);
    }

    /// The VM to recall this VM's share from, because the share must be lowered.
    pub(crate) fn due_recall(&self) -> Option<member::HolderId> {
        self.share.borrower_to_recall()
    }

    /// The tokens that a lender keeps for its own waiting requests: at most half of the level of a
    /// rate. For a count it is as many units as requests wait, because a unit would lie idle on the
    /// way to another VM and back.
    pub(super) fn kept_for_waiting(&self) -> amount::TokenAmount {
        let level = self.share.bucket().level();
        if self.terms.is_count() {
            return self.waiting().min(level);
        }
        self.waiting()
            .min(amount::TokenAmount::from_micros(level.micros / 2))
    }

    /// The tokens that a lender does not lend to VMs that only prefetch.
    pub(super) fn reserve(&self) -> amount::TokenAmount {
        amount::TokenAmount::from_micros(self.terms.burst().micros / RESERVE_DIVISOR)
    }

    /// Answers a loan request.
    pub(crate) fn lend(
        &mut self,
        from: member::HolderId,
        mut request: message::LoanRequest,
        context: StateContext<'_>,
    ) -> message::LoanGrant {
        self.share.refresh(context.now);
        self.last_demand_at = Some(context.now);
        if !context.is_active {
            request.need = amount::TokenAmount::ZERO;
            request.want = amount::TokenAmount::ZERO;
        }
        let policy = ledger::LendingPolicy {
            kept_for_waiting: self.kept_for_waiting(),
            reserve: self.reserve(),
            is_count: self.terms.is_count(),
        };
        let (ledger, bucket) = (&mut self.ledger, self.share.bucket_mut());
        ledger::grant_loan(
            ledger,
            bucket,
            from,
            request,
            policy,
            context.options,
            context.now,
        )
    }

    /// Applies a borrower's report.
    pub(crate) fn record_report(
        &mut self,
        from: member::HolderId,
        report: message::LoanReport,
        now: stamp::TimeStamp,
    ) {
        self.share.refresh(now);
        ledger::record_report(&mut self.ledger, self.share.bucket_mut(), from, report);
    }
}
