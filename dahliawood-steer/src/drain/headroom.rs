//! Checks whether there is headroom elsewhere for the next step of a drain.

use super::{DrainPlan, DrainSignals};
use crate::choice::SpilloverHeadroom;
use crate::target;
use dahliawood_model::keys::{RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;

/// Share of a region and of the link to it that drains leave free.
const HEADROOM_MARGIN: f64 = 0.1;
/// Share of requests that should have moved but found no headroom, above which the last step counts
/// as an overload.
const NOT_MOVED_SHARE: f64 = 0.2;
/// Minimum requests that should have moved before that share is used.
const MIN_TO_MOVE: u32 = 4;

/// Result of a check.
pub(super) struct HeadroomCheck {
    pub(super) signals: DrainSignals,
    /// A target elsewhere at which this VM lacks slots.
    pub(super) loan_target: Option<TargetKey>,
}

/// Checks the headroom for the next step of `plan`, for each service that it covers in this region.
pub(super) fn check(
    table: &target::TargetTable,
    plan: &DrainPlan,
    headroom: &dyn Fn(RegionKey) -> SpilloverHeadroom,
    now: TimeStamp,
) -> HeadroomCheck {
    let blocked_service = services(table, plan)
        .into_iter()
        .find(|service| !fits(table, plan, *service, headroom, now));
    let not_moved_share = f64::from(plan.not_moved) / f64::from(plan.to_move.max(1));
    HeadroomCheck {
        signals: DrainSignals {
            has_headroom: blocked_service.is_none(),
            is_overloaded: plan.to_move >= MIN_TO_MOVE && not_moved_share > NOT_MOVED_SHARE,
        },
        loan_target: blocked_service
            .and_then(|service| loan_target(table, plan, service, headroom)),
    }
}

/// Services with targets in the home region that the drain covers.
fn services(table: &target::TargetTable, plan: &DrainPlan) -> Vec<ServiceKey> {
    let covered = table
        .iter()
        .filter(|state| state.region == table.home && target::covers(plan.subject, state));
    let mut services: Vec<ServiceKey> = covered.map(|state| state.service).collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Whether this VM's free slots elsewhere suffice for the requests that the step moves; at least
/// one free slot is needed.
fn fits(
    table: &target::TargetTable,
    plan: &DrainPlan,
    service: ServiceKey,
    headroom: &dyn Fn(RegionKey) -> SpilloverHeadroom,
    now: TimeStamp,
) -> bool {
    let covered = table
        .service(service)
        .filter(|state| state.region == table.home && target::covers(plan.subject, state));
    let running: u32 = covered.map(|state| state.in_flight).sum();
    let free: u32 = elsewhere(table, service, headroom)
        .map(|state| state.in_flight_limit(now).saturating_sub(state.in_flight))
        .sum();
    f64::from(free) >= (f64::from(running) * plan.step_share()).max(1.0)
}

/// Targets that serve, are not ejected, are covered by no drain, and are in the home region or in
/// one with headroom.
fn elsewhere<'a>(
    table: &'a target::TargetTable,
    service: ServiceKey,
    headroom: &'a dyn Fn(RegionKey) -> SpilloverHeadroom,
) -> impl Iterator<Item = &'a target::TargetState> {
    let is_drained = |state: &target::TargetState| {
        let mut plans = table.plans.iter();
        plans.any(|plan| target::covers(plan.subject, state))
    };
    table
        .service(service)
        .filter(|state| state.serving && state.health.ejection.is_none())
        .filter(move |state| !is_drained(state))
        .filter(|state| {
            state.region == table.home || headroom(state.region).least() >= HEADROOM_MARGIN
        })
}

/// The target elsewhere at which this VM has the fewest slots.
fn loan_target(
    table: &target::TargetTable,
    plan: &DrainPlan,
    service: ServiceKey,
    headroom: &dyn Fn(RegionKey) -> SpilloverHeadroom,
) -> Option<TargetKey> {
    elsewhere(table, service, headroom)
        .filter(|state| !target::covers(plan.subject, state))
        .filter(|state| state.limit < state.slots)
        .min_by_key(|state| (state.limit, state.key))
        .map(|state| state.key)
}
