//! The allocations that one VM holds, and how it computes what it needs of each limit.

use crate::allocation::coordinator::{AllocatedTotal, CustomerAllocation};
use crate::allocation::{
    ALLOCATION_LIFETIME, EVEN_FRACTION, HALF_ALLOCATION_LIFETIME, longest_counted_time,
};
use crate::usage_limit::UsageLimit;
use crate::window::CustomerWindows;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// A VM requests room in advance for the demand of this span.
const LOOKAHEAD: Duration = Duration::from_millis(500);

/// Demand below which an otherwise inactive customer is not reported, requests per second.
const MIN_DEMAND: f64 = 0.01;

/// A VM's allocation of one customer's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct HeldAllocation {
    fraction: f64,
    /// Sum over all VMs when the coordinator answered.
    total: f64,
    /// Incarnation of the coordinator that answered.
    coordinator: u64,
    /// When this VM sent the report that the coordinator answered.
    requested_at: TimeStamp,
    /// The most that the coordinator counts for this VM until the next report: also the fraction
    /// that the report stated, because the answer may have been lost.
    counted: f64,
}

/// One VM's allocations of all customers' limits.
#[derive(Clone, Debug, Default)]
pub struct LocalAllocations {
    allocations: FastMap<String, HeldAllocation>,
}

/// One VM's usage of one customer's limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitUsage {
    /// Requests that this VM admitted in the window.
    pub admitted: f64,
    /// The fraction of the whole limit that they take.
    pub used: f64,
    /// The fraction that they take with those that are expected next.
    pub expected: f64,
    /// Requests that are expected next.
    pub ahead: f64,
    /// Requests that the whole limit allows in a window.
    pub per_window: f64,
    /// The fraction that one request takes.
    pub per_request: f64,
    /// Requests a second that arrive at this VM, admitted or not.
    pub demand: f64,
    /// Requests that wait for room.
    pub waiting: f64,
}

/// What a VM needs of a limit beyond its even fraction, as fractions of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocationNeed {
    /// Used in the current window.
    pub used: f64,
    /// The allocation that the VM requests.
    pub requested: f64,
    /// The fraction that one request takes.
    pub per_request: f64,
}

/// The fraction that each of `vms` VMs may use without an allocation.
pub fn even_fraction(vms: usize) -> f64 {
    EVEN_FRACTION / vms.max(1) as f64
}

impl LimitUsage {
    /// The usage of a customer's whole `limit`, with `waiting` requests that wait for room.
    pub fn of(
        windows: &mut CustomerWindows,
        customer: &str,
        limit: &UsageLimit,
        waiting: f64,
        now: TimeStamp,
    ) -> Self {
        let demand = windows.demand(customer, now);
        // Rounded down: an allocation of less than one request cannot be used.
        let ahead = (demand * LOOKAHEAD.as_secs_f64()).floor() + waiting;
        Self {
            admitted: f64::from(windows.admitted(customer, now)),
            used: windows.fraction(customer, limit, 0.0, now),
            expected: windows.fraction(customer, limit, ahead, now),
            ahead,
            per_window: limit.per_window,
            per_request: 1.0 / limit.at_once.max(1.0),
            demand,
            waiting,
        }
    }

    /// What this VM needs beyond its `even` fraction.
    pub fn need(&self, even: f64) -> AllocationNeed {
        let even_requests = even * self.per_window;
        let beyond_even = |requests: f64, fraction: f64| match requests <= even_requests {
            true => 0.0,
            false => (fraction - even).max(0.0),
        };
        AllocationNeed {
            used: beyond_even(self.admitted, self.used),
            requested: beyond_even(self.admitted + self.ahead, self.expected),
            per_request: self.per_request,
        }
    }
}

/// How much of an allocation is usable at `now`: all, then half, then nothing.
pub(super) fn usable(fraction: f64, requested_at: TimeStamp, now: TimeStamp) -> f64 {
    let age = now.since(requested_at);
    if age < ALLOCATION_LIFETIME {
        fraction
    } else if age < ALLOCATION_LIFETIME + HALF_ALLOCATION_LIFETIME {
        fraction / 2.0
    } else {
        0.0
    }
}

impl LocalAllocations {
    /// Stores the coordinator's answer to a report sent at `requested_at`, unless its numbers are no
    /// fractions of a limit.
    pub fn accept(&mut self, allocation: &CustomerAllocation, requested_at: TimeStamp) {
        let is_valid = (0.0..=1.0).contains(&allocation.fraction) && allocation.total.is_finite();
        if !is_valid {
            return;
        }
        let stated = self.held(&allocation.customer, requested_at);
        let held = HeldAllocation {
            fraction: allocation.fraction,
            total: allocation.total,
            coordinator: allocation.coordinator,
            requested_at,
            counted: allocation.fraction.max(stated),
        };
        self.allocations.insert(allocation.customer.clone(), held);
    }

    /// The fraction of a customer's limit that is allocated to this VM beyond the even fraction.
    pub fn held(&self, customer: &str, now: TimeStamp) -> f64 {
        let newest = self.allocations.get(customer);
        newest.map_or(0.0, |held| usable(held.fraction, held.requested_at, now))
    }

    /// Whether a customer's `usage` must be reported. A VM that stopped reporting with the answer
    /// that takes its last fraction would leave that fraction counted, and used by nobody, until
    /// the allocation expires; it reports once more.
    pub fn must_report(&self, customer: &str, usage: &LimitUsage) -> bool {
        let newest = self.allocations.get(customer);
        newest.is_some_and(|held| held.counted > 0.0)
            || usage.admitted + usage.waiting > 0.0
            || usage.demand >= MIN_DEMAND
    }

    /// The sum over all VMs that the coordinator sent last, while it may still count.
    pub fn total(&self, customer: &str, window: Duration, now: TimeStamp) -> AllocatedTotal {
        let newest = self.allocations.get(customer);
        let newest = newest.map(|held| AllocatedTotal {
            fraction: held.total,
            coordinator: held.coordinator,
            age: now.since(held.requested_at),
        });
        let longest = longest_counted_time(window);
        newest
            .filter(|total| total.age < longest)
            .unwrap_or_default()
    }

    /// The fraction of a customer's limit that this VM may use, its `even` fraction included.
    pub fn usable(&self, customer: &str, even: f64, now: TimeStamp) -> f64 {
        even + self.held(customer, now)
    }
}
