//! Planned drains: move traffic away from targets in steps, each only if there is headroom
//! elsewhere.
//!
//! A drain with a duration of zero stops new requests to its targets at once. A gradual drain
//! lowers the share of requests that its targets keep, step by step. A step is held while slots,
//! regions or links elsewhere lack headroom; an overload of what has moved reverts the last step.
//! Delayed steps catch up with the plan, with a minimum time between them. After the last step the
//! targets get no new requests. A drain without headroom elsewhere therefore never ends by itself;
//! its progress shows the held steps.

mod headroom;

use crate::choice::SpilloverHeadroom;
use crate::{split, target};
use dahliawood_model::keys::{RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::{DrainSpec, DrainSubject, FleetConfig};
use std::time::Duration;

/// Number of steps of a gradual drain.
pub const STEPS: u32 = 20;
/// Minimum time between two steps, and between two attempts at a step without headroom.
pub const SHORTEST_STEP: Duration = Duration::from_millis(200);

/// Input for the next step of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSignals {
    /// Whether slots, regions and links elsewhere have headroom for the next step.
    pub has_headroom: bool,
    /// Whether too many requests that should have moved since the last step found no headroom.
    pub is_overloaded: bool,
}

/// Result of one tick of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum DrainStep {
    /// No step is due.
    #[display("waiting")]
    Waiting,
    /// A step was taken.
    #[display("moved")]
    Moved,
    /// A step was due but there was no headroom.
    #[display("held")]
    Held,
    /// The last step was reverted because of overload.
    #[display("went back")]
    RolledBack,
    /// All steps are taken; the targets get no new requests.
    #[display("leaving")]
    Leaving,
}

/// Progress of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainProgress {
    /// What is draining.
    pub subject: DrainSubject,
    /// Steps taken, out of [`STEPS`].
    pub steps: u32,
    /// Remaining time if no further step is held, zero at the end.
    pub left: Duration,
    /// Steps held or reverted since the last step that was taken.
    pub held: u32,
    /// Requests of this VM that are still in flight at its targets.
    pub in_flight: u32,
}

/// A current drain.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainPlan {
    /// What is draining.
    pub subject: DrainSubject,
    /// Name of the subject; unlike its key it stays the same when the configuration changes.
    name: String,
    pub(crate) split: split::WeightSplit,
    duration: Duration,
    started: TimeStamp,
    steps: u32,
    held: u32,
    next_step: TimeStamp,
    /// Requests that should have moved since the last step.
    pub(crate) to_move: u32,
    /// Requests among them that found no headroom elsewhere.
    pub(crate) not_moved: u32,
}

impl DrainPlan {
    /// A plan that starts at `now`.
    pub fn new(spec: &DrainSpec, config: &FleetConfig, now: TimeStamp) -> Self {
        let steps = if spec.over.is_zero() { STEPS } else { 0 };
        let mut plan = Self {
            subject: spec.subject,
            name: subject_name(spec.subject, config),
            split: split::WeightSplit::new(split::FULL_WEIGHT),
            duration: spec.over,
            started: now,
            steps,
            held: 0,
            next_step: now,
            to_move: 0,
            not_moved: 0,
        };
        plan.set_steps(steps);
        plan.next_step = plan.due();
        plan
    }

    /// Share of the remaining traffic that the next step moves.
    pub(crate) fn step_share(&self) -> f64 {
        1.0 / f64::from((STEPS - self.steps).max(1))
    }

    /// Whether `updated` is the same drain, still gradual, in a later configuration.
    pub(crate) fn continues_as(&self, updated: &Self) -> bool {
        self.name == updated.name && !updated.duration.is_zero()
    }

    /// This plan with the keys and the duration of `updated`.
    pub(crate) fn continued(&self, updated: &Self) -> Self {
        Self {
            subject: updated.subject,
            duration: updated.duration,
            ..self.clone()
        }
    }

    /// Whether all steps are taken, so that its targets get no new requests.
    pub fn is_leaving(&self) -> bool {
        self.steps >= STEPS
    }

    /// Its progress; `in_flight` is the number of requests still in flight at its targets.
    pub fn progress(&self, in_flight: u32, now: TimeStamp) -> DrainProgress {
        let left_steps = STEPS - self.steps;
        let planned = self.started.after(self.step_time() * STEPS).since(now);
        let soonest = self.next_step.since(now) + SHORTEST_STEP * left_steps.saturating_sub(1);
        let left = match left_steps {
            0 => Duration::ZERO,
            _ => planned.max(soonest),
        };
        DrainProgress {
            subject: self.subject,
            steps: self.steps,
            left,
            held: self.held,
            in_flight,
        }
    }

    fn step_time(&self) -> Duration {
        (self.duration / STEPS).max(SHORTEST_STEP)
    }

    /// When the next step is planned.
    fn due(&self) -> TimeStamp {
        self.started.after(self.step_time() * (self.steps + 1))
    }

    fn set_steps(&mut self, steps: u32) {
        self.steps = steps;
        self.split
            .set_weight(split::FULL_WEIGHT / STEPS * (STEPS - steps));
    }
}

/// Result of one tick of a drain, with the slot that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainEvent {
    /// What is draining.
    pub subject: DrainSubject,
    /// Result of the tick.
    pub step: DrainStep,
    /// A target elsewhere at which this VM needs a slot, if there was no headroom.
    pub loan_target: Option<TargetKey>,
}

/// Runs all drains of a table for one tick; `headroom` gives the headroom towards a region.
pub fn tick(
    table: &mut target::TargetTable,
    headroom: &dyn Fn(RegionKey) -> SpilloverHeadroom,
    now: TimeStamp,
) -> Vec<DrainEvent> {
    let mut events = Vec::with_capacity(table.plans.len());
    for index in 0..table.plans.len() {
        let check = headroom::check(table, &table.plans[index], headroom, now);
        let plan = &mut table.plans[index];
        let step = advance(plan, check.signals, now);
        events.push(DrainEvent {
            subject: plan.subject,
            step,
            loan_target: check.loan_target.filter(|_| !check.signals.has_headroom),
        });
    }
    table.apply_leaving();
    events
}

/// Takes, holds or reverts one step if one is due.
///
/// A drain that has taken all steps never reverts: its targets may be stopping already.
pub fn advance(plan: &mut DrainPlan, signals: DrainSignals, now: TimeStamp) -> DrainStep {
    if plan.is_leaving() {
        return DrainStep::Leaving;
    }
    if now < plan.next_step {
        return DrainStep::Waiting;
    }
    plan.to_move = 0;
    plan.not_moved = 0;
    if signals.is_overloaded {
        plan.held += 1;
        plan.set_steps(plan.steps.saturating_sub(1));
        plan.next_step = now.after(plan.step_time());
        return DrainStep::RolledBack;
    }
    if !signals.has_headroom {
        plan.held += 1;
        plan.next_step = now.after(SHORTEST_STEP);
        return DrainStep::Held;
    }
    plan.held = 0;
    plan.set_steps(plan.steps + 1);
    plan.next_step = plan.due().max(now.after(SHORTEST_STEP));
    if plan.is_leaving() {
        return DrainStep::Leaving;
    }
    DrainStep::Moved
}

fn subject_name(subject: DrainSubject, config: &FleetConfig) -> String {
    match subject {
        DrainSubject::Target(target) => format!("target {}", config.targets[target].name),
        DrainSubject::Domain(domain) => format!("domain {}", config.domains[domain].name),
        DrainSubject::Region(region) => format!("region {}", config.regions[region].name),
    }
}
