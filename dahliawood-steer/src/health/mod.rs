//! Outlier detection: health of a target, mainly from the results of this VM's own requests.
//!
//! Failed connections are hard evidence and always eject a target. Errors, timeouts and a latency
//! far above that of its peers are soft evidence; they may have a common cause, so soft evidence
//! ejects at most a share of a service's targets in one region. A target that sheds a request gets
//! no new ones for a short pause. A target's own load report never ejects it; it only lowers its
//! rank. Once its ejection time is over, an ejected target is probed with one request at a time and
//! readmitted when it answers.

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Failed connections in a row that eject a target.
pub const CONNECT_FAILURES: u32 = 2;
/// Maximum share of a service's targets in one region that soft evidence may eject, percent.
pub const SOFT_EJECT_PERCENT: usize = 34;
/// Moving average of failed requests above which a target may be ejected; soft evidence.
pub const FAILURE_SHARE: f64 = 0.5;
/// Latency above which a target may be ejected, as a multiple of its peers' median; soft evidence.
pub const SLOW_MULTIPLE: f64 = 4.0;
/// Minimum answers and failures before the average of failures is used.
pub const MIN_SAMPLES: u32 = 8;
/// Minimum answers before the average latency is used; heavy-tailed latencies need more samples.
pub const MIN_LATENCY_SAMPLES: u32 = 64;
/// First ejection time; it doubles with each failed probe.
pub const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection time.
pub const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// Pause without new requests for a target that shed one.
pub const SHED_PAUSE: Duration = Duration::from_millis(100);
/// Maximum age of a load report that is used.
pub const REPORT_AGE: Duration = Duration::from_secs(3);
/// Weight of the newest result in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;
/// Minimum weight of the newest answer in the moving average of latencies.
const MIN_LATENCY_EWMA_WEIGHT: f64 = 0.02;

/// How one request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResultKind {
    /// A complete answer that is not a server error.
    Answered,
    /// A server error, or a truncated answer.
    Errored,
    /// The target shed it.
    Shed,
    /// No connection could be made.
    ConnectFailed,
    /// The target's host refused the connection: no process listens there.
    Refused,
    /// No answer in time on a connection that was made.
    TimedOut,
    /// The caller gave up; this says nothing about the target.
    Cancelled,
}

/// Result of one request, with its latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultReport {
    /// How it ended.
    pub kind: ResultKind,
    /// Time from sending its first byte to the head of the answer, or to the failure.
    pub latency: Duration,
}

/// Load report of a target, which may be outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of its slots in use, 0 to 1.
    pub load: f64,
    /// Whether the target reports that it is leaving.
    pub leaving: bool,
    /// Time of the measurement, by this VM's clock.
    pub measured: TimeStamp,
}

/// Why a target was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum EjectCause {
    /// Connections failed.
    #[display("connect-failed")]
    Connect,
    /// Too many requests failed.
    #[display("failures")]
    Failures,
    /// Far slower than its peers.
    #[display("slow")]
    Slow,
}

/// A current ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionState {
    /// Why the target was ejected.
    pub cause: EjectCause,
    /// When the first probe may be sent.
    pub until: TimeStamp,
    /// Duration of this ejection; doubled if its probe fails.
    pub span: Duration,
}

/// What this VM knows of a target's health.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthState {
    /// Moving average of answer latency without the link's latency, microseconds.
    pub latency_us: f64,
    /// Moving average of failed requests, 0 to 1.
    pub failure_share: f64,
    /// Number of answers in the latency average.
    pub answers: u32,
    /// Number of answers and failures in the failure average.
    pub samples: u32,
    /// Consecutive failed connections.
    pub connect_failures: u32,
    /// No new requests before this time, because the target shed one.
    pub paused_until: TimeStamp,
    /// The current ejection.
    pub ejection: Option<EjectionState>,
    /// The target's latest load report.
    pub report: Option<LoadReport>,
}

impl HealthState {
    /// Records the result of one request; `link` is the round-trip latency of the link, which is
    /// subtracted.
    pub fn record(&mut self, report: ResultReport, link: Duration, now: TimeStamp) {
        match report.kind {
            ResultKind::Cancelled => return,
            ResultKind::ConnectFailed | ResultKind::Refused => self.connect_failures += 1,
            ResultKind::Shed => {
                self.connect_failures = 0;
                self.paused_until = now.after(SHED_PAUSE);
                return;
            }
            _ => self.connect_failures = 0,
        }
        let failed = report.kind != ResultKind::Answered;
        if !failed {
            self.answers = self.answers.saturating_add(1);
            let weight = (1.0 / f64::from(self.answers)).max(MIN_LATENCY_EWMA_WEIGHT);
            let latency_us = report.latency.saturating_sub(link).as_micros() as f64;
            self.latency_us += weight * (latency_us - self.latency_us);
        }
        self.failure_share +=
            FAILURE_EWMA_WEIGHT * (f64::from(u8::from(failed)) - self.failure_share);
        self.samples = self.samples.saturating_add(1);
    }

    /// Evidence for an ejection; `median_us` is the median latency of the peers, if known.
    pub fn evidence(&self, median_us: Option<f64>) -> Option<EjectCause> {
        if self.connect_failures >= CONNECT_FAILURES {
            return Some(EjectCause::Connect);
        }
        if self.samples < MIN_SAMPLES {
            return None;
        }
        if self.failure_share > FAILURE_SHARE {
            return Some(EjectCause::Failures);
        }
        let slow = median_us.is_some_and(|median| self.latency_us > SLOW_MULTIPLE * median);
        let measured = self.answers >= MIN_LATENCY_SAMPLES;
        (slow && measured).then_some(EjectCause::Slow)
    }

    /// Ejects the target; if it is ejected already, its probe failed and the time doubles.
    pub fn eject(&mut self, cause: EjectCause, now: TimeStamp) {
        let last = self.ejection.map(|ejection| ejection.span);
        let span = last.map_or(FIRST_EJECTION, |span| (span * 2).min(LONGEST_EJECTION));
        self.ejection = Some(EjectionState {
            cause,
            until: now.after(span),
            span,
        });
    }

    /// Ends an ejection and resets the averages that led to it.
    pub fn readmit(&mut self) {
        *self = Self {
            report: self.report,
            ..Self::default()
        };
    }

    /// The target's latest load report, unless it is older than [`REPORT_AGE`].
    pub fn fresh_report(&self, now: TimeStamp) -> Option<LoadReport> {
        self.report
            .filter(|report| now.since(report.measured) <= REPORT_AGE)
    }
}

/// Number of targets, out of `count`, that soft evidence may eject.
pub fn soft_limit(count: usize) -> usize {
    count * SOFT_EJECT_PERCENT / 100
}
