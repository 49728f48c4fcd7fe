//! One limit at one VM: its bucket, its loans and the requests that wait for it.

use crate::book::effect;
use crate::loans::{forecast, lease, ledger, wallet};
use crate::shares::{document, plan};
use crate::{amount, bucket, limit, member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::collections::VecDeque;
use std::time::Duration;

/// The part of a limit's burst below which nothing is asked for in advance.
const CHUNKS_PER_BURST: u64 = 50;
/// The part of a limit's burst that one home's worth of VMs may keep in stock.
const STOCKS_PER_BURST: u64 = 8;
/// The part of a limit's burst that is lent only to requests that wait.
const RESERVES_PER_BURST: u64 = 4;
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
    pub(crate) is_leaving: bool,
    pub(crate) me: member::HolderId,
    /// VMs that did not answer and were not heard since, and when to try them again.
    pub(crate) silent: &'a FastMap<member::HolderId, stamp::TimeStamp>,
    pub(crate) now: stamp::TimeStamp,
}

impl StateContext<'_> {
    fn is_silent(&self, id: member::HolderId) -> bool {
        self.silent.get(&id).is_some_and(|until| self.now < *until)
    }
}

/// A lease message that should be sent.
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

fn granted_share(grant: &document::ShareGrant) -> plan::ShareTarget {
    plan::ShareTarget {
        rate: grant.rate,
        burst: grant.burst,
    }
}

/// One limit at one VM.
#[derive(Clone, Debug)]
pub(crate) struct LimitState {
    key: limit::LimitKey,
    tag: limit::LimitTag,
    terms: limit::LimitTerms,
    account: lease::ShareAccount,
    ledger: ledger::LoanLedger,
    wallet: wallet::LoanWallet,
    forecast: forecast::DemandForecast,
    waiters: VecDeque<WaitingRequest>,
    /// Homes that hold shares, best first, this VM included.
    homes: Vec<member::HolderId>,
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
            account: lease::ShareAccount::new(now),
            ledger: ledger::LoanLedger::default(),
            wallet: wallet::LoanWallet::default(),
            forecast: forecast::DemandForecast::default(),
            waiters: VecDeque::new(),
            homes: Vec::new(),
            dry_until: FastMap::default(),
            credited: amount::TokenAmount::ZERO,
            given: amount::TokenAmount::ZERO,
        }
    }

    pub(crate) fn set_terms(&mut self, terms: limit::LimitTerms) {
        self.terms = terms;
    }

    pub(crate) fn bucket(&self) -> &bucket::TokenBucket {
        self.account.bucket()
    }

    /// Takes this VM's grant, and the homes that hold shares, from a newer document.
    pub(crate) fn apply(
        &mut self,
        grant: Option<&document::ShareGrant>,
        homes: Vec<member::HolderId>,
        may_raise: bool,
        now: stamp::TimeStamp,
    ) {
        self.homes = homes;
        self.dry_until
            .retain(|lender, _| self.homes.contains(lender));
        self.account.refresh(now);
        let Some(grant) = grant else {
            self.account.lower(plan::ShareTarget::default());
            self.credited = amount::TokenAmount::ZERO;
            self.given = amount::TokenAmount::ZERO;
            return;
        };
        self.account.lower(granted_share(grant));
        if may_raise {
            self.raise(grant);
        }
    }

    fn raise(&mut self, grant: &document::ShareGrant) {
        let more = self.account.raise(granted_share(grant));
        let bucket = self.account.bucket_mut();
        if self.terms.is_count() {
            bucket.credit(more);
            return;
        }
        bucket.credit(grant.received.less(self.credited));
        self.credited = grant.received;
        bucket.credit(self.given.less(grant.given));
        self.given = grant.given;
    }

    /// Lowers this VM's own use before a decrease is written.
    pub(crate) fn lower(
        &mut self,
        target: plan::ShareTarget,
        now: stamp::TimeStamp,
    ) -> plan::LoweredShare {
        self.account.refresh(now);
        let excess = self.account.lower(target);
        if !self.terms.is_count() {
            self.given += excess;
        }
        let in_use = self.account.own_in_use();
        plan::LoweredShare {
            rate: in_use.rate,
            burst: in_use.burst,
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
        self.account.refresh(context.now);
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
        self.account
            .bucket_mut()
            .spend(own_first + rest.less(spent));
        Some(self.permit(effect::PermitSource::Spent, stamp::TimeStamp::MAX))
    }

    fn take_unit(
        &mut self,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> Option<effect::QuotaPermit> {
        if context.is_active && self.account.bucket_mut().lend(amount::TokenAmount::ONE) {
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
            effect::PermitSource::Share => {
                self.account.bucket_mut().restore(amount::TokenAmount::ONE);
            }
            effect::PermitSource::Loan(serial) => self.wallet.vacate(serial),
        }
    }

    fn own_level(&self, is_active: bool) -> amount::TokenAmount {
        if is_active {
            return self.account.bucket().level();
        }
        amount::TokenAmount::ZERO
    }

    pub(crate) fn available(&self, context: StateContext<'_>) -> amount::TokenAmount {
        self.own_level(context.is_active) + self.wallet.available(context.now)
    }

    fn waiting(&self) -> amount::TokenAmount {
        self.waiters.iter().map(|waiter| waiter.amount).sum()
    }

    /// Whether a request for `amount`, behind all that wait, may be served in time.
    fn has_hope(&self, amount: amount::TokenAmount, context: StateContext<'_>) -> bool {
        let needed = (self.waiting() + amount).less(self.wallet.available(context.now));
        let limit = context.spans.accrual_wait.as_micros();
        let accrues = self.account.bucket().wait_micros(needed);
        let accrues = accrues.is_some_and(|wait| u128::from(wait) <= limit);
        let asks = self.wallet.awaits_answer() || self.next_lender(context).is_some();
        asks || (context.is_active && accrues)
    }

    /// The first home that may have something to lend.
    fn next_lender(&self, context: StateContext<'_>) -> Option<member::HolderId> {
        let is_dry = |lender: &member::HolderId| {
            let until = self.dry_until.get(lender);
            until.is_some_and(|until| context.now < *until)
        };
        let others = self.homes.iter().filter(|home| **home != context.me);
        let mut awake = others.filter(|home| !context.is_silent(**home));
        awake.find(|home| !is_dry(home)).copied()
    }

    /// The home that issues this limit: the first that is not silent.
    fn issuer(&self, context: StateContext<'_>) -> Option<member::HolderId> {
        let is_awake =
            |home: &&member::HolderId| **home == context.me || !context.is_silent(**home);
        self.homes.iter().find(is_awake).copied()
    }

    fn is_issuer(&self, context: StateContext<'_>) -> bool {
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
        if !self.has_demand() {
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

    fn has_demand(&self) -> bool {
        const SPAN: Duration = Duration::from_secs(1);
        !self.waiters.is_empty() || !self.forecast.expected(SPAN).is_zero()
    }

    fn give_back_leases(&mut self, of: Option<member::HolderId>) -> Vec<DueLeaseMessage> {
        let due = self.account.give_back(self.tag, of);
        due.into_iter().map(DueLeaseMessage::from_due).collect()
    }

    /// Answers an ask for this VM's share.
    pub(crate) fn lend_share(
        &mut self,
        from: member::HolderId,
        ask: message::LeaseAsk,
        context: StateContext<'_>,
    ) -> Option<message::LeaseGrant> {
        self.account.refresh(context.now);
        if !context.is_active || context.is_leaving || self.terms.is_count() {
            return None;
        }
        self.account.grant(from, ask, context.spans, context.now)
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

    /// Gives a share back that its owner wants.
    pub(crate) fn take_recall(
        &mut self,
        from: member::HolderId,
        now: stamp::TimeStamp,
    ) -> Vec<DueLeaseMessage> {
        self.account.refresh(now);
        self.give_back_leases(Some(from))
    }

    /// Whom to ask for a share that is leased out although this VM should hold less.
    pub(crate) fn due_recall(&self) -> Option<member::HolderId> {
        self.account.recalled_from()
    }

    /// Removes a request that no longer waits.
    pub(crate) fn cancel(&mut self, ticket: effect::WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Serves waiting requests in order, and refuses those whose wait cannot end in time.
    pub(crate) fn serve(&mut self, context: StateContext<'_>) -> Vec<ResolvedRequest> {
        let mut resolved = Vec::new();
        self.account.refresh(context.now);
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
            .overdue_lenders(context.spans.ask_timeout, context.now)
    }

    /// The reports that are due.
    pub(crate) fn reports(&mut self, context: StateContext<'_>) -> Vec<wallet::DueReport> {
        self.wallet
            .due_reports(self.tag, context.spans, context.now)
    }

    /// What this VM tries to have at hand: its expected demand, as far as all VMs together keep
    /// only a small part of the burst away from where it is issued.
    fn stock(&self, context: StateContext<'_>) -> amount::TokenAmount {
        if self.terms.is_count() || self.is_issuer(context) {
            return amount::TokenAmount::ZERO;
        }
        let parts = STOCKS_PER_BURST * self.homes.len().max(1) as u64;
        let most = amount::TokenAmount::from_micros(self.terms.burst().micros / parts);
        self.forecast
            .expected(context.spans.forecast_span)
            .min(most)
    }

    /// What a lender keeps from VMs that only stock up.
    fn reserve(&self) -> amount::TokenAmount {
        amount::TokenAmount::from_micros(self.terms.burst().micros / RESERVES_PER_BURST)
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
        self.account.refresh(context.now);
        if !context.is_active {
            ask.need = amount::TokenAmount::ZERO;
            ask.want = amount::TokenAmount::ZERO;
        }
        let judge = ledger::GrantOptions {
            reserve: self.reserve(),
            is_count: self.terms.is_count(),
        };
        let (ledger, bucket) = (&mut self.ledger, self.account.bucket_mut());
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
        self.account.refresh(now);
        ledger::take_report(&mut self.ledger, self.account.bucket_mut(), from, report);
    }
}
