//! Health of a target, from what became of this VM's own requests first.
//!
//! A target is ejected on hard evidence, connections that fail, or on soft evidence: errors,
//! timeouts, sheds or latency far above its peers. Soft evidence may have a common cause, so it
//! ejects at most a share of a service's targets in one region. A report of the target itself
//! never ejects; it only orders targets that are otherwise equal. An ejected target comes back
//! through a probe: one request at a time, once its ejection time is over.

use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Failed connections in a row that eject a target.
pub const CONNECT_FAILURES: u32 = 2;
/// The most of a service's targets in one region that soft evidence may eject, percent.
pub const SOFT_EJECT_PERCENT: usize = 34;
/// The share of failed requests, as a moving average, that counts as soft evidence.
pub const FAILURE_SHARE: f64 = 0.5;
/// Latency that counts as soft evidence, as a multiple of the median of the peers.
pub const SLOW_MULTIPLE: f64 = 4.0;
/// Answers and failures before the average of failures counts.
pub const MIN_SAMPLES: u32 = 8;
/// Answers before the average of latencies counts; heavy tails need more of them.
pub const MIN_LATENCY_SAMPLES: u32 = 64;
/// The first ejection time; it doubles with each probe that fails.
pub const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection time.
pub const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// How long a target that shed a request gets nothing new.
pub const SHED_PAUSE: Duration = Duration::from_millis(100);
/// The oldest report that is used.
pub const REPORT_AGE: Duration = Duration::from_secs(3);
/// Weight of the newest result in the average of failures.
const NEWEST_FAILURE: f64 = 0.2;
/// Least weight of the newest answer in the average of latencies.
const NEWEST_LATENCY: f64 = 0.02;

/// What became of one request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResultKind {
    /// A whole answer that is not a server error.
    Answered,
    /// A server error, or an answer cut short.
    Errored,
    /// The target shed it.
    Shed,
    /// No connection could be made.
    ConnectFailed,
    /// No answer in time on a connection that was made.
    TimedOut,
    /// The caller gave up; says nothing of the target.
    Cancelled,
}

/// What became of one request, with its latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultReport {
    /// What became of it.
    pub kind: ResultKind,
    /// From sending its first byte to the head of the answer, or to the failure.
    pub latency: Duration,
}

/// What a target says of itself, which may lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of its slots in use, 0 to 1.
    pub load: f64,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// When it was measured, by the clock of this VM.
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

/// An ejection in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionState {
    /// Why.
    pub cause: EjectCause,
    /// When a probe may be sent.
    pub until: TimeStamp,
    /// How long it lasts; doubled for the next one.
    pub span: Duration,
}

/// What this VM knows of a target's health.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthState {
    /// Moving average of the time to answer without the link, microseconds.
    pub latency_us: f64,
    /// Moving average of failed requests, 0 to 1.
    pub failure_share: f64,
    /// Answers in the average of latencies.
    pub answers: u32,
    /// Answers and failures in the average of failures.
    pub samples: u32,
    /// Connections that failed in a row.
    pub connect_failures: u32,
    /// Nothing new before this stamp, since it shed a request.
    pub paused_until: TimeStamp,
    /// The ejection in force.
    pub ejection: Option<EjectionState>,
    /// The last report of the target itself.
    pub report: Option<LoadReport>,
}

impl HealthState {
    /// Takes the outcome of one request into the averages.
    pub fn record(&mut self, report: ResultReport, link: Duration, now: TimeStamp) {
        match report.kind {
            ResultKind::Cancelled => return,
            ResultKind::ConnectFailed => self.connect_failures += 1,
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
            let weight = (1.0 / f64::from(self.answers)).max(NEWEST_LATENCY);
            let latency_us = report.latency.saturating_sub(link).as_micros() as f64;
            self.latency_us += weight * (latency_us - self.latency_us);
        }
        self.failure_share += NEWEST_FAILURE * (f64::from(u8::from(failed)) - self.failure_share);
        self.samples = self.samples.saturating_add(1);
    }

    /// Evidence for an ejection; `median_us` is the median latency of the peers, where known.
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

    /// Ejects the target, for twice as long as the last time where it is a probe that failed.
    pub fn eject(&mut self, cause: EjectCause, now: TimeStamp) {
        let last = self.ejection.map(|ejection| ejection.span);
        let span = last.map_or(FIRST_EJECTION, |span| (span * 2).min(LONGEST_EJECTION));
        self.ejection = Some(EjectionState {
            cause,
            until: now.after(span),
            span,
        });
    }

    /// Ends an ejection and forgets the averages that led to it.
    pub fn readmit(&mut self) {
        *self = Self {
            report: self.report,
            ..Self::default()
        };
    }

    /// The target's own report, where it is fresh.
    pub fn fresh_report(&self, now: TimeStamp) -> Option<LoadReport> {
        self.report
            .filter(|report| now.since(report.measured) <= REPORT_AGE)
    }
}

/// How many of `count` targets soft evidence may eject.
pub fn soft_limit(count: usize) -> usize {
    count * SOFT_EJECT_PERCENT / 100
}
