//! Spans and bounds that shares and loans work with.

use std::time::Duration;

/// How shares and loans are timed; one value for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaOptions {
    /// How long borrowed tokens may be spent, counted at the borrower from when it sent its ask.
    pub loan_time: Duration,
    /// How long a leased share may be used, counted at the borrower from when it sent its ask.
    pub lease_time: Duration,
    /// How long after the last request the issuer keeps the shares of other homes.
    pub lease_idle_timeout: Duration,
    /// The longest loan that a lender grants; loans of slots run to the request's deadline.
    pub max_loan_time: Duration,
    /// How much sooner than the lender a borrower ends a loan, parts in a thousand of its length,
    /// for clocks that run at different speed.
    pub drift_permille: u32,
    /// How long an ask may stay unanswered before the next lender is asked.
    pub loan_request_timeout: Duration,
    /// How long a request may wait for an answer of a peer.
    pub max_wait: Duration,
    /// How long a request may wait for tokens to accrue; nothing refuses what one central bucket
    /// would refuse.
    pub max_accrual_wait: Duration,
    /// Requests that may wait at once for one limit.
    pub max_waiters: usize,
    /// The span of demand that a VM tries to hold in advance.
    pub forecast_span: Duration,
    /// The least time between two spend reports of one loan.
    pub report_interval: Duration,
    /// How long a VM uses its shares without proof that it is still listed or heard.
    pub liveness_timeout: Duration,
    /// How long a VM has to be absent from the live list, and silent at its peers, before its
    /// shares are reclaimed.
    pub reclaim_delay: Duration,
    /// How often the share document is read without a watch.
    pub read_interval: Duration,
    /// How long a write may stay unanswered before it is resolved by a read.
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
    /// How long after its last grant of a lease a lender's share may be in use elsewhere.
    pub fn lease_recovery_time(&self) -> Duration {
        self.lease_time + self.loan_time
    }

    /// How long after the end of a VM allowance of its may be in use elsewhere.
    pub fn max_outstanding_time(&self) -> Duration {
        self.max_loan_time.max(self.lease_recovery_time())
    }

    /// How long a borrower may use a loan of `length`, from when it sent its ask.
    pub fn borrower_time(&self, length: Duration) -> Duration {
        const PERMILLE: u32 = 1_000;
        length.saturating_sub(length * self.drift_permille / PERMILLE)
    }
}
