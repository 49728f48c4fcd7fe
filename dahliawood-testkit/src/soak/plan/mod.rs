//! A history of faults and changes, drawn from a seed.

use crate::instance::InstanceBehavior;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Targets of each service.
pub const TARGETS: usize = 4;

/// How a link misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes come late, both ways.
    Delayed,
    /// Connections are reset, new ones too.
    Reset,
    /// No bytes come through, either way, and connections stay open.
    Silent,
    /// Bytes come through to the server only.
    OneWay,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakEvent {
    /// A VM's link to the store misbehaves.
    StoreLink(usize, LinkFault),
    /// The link of all VMs to a target misbehaves.
    TargetLink(usize, LinkFault),
    /// A target misbehaves.
    TargetBehavior(usize, InstanceBehavior),
    /// The store refuses all calls.
    StoreUnavailable,
    /// The store drops its history.
    StoreCompacted,
    /// A VM's process is paused.
    VmPaused(usize),
    /// A VM's process is killed, and started again at the end.
    VmKilled(usize),
    /// A VM's process is told to end, and started again once it has.
    VmTerminated(usize),
    /// A VM reads its settings again.
    VmReloaded(usize),
    /// A target leaves, and another one takes its address at the end.
    TargetReplaced(usize),
    /// Routes go to the other service.
    RoutesChanged,
}

/// An event with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakStep {
    /// From the first fault on.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What happens.
    pub event: SoakEvent,
}

/// A history, in the order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Its steps.
    pub steps: Vec<SoakStep>,
}

/// Time between two events, in the mean, milliseconds.
const GAP_MS: u64 = 700;
/// How long an event lasts, milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..3_000;

impl SoakStep {
    /// When it ends.
    pub fn end(&self) -> Duration {
        self.at + self.duration
    }
}

impl SoakPlan {
    /// Draws a history whose events begin within `span`. Every other event repeats the one before or
    /// follows it closely, so that two of them overlap.
    pub fn draw(seed: u64, vms: usize, span: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut steps: Vec<SoakStep> = Vec::new();
        let mut at = Duration::ZERO;
        while at < span {
            let again = steps.last().filter(|_| random.random_bool(0.15));
            let event = match again {
                Some(step) => step.event,
                None => draw_event(&mut random, vms),
            };
            let duration = Duration::from_millis(random.random_range(DURATION_MS));
            steps.push(SoakStep {
                at,
                duration,
                event,
            });
            at += Duration::from_millis(random.random_range(0..2 * GAP_MS));
        }
        Self { steps }
    }

    /// When the last event is over.
    pub fn end(&self) -> Duration {
        let ends = self.steps.iter().map(SoakStep::end);
        ends.max().unwrap_or_default()
    }
}

/// What targets do to those who call them.
const TARGET_FAULTS: [InstanceBehavior; 8] = [
    InstanceBehavior::Overloaded,
    InstanceBehavior::NoResponse,
    InstanceBehavior::Truncated,
    InstanceBehavior::StaleFirst,
    InstanceBehavior::TrailingBytes,
    InstanceBehavior::Unframed,
    InstanceBehavior::Failing,
    InstanceBehavior::Hanging,
];

fn draw_event(random: &mut StdRng, vms: usize) -> SoakEvent {
    let vm = random.random_range(0..vms);
    let target = random.random_range(0..2 * TARGETS);
    let fault = match random.random_range(0..4) {
        0 => LinkFault::Delayed,
        1 => LinkFault::Reset,
        2 => LinkFault::Silent,
        _ => LinkFault::OneWay,
    };
    let behavior = TARGET_FAULTS[random.random_range(0..TARGET_FAULTS.len())];
    match random.random_range(0..15) {
        0 | 1 => SoakEvent::StoreLink(vm, fault),
        2 | 3 => SoakEvent::TargetLink(target, fault),
        4 => SoakEvent::StoreUnavailable,
        5 => SoakEvent::StoreCompacted,
        6 => SoakEvent::VmPaused(vm),
        7 => SoakEvent::VmKilled(vm),
        8 => SoakEvent::VmTerminated(vm),
        9 => SoakEvent::VmReloaded(vm),
        10 => SoakEvent::TargetReplaced(target),
        11..=13 => SoakEvent::TargetBehavior(target, behavior),
        _ => SoakEvent::RoutesChanged,
    }
}
