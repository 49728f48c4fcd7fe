//! The borrower's side of loans: open requests and granted loans.

use crate::{amount, member, message, options};
use dahliawood_model::stamp;
use std::time::Duration;

/// A loan request that may still be answered.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    lender: member::HolderId,
    serial: message::LoanSerial,
    need: amount::TokenAmount,
    want: amount::TokenAmount,
    sent_at: stamp::TimeStamp,
    usable_until: stamp::TimeStamp,
    overdue: bool,
}

/// A loan that this VM holds. `dirty` marks that the lender has not been told of the newest usage.
#[derive(Clone, Copy, Debug)]
struct HeldLoan {
    lender: member::HolderId,
    serial: message::LoanSerial,
    left: amount::TokenAmount,
    in_use: amount::TokenAmount,
    spent: amount::TokenAmount,
    returned: amount::TokenAmount,
    dirty: bool,
    received_at: stamp::TimeStamp,
    reported_at: stamp::TimeStamp,
    usable_until: stamp::TimeStamp,
}

/// A report and the lender that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueReport {
    /// The lender.
    pub lender: member::HolderId,
    /// The report.
    pub report: message::LoanReport,
}

/// What a grant that answered an open request tells the borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// The VM that granted it.
    pub lender: member::HolderId,
    /// Whether less was granted than requests wait for.
    pub is_short: bool,
    /// Whether less was granted than the borrower expects to use.
    pub is_partial: bool,
    /// When the request was sent.
    pub sent_at: stamp::TimeStamp,
}

/// All loans of one limit that one VM holds or has requested.
#[derive(Clone, Debug, Default)]
pub struct BorrowedLoans {
    requests: Vec<OpenRequest>,
    loans: Vec<HeldLoan>,
}

impl BorrowedLoans {
    /// The tokens that may be spent at `now`.
    pub fn available(&self, now: stamp::TimeStamp) -> amount::TokenAmount {
        let usable = |loan: &&HeldLoan| now < loan.usable_until;
        self.loans.iter().filter(usable).map(|loan| loan.left).sum()
    }

    /// The tokens requested from lenders whose answers are not overdue.
    pub fn pending(&self) -> amount::TokenAmount {
        let pending = self.requests.iter().filter(|request| !request.overdue);
        pending.map(|request| request.want).sum()
    }

    /// Whether a request is open that is not overdue.
    pub fn has_pending_request(&self) -> bool {
        self.requests.iter().any(|request| !request.overdue)
    }

    /// Records a request that is about to be sent.
    pub fn open_request(
        &mut self,
        lender: member::HolderId,
        request: &message::LoanRequest,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        self.requests.push(OpenRequest {
            lender,
            serial: request.serial,
            need: request.need,
            want: request.want,
            sent_at: now,
            usable_until: now.after(options.borrower_time(request.length)),
            overdue: false,
        });
    }

    /// Accepts an answer; `None` if no open request matches it, because the answer is a repetition,
    /// too late or from another VM.
    pub fn accept(
        &mut self,
        from: member::HolderId,
        grant: &message::LoanGrant,
        now: stamp::TimeStamp,
    ) -> Option<AcceptedGrant> {
        let matches =
            |request: &OpenRequest| request.serial == grant.serial && request.lender == from;
        let index = self.requests.iter().position(matches)?;
        let request = self.requests.swap_remove(index);
        if now < request.usable_until && !grant.granted.is_zero() {
            self.loans.push(held_loan(&request, grant, now));
        }
        Some(AcceptedGrant {
            lender: from,
            is_short: grant.granted < request.need,
            is_partial: grant.granted < request.want,
            sent_at: request.sent_at,
        })
    }

    /// Spends up to `amount` for good, from the loan that ends first. Returns the amount spent.
    pub fn spend(
        &mut self,
        amount: amount::TokenAmount,
        now: stamp::TimeStamp,
    ) -> amount::TokenAmount {
        self.loans.sort_by_key(|loan| loan.usable_until);
        let mut missing = amount;
        for loan in self.loans.iter_mut().filter(|loan| now < loan.usable_until) {
            let spent = missing.min(loan.left);
            loan.left = loan.left.saturating_subtract(spent);
            loan.spent += spent;
            loan.dirty |= !spent.is_zero();
            missing = missing.saturating_subtract(spent);
        }
        amount.saturating_subtract(missing)
    }

    /// Takes one unit of a count into use; returns the loan that it belongs to and its end.
    pub fn occupy(&mut self, now: stamp::TimeStamp) -> Option<OccupiedUnit> {
        let one = amount::TokenAmount::ONE;
        let usable = |loan: &&mut HeldLoan| now < loan.usable_until && one <= loan.left;
        let loan = self.loans.iter_mut().find(usable)?;
        loan.left = loan.left.saturating_subtract(one);
        loan.in_use += one;
        Some(OccupiedUnit {
            serial: loan.serial,
            usable_until: loan.usable_until,
        })
    }

    /// Ends the use of one unit of a count.
    pub fn vacate(&mut self, serial: message::LoanSerial) {
        let one = amount::TokenAmount::ONE;
        let matches = |loan: &&mut HeldLoan| loan.serial == serial && one <= loan.in_use;
        if let Some(loan) = self.loans.iter_mut().find(matches) {
            loan.in_use = loan.in_use.saturating_subtract(one);
            loan.left += one;
        }
    }

    /// Returns the unspent tokens of loans that have run for three quarters of their length, or of
    /// all loans.
    pub fn return_unused(&mut self, all: bool, now: stamp::TimeStamp) {
        for loan in &mut self.loans {
            let length = loan.usable_until.since(loan.received_at);
            let is_late = loan.received_at.after(length * 3 / 4) <= now;
            if (all || is_late) && !loan.left.is_zero() {
                loan.returned += loan.left;
                loan.left = amount::TokenAmount::ZERO;
                loan.dirty = true;
            }
        }
    }

    /// Marks requests that were not answered within `timeout` and returns their lenders.
    pub fn overdue_lenders(
        &mut self,
        timeout: Duration,
        now: stamp::TimeStamp,
    ) -> Vec<member::HolderId> {
        let is_late =
            |request: &&mut OpenRequest| !request.overdue && request.sent_at.after(timeout) <= now;
        self.requests
            .iter_mut()
            .filter(is_late)
            .map(|request| {
                request.overdue = true;
                request.lender
            })
            .collect()
    }

    /// The reports that are due. A loan with nothing left is reported at once and removed.
    pub fn due_reports(
        &mut self,
        tag: crate::limit::LimitTag,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<DueReport> {
        let due = |loan: &HeldLoan| {
            let waited = loan.reported_at.after(options.report_interval) <= now;
            loan.dirty && (waited || is_finished(loan))
        };
        let mut reports = Vec::new();
        for loan in self.loans.iter_mut().filter(|loan| due(loan)) {
            loan.dirty = false;
            loan.reported_at = now;
            reports.push(due_report(tag, loan));
        }
        self.requests.retain(|request| now < request.usable_until);
        self.loans
            .retain(|loan| now < loan.usable_until && !is_finished(loan));
        reports
    }
}

/// A unit of a borrowed count that is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OccupiedUnit {
    /// The loan that it belongs to.
    pub serial: message::LoanSerial,
    /// The time by which the use must have ended.
    pub usable_until: stamp::TimeStamp,
}

fn held_loan(request: &OpenRequest, grant: &message::LoanGrant, now: stamp::TimeStamp) -> HeldLoan {
    HeldLoan {
        lender: request.lender,
        serial: request.serial,
        left: grant.granted,
        in_use: amount::TokenAmount::ZERO,
        spent: amount::TokenAmount::ZERO,
        returned: amount::TokenAmount::ZERO,
        dirty: false,
        received_at: now,
        reported_at: stamp::TimeStamp::ZERO,
        usable_until: request.usable_until,
    }
}

fn is_finished(loan: &HeldLoan) -> bool {
    loan.left.is_zero() && loan.in_use.is_zero()
}

fn due_report(tag: crate::limit::LimitTag, loan: &HeldLoan) -> DueReport {
    DueReport {
        lender: loan.lender,
        report: message::LoanReport {
            tag,
            serial: loan.serial,
            spent: loan.spent,
            returned: loan.returned,
        },
    }
}
