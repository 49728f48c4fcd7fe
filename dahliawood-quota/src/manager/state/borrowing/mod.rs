//! What a VM asks of others for one limit: loans, and as the issuer whole shares.

use super::{DueAsk, DueLeaseMessage, LimitState, StateContext};
use crate::loans::{ledger, wallet};
use crate::{amount, member, message};
use dahliawood_model::stamp;
use std::time::Duration;

/// The part of a limit's burst below which nothing is asked for in advance.
const CHUNKS_PER_BURST: u64 = 50;
/// The part of a limit's burst that all homes, and as many other VMs, may keep in stock.
const HOME_STOCKS_PER_BURST: u64 = 2;
const STOCKS_PER_BURST: u64 = 8;

impl LimitState {
    /// The first home that may have something to lend: of a rate only the issuer, and for the
    /// issuer a home whose share it does not lease yet.
    pub(super) fn next_lender(&self, context: StateContext<'_>) -> Option<member::HolderId> {
        let is_dry = |lender: &member::HolderId| {
            let until = self.dry_until.get(lender);
            until.is_some_and(|until| context.now < *until)
        };
        if !self.terms.is_count() && !self.is_issuer(context) {
            let issuer = self.issuer(context).filter(|issuer| *issuer != context.me);
            return issuer.filter(|issuer| !is_dry(issuer));
        }
        let others = self.homes.iter().filter(|home| **home != context.me);
        let awake = others.filter(|home| !context.is_silent(**home));
        let mut unleased = awake.filter(|home| !self.account.leases_from(**home));
        unleased.find(|home| !is_dry(home)).copied()
    }

    /// The home that issues this limit: the first that is not silent.
    pub(super) fn issuer(&self, context: StateContext<'_>) -> Option<member::HolderId> {
        let is_awake =
            |home: &&member::HolderId| **home == context.me || !context.is_silent(**home);
        self.homes.iter().find(is_awake).copied()
    }

    pub(super) fn is_issuer(&self, context: StateContext<'_>) -> bool {
        let issues = self.issuer(context) == Some(context.me);
        issues && context.is_active && !context.is_leaving && !self.terms.is_count()
    }

    /// Begins, renews and gives back leases of other homes' shares.
    pub(crate) fn step_leases(
        &mut self,
        next_serial: &mut u64,
        context: StateContext<'_>,
    ) -> Vec<DueLeaseMessage> {
        self.account.refresh(context.now);
        if !self.is_issuer(context) {
            return self.give_back_leases(None);
        }
        if !self.has_demand(context) {
            return Vec::new();
        }
        let lends = |home: &member::HolderId| *home != context.me && !context.is_silent(*home);
        let lenders: Vec<_> = self.homes.iter().copied().filter(lends).collect();
        let (spans, now) = (context.spans, context.now);
        let due = self
            .account
            .due_asks(self.tag, &lenders, next_serial, spans, now);
        due.into_iter().map(DueLeaseMessage::from_due).collect()
    }

    pub(super) fn has_demand(&self, context: StateContext<'_>) -> bool {
        let idle = context.spans.lease_idle_timeout;
        let last = self.demand_at;
        last.is_some_and(|at| context.now < at.after(idle))
    }

    pub(super) fn give_back_leases(
        &mut self,
        of: Option<member::HolderId>,
    ) -> Vec<DueLeaseMessage> {
        let due = self.account.give_back(self.tag, of);
        due.into_iter().map(DueLeaseMessage::from_due).collect()
    }

    /// Takes the answer to an ask for a share.
    pub(crate) fn take_lease(
        &mut self,
        from: member::HolderId,
        grant: &message::LeaseGrant,
        context: StateContext<'_>,
    ) {
        self.account.refresh(context.now);
        self.account.accept(from, grant, context.spans, context.now);
    }

    /// Gives a share back that its owner wants.
    pub(crate) fn take_recall(
        &mut self,
        from: member::HolderId,
        now: stamp::TimeStamp,
    ) -> Vec<DueLeaseMessage> {
        self.account.refresh(now);
        self.give_back_leases(Some(from))
    }

    /// Ends what is over on both sides of loans; returns lenders that did not answer in time.
    pub(crate) fn expire(&mut self, context: StateContext<'_>) -> Vec<member::HolderId> {
        let is_count = self.terms.is_count();
        self.account.refresh(context.now);
        let bucket = self.account.bucket_mut();
        ledger::expire_loans(&mut self.ledger, bucket, is_count, context.now);
        self.forecast.advance(context.now);
        let idle_units = is_count && self.waiters.is_empty();
        self.wallet.give_back(idle_units, context.now);
        self.wallet
            .overdue_lenders(context.spans.loan_request_timeout, context.now)
    }

    /// The reports that are due.
    pub(crate) fn reports(&mut self, context: StateContext<'_>) -> Vec<wallet::DueReport> {
        self.wallet
            .due_reports(self.tag, context.spans, context.now)
    }

    /// What this VM tries to have at hand: its expected demand, as far as all VMs together keep
    /// only a small part of the burst away from where it is issued.
    pub(super) fn stock(&self, context: StateContext<'_>) -> amount::TokenAmount {
        let is_late = self.stock_at <= context.now;
        if self.terms.is_count() || self.is_issuer(context) || !is_late {
            return amount::TokenAmount::ZERO;
        }
        let is_home = self.homes.contains(&context.me);
        let stocks = if is_home {
            HOME_STOCKS_PER_BURST
        } else {
            STOCKS_PER_BURST
        };
        let parts = stocks * self.homes.len().max(1) as u64;
        let most = amount::TokenAmount::from_micros(self.terms.burst().micros / parts);
        self.forecast
            .expected(context.spans.forecast_span)
            .min(most)
    }

    /// The next ask, if one is needed.
    pub(crate) fn next_ask(
        &mut self,
        serial: message::LoanSerial,
        context: StateContext<'_>,
    ) -> Option<DueAsk> {
        let covered = self.available(context) + self.wallet.expected();
        let need = self.waiting().less(covered);
        let want = need.max(self.stock(context).less(covered));
        let chunk = self.terms.burst().micros / CHUNKS_PER_BURST;
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
        self.wallet
            .open_ask(lender, &request, context.spans, context.now);
        Some(DueAsk { lender, request })
    }

    pub(super) fn loan_length(&self, context: StateContext<'_>) -> Duration {
        if !self.terms.is_count() {
            return context.spans.loan_time;
        }
        let deadlines = self.waiters.iter().map(|waiter| waiter.deadline);
        let latest = deadlines.max().unwrap_or(context.now);
        latest.since(context.now).min(context.spans.max_loan_time)
    }

    /// Takes the answer to an ask.
    pub(crate) fn take_grant(
        &mut self,
        from: member::HolderId,
        grant: &message::LoanGrant,
        now: stamp::TimeStamp,
    ) {
        let Some(accepted) = self.wallet.accept(from, grant, now) else {
            return;
        };
        let again_at = accepted.sent_at.after(grant.retry_after);
        if accepted.is_short {
            self.dry_until.insert(from, again_at);
        } else {
            self.dry_until.remove(&from);
        }
        if accepted.is_partial {
            self.stock_at = now.after(grant.retry_after);
        }
    }
}
