//! Admission of requests to one limit: a request is granted, queued or refused.

use super::{LimitState, ResolvedRequest, StateContext, WaitingRequest};
use crate::amount;
use crate::manager::effect;
use dahliawood_model::stamp;
use std::time::Duration;

/// Bounds of the time after which a refused caller may try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl LimitState {
    /// Takes allowance for a request, or queues the request if it may be served in time.
    pub(crate) fn admit(
        &mut self,
        ticket: effect::WaitTicket,
        amount: amount::TokenAmount,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> effect::Admission {
        self.forecast.record(amount, context.now);
        self.last_demand_at = Some(context.now);
        self.share.refresh(context.now);
        if self.waiters.is_empty()
            && let Some(permit) = self.take_tokens(amount, deadline, context)
        {
            return effect::Admission::Granted(permit);
        }
        let is_full = context.options.max_waiters <= self.waiters.len();
        if is_full || deadline <= context.now || !self.can_be_served(amount, context) {
            return self.refusal(amount);
        }
        let until = context.now.after(context.options.max_wait).min(deadline);
        self.waiters.push_back(WaitingRequest {
            ticket,
            amount,
            until,
            deadline,
        });
        effect::Admission::Waiting { ticket, until }
    }

    pub(super) fn refusal(&self, amount: amount::TokenAmount) -> effect::Admission {
        let missing = u128::from((self.waiting() + amount).micros);
        let rate = u128::from(self.terms.rate().micros_per_second).max(1);
        let millis = missing * 1_000 / rate;
        let wait = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
        effect::Admission::Refused {
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    pub(super) fn take_tokens(
        &mut self,
        amount: amount::TokenAmount,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> Option<effect::QuotaPermit> {
        if self.terms.is_count() {
            return self.take_unit(deadline, context);
        }
        let own = self.own_level(context.is_active);
        let borrowed = self.borrowed.available(context.now);
        if own + borrowed < amount {
            return None;
        }
        let own_first = if borrowed < own {
            amount.min(own)
        } else {
            amount.saturating_subtract(borrowed)
        };
        let rest = amount.saturating_subtract(own_first);
        let spent = self.borrowed.spend(rest, context.now);
        self.share
            .bucket_mut()
            .spend(own_first + rest.saturating_subtract(spent));
        Some(self.permit(effect::PermitSource::Spent, stamp::TimeStamp::MAX))
    }

    pub(super) fn take_unit(
        &mut self,
        deadline: stamp::TimeStamp,
        context: StateContext<'_>,
    ) -> Option<effect::QuotaPermit> {
        if context.is_active && self.share.bucket_mut().lend(amount::TokenAmount::ONE) {
            return Some(self.permit(effect::PermitSource::Share, deadline));
        }
        let unit = self.borrowed.occupy(context.now)?;
        let source = effect::PermitSource::Loan(unit.serial);
        Some(self.permit(source, unit.usable_until.min(deadline)))
    }

    pub(super) fn permit(
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

    /// Ends the use of a permit; only a unit of a count is returned.
    pub(crate) fn release(&mut self, source: effect::PermitSource) {
        match source {
            effect::PermitSource::Spent => {}
            effect::PermitSource::Share => {
                self.share.bucket_mut().restore(amount::TokenAmount::ONE);
            }
            effect::PermitSource::Loan(serial) => self.borrowed.vacate(serial),
        }
    }

    /// Whether a request for `amount`, queued behind all waiting requests, may be served in time.
    pub(super) fn can_be_served(
        &self,
        amount: amount::TokenAmount,
        context: StateContext<'_>,
    ) -> bool {
        let can_borrow = self.borrowed.has_pending_request() || self.next_lender(context).is_some();
        if self.terms.is_count() || self.is_paced {
            return can_borrow || !self.homes.is_empty();
        }
        let needed =
            (self.waiting() + amount).saturating_subtract(self.borrowed.available(context.now));
        let limit = context.options.max_accrual_wait.as_micros();
        let accrues = self.share.bucket().wait_micros(needed);
        let accrues = accrues.is_some_and(|wait| u128::from(wait) <= limit);
        can_borrow || (context.is_active && accrues)
    }

    /// Removes a request from the queue.
    pub(crate) fn cancel(&mut self, ticket: effect::WaitTicket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Serves waiting requests in order, and refuses those that cannot be served in time.
    pub(crate) fn serve_waiting(&mut self, context: StateContext<'_>) -> Vec<ResolvedRequest> {
        let mut resolved = Vec::new();
        self.share.refresh(context.now);
        while let Some(waiter) = self.waiters.front().copied() {
            if waiter.until <= context.now {
                resolved.push(self.refuse(waiter));
            } else if let Some(permit) = self.take_tokens(waiter.amount, waiter.deadline, context) {
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
            if self.can_be_served(amount::TokenAmount::ZERO, context) {
                break;
            }
            self.waiters.pop_back();
            resolved.push(self.refuse(waiter));
        }
        resolved
    }

    pub(super) fn refuse(&self, waiter: WaitingRequest) -> ResolvedRequest {
        ResolvedRequest {
            ticket: waiter.ticket,
            admission: self.refusal(waiter.amount),
        }
    }
}
