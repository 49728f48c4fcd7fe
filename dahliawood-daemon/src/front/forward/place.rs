//! Takes a slot at a target for one try, waiting for one where that can end in time.

use crate::front::flight::TargetFlight;
use crate::front::refusal::RefusalCause;
use crate::{clock, shared};
use async_std::future::timeout;
use dahliawood_model::keys::{CustomerKey, RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_steer::choice;
use std::sync::Arc;

/// One try that wants a slot.
pub struct PlaceQuery<'a> {
    /// The configuration in force.
    pub config: &'a tables::FleetConfig,
    /// The service.
    pub service: ServiceKey,
    /// Whose request it is.
    pub customer: Option<CustomerKey>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Targets that it was tried at.
    pub tried: &'a [TargetKey],
    /// Until when it may take.
    pub deadline: TimeStamp,
}

/// Takes a slot.
///
/// # Errors
/// Refuses at once where no target can be used, or where the wait cannot end in time.
pub async fn take(
    shared: &Arc<shared::SharedState>,
    query: &PlaceQuery<'_>,
) -> Result<TargetFlight, RefusalCause> {
    loop {
        if let Some(flight) = choose(shared, query)? {
            return Ok(flight);
        }
        let wait = shared.waiters.join(query.service);
        let wait = wait.ok_or(RefusalCause::Busy(choice::SHORTEST_RETRY))?;
        // A slot that came free between the choice and the queue would otherwise be missed.
        if let Some(flight) = choose(shared, query)? {
            return Ok(flight);
        }
        let left = query.deadline.since(clock::now());
        let woken = timeout(left, wait).await;
        woken
            .map_err(|_| RefusalCause::Busy(choice::SHORTEST_RETRY))?
            .ok();
    }
}

/// Takes a slot that is free now, `None` where there is hope for one in time.
fn choose(
    shared: &Arc<shared::SharedState>,
    query: &PlaceQuery<'_>,
) -> Result<Option<TargetFlight>, RefusalCause> {
    let mut passed = query.tried.to_vec();
    loop {
        match choose_among(shared, query, &passed)? {
            Picked::Slot(flight) => return Ok(Some(flight)),
            Picked::NoAllowance(target) => passed.push(target),
            Picked::Later => return Ok(None),
        }
    }
}

/// What one choice came to.
enum Picked {
    /// A slot was taken.
    Slot(TargetFlight),
    /// The target has room, but this VM holds none of its slots.
    NoAllowance(TargetKey),
    /// There is hope for a slot in time.
    Later,
}

/// One choice among the targets that were not passed over.
fn choose_among(
    shared: &Arc<shared::SharedState>,
    query: &PlaceQuery<'_>,
    passed: &[TargetKey],
) -> Result<Picked, RefusalCause> {
    let now = clock::now();
    let room = |region: RegionKey| shared.spill_room(query.config, region);
    let asked = choice::ChoiceQuery {
        service: query.service,
        exclude: passed,
        idempotent: query.is_idempotent,
        waiting: shared.waiters.waiting(query.service),
        room: &room,
    };
    let mut guard = shared.targets();
    let table = guard.as_mut().ok_or(RefusalCause::Starting)?;
    match choice::choose(table, &asked, now, &mut rand::rng()) {
        choice::Choice::Target(target, _) => {
            let slots = format!("slots/{}", query.config.targets[target].name);
            let Some(permit) = shared.desk.try_admit(&slots, query.deadline, now) else {
                return Ok(Picked::NoAllowance(target));
            };
            let key = choice::begin(table, target).ok_or(RefusalCause::Starting)?;
            drop(guard);
            let shared = Arc::clone(shared);
            Ok(Picked::Slot(TargetFlight::new(
                shared,
                key,
                target,
                query.service,
                permit,
            )))
        }
        choice::Choice::Wait { expected, .. } if now.after(expected) < query.deadline => {
            Ok(Picked::Later)
        }
        choice::Choice::Wait { expected, .. } => {
            Err(RefusalCause::Busy(expected.max(choice::SHORTEST_RETRY)))
        }
        choice::Choice::None { why, retry_after } => Err(RefusalCause::NoTarget {
            detail: why.to_string(),
            retry_after,
        }),
    }
}
