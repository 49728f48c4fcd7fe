//! The plan of a soak: a schedule of faults and changes, drawn from a seed.

pub mod size;

use crate::instance::InstanceFault;
use crate::keyspace::StoreFault;
use crate::link::LinkCut;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Number of targets of each service.
pub const TARGETS_PER_SERVICE: usize = 4;

/// The fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive late, in both directions.
    Delayed,
    /// Connections are reset, new ones included.
    Reset,
    /// No bytes pass in either direction; connections stay open.
    Silent,
    /// Bytes pass to the server but not back.
    OneWay,
}

/// Some of the VMs, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmGroup {
    /// The VMs of one failure domain of several.
    Domain {
        /// Index of the failure domain.
        domain: usize,
        /// Number of failure domains.
        of: usize,
    },
    /// A third of the VMs of each of several failure domains.
    Third {
        /// Which third.
        place: usize,
        /// Number of failure domains.
        of: usize,
    },
}

impl VmGroup {
    /// Whether a VM belongs to the group.
    pub fn contains(self, vm: usize) -> bool {
        match self {
            Self::Domain { domain, of } => vm % of == domain,
            // A VM's place in its failure domain and the domain's index spread the thirds.
            Self::Third { place, of } => (vm / of + vm % of + place).is_multiple_of(3),
        }
    }
}

/// A fault or a change. VMs and targets are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakEvent {
    /// The link of a VM to the store has a fault.
    StoreLink(usize, LinkFault),
    /// The link of all VMs to a target has a fault.
    TargetLink(usize, LinkFault),
    /// A target has a fault.
    TargetFault(usize, InstanceFault),
    /// The store answers all calls of a VM but those that wait for changes.
    StoreStalled(usize),
    /// The store refuses all calls with 503.
    StoreUnavailable,
    /// The store drops its history of changes.
    StoreCompacted,
    /// The links of a VM to all targets are cut.
    VmCutOff(usize, LinkCut),
    /// The process of a VM is paused (SIGSTOP, then SIGCONT).
    VmPaused(usize),
    /// The process of a VM is killed (SIGKILL), and started again when the event is over.
    VmKilled(usize),
    /// The process of a VM is told to terminate (SIGTERM), and started again after it has exited
    /// and the event is over.
    VmTerminated(usize),
    /// A VM reloads its settings (SIGHUP).
    VmReloaded(usize),
    /// A target leaves the registry, and another one takes its address when the event is over.
    TargetReplaced(usize),
    /// A target's registration says that it drains; when the event is over, it leaves the registry, and
    /// another one registers.
    TargetDrained(usize),
    /// The operators publish a version in which a route leads elsewhere, or comes or goes.
    RoutesChanged,
    /// The operators publish many more routes, up to a document of 0.9 MB.
    RoutesGrown,
    /// The store returns to a copy of itself from the time of the event before this one.
    StoreRestored,
    /// A target states its leaving; when the event is over, it leaves the registry and another one
    /// takes its address.
    TargetLeaving(usize),
    /// A target states a limit.
    TargetLimited(usize),
    /// A target refuses requests and asks for pauses.
    TargetPausing(usize),
    /// The links of some VMs to the store have a fault.
    GroupStoreLink(VmGroup, LinkFault),
    /// The store treats the calls of some VMs in a way of its own.
    GroupRefused(VmGroup, StoreFault),
    /// The processes of some VMs are paused.
    GroupPaused(VmGroup),
    /// The processes of some VMs are killed, and started again when the event is over.
    GroupKilled(VmGroup),
    /// The links on which other VMs reach some VMs have a fault.
    GroupPeerLinks(VmGroup, LinkFault),
    /// Reads that may be stale are answered by replicas, some of them behind.
    StoreReadsOld,
    /// The operators evacuate a failure domain until the event is over.
    DomainEvacuated(usize),
}

impl SoakEvent {
    /// Whether the event ends the process of a VM.
    pub fn stops_process(self, vm: usize) -> bool {
        match self {
            Self::VmKilled(at) | Self::VmTerminated(at) => at == vm,
            Self::GroupKilled(group) => group.contains(vm),
            _ => false,
        }
    }

    /// Whether the event pauses or kills the process of a VM.
    pub fn interrupts_process(self, vm: usize) -> bool {
        match self {
            Self::VmPaused(at) | Self::VmKilled(at) => at == vm,
            Self::GroupPaused(group) | Self::GroupKilled(group) => group.contains(vm),
            _ => false,
        }
    }

    /// Whether the event pauses or ends the process of a VM.
    pub fn disturbs_process(self, vm: usize) -> bool {
        self.stops_process(vm) || self.interrupts_process(vm)
    }
}

/// An event with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakStep {
    /// Start, relative to the end of the warm-up.
    pub at: Duration,
    /// Duration.
    pub duration: Duration,
    /// The fault or change.
    pub event: SoakEvent,
}

/// A schedule of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// The steps, in the order of their start.
    pub steps: Vec<SoakStep>,
}

/// Mean time between the starts of two events, milliseconds.
const MEAN_GAP_MS: u64 = 700;
/// Range of the duration of an event, milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..3_000;
/// Share of the events of a plan with statements that are such, and the range of their duration,
/// milliseconds.
const STATEMENT_SHARE: f64 = 0.4;
const STATEMENT_DURATION_MS: std::ops::Range<u64> = 4_000..9_000;

/// Share of the events of a plan with cuts that are such, and the range of their duration, milliseconds.
const CUT_SHARE: f64 = 0.4;
const CUT_DURATION_MS: std::ops::Range<u64> = 5_000..9_000;

/// Share of the events of a plan with lost relays that are faults of VMs or of their links to the store,
/// and the range of their duration, milliseconds.
const RELAY_SHARE: f64 = 0.6;
const RELAY_DURATION_MS: std::ops::Range<u64> = 1_500..5_000;
/// Share of its other events that are changes.
const CHANGE_SHARE: f64 = 0.7;
/// Share of the changes of a plan with growth that add routes.
const GROWTH_SHARE: f64 = 0.5;

impl SoakStep {
    /// When the event is over, relative to the end of the warm-up.
    pub fn end(&self) -> Duration {
        self.at + self.duration
    }
}

impl SoakPlan {
    /// Draws a plan whose events start within `span`. An event repeats the previous one with a
    /// probability of 0.15. On average, an event lasts longer than the gap to the next start, so
    /// events often overlap.
    pub fn draw(seed: u64, vms: usize, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps: Vec<SoakStep> = Vec::new();
        let mut at = Duration::ZERO;
        while at < span {
            let repeated = steps.last().filter(|_| rng.random_bool(0.15));
            let event = match repeated {
                Some(step) => step.event,
                None => draw_event(&mut rng, vms),
            };
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            steps.push(SoakStep {
                at,
                duration,
                event,
            });
            at += Duration::from_millis(rng.random_range(0..2 * MEAN_GAP_MS));
        }
        Self { steps }
    }

    /// Draws a plan like [`SoakPlan::draw`] in which two events in five are about what targets state
    /// of themselves, or restorations of the store.
    pub fn draw_statements(seed: u64, vms: usize, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = Self::draw(seed, vms, span);
        for step in &mut plan.steps {
            if rng.random_bool(STATEMENT_SHARE) {
                step.event = draw_statement(&mut rng);
                step.duration = Duration::from_millis(rng.random_range(STATEMENT_DURATION_MS));
            }
        }
        plan
    }

    /// Draws a plan like [`SoakPlan::draw`] in which two events in five are VMs that lose their links to
    /// all targets.
    pub fn draw_cuts(seed: u64, vms: usize, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = Self::draw(seed, vms, span);
        for step in &mut plan.steps {
            if rng.random_bool(CUT_SHARE) {
                step.event = draw_cut(&mut rng, vms);
                step.duration = Duration::from_millis(rng.random_range(CUT_DURATION_MS));
            }
        }
        plan
    }

    /// Draws a plan like [`SoakPlan::draw`] in which VMs lose the store, are paused and killed one after
    /// another, beside changes: of a failure domain in which VMs follow each other.
    pub fn draw_relays(seed: u64, vms: usize, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = Self::draw(seed, vms, span);
        for step in &mut plan.steps {
            if rng.random_bool(RELAY_SHARE) {
                step.event = draw_relay_fault(&mut rng, vms);
                step.duration = Duration::from_millis(rng.random_range(RELAY_DURATION_MS));
            } else if rng.random_bool(CHANGE_SHARE) {
                step.event = SoakEvent::RoutesChanged;
            }
        }
        plan
    }

    /// Draws a plan like [`SoakPlan::draw_relays`] in which half of the changes are of a configuration
    /// that has grown.
    pub fn draw_growth(seed: u64, vms: usize, span: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut plan = Self::draw_relays(seed, vms, span);
        let changes = plan.steps.iter_mut();
        for step in changes.filter(|step| step.event == SoakEvent::RoutesChanged) {
            if rng.random_bool(GROWTH_SHARE) {
                step.event = SoakEvent::RoutesGrown;
            }
        }
        plan
    }

    /// When the last event is over, relative to the end of the warm-up; zero without events.
    pub fn end(&self) -> Duration {
        let ends = self.steps.iter().map(SoakStep::end);
        ends.max().unwrap_or_default()
    }
}

/// The faults of targets that a plan can contain.
const TARGET_FAULTS: [InstanceFault; 8] = [
    InstanceFault::Overloaded,
    InstanceFault::NoResponse,
    InstanceFault::Truncated,
    InstanceFault::StaleFirst,
    InstanceFault::TrailingBytes,
    InstanceFault::Unframed,
    InstanceFault::Failing,
    InstanceFault::Hanging,
];

fn draw_event(rng: &mut StdRng, vms: usize) -> SoakEvent {
    let vm = rng.random_range(0..vms);
    let target = rng.random_range(0..2 * TARGETS_PER_SERVICE);
    let fault = match rng.random_range(0..4) {
        0 => LinkFault::Delayed,
        1 => LinkFault::Reset,
        2 => LinkFault::Silent,
        _ => LinkFault::OneWay,
    };
    let target_fault = TARGET_FAULTS[rng.random_range(0..TARGET_FAULTS.len())];
    match rng.random_range(0..15) {
        0 | 1 => SoakEvent::StoreLink(vm, fault),
        2 | 3 => SoakEvent::TargetLink(target, fault),
        4 => SoakEvent::StoreUnavailable,
        5 => SoakEvent::StoreCompacted,
        6 => SoakEvent::VmPaused(vm),
        7 => SoakEvent::VmKilled(vm),
        8 => SoakEvent::VmTerminated(vm),
        9 => SoakEvent::VmReloaded(vm),
        10 => SoakEvent::TargetReplaced(target),
        11..=13 => SoakEvent::TargetFault(target, target_fault),
        _ => SoakEvent::RoutesChanged,
    }
}

fn draw_cut(rng: &mut StdRng, vms: usize) -> SoakEvent {
    let vm = rng.random_range(0..vms);
    let cut = match rng.random_range(0..3) {
        0 => LinkCut::Hang,
        1 => LinkCut::Reset,
        _ => LinkCut::RefuseNew,
    };
    SoakEvent::VmCutOff(vm, cut)
}

fn draw_relay_fault(rng: &mut StdRng, vms: usize) -> SoakEvent {
    let vm = rng.random_range(0..vms);
    match rng.random_range(0..6) {
        0 => SoakEvent::StoreLink(vm, LinkFault::Silent),
        1 => SoakEvent::StoreLink(vm, LinkFault::OneWay),
        2 => SoakEvent::StoreLink(vm, LinkFault::Reset),
        3 => SoakEvent::StoreStalled(vm),
        4 => SoakEvent::VmPaused(vm),
        _ => SoakEvent::VmKilled(vm),
    }
}

fn draw_statement(rng: &mut StdRng) -> SoakEvent {
    let target = rng.random_range(0..2 * TARGETS_PER_SERVICE);
    match rng.random_range(0..4) {
        0 => SoakEvent::StoreRestored,
        1 => SoakEvent::TargetLeaving(target),
        2 => SoakEvent::TargetLimited(target),
        _ => SoakEvent::TargetPausing(target),
    }
}
