//! What happens in a run.

use crate::steer::load::target_region;
use std::time::Duration;

/// The time that a planned drain is given.
pub const DRAIN_OVER: Duration = Duration::from_secs(30);
/// When the region is lost or its drain begins, microseconds.
pub const FAULT_US: u64 = 20_000_000;
/// When a lost region is back, microseconds.
pub const RETURN_US: u64 = 60_000_000;

/// What happens to the first region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShiftFault {
    /// Its targets refuse connections for a while and come back cold.
    Lost,
    /// It is drained.
    Drained,
}

/// How a request reaches another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ShiftWay {
    /// Straight to a target, on a slot that is taken for the way as well.
    #[display("direct")]
    Direct,
    /// Handed over to a VM there.
    #[display("handed-over")]
    HandedOver,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub struct ShiftCase {
    /// What happens.
    pub fault: ShiftFault,
    /// How requests reach another region.
    pub way: ShiftWay,
    /// Size of an answer, bytes.
    pub answer_bytes: f64,
    /// Requests, percent of what all slots can serve.
    pub percent: u32,
}

impl ShiftCase {
    /// Slots of a target that the VMs of its own region hold, and those of each other one.
    pub fn held(&self, is_moved: bool) -> (u32, u32) {
        match (self.way, is_moved) {
            (ShiftWay::HandedOver, _) => (8, 0),
            (ShiftWay::Direct, false) => (6, 1),
            (ShiftWay::Direct, true) => (4, 4),
        }
    }

    /// Whether a target refuses connections.
    pub fn is_lost(&self, target: usize, now_us: u64) -> bool {
        let lost = self.fault == ShiftFault::Lost && (FAULT_US..RETURN_US).contains(&now_us);
        lost && target_region(target) == 0
    }

    /// Whether the region is lost or draining.
    pub fn in_fault(&self, now_us: u64) -> bool {
        let end_us = match self.fault {
            ShiftFault::Lost => RETURN_US,
            ShiftFault::Drained => FAULT_US + DRAIN_OVER.as_micros() as u64,
        };
        (FAULT_US..end_us).contains(&now_us)
    }
}
