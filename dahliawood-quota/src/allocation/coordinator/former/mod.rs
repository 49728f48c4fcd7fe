//! What was held under the head before, as far as VMs were told.

use crate::allocation::coordinator::UsageReport;
use dahliawood_model::stamp::TimeStamp;

/// What was held under the head before this one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct FormerTotal {
    /// What all VMs held, as one that heard it tells.
    heard: f64,
    /// What of that has been reported by those that held it.
    reported: f64,
    until: TimeStamp,
}

impl FormerTotal {
    /// Takes what a VM tells in its first report to this head.
    pub fn take(&mut self, report: &UsageReport, life: u64, now: TimeStamp) {
        self.reported += report.fraction.max(report.need.used);
        self.hear(report, life, now);
    }

    /// Takes what another head told.
    pub fn hear(&mut self, report: &UsageReport, life: u64, now: TimeStamp) {
        if report.total.coordinator != life && !report.total.valid_for.is_zero() {
            self.heard = self.heard.max(report.total.fraction);
            self.until = self.until.max(now.after(report.total.valid_for));
        }
    }

    /// Whether a VM was told anything that still counts.
    pub fn is_told(&self, now: TimeStamp) -> bool {
        now < self.until
    }

    /// What was held by VMs that do not report, such as the head before.
    pub fn unknown(&self, now: TimeStamp) -> f64 {
        match self.is_told(now) {
            true => (self.heard - self.reported).max(0.0),
            false => 0.0,
        }
    }
}
