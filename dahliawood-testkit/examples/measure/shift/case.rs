//! The simulated cases: a region loss or a drain, and how requests reach other regions.

use crate::steer::load::target_region;
use std::time::Duration;

/// Duration of a planned drain.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(30);
/// Time at which the region is lost or its drain begins, microseconds.
pub const FAULT_US: u64 = 20_000_000;
/// Time at which a lost region accepts connections again, microseconds.
pub const RETURN_US: u64 = 60_000_000;

/// The fault or operation that takes the first region out of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShiftFault {
    /// Its targets refuse connections from [`FAULT_US`] to [`RETURN_US`] and return cold.
    Lost,
    /// An operator drains it.
    Drained,
}

/// How a request reaches a target of another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ShiftRouting {
    /// The VM sends it to the target itself; the slot is in use during the network round trip too.
    #[display("direct")]
    Direct,
    /// The VM hands it over to a VM of the other region.
    #[display("handed-over")]
    HandedOver,
}

/// One simulated case.
#[derive(Clone, Copy, Debug)]
pub struct ShiftCase {
    /// What happens to the first region.
    pub fault: ShiftFault,
    /// How requests reach targets of other regions.
    pub routing: ShiftRouting,
    /// Size of an answer, bytes.
    pub answer_bytes: f64,
    /// Request rate, percent of what all slots can serve.
    pub percent: u32,
}

impl ShiftCase {
    /// Slots of a target that the VMs of its own region hold, and those that the VMs of each other
    /// region hold; `is_moved` says whether slots have moved after the fault.
    pub fn slot_limits(&self, is_moved: bool) -> (u32, u32) {
        match (self.routing, is_moved) {
            (ShiftRouting::HandedOver, _) => (8, 0),
            (ShiftRouting::Direct, false) => (6, 1),
            (ShiftRouting::Direct, true) => (4, 4),
        }
    }

    /// Whether `target` refuses connections at `now_us`.
    pub fn is_unreachable(&self, target: usize, now_us: u64) -> bool {
        let lost = self.fault == ShiftFault::Lost && (FAULT_US..RETURN_US).contains(&now_us);
        lost && target_region(target) == 0
    }

    /// Whether the first region is lost or draining at `now_us`.
    pub fn in_fault(&self, now_us: u64) -> bool {
        let end_us = match self.fault {
            ShiftFault::Lost => RETURN_US,
            ShiftFault::Drained => FAULT_US + DRAIN_PERIOD.as_micros() as u64,
        };
        (FAULT_US..end_us).contains(&now_us)
    }
}
