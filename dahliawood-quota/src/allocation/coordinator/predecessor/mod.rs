//! What VMs held under the previous coordinator, as their reports to the new one tell.

use crate::allocation::REPORT_INTERVAL;
use crate::allocation::coordinator::UsageReport;
use dahliawood_model::stamp::TimeStamp;

/// The fraction of one limit that VMs held under the previous coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PredecessorTotal {
    /// The highest sum over all VMs that a reporting VM had received.
    total: f64,
    /// The part of `total` that the VMs that held it have reported themselves.
    reported: f64,
    /// Until when `total` has all that was allocated within the last window.
    complete_until: TimeStamp,
    until: TimeStamp,
}

impl PredecessorTotal {
    /// Records a VM's first report to this coordinator: what the VM itself holds, and the sum that
    /// it received.
    pub fn record_holder(&mut self, report: &UsageReport, incarnation: u64, now: TimeStamp) {
        self.reported += report.fraction.max(report.need.used);
        self.record_total(report, incarnation, now);
    }

    /// Records the sum over all VMs in a report if it comes from another coordinator and still
    /// counts.
    pub fn record_total(&mut self, report: &UsageReport, incarnation: u64, now: TimeStamp) {
        if report.total.coordinator != incarnation && !report.total.valid_for.is_zero() {
            self.total = self.total.max(report.total.fraction);
            let valid_for = report.total.valid_for;
            let complete_for = valid_for.saturating_sub(REPORT_INTERVAL);
            self.complete_until = self.complete_until.max(now.after(complete_for));
            self.until = self.until.max(now.after(valid_for));
        }
    }

    /// Whether a VM has reported a sum that has all that was allocated within the last window.
    pub fn is_complete(&self, now: TimeStamp) -> bool {
        now < self.complete_until
    }

    /// Whether a VM has reported a sum, which may no longer count.
    pub fn is_told(&self) -> bool {
        self.until > TimeStamp::ZERO
    }

    /// The fraction held by VMs that have not reported, such as the previous coordinator itself.
    pub fn unknown(&self, now: TimeStamp) -> f64 {
        match now < self.until {
            true => (self.total - self.reported).max(0.0),
            false => 0.0,
        }
    }
}
