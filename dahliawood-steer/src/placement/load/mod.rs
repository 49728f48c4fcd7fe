//! How much work a target has, from its own reports and from what this VM has sent since.

use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Weight of the newest answer in the average of service times.
const NEWEST: f64 = 0.15;
/// A report older than this many service times says nothing any more.
const REPORT_LIFE: f64 = 3.0;
/// Without an answer for this long, the average moves back to that of the peers.
const FORGET_AFTER: Duration = Duration::from_secs(3);

/// The work of one target as this VM sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    report: Option<TargetLoad>,
    /// Requests of this VM that are at the target.
    pub in_flight: u32,
    sent_since: u32,
    average: Option<Duration>,
    answered: TimeStamp,
}

impl LoadEstimate {
    /// Notes that a request is sent.
    pub fn begin(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    /// Notes that a request has ended.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a report that came with an answer.
    pub fn report(&mut self, load: TargetLoad) {
        self.report = Some(load);
        self.sent_since = 0;
    }

    /// Takes the time that an answer took.
    pub fn answered(&mut self, latency: Duration, now: TimeStamp) {
        self.answered = now;
        self.average = Some(match self.average {
            None => latency,
            Some(average) => average.mul_f64(1.0 - NEWEST) + latency.mul_f64(NEWEST),
        });
    }

    /// How long an answer takes from the start of its work; `usual` is that of the peers.
    pub fn service_time(&self, usual: Duration, now: TimeStamp) -> Duration {
        match self.average {
            Some(average) if now.since(self.answered) < FORGET_AFTER => average,
            _ => usual,
        }
    }

    /// Whether a report says something of the target's work now.
    pub fn is_known(&self, usual: Duration, now: TimeStamp) -> bool {
        let life = usual.mul_f64(REPORT_LIFE);
        self.report.is_some_and(|load| now.since(load.seen) < life)
    }

    /// Requests that are at the target, of all VMs.
    pub fn outstanding(&self, usual: Duration, now: TimeStamp) -> f64 {
        let life = usual.as_secs_f64().max(0.01) * REPORT_LIFE;
        let reported = self.report.map_or(0.0, |load| {
            let age = now.since(load.seen).as_secs_f64();
            f64::from(load.running + load.waiting) * (1.0 - age / life).max(0.0)
        });
        (reported + f64::from(self.sent_since)).max(f64::from(self.in_flight))
    }

    /// How long a request sent now waits for a slot.
    pub fn wait(&self, slots: u32, usual: Duration, now: TimeStamp) -> Duration {
        let slots = f64::from(slots.max(1));
        let ahead = self.outstanding(usual, now) + 1.0 - slots;
        usual.mul_f64(ahead.max(0.0) / slots)
    }
}
