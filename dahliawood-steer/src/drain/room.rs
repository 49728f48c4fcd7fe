//! Whether the next step of a drain fits elsewhere.

use super::{DrainPlan, DrainSignals};
use crate::choice::SpilloverHeadroom;
use crate::target;
use dahliawood_model::keys::{RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;

/// Headroom that a region and the link to it keep free of drains, as a share.
const ROOM_MARGIN: f64 = 0.1;
/// Requests that found no room elsewhere, of those that were to move, that count as trouble.
const KEPT_SHARE: f64 = 0.2;
/// Requests that were to move before that share counts.
const MIN_MOVED: u32 = 4;

/// What was found.
pub(super) struct RoomFound {
    pub(super) signals: DrainSignals,
    /// A target elsewhere whose slots this VM lacks.
    pub(super) wanted: Option<TargetKey>,
}

/// Looks for room for the next step of `plan`, over each service that it touches in this region.
pub(super) fn look(
    table: &target::TargetTable,
    plan: &DrainPlan,
    room: &dyn Fn(RegionKey) -> SpilloverHeadroom,
    now: TimeStamp,
) -> RoomFound {
    let lacking = services(table, plan)
        .into_iter()
        .find(|service| !fits(table, plan, *service, room, now));
    let kept_share = f64::from(plan.kept) / f64::from(plan.moved.max(1));
    RoomFound {
        signals: DrainSignals {
            room: lacking.is_none(),
            trouble: plan.moved >= MIN_MOVED && kept_share > KEPT_SHARE,
        },
        wanted: lacking.and_then(|service| wanted(table, plan, service, room)),
    }
}

/// Services with targets that this VM uses and the drain covers.
fn services(table: &target::TargetTable, plan: &DrainPlan) -> Vec<ServiceKey> {
    let covered = table
        .iter()
        .filter(|state| state.region == table.home && target::covers(plan.subject, state));
    let mut services: Vec<ServiceKey> = covered.map(|state| state.service).collect();
    services.sort_unstable();
    services.dedup();
    services
}

/// Whether the slots of this VM elsewhere hold what the step moves, with a slot at least.
fn fits(
    table: &target::TargetTable,
    plan: &DrainPlan,
    service: ServiceKey,
    room: &dyn Fn(RegionKey) -> SpilloverHeadroom,
    now: TimeStamp,
) -> bool {
    let covered = table
        .service(service)
        .filter(|state| state.region == table.home && target::covers(plan.subject, state));
    let running: u32 = covered.map(|state| state.in_flight).sum();
    let free: u32 = elsewhere(table, service, room)
        .map(|state| state.in_flight_limit(now).saturating_sub(state.in_flight))
        .sum();
    f64::from(free) >= (f64::from(running) * plan.step_share()).max(1.0)
}

/// Targets that no drain covers and the way to which has headroom.
fn elsewhere<'a>(
    table: &'a target::TargetTable,
    service: ServiceKey,
    room: &'a dyn Fn(RegionKey) -> SpilloverHeadroom,
) -> impl Iterator<Item = &'a target::TargetState> {
    let drained = |state: &target::TargetState| {
        let mut plans = table.plans.iter();
        plans.any(|plan| target::covers(plan.subject, state))
    };
    table
        .service(service)
        .filter(|state| state.serving && state.health.ejection.is_none())
        .filter(move |state| !drained(state))
        .filter(|state| state.region == table.home || room(state.region).least() >= ROOM_MARGIN)
}

/// The target elsewhere of which this VM has the fewest slots.
fn wanted(
    table: &target::TargetTable,
    plan: &DrainPlan,
    service: ServiceKey,
    room: &dyn Fn(RegionKey) -> SpilloverHeadroom,
) -> Option<TargetKey> {
    elsewhere(table, service, room)
        .filter(|state| !target::covers(plan.subject, state))
        .filter(|state| state.limit < state.slots)
        .min_by_key(|state| (state.limit, state.key))
        .map(|state| state.key)
}
