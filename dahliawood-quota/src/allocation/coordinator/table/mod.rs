//! The allocations of one customer's limit to all VMs, and how they are computed.

use crate::allocation::coordinator::predecessor::{PredecessorCounting, PredecessorTotal};
use crate::allocation::coordinator::{ReportSource, UsageReport};
use crate::allocation::local::{AllocationNeed, usable};
use crate::allocation::{ALLOCATION_LIFETIME, EVEN_FRACTION};
use crate::usage_limit::UsageLimit;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Requests a second added to the demand of each VM that reports.
const MIN_DEMAND: f64 = 0.1;
/// Requests that a VM gets beyond its need, for a customer whose requests reach it only rarely.
const EXTRA_REQUESTS: f64 = 2.0;
/// The fraction of a limit that is kept for VMs that need it and not allocated as extra requests.
const RESERVED_FRACTION: f64 = 0.2;
/// How long the sums over all VMs are cached. Allocations that end meanwhile are still counted.
const SUM_LIFETIME: Duration = Duration::from_millis(250);

/// One VM's allocation of one customer's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct AllocationRow {
    demand: f64,
    /// The most that the VM may hold until its next report.
    fraction: f64,
    /// The fraction reserved for the VM: what it used, or what it requests within its fair share.
    claim: f64,
    reported_at: TimeStamp,
    incarnation: u64,
}

/// Usage by a process that has ended; it counts until the window has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EndedUsage {
    fraction: f64,
    until: TimeStamp,
}

/// Sums over all VMs, for one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RowSums {
    demand: f64,
    fraction: f64,
    claim: f64,
}

/// The allocations of one customer's limit.
#[derive(Clone, Debug, Default)]
pub(super) struct AllocationTable {
    rows: FastMap<String, AllocationRow>,
    ended: Vec<EndedUsage>,
    predecessor: PredecessorTotal,
    /// The customer's limit, as the latest report has it.
    pub limit: UsageLimit,
    sums: RowSums,
    summed_at: Option<TimeStamp>,
}

/// The rules for one round of allocation.
#[derive(Clone, Copy, Debug)]
pub(super) struct AllocationTerms {
    /// Incarnation of the coordinator.
    pub incarnation: u64,
    /// Whether a VM may be allocated more than it holds.
    pub may_raise: bool,
    /// Whether allocations of the previous coordinator may still count.
    pub may_have_predecessor: bool,
    /// What may have been used, and still counts, by processes of which no report tells.
    pub unknown: UnknownUsage,
    /// How long what the previous coordinator allocated counts.
    pub counting: PredecessorCounting,
}

/// What processes that are gone may have used of a limit of which no report tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum UnknownUsage {
    /// Nothing.
    Nothing,
    /// All of it.
    All,
    /// All processes are new: what their predecessors used is bounded for each span, so that the fleet may
    /// use what it has earned since the start of its oldest process.
    NewFleet {
        /// How long that process has run.
        age: Duration,
    },
}

impl UnknownUsage {
    /// The fraction of `limit`.
    fn fraction(self, limit: &UsageLimit) -> f64 {
        match self {
            Self::Nothing => 0.0,
            Self::All => 1.0,
            Self::NewFleet { age } => 1.0 - limit.earned_fraction(age),
        }
    }
}

impl RowSums {
    fn add(&mut self, row: &AllocationRow, fraction: f64) {
        self.demand += row.demand + MIN_DEMAND;
        self.fraction += fraction;
        self.claim += row.claim;
    }

    fn subtract(&mut self, row: &AllocationRow, fraction: f64) {
        self.demand -= row.demand + MIN_DEMAND;
        self.fraction -= fraction;
        self.claim -= row.claim;
    }
}

impl AllocationTable {
    /// The fraction that a row still counts for: the VM may use its allocation for a while, and
    /// requests admitted under it count for one window after that.
    fn counted_fraction(row: &AllocationRow, window: Duration, now: TimeStamp) -> f64 {
        usable(row.fraction, row.reported_at.after(window), now)
    }

    /// Recomputes the sums if they are older than [`SUM_LIFETIME`].
    pub fn refresh(&mut self, window: Duration, now: TimeStamp) {
        let is_fresh = |at: TimeStamp| now.since(at) < SUM_LIFETIME;
        if self.summed_at.is_some_and(is_fresh) {
            return;
        }
        self.summed_at = Some(now);
        self.ended.retain(|ended| now < ended.until);
        self.rows
            .retain(|_, row| Self::counted_fraction(row, window, now) > 0.0 || is_live(row, now));
        self.sums = RowSums::default();
        for row in self.rows.values_mut() {
            if !is_live(row, now) {
                row.demand = 0.0;
                row.claim = 0.0;
            }
            self.sums.add(row, Self::counted_fraction(row, window, now));
        }
        let ended: f64 = self.ended.iter().map(|ended| ended.fraction).sum();
        self.sums.fraction += ended;
        self.sums.claim += ended;
    }

    /// Removes a VM's row from the table and the sums. If the VM's process has been restarted, the
    /// allocation of the earlier process counts for one more window.
    pub fn remove_row(&mut self, from: ReportSource<'_>, window: Duration, now: TimeStamp) {
        let Some(row) = self.rows.remove(from.name) else {
            return;
        };
        self.sums
            .subtract(&row, Self::counted_fraction(&row, window, now));
        if row.incarnation != from.incarnation {
            self.count_ended(row.fraction, now.after(window));
        }
    }

    /// Counts usage that its VM no longer reports, until `until`.
    pub fn count_ended(&mut self, fraction: f64, until: TimeStamp) {
        if fraction > 0.0 {
            self.ended.push(EndedUsage { fraction, until });
            self.sums.fraction += fraction;
            self.sums.claim += fraction;
        }
    }

    /// The fraction that VMs may hold, or processes that ended may have used, of which no report
    /// tells; `unknown` is that of a customer that no report names.
    fn unknown(&self, unknown: UnknownUsage, counting: PredecessorCounting, now: TimeStamp) -> f64 {
        let unheard = self.predecessor.unknown(counting, now);
        let is_all = unknown == UnknownUsage::All;
        match self.predecessor.is_complete(counting, now) || (is_all && self.predecessor.is_told())
        {
            true => unheard,
            false => unheard.max(unknown.fraction(&self.limit)),
        }
    }

    /// The fraction that all VMs hold, with what is [unknown](Self::unknown).
    pub fn total(
        &self,
        unknown: UnknownUsage,
        counting: PredecessorCounting,
        now: TimeStamp,
    ) -> f64 {
        self.sums.fraction + self.unknown(unknown, counting, now)
    }

    /// Records what a VM reports about allocations of the previous coordinator.
    pub fn record_predecessor(
        &mut self,
        from: ReportSource<'_>,
        report: &UsageReport,
        terms: AllocationTerms,
        now: TimeStamp,
    ) {
        if self.rows.contains_key(from.name) {
            self.predecessor
                .record_total(report, terms.incarnation, terms.counting.window, now);
        } else {
            self.predecessor
                .record_holder(report, terms.incarnation, terms.counting.window, now);
        }
    }

    /// Computes a VM's allocation and adds its row; the VM's earlier row must have been removed.
    pub fn allocate(
        &mut self,
        from: ReportSource<'_>,
        report: &UsageReport,
        terms: AllocationTerms,
        now: TimeStamp,
    ) -> f64 {
        let AllocationNeed {
            used,
            requested,
            per_request,
        } = report.need;
        let all = 1.0 - EVEN_FRACTION;
        let own = report.demand + MIN_DEMAND;
        let fair = all * own / (own + self.sums.demand).max(MIN_DEMAND);
        let unknown = self.unknown(terms.unknown, terms.counting, now);
        let free = (all - self.sums.fraction - unknown).max(0.0);
        // A VM may exceed its fair share by what no other VM claims: it keeps what it already
        // uses of that, and gets half of the rest, or at least one request if there is room.
        let spare = (all - self.sums.claim - fair).max(0.0);
        let base = used.clamp(fair, fair + spare);
        let rest = fair + spare - base;
        let needed = requested.min(base + (rest / 2.0).max(rest.min(per_request)));
        let left = all - self.sums.fraction - unknown - needed - RESERVED_FRACTION;
        let extra = (left / per_request.max(f64::EPSILON) / 4.0).floor();
        let allowed = (needed + extra.clamp(0.0, EXTRA_REQUESTS) * per_request).min(free);
        let fraction = match terms.may_raise {
            true => allowed,
            false => allowed.min(report.fraction),
        };
        let row = AllocationRow {
            demand: report.demand,
            // The answer may be lost, and the VM then goes on with what it held.
            fraction: fraction.max(report.fraction).max(used),
            claim: requested.min(fair).max(used),
            reported_at: now,
            incarnation: from.incarnation,
        };
        self.sums.add(&row, row.fraction);
        self.rows.insert(from.name.to_owned(), row);
        fraction
    }
}

fn is_live(row: &AllocationRow, now: TimeStamp) -> bool {
    now.since(row.reported_at) < ALLOCATION_LIFETIME
}
