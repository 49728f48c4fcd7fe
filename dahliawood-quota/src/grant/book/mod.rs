//! What the head knows of the parts in force, and how it gives them out.

use crate::grant::holder::{LimitWant, usable};
use crate::grant::{EVEN_PART, PART_LIFE};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use std::time::Duration;

/// Demand that every VM that reports counts with.
const LEAST_DEMAND: f64 = 0.1;
/// Requests that a VM which sees a customer now and then gets beside what it needs.
const EXTRA_REQUESTS: f64 = 2.0;
/// The share of a limit that is kept for VMs that need it, rather than given out as extra.
const RESERVE_SHARE: f64 = 0.2;
/// How long sums over all VMs hold. Meanwhile parts that end are still counted.
const SUM_LIFE: Duration = Duration::from_millis(250);
/// How long it is taken as known who has reported.
const STATUS_LIFE: Duration = Duration::from_millis(100);

/// A customer at one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct PartReport {
    /// The customer.
    pub customer: String,
    /// Requests a second that are asked for there.
    pub demand: f64,
    /// What the VM holds of the limit.
    pub part: f64,
    /// What it used and wants.
    pub want: LimitWant,
    /// What a head last told it that all VMs held, and for how long that still counts.
    pub total: HeardTotal,
}

/// What all VMs together held of a limit, as a head told it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeardTotal {
    /// The part.
    pub part: f64,
    /// The life of the head.
    pub head: u64,
    /// How long something of that may still count.
    pub left: Duration,
}

/// Who reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSource<'a> {
    /// The VM.
    pub name: &'a str,
    /// Different for each start of its process.
    pub life: u64,
    /// How long its process has run.
    pub age: Duration,
}

/// What a VM may use from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct GivenPart {
    /// The customer.
    pub customer: String,
    /// Its part of the customer's limit.
    pub part: f64,
    /// What all VMs together hold.
    pub total: f64,
    /// The life of the head.
    pub head: u64,
}

/// What was held under the head before this one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct FormerTotal {
    /// What all VMs held, as one that heard it tells.
    heard: f64,
    /// What of that has been reported by those that held it.
    reported: f64,
    until: TimeStamp,
}

/// What one VM may use of one customer's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PartRow {
    demand: f64,
    /// The most that it may hold until its next report.
    part: f64,
    /// What is kept for it: what it used, or what it wants within its fair share.
    claim: f64,
    at: TimeStamp,
    life: u64,
}

/// What was used by a process that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EndedUse {
    part: f64,
    until: TimeStamp,
}

/// Sums over the VMs of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RowSums {
    demand: f64,
    part: f64,
    claim: f64,
}

/// One customer's parts.
#[derive(Clone, Debug, Default)]
struct CustomerRows {
    rows: FastMap<String, PartRow>,
    ended: Vec<EndedUse>,
    former: FormerTotal,
    sums: RowSums,
    summed_at: Option<TimeStamp>,
}

/// How a head gives parts now.
#[derive(Clone, Copy, Debug)]
struct GiveTerms {
    /// The life of the head.
    life: u64,
    /// Whether a VM may get more than it holds, whatever was held before.
    may_raise: bool,
    /// Whether more than half of the members have reported.
    has_majority: bool,
    /// Whether what was given under the head before still counts.
    is_new: bool,
    /// The part of a limit that processes may have used which ended before the oldest one of now
    /// was started, while it still counts.
    forgotten: f64,
}

/// Who has reported lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct MemberStatus {
    is_complete: bool,
    has_majority: bool,
}

/// The parts of all VMs.
#[derive(Clone, Debug)]
pub struct PartBook {
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

impl RowSums {
    fn add(&mut self, row: &PartRow, part: f64) {
        self.demand += row.demand + LEAST_DEMAND;
        self.part += part;
        self.claim += row.claim;
    }

    fn subtract(&mut self, row: &PartRow, part: f64) {
        self.demand -= row.demand + LEAST_DEMAND;
        self.part -= part;
        self.claim -= row.claim;
    }
}

impl CustomerRows {
    /// What a row counts for: its VM may use the part for a while, and what it sent under it counts
    /// for a window after that.
    fn in_force(row: &PartRow, window: Duration, now: TimeStamp) -> f64 {
        usable(row.part, row.at.after(window), now)
    }

    /// Sums up what is in force, where that was not done lately.
    fn refresh(&mut self, window: Duration, now: TimeStamp) {
        let is_fresh = |at: TimeStamp| now.since(at) < SUM_LIFE;
        if self.summed_at.is_some_and(is_fresh) {
            return;
        }
        self.summed_at = Some(now);
        self.ended.retain(|ended| now < ended.until);
        self.rows
            .retain(|_, row| Self::in_force(row, window, now) > 0.0 || is_heard(row, now));
        self.sums = RowSums::default();
        for row in self.rows.values_mut() {
            if !is_heard(row, now) {
                row.demand = 0.0;
                row.claim = 0.0;
            }
            self.sums.add(row, Self::in_force(row, window, now));
        }
        let ended: f64 = self.ended.iter().map(|ended| ended.part).sum();
        self.sums.part += ended;
        self.sums.claim += ended;
    }

    /// Takes a VM's row out of the sums. Where its process is another one now, what the one before
    /// used up still counts.
    fn withdraw(&mut self, from: ReportSource<'_>, window: Duration, now: TimeStamp) {
        let Some(row) = self.rows.remove(from.name) else {
            return;
        };
        self.sums.subtract(&row, Self::in_force(&row, window, now));
        if row.life != from.life {
            self.end(row.part, now.after(window));
        }
    }

    fn end(&mut self, part: f64, until: TimeStamp) {
        if part > 0.0 {
            self.ended.push(EndedUse { part, until });
            self.sums.part += part;
            self.sums.claim += part;
        }
    }
}

impl FormerTotal {
    /// Takes what a VM tells in its first report to this head.
    fn take(&mut self, report: &PartReport, life: u64, now: TimeStamp) {
        self.reported += report.part.max(report.want.used);
        self.hear(report, life, now);
    }

    /// Takes what another head told.
    fn hear(&mut self, report: &PartReport, life: u64, now: TimeStamp) {
        if report.total.head != life && !report.total.left.is_zero() {
            self.heard = self.heard.max(report.total.part);
            self.until = self.until.max(now.after(report.total.left));
        }
    }

    /// What was held by VMs that do not report, such as the head before.
    fn unknown(&self, now: TimeStamp) -> f64 {
        match now < self.until {
            true => (self.heard - self.reported).max(0.0),
            false => 0.0,
        }
    }
}

fn is_heard(row: &PartRow, now: TimeStamp) -> bool {
    now.since(row.at) < PART_LIFE
}

impl PartBook {
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
        reports: &[PartReport],
        now: TimeStamp,
    ) -> Vec<GivenPart> {
        let since = *self.head_since.get_or_insert(now);
        if self.heard.insert(from.name.to_owned(), now).is_none() {
            self.status_at = None;
        }
        let start = now.before(from.age);
        let oldest = self.oldest.map_or(start, |oldest| oldest.min(start));
        self.oldest = Some(oldest);
        let young = oldest.after(self.window).since(now);
        let is_new = now.since(since) < self.window;
        let status = self.status(now);
        let terms = GiveTerms {
            life: self.life,
            may_raise: status.is_complete || (status.has_majority && !is_new),
            has_majority: status.has_majority,
            is_new,
            forgotten: young.as_secs_f64() / self.window.as_secs_f64(),
        };
        let give = |report| self.give(from, report, terms, now);
        reports.iter().map(give).collect()
    }

    /// Notes that a VM has stopped using its parts; what it used counts until the window is over.
    pub fn release(&mut self, from: ReportSource<'_>, reports: &[PartReport], now: TimeStamp) {
        let until = now.after(self.window);
        for report in reports {
            if let Some(customer) = self.customers.get_mut(&report.customer) {
                customer.withdraw(from, self.window, now);
                customer.end(report.want.used, until);
            }
        }
        self.customers
            .values_mut()
            .for_each(|customer| customer.withdraw(from, self.window, now));
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
            let heard = self.members.iter().filter_map(|name| self.heard.get(name));
            let heard = heard.filter(|heard| now.since(**heard) < PART_LIFE).count();
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
        report: &PartReport,
        terms: GiveTerms,
        now: TimeStamp,
    ) -> GivenPart {
        if !self.customers.contains_key(&report.customer) {
            let rows = CustomerRows::default();
            self.customers.insert(report.customer.clone(), rows);
        }
        let part = self.customers.get_mut(&report.customer).map(|customer| {
            customer.refresh(self.window, now);
            if terms.is_new {
                customer.hear_former(from, report, terms, now);
            }
            customer.withdraw(from, self.window, now);
            let part = customer.give(from, report, terms, now);
            (part, customer.sums.part + customer.former.unknown(now))
        });
        let (part, total) = part.unwrap_or_default();
        GivenPart {
            customer: report.customer.clone(),
            part,
            total,
            head: self.life,
        }
    }
}

impl CustomerRows {
    /// Takes what a VM tells of the time under the head before.
    fn hear_former(
        &mut self,
        from: ReportSource<'_>,
        report: &PartReport,
        terms: GiveTerms,
        now: TimeStamp,
    ) {
        if self.rows.contains_key(from.name) {
            self.former.hear(report, terms.life, now);
        } else {
            self.former.take(report, terms.life, now);
        }
    }

    /// Gives a VM its part, while its row is in no sum.
    fn give(
        &mut self,
        from: ReportSource<'_>,
        report: &PartReport,
        terms: GiveTerms,
        now: TimeStamp,
    ) -> f64 {
        let LimitWant { used, want, one } = report.want;
        let all = 1.0 - EVEN_PART;
        let own = report.demand + LEAST_DEMAND;
        let fair = all * own / (own + self.sums.demand).max(LEAST_DEMAND);
        let is_told = now < self.former.until;
        let unknown = match is_told {
            true => self.former.unknown(now),
            false => terms.forgotten,
        };
        // Members that are silent hold nothing yet, and what they held before is kept back.
        let is_kept_back = terms.has_majority && terms.forgotten > 0.0;
        let free = (all - self.sums.part - unknown).max(0.0);
        // What nobody else may want can be had beyond the fair share: what is used of it already
        // stays, and half of the rest is given, or one request.
        let spare = (all - self.sums.claim - fair).max(0.0);
        let base = used.clamp(fair, fair + spare);
        let rest = fair + spare - base;
        let needed = want.min(base + (rest / 2.0).max(rest.min(one)));
        let left = all - self.sums.part - unknown - needed - RESERVE_SHARE;
        let extra = (left / one.max(f64::EPSILON) / 4.0).floor();
        let wanted = (needed + extra.clamp(0.0, EXTRA_REQUESTS) * one).min(free);
        let part = match terms.may_raise || is_kept_back {
            true => wanted,
            false => wanted.min(report.part),
        };
        let row = PartRow {
            demand: report.demand,
            // Until its next report the VM may go on with what it held.
            part: part.max(report.part).max(used),
            claim: want.min(fair).max(used),
            at: now,
            life: from.life,
        };
        self.sums.add(&row, row.part);
        self.rows.insert(from.name.to_owned(), row);
        part
    }
}
