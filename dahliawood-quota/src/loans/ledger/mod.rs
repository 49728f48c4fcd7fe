//! The lender's side of loans: how much is lent to which VM, and until when.

use crate::{amount, bucket, member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// The longest time after which a lender of a rate limit tells a borrower to ask again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time after which a lender of a count tells a borrower to ask again.
const COUNT_RETRY_AFTER: Duration = Duration::from_millis(15);
/// The shortest time after which a lender of a rate limit tells a borrower to ask again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(2);

/// Identifies a loan by its borrower and the borrower's serial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LoanId {
    borrower: member::HolderId,
    serial: message::LoanSerial,
}

/// A granted loan. It stays recorded until it expires, so that a repeated request is not granted a
/// second time.
#[derive(Clone, Copy, Debug)]
struct LentLoan {
    granted: amount::TokenAmount,
    spent: amount::TokenAmount,
    returned: amount::TokenAmount,
    expires_at: stamp::TimeStamp,
}

impl LentLoan {
    fn left(&self) -> amount::TokenAmount {
        self.granted
            .saturating_subtract(self.spent)
            .saturating_subtract(self.returned)
    }
}

/// All loans that one VM has granted out of one limit.
#[derive(Clone, Debug, Default)]
pub struct LoanLedger {
    loans: FastMap<LoanId, LentLoan>,
    next_expiry: Option<stamp::TimeStamp>,
}

/// What a lender keeps back when it answers a loan request.
#[derive(Clone, Copy, Debug)]
pub struct LendingPolicy {
    /// Tokens kept for the lender's own waiting requests.
    pub kept_for_waiting: amount::TokenAmount,
    /// Tokens kept for the lender's own demand, unless requests wait for them at the borrower.
    pub reserve: amount::TokenAmount,
    /// Whether the limit is a count, which is lent in whole units.
    pub is_count: bool,
}

impl LoanLedger {
    /// The number of recorded loans.
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// Whether no loan is recorded.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}

/// Answers a loan request out of `bucket`, which the caller has refilled. A repeated request gets
/// the first answer again.
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
    let level = bucket.level().saturating_subtract(policy.kept_for_waiting);
    let needed = if request.need <= level {
        request.need
    } else {
        whole_part(level)
    };
    let spare = level
        .saturating_subtract(needed)
        .saturating_subtract(policy.reserve);
    let granted = needed + request.want.saturating_subtract(request.need).min(spare);
    if policy.is_count {
        whole_part(granted)
    } else {
        granted
    }
}

/// The whole units in `amount`: a fraction of a unit would lie unused at its borrower.
fn whole_part(amount: amount::TokenAmount) -> amount::TokenAmount {
    amount::TokenAmount::from_whole(amount.whole())
}

/// How long until the next unit has accrued. Room that outstanding loans still take is ignored,
/// because their reports may free it by then.
fn retry_after(bucket: &bucket::TokenBucket) -> Duration {
    const NANOS_PER_SECOND: u128 = 1_000_000_000;
    let next = amount::TokenAmount::ONE;
    let missing = u128::from(next.saturating_subtract(bucket.level()).micros);
    let rate = u128::from(bucket.rate().micros_per_second);
    let nanos = (missing * NANOS_PER_SECOND).checked_div(rate);
    let wait = nanos.and_then(|nanos| u64::try_from(nanos).ok());
    wait.map_or(MAX_RETRY_AFTER, Duration::from_nanos)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Applies a borrower's report. A report that is repeated, late or out of order has no effect.
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
    let spent = report
        .spent
        .saturating_subtract(loan.spent)
        .min(loan.left());
    loan.spent += spent;
    bucket.settle(spent);
    let returned = report
        .returned
        .saturating_subtract(loan.returned)
        .min(loan.left());
    loan.returned += returned;
    bucket.restore(returned);
}

/// Ends the loans that have expired. Their room in the bucket is free again, and units of a count
/// return to the bucket; unspent tokens of a rate are lost.
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
