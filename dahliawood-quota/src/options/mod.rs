//! Timeouts, intervals and bounds of shares and loans.

use std::time::Duration;

/// Timeouts, intervals and bounds of shares and loans; all VMs of a fleet must use the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaOptions {
    /// How long borrowed tokens may be spent, counted at the borrower from when it sent its
    /// request.
    pub loan_time: Duration,
    /// How long a leased share may be used, counted at the borrower from when it sent its request.
    pub lease_time: Duration,
    /// How long after the last demand the issuer keeps renewing its leases of other homes' shares.
    pub lease_idle_timeout: Duration,
    /// The longest loan that a lender grants. Loans of slots run until the request's deadline.
    pub max_loan_time: Duration,
    /// How much sooner than the lender a borrower ends a loan, in parts per thousand of its length,
    /// because the clocks of two VMs may run at different speeds.
    pub drift_permille: u32,
    /// How long a loan request may stay unanswered before the borrower asks the next lender.
    pub loan_request_timeout: Duration,
    /// How long a request may wait for another VM to answer.
    pub max_wait: Duration,
    /// How long a request may wait for tokens to accrue. Zero refuses each request that one central
    /// bucket would refuse.
    pub max_accrual_wait: Duration,
    /// The most requests that may wait for one limit at once.
    pub max_waiters: usize,
    /// A VM tries to hold tokens for its expected demand over this span in advance.
    pub forecast_span: Duration,
    /// The least time between two reports about one loan.
    pub report_interval: Duration,
    /// How long a VM uses its shares after the last proof that it is in the live list or reaches a
    /// majority of the members.
    pub liveness_timeout: Duration,
    /// How long a VM must be absent from the live list, and silent towards the other members,
    /// before its shares are reclaimed.
    pub reclaim_delay: Duration,
    /// How often the share document is read even if no watch reports a change.
    pub read_interval: Duration,
    /// How long a write may stay unanswered before a read determines its outcome.
    pub write_timeout: Duration,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            loan_time: Duration::from_secs(2),
            lease_time: Duration::from_secs(2),
            lease_idle_timeout: Duration::from_secs(10),
            max_loan_time: Duration::from_secs(10),
            drift_permille: 5,
            loan_request_timeout: Duration::from_millis(150),
            max_wait: Duration::from_millis(400),
            max_accrual_wait: Duration::ZERO,
            max_waiters: 256,
            forecast_span: Duration::from_millis(200),
            report_interval: Duration::from_millis(20),
            liveness_timeout: Duration::from_secs(8),
            reclaim_delay: Duration::from_secs(20),
            read_interval: Duration::from_secs(5),
            write_timeout: Duration::from_secs(1),
        }
    }
}

impl QuotaOptions {
    /// How long after a lender last granted a lease its share may still be in use at other VMs.
    pub fn lease_recovery_time(&self) -> Duration {
        self.lease_time + self.loan_time
    }

    /// How long after a VM has stopped its tokens or shares may still be in use at other VMs.
    pub fn max_outstanding_time(&self) -> Duration {
        self.max_loan_time.max(self.lease_recovery_time())
    }

    /// How long a borrower may use a loan of `length`, counted from when it sent its request.
    pub fn borrower_time(&self, length: Duration) -> Duration {
        const PERMILLE: u32 = 1_000;
        length.saturating_sub(length * self.drift_permille / PERMILLE)
    }
}
