//! The head's book: who reports, and what each VM may use from then on.

mod former;
mod rows;

use crate::allocation::ALLOCATION_LIFETIME;
use crate::allocation::local::AllocationNeed;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use rows::{CustomerRows, GiveTerms};
use std::time::Duration;

/// How long it is taken as known who has reported.
const STATUS_LIFE: Duration = Duration::from_millis(100);

/// A customer at one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer.
    pub customer: String,
    /// Requests a second that are asked for there.
    pub demand: f64,
    /// What the VM holds of the limit.
    pub fraction: f64,
    /// What it used and wants.
    pub need: AllocationNeed,
    /// What a head last told it that all VMs held, and for how long that still counts.
    pub total: AllocatedTotal,
}

/// What all VMs together held of a limit, as a head told it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AllocatedTotal {
    /// The part.
    pub fraction: f64,
    /// The life of the head.
    pub coordinator: u64,
    /// How long something of that may still count.
    pub valid_for: Duration,
}

/// Who reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSource<'a> {
    /// The VM.
    pub name: &'a str,
    /// Different for each start of its process.
    pub incarnation: u64,
    /// How long its process has run.
    pub age: Duration,
}

/// What a VM may use from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerAllocation {
    /// The customer.
    pub customer: String,
    /// Its part of the customer's limit.
    pub fraction: f64,
    /// What all VMs together hold.
    pub total: f64,
    /// The life of the head.
    pub coordinator: u64,
}

/// Who has reported lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MemberStatus {
    is_complete: bool,
    has_majority: bool,
}

/// The parts of all VMs.
#[derive(Clone, Debug)]
pub struct AllocationCoordinator {
    /// Different for each start of the head's process.
    life: u64,
    window: Duration,
    customers: FastMap<String, CustomerRows>,
    members: FastSet<String>,
    heard: FastMap<String, TimeStamp>,
    head_since: Option<TimeStamp>,
    /// When the oldest process that reported was started.
    oldest: Option<TimeStamp>,
    status: MemberStatus,
    status_at: Option<TimeStamp>,
}

impl AllocationCoordinator {
    /// Nothing is known yet; limits hold over windows of `window`, and `life` is another one for
    /// each start of the process.
    pub fn new(window: Duration, life: u64) -> Self {
        Self {
            life,
            window,
            customers: FastMap::default(),
            members: FastSet::default(),
            heard: FastMap::default(),
            head_since: None,
            oldest: None,
            status: MemberStatus::default(),
            status_at: None,
        }
    }

    /// Sets the VMs that are known to live; one that reports lives, whether it is known or not.
    pub fn set_members(&mut self, members: impl Iterator<Item = String>) {
        self.members = members.collect();
        self.status_at = None;
    }

    /// Takes a VM's report, and answers what it may use from now on.
    pub fn report(
        &mut self,
        from: ReportSource<'_>,
        reports: &[UsageReport],
        now: TimeStamp,
    ) -> Vec<CustomerAllocation> {
        let since = *self.head_since.get_or_insert(now);
        if self.heard.insert(from.name.to_owned(), now).is_none() {
            self.status_at = None;
        }
        let start = now.before(from.age);
        let oldest = self.oldest.map_or(start, |oldest| oldest.min(start));
        self.oldest = Some(oldest);
        let young = oldest.after(self.window).since(now);
        let (is_new, is_young) = (now.since(since) < self.window, !young.is_zero());
        let status = self.status(now);
        let terms = GiveTerms {
            life: self.life,
            // Where all are new, silent members hold nothing yet, and what they held is kept back.
            may_raise: status.is_complete || (status.has_majority && (!is_new || is_young)),
            is_new,
            forgotten: young.as_secs_f64() / self.window.as_secs_f64(),
        };
        let give = |report| self.give(from, report, terms, now);
        reports.iter().map(give).collect()
    }

    /// Notes that a VM has stopped using its parts; what it used counts until the window is over.
    pub fn release(&mut self, from: ReportSource<'_>, reports: &[UsageReport], now: TimeStamp) {
        for customer in self.customers.values_mut() {
            customer.withdraw(from, self.window, now);
        }
        let until = now.after(self.window);
        for report in reports {
            if let Some(customer) = self.customers.get_mut(&report.customer) {
                customer.end(report.need.used, until);
            }
        }
        self.heard.remove(from.name);
        self.status_at = None;
    }

    /// Notes that this VM is not the head: what it knew of others ages.
    pub fn step_down(&mut self) {
        self.head_since = None;
        self.heard.clear();
        self.customers.clear();
        self.status_at = None;
    }

    /// Whether more than half of the members have reported: a head that is cut off gives nothing.
    pub fn has_majority(&mut self, now: TimeStamp) -> bool {
        self.status(now).has_majority
    }

    /// Which members have reported within the life of a part.
    fn status(&mut self, now: TimeStamp) -> MemberStatus {
        let is_fresh = |at: TimeStamp| now.since(at) < STATUS_LIFE;
        if !self.status_at.is_some_and(is_fresh) {
            self.heard
                .retain(|_, heard| now.since(*heard) < ALLOCATION_LIFETIME);
            let is_heard = |name: &&String| self.heard.contains_key(*name);
            let heard = self.members.iter().filter(is_heard).count();
            self.status = MemberStatus {
                is_complete: heard == self.members.len(),
                has_majority: heard * 2 > self.members.len(),
            };
            self.status_at = Some(now);
        }
        self.status
    }

    /// Gives a VM its part of one limit.
    fn give(
        &mut self,
        from: ReportSource<'_>,
        report: &UsageReport,
        terms: GiveTerms,
        now: TimeStamp,
    ) -> CustomerAllocation {
        let customer = self.customers.entry(report.customer.clone()).or_default();
        customer.refresh(self.window, now);
        if terms.is_new {
            customer.hear_former(from, report, terms, now);
        }
        customer.withdraw(from, self.window, now);
        CustomerAllocation {
            customer: report.customer.clone(),
            fraction: customer.give(from, report, terms, now),
            total: customer.total(now),
            coordinator: self.life,
        }
    }
}
