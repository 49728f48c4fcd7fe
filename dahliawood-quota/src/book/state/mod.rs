//! One limit at one VM: its bucket, its loans and the requests that wait for it.

use crate::book::effect;
use crate::loans::{forecast, ledger, wallet};
use crate::shares::{document, plan};
use crate::{amount, bucket, limit, member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::collections::VecDeque;
use std::time::Duration;

/// How long a lender that did not answer is passed over.
const SILENT_LENDER: Duration = Duration::from_secs(1);
/// The part of a limit's burst below which nothing is asked for in advance.
const CHUNKS_PER_BURST: u64 = 50;
/// Bounds of the time after which a refused caller may try again.
const RETRY_LEAST: Duration = Duration::from_millis(10);
const RETRY_MOST: Duration = Duration::from_secs(60);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: effect::WaitTicket,
    amount: amount::TokenAmount,
    until: stamp::TimeStamp,
    deadline: stamp::TimeStamp,
}

/// A waiting request that is granted or refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResolvedRequest {
    pub(crate) ticket: effect::WaitTicket,
    pub(crate) admission: effect::Admission,
}

/// An ask that should be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DueAsk {
    pub(crate) lender: member::HolderId,
    pub(crate) ask: message::LoanAsk,
}

/// What all limits of a VM share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateContext<'a> {
    pub(crate) spans: &'a options::QuotaOptions,
    /// Whether shares may be used.
    pub(crate) is_active: bool,
    pub(crate) now: stamp::TimeStamp,
}

/// One limit at one VM.
#[derive(Clone, Debug)]
pub(crate) struct LimitState {
    key: limit::LimitKey,
    tag: limit::LimitTag,
    terms: limit::LimitTerms,
    bucket: bucket::TokenBucket,
    ledger: ledger::LoanLedger,
    wallet: wallet::LoanWallet,
    forecast: forecast::DemandForecast,
    waiters: VecDeque<WaitingRequest>,
    lenders: Vec<member::HolderId>,
    dry_until: FastMap<member::HolderId, stamp::TimeStamp>,
    credited: amount::TokenAmount,
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
            bucket: bucket::TokenBucket::new(now),
            ledger: ledger::LoanLedger::default(),
            wallet: wallet::LoanWallet::default(),
            forecast: forecast::DemandForecast::default(),
            waiters: VecDeque::new(),
            lenders: Vec::new(),
            dry_until: FastMap::default(),
            credited: amount::TokenAmount::ZERO,
            given: amount::TokenAmount::ZERO,
        }
    }

    pub(crate) fn set_terms(&mut self, terms: limit::LimitTerms) {
        self.terms = terms;
    }

    pub(crate) fn bucket(&self) -> &bucket::TokenBucket {
        &self.bucket
    }

    /// Takes this VM's grant, and who else holds shares, from a newer document.
    pub(crate) fn apply(
        &mut self,
        grant: Option<&document::ShareGrant>,
        lenders: Vec<member::HolderId>,
        may_raise: bool,
        now: stamp::TimeStamp,
    ) {
        self.lenders = lenders;
        self.dry_until
            .retain(|lender, _| self.lenders.contains(lender));
        self.bucket.refill(now);
        let Some(grant) = grant else {
            self.bucket
                .lower(amount::TokenRate::ZERO, amount::TokenAmount::ZERO);
            self.credited = amount::TokenAmount::ZERO;
            self.given = amount::TokenAmount::ZERO;
            return;
        };
        self.bucket.lower(grant.rate, grant.burst);
        if may_raise {
            self.raise(grant);
        }
    }

    fn raise(&mut self, grant: &document::ShareGrant) {
        let more = grant.burst.less(self.bucket.burst());
        self.bucket.raise(grant.rate, grant.burst);
        if self.terms.is_count() {
            self.bucket.credit(more);
            return;
        }
        self.bucket.credit(grant.received.less(self.credited));
        self.credited = grant.received;
        self.bucket.credit(self.given.less(grant.given));
        self.given = grant.given;
    }

    /// Lowers this VM's own use before a decrease is written.
    pub(crate) fn lower(
        &mut self,
        target: plan::ShareTarget,
        now: stamp::TimeStamp,
    ) -> plan::LoweredShare {
        self.bucket.refill(now);
        let excess = self.bucket.lower(target.rate, target.burst);
        if !self.terms.is_count() {
            self.given += excess;
        }
        plan::LoweredShare {
            rate: self.bucket.rate(),
            burst: self.bucket.burst(),
            given: self.given,
        }
    }

    /// Takes allowance for a request, or lets it wait where the wait can end in time.
    pub(crate) fn admit(
        &mut self,
        ticket: effect::WaitTicket,
        amount: amount::TokenAmount,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> effect::Admission {
        self.forecast.count(amount, context.now);
        self.bucket.refill(context.now);
        if self.waiters.is_empty()
            && let Some(permit) = self.take(amount, deadline, context)
        {
            return effect::Admission::Granted(permit);
        }
        let is_full = context.spans.waiters_max <= self.waiters.len();
        if is_full || deadline <= context.now || !self.has_hope(amount, context) {
            return self.refusal(amount);
        }
        let until = context.now.after(context.spans.wait_limit).min(deadline);
        self.waiters.push_back(WaitingRequest {
            ticket,
            amount,
            until,
            deadline,
        });
        effect::Admission::Waiting { ticket, until }
    }

    fn refusal(&self, amount: amount::TokenAmount) -> effect::Admission {
        let missing = u128::from((self.waiting() + amount).micros);
        let rate = u128::from(self.terms.rate().micros_per_second).max(1);
        let millis = missing * 1_000 / rate;
        let wait = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        effect::Admission::Refused {
            retry_after: wait.clamp(RETRY_LEAST, RETRY_MOST),
        }
    }

    fn take(
        &mut self,
        amount: amount::TokenAmount,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> Option<effect::QuotaPermit> {
        if self.terms.is_count() {
            return self.take_unit(deadline, context);
        }
        let own = self.own_level(context.is_active);
        let borrowed = self.wallet.available(context.now);
        if own + borrowed < amount {
            return None;
        }
        let own_first = if borrowed < own {
            amount.min(own)
        } else {
            amount.less(borrowed)
        };
        let rest = amount.less(own_first);
        let spent = self.wallet.spend(rest, context.now);
        self.bucket.spend(own_first + rest.less(spent));
        Some(self.permit(effect::PermitSource::Spent, stamp::TimeStamp::MAX))
    }

    fn take_unit(
        &mut self,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> Option<effect::QuotaPermit> {
        if context.is_active && self.bucket.lend(amount::TokenAmount::ONE) {
            return Some(self.permit(effect::PermitSource::Share, deadline));
        }
        let unit = self.wallet.occupy(context.now)?;
        let source = effect::PermitSource::Loan(unit.serial);
        Some(self.permit(source, unit.usable_until.min(deadline)))
    }

    fn permit(
        &self,
        source: effect::PermitSource,
        usable_until: stamp::TimeStamp,
    ) -> effect::QuotaPermit {
        effect::QuotaPermit {
            limit: self.key,
            source,
            usable_until,
        }
    }

    /// Ends the use of a permit of a count.
    pub(crate) fn release(&mut self, source: effect::PermitSource) {
        match source {
            effect::PermitSource::Spent => {}
            effect::PermitSource::Share => self.bucket.restore(amount::TokenAmount::ONE),
            effect::PermitSource::Loan(serial) => self.wallet.vacate(serial),
        }
    }

    fn own_level(&self, is_active: bool) -> amount::TokenAmount {
        if is_active {
            return self.bucket.level();
        }
        amount::TokenAmount::ZERO
    }

    pub(crate) fn available(&self, context: StateContext<'_>) -> amount::TokenAmount {
        self.own_level(context.is_active) + self.wallet.available(context.now)
    }

    fn waiting(&self) -> amount::TokenAmount {
        self.waiters.iter().map(|waiter| waiter.amount).sum()
    }

    /// Whether a request for `amount`, behind all that wait, may be served within the wait limit.
    fn has_hope(&self, amount: amount::TokenAmount, context: StateContext<'_>) -> bool {
        let needed = (self.waiting() + amount).less(self.wallet.available(context.now));
        let limit = context.spans.wait_limit.as_micros();
        let accrues = self.bucket.wait_micros(needed);
        let accrues = accrues.is_some_and(|wait| u128::from(wait) <= limit);
        let asks = self.wallet.awaits_answer() || self.next_lender(context.now).is_some();
        asks || (context.is_active && accrues)
    }

    fn next_lender(&self, now: stamp::TimeStamp) -> Option<member::HolderId> {
        let is_dry = |lender: &&member::HolderId| {
            self.dry_until
                .get(*lender)
                .is_some_and(|until| now < *until)
        };
        self.lenders.iter().find(|lender| !is_dry(lender)).copied()
    }

    /// Removes a request that no longer waits.
    pub(crate) fn cancel(&mut self, ticket: effect::WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Serves waiting requests in order, and refuses those whose wait cannot end in time.
    pub(crate) fn serve(&mut self, context: StateContext<'_>) -> Vec<ResolvedRequest> {
        let mut resolved = Vec::new();
        self.bucket.refill(context.now);
        while let Some(waiter) = self.waiters.front().copied() {
            if waiter.until <= context.now {
                resolved.push(self.refuse(waiter));
            } else if let Some(permit) = self.take(waiter.amount, waiter.deadline, context) {
                resolved.push(ResolvedRequest {
                    ticket: waiter.ticket,
                    admission: effect::Admission::Granted(permit),
                });
            } else {
                break;
            }
            self.waiters.pop_front();
        }
        while let Some(waiter) = self.waiters.back().copied() {
            if self.has_hope(amount::TokenAmount::ZERO, context) {
                break;
            }
            self.waiters.pop_back();
            resolved.push(self.refuse(waiter));
        }
        resolved
    }

    fn refuse(&self, waiter: WaitingRequest) -> ResolvedRequest {
        ResolvedRequest {
            ticket: waiter.ticket,
            admission: self.refusal(waiter.amount),
        }
    }

    /// Ends what is over on both sides of loans.
    pub(crate) fn expire(&mut self, context: StateContext<'_>) {
        let is_count = self.terms.is_count();
        self.bucket.refill(context.now);
        ledger::expire_loans(&mut self.ledger, &mut self.bucket, is_count, context.now);
        self.forecast.advance(context.now);
        let timeout = context.spans.ask_timeout;
        for lender in self.wallet.overdue_lenders(timeout, context.now) {
            self.dry_until
                .insert(lender, context.now.after(SILENT_LENDER));
        }
        let idle_units = is_count && self.waiters.is_empty();
        self.wallet.give_back(idle_units, context.now);
    }

    /// The reports that are due.
    pub(crate) fn reports(&mut self, context: StateContext<'_>) -> Vec<wallet::DueReport> {
        self.wallet
            .due_reports(self.tag, context.spans, context.now)
    }

    /// What this VM tries to have at hand: its expected demand, and at a home its own burst.
    fn stock(&self, context: StateContext<'_>) -> amount::TokenAmount {
        if self.terms.is_count() {
            return amount::TokenAmount::ZERO;
        }
        let expected = self.forecast.expected(context.spans.forecast_span);
        if expected.is_zero() {
            return expected;
        }
        expected.max(self.bucket.burst())
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
        let lender = self.next_lender(context.now)?;
        let ask = message::LoanAsk {
            tag: self.tag,
            serial,
            need,
            want,
            length: self.loan_length(context),
        };
        self.wallet
            .open_ask(lender, &ask, context.spans, context.now);
        Some(DueAsk { lender, ask })
    }

    fn loan_length(&self, context: StateContext<'_>) -> Duration {
        if !self.terms.is_count() {
            return context.spans.loan_time;
        }
        let deadlines = self.waiters.iter().map(|waiter| waiter.deadline);
        let latest = deadlines.max().unwrap_or(context.now);
        latest.since(context.now).min(context.spans.longest_loan)
    }

    /// Answers an ask of a peer.
    pub(crate) fn lend(
        &mut self,
        from: member::HolderId,
        mut ask: message::LoanAsk,
        context: StateContext<'_>,
    ) -> message::LoanGrant {
        self.bucket.refill(context.now);
        if !context.is_active {
            ask.need = amount::TokenAmount::ZERO;
            ask.want = amount::TokenAmount::ZERO;
        }
        let judge = ledger::GrantOptions {
            reserve: self.stock(context),
            is_count: self.terms.is_count(),
        };
        let (ledger, bucket) = (&mut self.ledger, &mut self.bucket);
        ledger::grant_loan(ledger, bucket, from, ask, judge, context.spans, context.now)
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
        if accepted.is_short {
            self.dry_until.insert(from, now.after(grant.retry_after));
        } else {
            self.dry_until.remove(&from);
        }
    }

    /// Takes a borrower's report.
    pub(crate) fn take_report(
        &mut self,
        from: member::HolderId,
        report: message::LoanReport,
        now: stamp::TimeStamp,
    ) {
        self.bucket.refill(now);
        ledger::take_report(&mut self.ledger, &mut self.bucket, from, report);
    }
}
