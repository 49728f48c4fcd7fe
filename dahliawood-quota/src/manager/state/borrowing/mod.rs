//! What a VM borrows from other VMs for one limit: loans and, if it is the issuer, whole shares.

use super::{DueLeaseMessage, DueLoanRequest, LimitState, StateContext};
use crate::loans::{borrowed, ledger};
use crate::{amount, member, message};
use dahliawood_model::stamp;
use std::time::Duration;

/// A VM on which no request waits borrows at least the burst divided by this, or nothing.
const MIN_PREFETCH_DIVISOR: u64 = 50;
/// All homes together prefetch at most the burst divided by this.
const HOME_PREFETCH_DIVISOR: u64 = 2;
/// As many other VMs as there are homes together prefetch at most the burst divided by this.
const PREFETCH_DIVISOR: u64 = 8;

impl LimitState {
    /// The first home that may have tokens to lend. For a rate this is only the issuer; for a
    /// count, and for the issuer itself, it is a home whose share this VM does not lease.
    pub(super) fn next_lender(&self, context: StateContext<'_>) -> Option<member::HolderId> {
        let is_exhausted = |lender: &member::HolderId| {
            let until = self.exhausted_until.get(lender);
            until.is_some_and(|until| context.now < *until)
        };
        if !self.terms.is_count() && !self.is_issuer(context) {
            let issuer = self.issuer(context).filter(|issuer| *issuer != context.me);
            return issuer.filter(|issuer| !is_exhausted(issuer));
        }
        let others = self.homes.iter().filter(|home| **home != context.me);
        let responsive = others.filter(|home| !context.is_unresponsive(**home));
        let mut unleased = responsive.filter(|home| !self.share.leases_from(**home));
        unleased.find(|home| !is_exhausted(home)).copied()
    }

    /// The issuer of this limit: the first home that is not unresponsive.
    pub(super) fn issuer(&self, context: StateContext<'_>) -> Option<member::HolderId> {
        let is_responsive =
            |home: &&member::HolderId| **home == context.me || !context.is_unresponsive(**home);
        self.homes.iter().find(is_responsive).copied()
    }

    pub(super) fn is_issuer(&self, context: StateContext<'_>) -> bool {
        let issues = self.issuer(context) == Some(context.me);
        issues && context.is_active && !context.is_leaving && !self.terms.is_count()
    }

    /// Begins, renews and returns leases of other homes' shares.
    pub(crate) fn update_leases(
        &mut self,
        next_serial: &mut u64,
        context: StateContext<'_>,
    ) -> Vec<DueLeaseMessage> {
        self.share.refresh(context.now);
        if !self.is_issuer(context) {
            return self.return_leases(None);
        }
        if !self.has_demand(context) {
            return Vec::new();
        }
        let lends =
            |home: &member::HolderId| *home != context.me && !context.is_unresponsive(*home);
        let lenders: Vec<_> = self.homes.iter().copied().filter(lends).collect();
        let (options, now) = (context.options, context.now);
        let due = self
            .share
            .due_requests(self.tag, &lenders, next_serial, options, now);
        due.into_iter().map(DueLeaseMessage::from_due).collect()
    }

    pub(super) fn has_demand(&self, context: StateContext<'_>) -> bool {
        let idle = context.options.lease_idle_timeout;
        let last = self.last_demand_at;
        last.is_some_and(|at| context.now < at.after(idle))
    }

    pub(super) fn return_leases(&mut self, of: Option<member::HolderId>) -> Vec<DueLeaseMessage> {
        let due = self.share.return_leases(self.tag, of);
        due.into_iter().map(DueLeaseMessage::from_due).collect()
    }

    /// Accepts the answer to a lease request.
    pub(crate) fn accept_lease(
        &mut self,
        from: member::HolderId,
        grant: &message::LeaseGrant,
        context: StateContext<'_>,
    ) {
        self.share.refresh(context.now);
        self.share.accept(from, grant, context.options, context.now);
    }

    /// Returns a leased share that its owner has recalled.
    pub(crate) fn handle_recall(
        &mut self,
        from: member::HolderId,
        now: stamp::TimeStamp,
    ) -> Vec<DueLeaseMessage> {
        self.share.refresh(now);
        self.return_leases(Some(from))
    }

    /// Ends expired loans, granted and held; returns the lenders that did not answer in time.
    pub(crate) fn expire(&mut self, context: StateContext<'_>) -> Vec<member::HolderId> {
        let is_count = self.terms.is_count();
        self.share.refresh(context.now);
        let bucket = self.share.bucket_mut();
        ledger::expire_loans(&mut self.ledger, bucket, is_count, context.now);
        self.forecast.advance(context.now);
        let idle_units = is_count && self.waiters.is_empty();
        self.borrowed.return_unused(idle_units, context.now);
        self.borrowed
            .overdue_lenders(context.options.loan_request_timeout, context.now)
    }

    /// The loan reports that are due.
    pub(crate) fn reports(&mut self, context: StateContext<'_>) -> Vec<borrowed::DueReport> {
        self.borrowed
            .due_reports(self.tag, context.options, context.now)
    }

    /// The tokens that this VM tries to hold in advance: its expected demand, bounded so that all
    /// VMs together keep only a small part of the burst away from the issuer.
    pub(super) fn prefetch_amount(&self, context: StateContext<'_>) -> amount::TokenAmount {
        let may_prefetch = self.prefetch_after <= context.now;
        if self.terms.is_count() || self.is_issuer(context) || !may_prefetch {
            return amount::TokenAmount::ZERO;
        }
        let is_home = self.homes.contains(&context.me);
        let divisor = if is_home {
            HOME_PREFETCH_DIVISOR
        } else {
            PREFETCH_DIVISOR
        };
        let parts = divisor * self.homes.len().max(1) as u64;
        let max_amount = amount::TokenAmount::from_micros(self.terms.burst().micros / parts);
        self.forecast
            .expected(context.options.forecast_span)
            .min(max_amount)
    }

    /// The next loan request, if one is needed.
    pub(crate) fn next_request(
        &mut self,
        serial: message::LoanSerial,
        context: StateContext<'_>,
    ) -> Option<DueLoanRequest> {
        let covered = self.available(context) + self.borrowed.pending();
        let need = self.waiting().saturating_subtract(covered);
        let want = need.max(self.prefetch_amount(context).saturating_subtract(covered));
        let chunk = self.terms.burst().micros / MIN_PREFETCH_DIVISOR;
        let chunk = amount::TokenAmount::from_micros(chunk).max(amount::TokenAmount::ONE);
        if need.is_zero() && want < chunk {
            return None;
        }
        let lender = self.next_lender(context)?;
        let request = message::LoanRequest {
            tag: self.tag,
            serial,
            need,
            want,
            length: self.loan_length(context),
        };
        self.borrowed
            .open_request(lender, &request, context.options, context.now);
        Some(DueLoanRequest { lender, request })
    }

    pub(super) fn loan_length(&self, context: StateContext<'_>) -> Duration {
        if !self.terms.is_count() {
            return context.options.loan_time;
        }
        let deadlines = self.waiters.iter().map(|waiter| waiter.deadline);
        let latest = deadlines.max().unwrap_or(context.now);
        latest.since(context.now).min(context.options.max_loan_time)
    }

    /// Accepts the answer to a loan request.
    pub(crate) fn accept_grant(
        &mut self,
        from: member::HolderId,
        grant: &message::LoanGrant,
        now: stamp::TimeStamp,
    ) {
        let Some(accepted) = self.borrowed.accept(from, grant, now) else {
            return;
        };
        let again_at = accepted.sent_at.after(grant.retry_after);
        if accepted.is_short {
            self.exhausted_until.insert(from, again_at);
        } else {
            self.exhausted_until.remove(&from);
        }
        if accepted.is_partial {
            self.prefetch_after = now.after(grant.retry_after);
        }
    }
}
