//! Plans for large fleets: changes in quick succession beside faults that concern many VMs at once.

use super::{LinkFault, SoakEvent, SoakPlan, SoakStep, TARGET_FAULTS, VmGroup};
use crate::keyspace::StoreFault;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Longest time between the starts of two events, milliseconds.
const LONGEST_GAP_MS: u64 = 500;
/// Range of the duration of an event, milliseconds; of one that concerns many VMs.
const DURATION_MS: std::ops::Range<u64> = 300..3_000;
const GROUP_DURATION_MS: std::ops::Range<u64> = 1_000..6_000;

/// The parts of a large fleet that a plan refers to.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of VMs.
    pub vms: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of targets of all services.
    pub targets: usize,
}

impl SoakPlan {
    /// Draws a plan for a large fleet whose events start within `span`.
    pub fn draw_size(seed: u64, size: FleetSize, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::ZERO;
        while at < span {
            let event = draw_event(&mut rng, size);
            let range = match event {
                SoakEvent::GroupStoreLink(..)
                | SoakEvent::GroupRefused(..)
                | SoakEvent::GroupPeerLinks(..)
                | SoakEvent::StoreReadsOld
                | SoakEvent::DomainEvacuated(_) => GROUP_DURATION_MS,
                _ => DURATION_MS,
            };
            steps.push(SoakStep {
                at,
                duration: Duration::from_millis(rng.random_range(range)),
                event,
            });
            at += Duration::from_millis(rng.random_range(0..LONGEST_GAP_MS));
        }
        Self { steps }
    }
}

fn draw_event(rng: &mut StdRng, size: FleetSize) -> SoakEvent {
    let vm = rng.random_range(0..size.vms);
    let target = rng.random_range(0..size.targets);
    match rng.random_range(0..100) {
        0..28 => SoakEvent::RoutesChanged,
        28..36 => SoakEvent::TargetReplaced(target),
        36..44 => SoakEvent::TargetDrained(target),
        44..50 => SoakEvent::TargetLeaving(target),
        50..54 => SoakEvent::DomainEvacuated(rng.random_range(0..size.domains)),
        54..62 => SoakEvent::GroupRefused(draw_group(rng, size), draw_refusal(rng)),
        62..67 => SoakEvent::GroupStoreLink(draw_group(rng, size), draw_link_fault(rng)),
        67..71 => SoakEvent::GroupKilled(draw_group(rng, size)),
        71..73 => SoakEvent::GroupPaused(draw_group(rng, size)),
        73..77 => SoakEvent::GroupPeerLinks(draw_group(rng, size), draw_link_fault(rng)),
        77..79 => SoakEvent::StoreUnavailable,
        79..82 => SoakEvent::StoreCompacted,
        82..86 => SoakEvent::StoreReadsOld,
        86..88 => SoakEvent::StoreLink(vm, draw_link_fault(rng)),
        88..90 => SoakEvent::StoreStalled(vm),
        90..92 => SoakEvent::VmPaused(vm),
        92..94 => SoakEvent::VmKilled(vm),
        94..96 => SoakEvent::VmTerminated(vm),
        96..98 => SoakEvent::TargetFault(
            target,
            TARGET_FAULTS[rng.random_range(0..TARGET_FAULTS.len())],
        ),
        _ => SoakEvent::RoutesGrown,
    }
}

fn draw_group(rng: &mut StdRng, size: FleetSize) -> VmGroup {
    match rng.random_bool(0.5) {
        true => VmGroup::Domain {
            domain: rng.random_range(0..size.domains),
            of: size.domains,
        },
        false => VmGroup::Third {
            place: rng.random_range(0..3),
            of: size.domains,
        },
    }
}

fn draw_refusal(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..3) {
        0 => StoreFault::Unavailable,
        1 => StoreFault::Silent,
        _ => StoreFault::Stalled,
    }
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..4) {
        0 => LinkFault::Delayed,
        1 => LinkFault::Reset,
        2 => LinkFault::Silent,
        _ => LinkFault::OneWay,
    }
}
