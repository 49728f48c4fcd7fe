//! What the head knows of the parts in force, and how it gives them out.

use crate::grant::holder::usable;
use crate::grant::{EVEN_PART, PART_LIFE};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;

/// Demand that every VM counts with, so that one with no callers yet holds something.
const LEAST_DEMAND: f64 = 0.5;

/// A customer at one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct PartReport {
    /// The customer.
    pub customer: String,
    /// Requests a second that were asked for there.
    pub demand: f64,
    /// What the VM holds of the limit.
    pub part: f64,
}

/// What a VM may use from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct GivenPart {
    /// The customer.
    pub customer: String,
    /// Its part of the customer's limit.
    pub part: f64,
    /// Requests a second that are asked for at all VMs.
    pub demand: f64,
}

/// What one VM may use of one customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PartRow {
    demand: f64,
    part: f64,
    at: TimeStamp,
}

/// The parts of all VMs.
#[derive(Clone, Debug, Default)]
pub struct PartBook {
    rows: FastMap<String, FastMap<String, PartRow>>,
    heard: FastMap<String, TimeStamp>,
    head_since: Option<TimeStamp>,
}

impl PartBook {
    /// Takes a VM's report, and answers what it may use from now on. `members` are the VMs that are
    /// known to live; one that reports lives, whether it is known or not.
    pub fn report(
        &mut self,
        from: &str,
        reports: &[PartReport],
        members: &[&str],
        now: TimeStamp,
    ) -> Vec<GivenPart> {
        let since = *self.head_since.get_or_insert(now);
        self.heard.insert(from.to_owned(), now);
        let may_raise = now.since(since) >= PART_LIFE || self.is_complete(members, now);
        reports
            .iter()
            .map(|report| self.give(from, report, members, may_raise, now))
            .collect()
    }

    /// Forgets a VM that has stopped using its parts.
    pub fn release(&mut self, from: &str) {
        self.rows.values_mut().for_each(|rows| {
            rows.remove(from);
        });
        self.heard.remove(from);
    }

    /// Notes that this VM is not the head: what it knew of others ages.
    pub fn step_down(&mut self) {
        self.head_since = None;
        self.heard.clear();
        self.rows.clear();
    }

    /// Whether every member has reported within the life of a part.
    fn is_complete(&self, members: &[&str], now: TimeStamp) -> bool {
        self.count_heard(members, now) == members.len()
    }

    /// Whether more than half of the members have reported: a head that is cut off gives nothing.
    pub fn has_majority(&self, members: &[&str], now: TimeStamp) -> bool {
        self.count_heard(members, now) * 2 > members.len()
    }

    /// Members that have reported within the life of a part.
    fn count_heard(&self, members: &[&str], now: TimeStamp) -> usize {
        let heard = members.iter().filter_map(|name| self.heard.get(*name));
        heard.filter(|heard| now.since(**heard) < PART_LIFE).count()
    }

    /// Gives a VM its part of one limit.
    fn give(
        &mut self,
        from: &str,
        report: &PartReport,
        members: &[&str],
        may_raise: bool,
        now: TimeStamp,
    ) -> GivenPart {
        let rows = self.rows.entry(report.customer.clone()).or_default();
        let is_fresh = |row: &PartRow| now.since(row.at) < PART_LIFE;
        rows.retain(|_, row| is_fresh(row) || usable(row.part, row.at, now) > 0.0);
        let others = rows.iter().filter(|(name, _)| *name != from);
        let in_force: f64 = others
            .clone()
            .map(|(_, row)| usable(row.part, row.at, now))
            .sum();
        let reported: f64 = rows
            .iter()
            .filter(|(name, row)| *name != from && is_fresh(row))
            .map(|(_, row)| row.demand + LEAST_DEMAND)
            .sum();
        let is_silent =
            |name: &&&str| **name != from && rows.get(**name).is_none_or(|row| !is_fresh(row));
        let silent = members.iter().filter(is_silent).count() as f64 * LEAST_DEMAND;
        let own = report.demand + LEAST_DEMAND;
        let wanted = (1.0 - EVEN_PART) * own / (own + reported + silent);
        let free = (1.0 - EVEN_PART - in_force).max(0.0);
        let most = if may_raise {
            free
        } else {
            free.min(report.part)
        };
        let part = wanted.min(most);
        let row = PartRow {
            demand: report.demand,
            // Until its next report the VM may go on with what it held.
            part: part.max(report.part),
            at: now,
        };
        rows.insert(from.to_owned(), row);
        GivenPart {
            customer: report.customer.clone(),
            part,
            demand: report.demand + reported,
        }
    }
}
