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
    pub lease_idle: Duration,
    /// The longest loan that a lender grants; loans of slots run to the request's deadline.
    pub longest_loan: Duration,
    /// How much sooner than the lender a borrower ends a loan, parts in a thousand of its length,
    /// for clocks that run at different speed.
    pub drift_permille: u32,
    /// How long an ask may stay unanswered before the next lender is asked.
    pub ask_timeout: Duration,
    /// How long a request may wait for an answer of a peer.
    pub wait_limit: Duration,
    /// How long a request may wait for tokens to accrue; nothing refuses what one central bucket
    /// would refuse.
    pub accrual_wait: Duration,
    /// Requests that may wait at once for one limit.
    pub waiters_max: usize,
    /// The span of demand that a VM tries to hold in advance.
    pub forecast_span: Duration,
    /// The least time between two spend reports of one loan.
    pub report_every: Duration,
    /// How long a VM uses its shares without proof that it is still listed or heard.
    pub blind_stop: Duration,
    /// How long a VM has to be absent from the live list, and silent at its peers, before its
    /// shares are reclaimed.
    pub absence_hold: Duration,
    /// How often the share document is read without a watch.
    pub read_every: Duration,
    /// How long a write may stay unanswered before it is resolved by a read.
    pub write_timeout: Duration,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            loan_time: Duration::from_secs(2),
            lease_time: Duration::from_secs(2),
            lease_idle: Duration::from_secs(10),
            longest_loan: Duration::from_secs(10),
            drift_permille: 5,
            ask_timeout: Duration::from_millis(150),
            wait_limit: Duration::from_millis(400),
            accrual_wait: Duration::ZERO,
            waiters_max: 256,
            forecast_span: Duration::from_millis(200),
            report_every: Duration::from_millis(20),
            blind_stop: Duration::from_secs(8),
            absence_hold: Duration::from_secs(20),
            read_every: Duration::from_secs(5),
            write_timeout: Duration::from_secs(1),
        }
    }
}

impl QuotaOptions {
    /// How long after its last grant of a lease a lender's share may be in use elsewhere.
    pub fn lender_span(&self) -> Duration {
        self.lease_time + self.loan_time
    }

    /// How long after the end of a VM allowance of its may be in use elsewhere.
    pub fn longest_out(&self) -> Duration {
        self.longest_loan.max(self.lender_span())
    }

    /// How long a borrower may use a loan of `length`, from when it sent its ask.
    pub fn borrower_span(&self, length: Duration) -> Duration {
        const PERMILLE: u32 = 1_000;
        length.saturating_sub(length * self.drift_permille / PERMILLE)
    }
}
