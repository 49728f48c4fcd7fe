//! What VMs held under the previous coordinator, as their reports to the new one tell.

use crate::allocation::coordinator::UsageReport;
use crate::allocation::local::usable;
use crate::allocation::{ALLOCATION_LIFETIME, REPORT_INTERVAL, counted_time, longest_counted_time};
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// How long what a previous coordinator allocated counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PredecessorCounting {
    /// Length of the windows that limits hold over.
    pub window: Duration,
    /// Whether VMs may be cut off that go on with what they hold.
    pub has_absent: bool,
}

/// The fraction of one limit that VMs held under the previous coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PredecessorTotal {
    /// The latest sum over all VMs that a reporting VM had received; the highest of those that were asked for
    /// within [`REPORT_INTERVAL`].
    total: f64,
    /// The part of `total` that the VMs that held it have reported themselves.
    reported: f64,
    /// When the latest sum was asked for.
    asked_at: TimeStamp,
}

impl PredecessorTotal {
    /// Records a VM's first report to this coordinator: what the VM itself holds, and the sum that
    /// it received.
    pub fn record_holder(
        &mut self,
        report: &UsageReport,
        incarnation: u64,
        window: Duration,
        now: TimeStamp,
    ) {
        // After the lifetime of its allocation the VM states the half that it may still use.
        let held = match report.total.age < ALLOCATION_LIFETIME {
            true => report.fraction,
            false => report.fraction * 2.0,
        };
        self.reported += held.max(report.need.used);
        self.record_total(report, incarnation, window, now);
    }

    /// Records the sum over all VMs in a report if it comes from another coordinator and may still
    /// count.
    pub fn record_total(
        &mut self,
        report: &UsageReport,
        incarnation: u64,
        window: Duration,
        now: TimeStamp,
    ) {
        let told = &report.total;
        if told.coordinator == incarnation || told.age >= longest_counted_time(window) {
            return;
        }
        // VMs at which the customer is no longer active have old sums, which the latest ones replace.
        let asked_at = now.before(told.age);
        if asked_at > self.asked_at.after(REPORT_INTERVAL) {
            self.total = told.fraction;
        } else if self.asked_at <= asked_at.after(REPORT_INTERVAL) {
            self.total = self.total.max(told.fraction);
        }
        self.asked_at = self.asked_at.max(asked_at);
    }

    /// Whether a VM has reported a sum that has all that was allocated within the last window.
    pub fn is_complete(&self, counting: PredecessorCounting, now: TimeStamp) -> bool {
        self.is_told() && now < self.asked_at.after(counting.window)
    }

    /// Whether a VM has reported a sum, which may no longer count.
    pub fn is_told(&self) -> bool {
        self.asked_at > TimeStamp::ZERO
    }

    /// The fraction held by VMs that have not reported, such as the previous coordinator itself.
    pub fn unknown(&self, counting: PredecessorCounting, now: TimeStamp) -> f64 {
        let unknown = (self.total - self.reported).max(0.0);
        let counted_until = self.asked_at.after(counted_time(counting.window));
        match counting.has_absent {
            true => usable(unknown, counted_until, now),
            false if now < counted_until => unknown,
            false => 0.0,
        }
    }
}
