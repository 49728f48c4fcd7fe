//! The parts that a VM holds, and what it wants of each limit.

use crate::allocation::coordinator::{AllocatedTotal, CustomerAllocation};
use crate::allocation::{ALLOCATION_LIFETIME, EVEN_FRACTION, HALF_ALLOCATION_LIFETIME};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Demand that a VM asks room for beforehand.
const AHEAD: Duration = Duration::from_millis(500);
/// A part of one customer's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct HeldPart {
    part: f64,
    /// What all VMs held then.
    total: f64,
    /// The life of the head that told it.
    head: u64,
    /// When the question was sent that the head answered with it.
    asked: TimeStamp,
}

/// The parts that a VM holds of all customers' limits.
#[derive(Clone, Debug, Default)]
pub struct LocalAllocations {
    parts: FastMap<String, HeldPart>,
}

/// What a VM has done with one customer's limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitUsage {
    /// Requests of the whole limit, in a window.
    pub limit: f64,
    /// Requests that this VM took in the window.
    pub admitted: f64,
    /// Requests a second that are asked for at this VM.
    pub demand: f64,
    /// Requests that wait for room now.
    pub waiting: f64,
}

/// What a VM wants of a limit beside its even part, in parts of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocationNeed {
    /// What it used up in the window.
    pub used: f64,
    /// What it wants to hold.
    pub wanted: f64,
    /// The part that one request takes.
    pub per_request: f64,
}

/// The part that each of so many VMs has without asking.
pub fn even_fraction(vms: usize) -> f64 {
    EVEN_FRACTION / vms.max(1) as f64
}

impl LimitUsage {
    /// What a VM among `vms` wants to hold beside its even part.
    pub fn need(&self, vms: usize) -> AllocationNeed {
        let per_request = 1.0 / self.limit.max(1.0);
        // A part of a request is of no use.
        let ahead = (self.demand * AHEAD.as_secs_f64()).floor() + self.waiting;
        let beside_even = |requests: f64| (requests * per_request - even_fraction(vms)).max(0.0);
        AllocationNeed {
            used: beside_even(self.admitted),
            wanted: beside_even(self.admitted + ahead),
            per_request,
        }
    }
}

/// What of a part may still be used a while after it was asked for.
pub(super) fn usable(part: f64, asked: TimeStamp, now: TimeStamp) -> f64 {
    let age = now.since(asked);
    if age < ALLOCATION_LIFETIME {
        part
    } else if age < ALLOCATION_LIFETIME + HALF_ALLOCATION_LIFETIME {
        part / 2.0
    } else {
        0.0
    }
}

impl LocalAllocations {
    /// Takes what the head answered to a question sent at `asked`.
    pub fn accept(&mut self, allocation: &CustomerAllocation, asked: TimeStamp) {
        let held = HeldPart {
            part: allocation.fraction,
            total: allocation.total,
            head: allocation.coordinator,
            asked,
        };
        self.parts.insert(allocation.customer.clone(), held);
    }

    /// What this VM holds of a customer's limit beside the even part.
    pub fn held(&self, customer: &str, now: TimeStamp) -> f64 {
        let newest = self.parts.get(customer);
        newest.map_or(0.0, |held| usable(held.part, held.asked, now))
    }

    /// What the head told last that all VMs held; it counts for a `window`.
    pub fn total(&self, customer: &str, window: Duration, now: TimeStamp) -> AllocatedTotal {
        let newest = self.parts.get(customer);
        newest.map_or_else(AllocatedTotal::default, |held| AllocatedTotal {
            fraction: held.total,
            coordinator: held.head,
            valid_for: window.saturating_sub(now.since(held.asked)),
        })
    }

    /// What this VM may use of a customer's limit, among `vms` that live.
    pub fn usable(&self, customer: &str, vms: usize, now: TimeStamp) -> f64 {
        even_fraction(vms) + self.held(customer, now)
    }
}
