//! Planned drains: traffic moves away in steps that each check the room elsewhere first.
//!
//! A drain over no time makes its targets leave at once. A drain over a time lowers the weight of
//! its targets step by step; a step that finds too little room of slots, region or link holds, and
//! trouble takes the last step back. Later steps make up for lost time, with a pause between them. The targets leave once the weight is zero. A drain for which
//! there is no room elsewhere therefore never ends by itself, and says so in its progress.

mod room;

use crate::choice::SpilloverHeadroom;
use crate::{split, target};
use dahliawood_model::keys::{RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::{DrainSpec, DrainSubject, FleetConfig};
use std::time::Duration;

/// Steps of a drain over a time.
pub const STEPS: u32 = 20;
/// The shortest time between two steps, and between two tries of one that does not fit.
pub const SHORTEST_STEP: Duration = Duration::from_millis(200);

/// What was seen since the last step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSignals {
    /// Whether the next step fits elsewhere, by slots, region and link.
    pub room: bool,
    /// Whether what has moved already is in trouble.
    pub trouble: bool,
}

/// What a drain did in one tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum DrainStep {
    /// No step is due.
    #[display("waiting")]
    Waiting,
    /// One step was taken.
    #[display("moved")]
    Moved,
    /// A step was due and did not fit.
    #[display("held")]
    Held,
    /// The last step was taken back.
    #[display("went back")]
    WentBack,
    /// All traffic has moved; the targets are leaving.
    #[display("leaving")]
    Leaving,
}

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainProgress {
    /// What is draining.
    pub subject: DrainSubject,
    /// Steps taken, of [`STEPS`].
    pub steps: u32,
    /// The time that the rest takes if no step holds, zero at the end.
    pub left: Duration,
    /// Steps that held since the last one that was taken.
    pub held: u32,
    /// Requests of this VM that still run at its targets.
    pub in_flight: u32,
}

/// A drain in force.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainPlan {
    /// What is draining.
    pub subject: DrainSubject,
    /// Name of the subject, which stays over a change of configuration.
    name: String,
    pub(crate) split: split::WeightSplit,
    over: Duration,
    started: TimeStamp,
    steps: u32,
    held: u32,
    next_step: TimeStamp,
    /// Requests that were to move since the last step.
    pub(crate) moved: u32,
    /// Requests that were to move since the last step and found no room.
    pub(crate) kept: u32,
}

impl DrainPlan {
    /// A plan that starts at `now`.
    pub fn new(spec: &DrainSpec, config: &FleetConfig, now: TimeStamp) -> Self {
        let steps = if spec.over.is_zero() { STEPS } else { 0 };
        let mut plan = Self {
            subject: spec.subject,
            name: subject_name(spec.subject, config),
            split: split::WeightSplit::new(split::FULL_WEIGHT),
            over: spec.over,
            started: now,
            steps,
            held: 0,
            next_step: now,
            moved: 0,
            kept: 0,
        };
        plan.set_steps(steps);
        plan.next_step = plan.due();
        plan
    }

    /// The share of the present traffic that the next step moves.
    pub(crate) fn step_share(&self) -> f64 {
        1.0 / f64::from((STEPS - self.steps).max(1))
    }

    /// Whether `fresh` is the same drain, over a time, in a later configuration.
    pub(crate) fn continues_as(&self, fresh: &Self) -> bool {
        self.name == fresh.name && !fresh.over.is_zero()
    }

    /// This plan with the keys and the duration of `fresh`.
    pub(crate) fn continued(&self, fresh: &Self) -> Self {
        Self {
            subject: fresh.subject,
            over: fresh.over,
            ..self.clone()
        }
    }

    /// Whether its targets get nothing new.
    pub fn is_leaving(&self) -> bool {
        self.steps >= STEPS
    }

    /// How far it has come; `in_flight` is what still runs at its targets.
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
        (self.over / STEPS).max(SHORTEST_STEP)
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

/// What a drain did in one tick, and what it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainEvent {
    /// What is draining.
    pub subject: DrainSubject,
    /// What it did.
    pub step: DrainStep,
    /// A target elsewhere of which this VM needs a slot, where a step did not fit.
    pub wanted: Option<TargetKey>,
}

/// Runs all drains of a table for one tick; `room` gives the headroom on the way to a region.
pub fn tick(
    table: &mut target::TargetTable,
    room: &dyn Fn(RegionKey) -> SpilloverHeadroom,
    now: TimeStamp,
) -> Vec<DrainEvent> {
    let mut events = Vec::with_capacity(table.plans.len());
    for index in 0..table.plans.len() {
        let found = room::look(table, &table.plans[index], room, now);
        let plan = &mut table.plans[index];
        let step = advance(plan, found.signals, now);
        events.push(DrainEvent {
            subject: plan.subject,
            step,
            wanted: found.wanted.filter(|_| !found.signals.room),
        });
    }
    table.apply_leaving();
    events
}

/// Takes, holds or takes back one step where one is due.
///
/// A drain that has reached its end stays there: its targets may be stopping already.
pub fn advance(plan: &mut DrainPlan, signals: DrainSignals, now: TimeStamp) -> DrainStep {
    if plan.is_leaving() {
        return DrainStep::Leaving;
    }
    if now < plan.next_step {
        return DrainStep::Waiting;
    }
    plan.moved = 0;
    plan.kept = 0;
    if signals.trouble {
        plan.held += 1;
        plan.set_steps(plan.steps.saturating_sub(1));
        plan.next_step = now.after(plan.step_time());
        return DrainStep::WentBack;
    }
    if !signals.room {
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
