//! The coordinator's state: which VMs report, and how much of each limit each of them may use.

mod predecessor;
mod table;

use crate::allocation::local::AllocationNeed;
use crate::allocation::{ALLOCATION_LIFETIME, REPORT_INTERVAL};
use crate::usage_limit::UsageLimit;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use predecessor::PredecessorCounting;
use std::time::Duration;
use table::{AllocationTable, AllocationTerms, UnknownUsage};

/// How long the status of the members is cached.
const STATUS_LIFETIME: Duration = Duration::from_millis(100);

/// How long it counts that a VM reported that others may be cut off: all VMs report it that know it.
const ABSENT_LIFETIME: Duration = Duration::from_secs(1);

/// One VM's usage of one customer's limit, as the VM reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer.
    pub customer: String,
    /// Requests a second that arrive at the VM, admitted or not.
    pub demand: f64,
    /// The fraction of the limit that is allocated to the VM.
    pub fraction: f64,
    /// What the VM used and what it requests.
    pub need: AllocationNeed,
    /// The sum over all VMs that a coordinator last sent to the VM.
    pub total: AllocatedTotal,
    /// The customer's limit, as the coordinator knows it.
    pub limit: UsageLimit,
}

/// A VM's reports on customers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportList<'a> {
    /// The customers that are active at the VM, and those of the table of which it has a copy.
    pub customers: &'a [UsageReport],
    /// Whether the VM has a copy of the latest table of another coordinator. Sums that no longer count
    /// are not among its reports.
    pub has_table: bool,
    /// Whether VMs are off the list of members, as far as this VM knows, that may be cut off.
    pub has_absent: bool,
}

/// Largest part of a limit that a report may state: what VMs used may exceed a limit that was lowered.
const MAX_FRACTION: f64 = 1e6;
/// Highest demand that a report may state, requests a second.
const MAX_DEMAND: f64 = 1e9;

impl UsageReport {
    /// Whether all numbers are possible ones. They come from other VMs.
    pub fn is_valid(&self) -> bool {
        let fractions = [
            self.fraction,
            self.need.used,
            self.need.requested,
            self.need.per_request,
        ];
        (0.0..=MAX_DEMAND).contains(&self.demand)
            // A sum, which may be below zero by an error of rounding.
            && (-1.0..=MAX_FRACTION).contains(&self.total.fraction)
            && fractions
                .iter()
                .all(|fraction| (0.0..=MAX_FRACTION).contains(fraction))
    }

    /// A report of a VM at which the customer is not active, and which has a copy of the sum over all
    /// VMs.
    pub fn of_total(customer: &str, total: AllocatedTotal, limit: UsageLimit) -> Self {
        Self {
            customer: customer.to_owned(),
            demand: 0.0,
            fraction: 0.0,
            need: AllocationNeed {
                used: 0.0,
                requested: 0.0,
                per_request: 0.0,
            },
            total,
            limit,
        }
    }

    /// Whether the VM holds and needs nothing of the limit.
    fn is_idle(&self) -> bool {
        self.demand <= 0.0
            && self.fraction <= 0.0
            && self.need.used <= 0.0
            && self.need.requested <= 0.0
    }
}

/// The fraction of a limit that all VMs together held, as a coordinator sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocatedTotal {
    /// The fraction of the limit.
    pub fraction: f64,
    /// Incarnation of the coordinator.
    pub coordinator: u64,
    /// How long ago the VM asked for it; [`Duration::MAX`] if no coordinator sent one.
    pub age: Duration,
}

impl Default for AllocatedTotal {
    /// A sum that no coordinator sent.
    fn default() -> Self {
        Self {
            fraction: 0.0,
            coordinator: 0,
            age: Duration::MAX,
        }
    }
}

/// The VM that sends a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSource<'a> {
    /// Name of the VM.
    pub name: &'a str,
    /// Different for each start of the VM's process.
    pub incarnation: u64,
    /// How long the VM's process has run.
    pub age: Duration,
}

/// The coordinator's answer to one [`UsageReport`].
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerAllocation {
    /// The customer.
    pub customer: String,
    /// The fraction of the customer's limit that the VM may use beyond its even fraction.
    pub fraction: f64,
    /// The fraction that all VMs together hold.
    pub total: f64,
    /// Incarnation of the coordinator.
    pub coordinator: u64,
}

/// How many members have reported within [`ALLOCATION_LIFETIME`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MemberStatus {
    is_complete: bool,
    has_majority: bool,
}

/// Allocates the limits of all customers to VMs.
#[derive(Clone, Debug)]
pub struct AllocationCoordinator {
    /// Different for each start of the coordinator's process.
    incarnation: u64,
    window: Duration,
    customers: FastMap<String, AllocationTable>,
    members: FastSet<String>,
    reported_at: FastMap<String, TimeStamp>,
    coordinator_since: Option<TimeStamp>,
    /// Whether a VM has reported a copy of the latest table of an earlier coordinator.
    has_copy: bool,
    /// When a VM last reported that others may be cut off.
    absent_at: Option<TimeStamp>,
    /// When the oldest process that has reported was started.
    oldest_start: Option<TimeStamp>,
    status: MemberStatus,
    status_at: Option<TimeStamp>,
}

impl AllocationCoordinator {
    /// Creates a coordinator that has received no report. Limits hold over any span of length
    /// `window`; `incarnation` differs for each start of the process.
    pub fn new(window: Duration, incarnation: u64) -> Self {
        Self {
            incarnation,
            window,
            customers: FastMap::default(),
            members: FastSet::default(),
            reported_at: FastMap::default(),
            coordinator_since: None,
            has_copy: false,
            absent_at: None,
            oldest_start: None,
            status: MemberStatus::default(),
            status_at: None,
        }
    }

    /// Sets the VMs that are known to be live. Reports of other VMs are answered all the same.
    pub fn set_members(&mut self, members: impl Iterator<Item = String>) {
        self.members = members.collect();
        self.status_at = None;
    }

    /// Records a VM's reports and returns its new allocations, one for each report.
    pub fn report(
        &mut self,
        from: ReportSource<'_>,
        reports: ReportList<'_>,
        now: TimeStamp,
    ) -> Vec<CustomerAllocation> {
        let since = *self.coordinator_since.get_or_insert(now);
        self.has_copy |= reports.has_table;
        if reports.has_absent {
            self.absent_at = Some(now);
        }
        if self.reported_at.insert(from.name.to_owned(), now).is_none() {
            self.status_at = None;
        }
        let start = now.before(from.age);
        let oldest_start = self
            .oldest_start
            .map_or(start, |oldest_start| oldest_start.min(start));
        self.oldest_start = Some(oldest_start);
        let is_new_coordinator = now.since(since) < self.window;
        let are_all_new = !self.window_left(now).is_zero();
        let status = self.status(now);
        let terms = AllocationTerms {
            incarnation: self.incarnation,
            // Where all processes are new, members that have not reported hold no allocation yet;
            // what their earlier processes may have used is withheld as `unknown_usage`.
            may_raise: status.is_complete
                || (status.has_majority && (!is_new_coordinator || are_all_new)),
            may_have_predecessor: now.since(since) < self.window + REPORT_INTERVAL,
            unknown: self.unknown_usage(now),
            counting: self.counting(now),
        };
        // A report that is no valid one would spoil the sums over all VMs.
        let valid = reports.customers.iter().filter(|report| report.is_valid());
        valid
            .map(|report| self.allocate(from, report, terms, now))
            .collect()
    }

    /// How much of a window is left since the start of the oldest process that has reported.
    fn window_left(&self, now: TimeStamp) -> Duration {
        let oldest_start = self.oldest_start.unwrap_or(now);
        oldest_start.after(self.window).since(now)
    }

    /// How long what a predecessor allocated counts.
    fn counting(&self, now: TimeStamp) -> PredecessorCounting {
        let is_recent = |at: TimeStamp| now.since(at) < ABSENT_LIFETIME;
        PredecessorCounting {
            window: self.window,
            has_absent: self.absent_at.is_some_and(is_recent),
        }
    }

    /// What is not known of limits of which no report tells.
    fn unknown_usage(&self, now: TimeStamp) -> UnknownUsage {
        if !self.window_left(now).is_zero() {
            let age = now.since(self.oldest_start.unwrap_or(now));
            return UnknownUsage::NewFleet { age };
        }
        let since = self.coordinator_since.unwrap_or(now);
        let is_new_coordinator = now.since(since) < self.window;
        match is_new_coordinator && !self.has_copy {
            true => UnknownUsage::All,
            false => UnknownUsage::Nothing,
        }
    }

    /// The sums over all VMs of all customers that have one; `None` if this VM is not the coordinator,
    /// or may not know them all yet.
    pub fn totals(&mut self, now: TimeStamp) -> Option<Vec<(String, f64)>> {
        let since = self.coordinator_since?;
        if now.since(since) < self.window && !self.has_copy {
            return None;
        }
        let (window, unknown) = (self.window, self.unknown_usage(now));
        let counting = self.counting(now);
        let customers = self.customers.iter_mut();
        let totals = customers.map(|(customer, table)| {
            table.refresh(window, now);
            (customer.clone(), table.total(unknown, counting, now))
        });
        Some(totals.filter(|(_, total)| *total > 0.0).collect())
    }

    /// Releases the allocations of a VM that stops; its usage counts until the window has passed.
    pub fn release(&mut self, from: ReportSource<'_>, reports: &[UsageReport], now: TimeStamp) {
        for customer in self.customers.values_mut() {
            customer.remove_row(from, self.window, now);
        }
        let until = now.after(self.window);
        for report in reports {
            if let Some(customer) = self.customers.get_mut(&report.customer)
                && report.is_valid()
            {
                customer.count_ended(report.need.used, until);
            }
        }
        self.reported_at.remove(from.name);
        self.status_at = None;
    }

    /// Discards all reports: this VM is not the coordinator, so they would go stale.
    pub fn step_down(&mut self) {
        self.coordinator_since = None;
        self.has_copy = false;
        self.absent_at = None;
        self.reported_at.clear();
        self.customers.clear();
        self.status_at = None;
    }

    /// Whether more than half of the members have reported. A coordinator without a majority may
    /// be cut off, and its allocations must not be used.
    pub fn has_majority(&mut self, now: TimeStamp) -> bool {
        self.status(now).has_majority
    }

    /// How many members have reported within [`ALLOCATION_LIFETIME`].
    fn status(&mut self, now: TimeStamp) -> MemberStatus {
        let is_fresh = |at: TimeStamp| now.since(at) < STATUS_LIFETIME;
        if !self.status_at.is_some_and(is_fresh) {
            self.reported_at
                .retain(|_, at| now.since(*at) < ALLOCATION_LIFETIME);
            let has_reported = |name: &&String| self.reported_at.contains_key(*name);
            let reported = self.members.iter().filter(has_reported).count();
            self.status = MemberStatus {
                is_complete: reported == self.members.len(),
                has_majority: reported * 2 > self.members.len(),
            };
            self.status_at = Some(now);
        }
        self.status
    }

    /// Computes a VM's allocation of one limit.
    fn allocate(
        &mut self,
        from: ReportSource<'_>,
        report: &UsageReport,
        terms: AllocationTerms,
        now: TimeStamp,
    ) -> CustomerAllocation {
        let customer = self.customers.entry(report.customer.clone()).or_default();
        customer.refresh(self.window, now);
        customer.limit = report.limit;
        if terms.may_have_predecessor {
            customer.record_predecessor(from, report, terms, now);
        }
        customer.remove_row(from, self.window, now);
        let fraction = match report.is_idle() {
            true => 0.0,
            false => customer.allocate(from, report, terms, now),
        };
        CustomerAllocation {
            customer: report.customer.clone(),
            fraction,
            total: customer.total(terms.unknown, terms.counting, now),
            coordinator: self.incarnation,
        }
    }
}
