//! Estimate of a target's load, from its own reports and the requests that this VM sent since.

use crate::placement::work;
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Weight of the newest answer in the moving average of service times.
const EWMA_WEIGHT: f64 = 0.15;
/// Age from which on a report is ignored, in service times.
const REPORT_VALIDITY: f64 = 3.0;
/// After this long without an answer, the average of the whole service is used instead.
const AVERAGE_EXPIRY: Duration = Duration::from_secs(3);

/// Sends whose times are kept for each target, a few times more than a VM has in flight there.
const KEPT_SENDS: usize = 8;

/// How long a load report may be used in a service with an average service time.
pub fn report_validity(service_average: Duration) -> Duration {
    service_average.mul_f64(REPORT_VALIDITY)
}

/// The times of the latest requests that were sent to a target.
#[derive(Clone, Copy, Debug, Default)]
struct RecentSends {
    times: [TimeStamp; KEPT_SENDS],
    next: usize,
}

impl RecentSends {
    fn record(&mut self, now: TimeStamp) {
        self.times[self.next] = now;
        self.next = (self.next + 1) % KEPT_SENDS;
    }

    /// Number of requests sent after a time, `None` if there may be more than are kept.
    fn after(&self, time: TimeStamp) -> Option<u32> {
        let count = self.times.iter().filter(|sent| **sent > time).count();
        (count < KEPT_SENDS).then_some(count as u32)
    }
}

/// Load of one target as this VM estimates it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    report: Option<TargetLoad>,
    /// Whether another VM has received the report.
    is_adopted: bool,
    recent_sends: RecentSends,
    /// Requests of this VM that are in flight at the target.
    pub in_flight: u32,
    sent_since_report: u32,
    average_latency: Option<Duration>,
    last_answer: TimeStamp,
}

impl LoadEstimate {
    /// Records that a request is sent.
    pub fn begin(&mut self, now: TimeStamp) {
        self.recent_sends.record(now);
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Records that a request has ended.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // One that ended without a report occupies no slot any more.
        self.sent_since_report = self.sent_since_report.min(self.in_flight);
    }

    /// Records a load report that came with an answer.
    pub fn record_report(&mut self, load: TargetLoad) {
        self.report = Some(load);
        self.is_adopted = false;
        self.sent_since_report = 0;
    }

    /// Takes over a report that another VM has received, if it is newer than the known one; the
    /// requests that this VM sent since are added to it. Returns whether it is newer.
    pub fn adopt_report(&mut self, load: TargetLoad) -> bool {
        let known = self.report;
        if known.is_some_and(|known| known.received_at >= load.received_at) {
            return false;
        }
        self.report = Some(load);
        self.is_adopted = true;
        if let Some(sent) = self.recent_sends.after(load.received_at) {
            self.sent_since_report = self.sent_since_report.min(sent);
        }
        true
    }

    /// Whether any load report is known, however old.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// The last load report, if it came with a response to this VM.
    pub fn own_report(&self) -> Option<TargetLoad> {
        self.report.filter(|_| !self.is_adopted)
    }

    /// Records the latency of an answer.
    pub fn record_latency(&mut self, latency: Duration, now: TimeStamp) {
        self.last_answer = now;
        self.average_latency = Some(match self.average_latency {
            None => latency,
            Some(average) => average.mul_f64(1.0 - EWMA_WEIGHT) + latency.mul_f64(EWMA_WEIGHT),
        });
    }

    /// Expected service time of a request; falls back to `service_average`, that of all targets of
    /// the service.
    pub fn service_time(&self, service_average: Duration, now: TimeStamp) -> Duration {
        match self.average_latency {
            Some(average) if now.since(self.last_answer) < AVERAGE_EXPIRY => average,
            _ => service_average,
        }
    }

    /// Whether the last load report is recent enough to be used.
    pub fn has_fresh_report(&self, service_average: Duration, now: TimeStamp) -> bool {
        let validity = report_validity(service_average);
        self.report
            .is_some_and(|load| now.since(load.received_at) < validity)
    }

    /// Requests at the target by its last report and those that this VM sent since, if the report is
    /// recent enough.
    pub fn reported(&self, service_average: Duration, now: TimeStamp) -> Option<f64> {
        let load = self
            .report
            .filter(|_| self.has_fresh_report(service_average, now))?;
        let at_target = f64::from(load.running) + f64::from(load.waiting);
        Some(at_target + f64::from(self.sent_since_report))
    }

    /// Estimated requests in flight at the target, from all VMs; the reported part decays with age.
    pub fn outstanding(&self, service_average: Duration, now: TimeStamp) -> f64 {
        let validity = service_average.as_secs_f64().max(0.01) * REPORT_VALIDITY;
        let reported = self.report.map_or(0.0, |load| {
            let age = now.since(load.received_at).as_secs_f64();
            (f64::from(load.running) + f64::from(load.waiting)) * (1.0 - age / validity).max(0.0)
        });
        (reported + f64::from(self.sent_since_report)).max(f64::from(self.in_flight))
    }

    /// Factor of the work of a request sent now, by the pace that the target stated last.
    pub fn pace(&self, now: TimeStamp) -> f64 {
        self.report.map_or(1.0, |load| {
            work::aged_pace(load.pace, now.since(load.received_at))
        })
    }

    /// Expected time that a request sent now waits for a slot.
    pub fn wait(&self, slots: u32, service_average: Duration, now: TimeStamp) -> Duration {
        let slots = f64::from(slots.max(1));
        let ahead = self.outstanding(service_average, now) + 1.0 - slots;
        service_average.mul_f64(ahead.max(0.0) / slots * self.pace(now))
    }
}
