//! What a VM lets others have of one limit.

use super::{LimitState, StateContext};
use crate::loans::ledger;
use crate::{amount, member, message};
use dahliawood_model::stamp;

/// The part of a limit's burst that is lent only to requests that wait.
const RESERVE_DIVISOR: u64 = 4;

impl LimitState {
    /// Answers an ask for this VM's share.
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

    /// Takes back a share that was leased out.
    pub(crate) fn accept_lease_return(
        &mut self,
        from: member::HolderId,
        returned: message::LeaseReturn,
        now: stamp::TimeStamp,
    ) {
        self.share.refresh(now);
        self.share.accept_return(from, returned);
    }

    /// Whom to ask for a share that is leased out although this VM should hold less.
    pub(crate) fn due_recall(&self) -> Option<member::HolderId> {
        self.share.borrower_to_recall()
    }

    /// What a lender keeps for its own requests that wait: half of a rate, and all of a count,
    /// whose units would lie idle on the way to another VM and back.
    pub(super) fn kept_for_waiting(&self) -> amount::TokenAmount {
        let level = self.share.bucket().level();
        if self.terms.is_count() {
            return self.waiting().min(level);
        }
        self.waiting()
            .min(amount::TokenAmount::from_micros(level.micros / 2))
    }

    /// What a lender keeps from VMs that only stock up.
    pub(super) fn reserve(&self) -> amount::TokenAmount {
        amount::TokenAmount::from_micros(self.terms.burst().micros / RESERVE_DIVISOR)
    }

    /// Answers an ask of a peer.
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

    /// Takes a borrower's report.
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
