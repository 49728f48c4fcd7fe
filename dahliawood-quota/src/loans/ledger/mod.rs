//! The lender's side: what is out, to whom, and until when.

use crate::{amount, bucket, member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// The longest time for which a lender says that it has nothing.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When a lender of a count should be asked again.
const COUNT_RETRY_AFTER: Duration = Duration::from_millis(15);
/// The shortest such time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(2);

/// A loan, named by its borrower and the borrower's serial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LoanId {
    borrower: member::HolderId,
    serial: message::LoanSerial,
}

/// A loan that is out; it stays recorded to its end, so that a repeated ask takes nothing again.
#[derive(Clone, Copy, Debug)]
struct LentLoan {
    granted: amount::TokenAmount,
    spent: amount::TokenAmount,
    returned: amount::TokenAmount,
    expires_at: stamp::TimeStamp,
}

impl LentLoan {
    fn left(&self) -> amount::TokenAmount {
        self.granted.less(self.spent).less(self.returned)
    }
}

/// All loans that one holder has out of one limit.
#[derive(Clone, Debug, Default)]
pub struct LoanLedger {
    loans: FastMap<LoanId, LentLoan>,
    next_expiry: Option<stamp::TimeStamp>,
}

/// How an ask is judged.
#[derive(Clone, Copy, Debug)]
pub struct LendingPolicy {
    /// What the lender keeps for its own requests that wait.
    pub kept_for_waiting: amount::TokenAmount,
    /// What the lender keeps for its own demand where the borrower has no request waiting.
    pub reserve: amount::TokenAmount,
    /// Whether the limit is a count, which is lent in whole units.
    pub is_count: bool,
}

impl LoanLedger {
    /// The number of loans on record.
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// Whether no loan is on record.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}

/// Answers an ask from `bucket`, which has been refilled; a repeated ask gets the first answer.
pub fn grant_loan(
    ledger: &mut LoanLedger,
    bucket: &mut bucket::TokenBucket,
    from: member::HolderId,
    request: message::LoanRequest,
    policy: LendingPolicy,
    options: &options::QuotaOptions,
    now: stamp::TimeStamp,
) -> message::LoanGrant {
    let id = LoanId {
        borrower: from,
        serial: request.serial,
    };
    let granted = match ledger.loans.get(&id) {
        Some(loan) => loan.granted,
        None => open_loan(ledger, bucket, id, request, policy, options, now),
    };
    message::LoanGrant {
        tag: request.tag,
        serial: request.serial,
        granted,
        retry_after: if policy.is_count {
            COUNT_RETRY_AFTER
        } else {
            retry_after(bucket)
        },
    }
}

fn open_loan(
    ledger: &mut LoanLedger,
    bucket: &mut bucket::TokenBucket,
    id: LoanId,
    request: message::LoanRequest,
    policy: LendingPolicy,
    options: &options::QuotaOptions,
    now: stamp::TimeStamp,
) -> amount::TokenAmount {
    let granted = grantable(bucket, request, policy);
    if granted.is_zero() || request.length > options.max_loan_time || !bucket.lend(granted) {
        return amount::TokenAmount::ZERO;
    }
    let expires_at = now.after(request.length);
    let loan = LentLoan {
        granted,
        spent: amount::TokenAmount::ZERO,
        returned: amount::TokenAmount::ZERO,
        expires_at,
    };
    ledger.loans.insert(id, loan);
    let next = ledger
        .next_expiry
        .map_or(expires_at, |next| next.min(expires_at));
    ledger.next_expiry = Some(next);
    granted
}

fn grantable(
    bucket: &bucket::TokenBucket,
    request: message::LoanRequest,
    policy: LendingPolicy,
) -> amount::TokenAmount {
    let level = bucket.level().less(policy.kept_for_waiting);
    let needed = if request.need <= level {
        request.need
    } else {
        whole_part(level)
    };
    let spare = level.less(needed).less(policy.reserve);
    let granted = needed + request.want.less(request.need).min(spare);
    if policy.is_count {
        whole_part(granted)
    } else {
        granted
    }
}

/// What serves whole units; a fraction would lie idle at its borrower.
fn whole_part(amount: amount::TokenAmount) -> amount::TokenAmount {
    amount::TokenAmount::from_whole(amount.whole())
}

/// When the next unit has accrued, whether or not reports that are due have made room for it.
fn retry_after(bucket: &bucket::TokenBucket) -> Duration {
    const NANOS_PER_SECOND: u128 = 1_000_000_000;
    let next = amount::TokenAmount::ONE;
    let missing = u128::from(next.less(bucket.level()).micros);
    let rate = u128::from(bucket.rate().micros_per_second);
    let nanos = (missing * NANOS_PER_SECOND).checked_div(rate);
    let wait = nanos.and_then(|nanos| u64::try_from(nanos).ok());
    wait.map_or(MAX_RETRY_AFTER, Duration::from_nanos)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Takes a borrower's report; what arrives twice, late or out of order changes nothing.
pub fn record_report(
    ledger: &mut LoanLedger,
    bucket: &mut bucket::TokenBucket,
    from: member::HolderId,
    report: message::LoanReport,
) {
    let id = LoanId {
        borrower: from,
        serial: report.serial,
    };
    let Some(loan) = ledger.loans.get_mut(&id) else {
        return;
    };
    let spent = report.spent.less(loan.spent).min(loan.left());
    loan.spent += spent;
    bucket.settle(spent);
    let returned = report.returned.less(loan.returned).min(loan.left());
    loan.returned += returned;
    bucket.restore(returned);
}

/// Ends the loans that are over: their room is free again, and units of a count come back.
pub fn expire_loans(
    ledger: &mut LoanLedger,
    bucket: &mut bucket::TokenBucket,
    is_count: bool,
    now: stamp::TimeStamp,
) {
    if ledger.next_expiry.is_none_or(|next| now < next) {
        return;
    }
    ledger.loans.retain(|_, loan| {
        let is_over = loan.expires_at <= now;
        if is_over && is_count {
            bucket.restore(loan.left());
        } else if is_over {
            bucket.settle(loan.left());
        }
        !is_over
    });
    ledger.next_expiry = ledger.loans.values().map(|loan| loan.expires_at).min();
}
