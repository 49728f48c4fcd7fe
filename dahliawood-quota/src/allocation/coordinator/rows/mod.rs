//! One customer's parts at all VMs, and how a VM is given its own.

use crate::allocation::coordinator::former::FormerTotal;
use crate::allocation::coordinator::{ReportSource, UsageReport};
use crate::allocation::local::{AllocationNeed, usable};
use crate::allocation::{ALLOCATION_LIFETIME, EVEN_FRACTION};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Demand that every VM that reports counts with.
const LEAST_DEMAND: f64 = 0.1;
/// Requests that a VM which sees a customer now and then gets beside what it needs.
const EXTRA_REQUESTS: f64 = 2.0;
/// The share of a limit that is kept for VMs that need it, rather than given out as extra.
const RESERVE_SHARE: f64 = 0.2;
/// How long sums over all VMs hold. Meanwhile parts that end are still counted.
const SUM_LIFE: Duration = Duration::from_millis(250);

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
pub(super) struct CustomerRows {
    rows: FastMap<String, PartRow>,
    ended: Vec<EndedUse>,
    former: FormerTotal,
    sums: RowSums,
    summed_at: Option<TimeStamp>,
}

/// How a head gives parts now.
#[derive(Clone, Copy, Debug)]
pub(super) struct GiveTerms {
    /// The life of the head.
    pub life: u64,
    /// Whether a VM may get more than it holds.
    pub may_raise: bool,
    /// Whether what was given under the head before still counts.
    pub is_new: bool,
    /// The part of a limit that processes may have used which ended before the oldest one of now
    /// was started, while it still counts.
    pub forgotten: f64,
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
    pub fn refresh(&mut self, window: Duration, now: TimeStamp) {
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
    pub fn withdraw(&mut self, from: ReportSource<'_>, window: Duration, now: TimeStamp) {
        let Some(row) = self.rows.remove(from.name) else {
            return;
        };
        self.sums.subtract(&row, Self::in_force(&row, window, now));
        if row.life != from.incarnation {
            self.end(row.part, now.after(window));
        }
    }

    /// Counts a part until a time, whose VM no longer reports it.
    pub fn end(&mut self, part: f64, until: TimeStamp) {
        if part > 0.0 {
            self.ended.push(EndedUse { part, until });
            self.sums.part += part;
            self.sums.claim += part;
        }
    }

    /// What all VMs hold, and may hold unknown to this head.
    pub fn total(&self, now: TimeStamp) -> f64 {
        self.sums.part + self.former.unknown(now)
    }

    /// Takes what a VM tells of the time under the head before.
    pub fn hear_former(
        &mut self,
        from: ReportSource<'_>,
        report: &UsageReport,
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
    pub fn give(
        &mut self,
        from: ReportSource<'_>,
        report: &UsageReport,
        terms: GiveTerms,
        now: TimeStamp,
    ) -> f64 {
        let AllocationNeed {
            used,
            wanted,
            per_request,
        } = report.need;
        let all = 1.0 - EVEN_FRACTION;
        let own = report.demand + LEAST_DEMAND;
        let fair = all * own / (own + self.sums.demand).max(LEAST_DEMAND);
        let unknown = match self.former.is_told(now) {
            true => self.former.unknown(now),
            false => terms.forgotten,
        };
        let free = (all - self.sums.part - unknown).max(0.0);
        // What nobody else may want can be had beyond the fair share: what is used of it already
        // stays, and half of the rest is given, or one request.
        let spare = (all - self.sums.claim - fair).max(0.0);
        let base = used.clamp(fair, fair + spare);
        let rest = fair + spare - base;
        let needed = wanted.min(base + (rest / 2.0).max(rest.min(per_request)));
        let left = all - self.sums.part - unknown - needed - RESERVE_SHARE;
        let extra = (left / per_request.max(f64::EPSILON) / 4.0).floor();
        let allowed = (needed + extra.clamp(0.0, EXTRA_REQUESTS) * per_request).min(free);
        let part = match terms.may_raise {
            true => allowed,
            false => allowed.min(report.fraction),
        };
        let row = PartRow {
            demand: report.demand,
            // Until its next report the VM may go on with what it held.
            part: part.max(report.fraction).max(used),
            claim: wanted.min(fair).max(used),
            at: now,
            life: from.incarnation,
        };
        self.sums.add(&row, row.part);
        self.rows.insert(from.name.to_owned(), row);
        part
    }
}

fn is_heard(row: &PartRow, now: TimeStamp) -> bool {
    now.since(row.at) < ALLOCATION_LIFETIME
}
