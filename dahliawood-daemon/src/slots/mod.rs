//! Slots at targets: what the allowance book holds of them, the choice among them, and the turns of
//! requests that wait for one.

use crate::front::flight::TargetFlight;
use crate::front::refusal::RefusalCause;
use crate::waiters::{DispatchStep, WaitingRequest};
use crate::{clock, shared};
use dahliawood_config::drain as names;
use dahliawood_events::kind;
use dahliawood_model::keys::{RegionKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_quota::limit;
use dahliawood_steer::{choice, drain, queue};
use std::sync::Arc;
use std::time::Duration;

/// How long an ask for a slot that a drain needs may take.
const DRAIN_LOAN_TIMEOUT: Duration = Duration::from_secs(1);

/// One try that wants a slot now.
#[derive(Clone, Copy, Debug)]
pub struct SlotQuery<'a> {
    /// The service.
    pub service: ServiceKey,
    /// Targets that it was tried at.
    pub tried: &'a [TargetKey],
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Until when it may take.
    pub deadline: TimeStamp,
}

/// What came of asking for a slot.
pub enum SlotOutcome {
    /// It was taken.
    Acquired(TargetFlight),
    /// There is none now.
    Busy {
        /// How long the wait is expected to take.
        expected: Duration,
        /// The target whose slot would help first, for a loan.
        wanted: TargetKey,
    },
}

/// What one choice came to.
enum SlotStep {
    Done(SlotOutcome),
    /// The target looked free, but this VM holds none of its slots.
    NotHeld(TargetKey),
}

/// Whether allowance lasts for three quarters of the time that a request has left; the rest of it is
/// given up, so that a service whose timeout is that of the longest loan can use loans at all.
fn covers_deadline(usable_until: TimeStamp, deadline: TimeStamp, now: TimeStamp) -> bool {
    usable_until.since(now) * 4 >= deadline.since(now) * 3
}

/// Takes a slot that is free now.
///
/// # Errors
/// Refuses at once where no target can be used.
pub fn acquire(
    shared: &Arc<shared::SharedState>,
    config: &tables::FleetConfig,
    query: SlotQuery<'_>,
) -> Result<SlotOutcome, RefusalCause> {
    let mut excluded = query.tried.to_vec();
    let mut wanted = None;
    loop {
        match choose_once(shared, config, query, &excluded) {
            Ok(SlotStep::Done(outcome)) => return Ok(outcome),
            Ok(SlotStep::NotHeld(target)) => {
                wanted.get_or_insert(target);
                excluded.push(target);
            }
            Err(cause) => {
                let expected = choice::ASSUMED_SERVICE;
                return wanted
                    .map(|wanted| SlotOutcome::Busy { expected, wanted })
                    .ok_or(cause);
            }
        }
    }
}

/// One choice among the targets that were not passed over.
fn choose_once(
    shared: &Arc<shared::SharedState>,
    config: &tables::FleetConfig,
    query: SlotQuery<'_>,
    excluded: &[TargetKey],
) -> Result<SlotStep, RefusalCause> {
    let now = clock::now();
    let headroom = |region: RegionKey| shared.spillover_headroom(config, region);
    let query_now = choice::ChoiceQuery {
        service: query.service,
        exclude: excluded,
        idempotent: query.is_idempotent,
        waiting: shared.waiters.waiting(query.service),
        headroom: &headroom,
    };
    let mut guard = shared.targets();
    let table = guard.as_mut().ok_or(RefusalCause::Starting)?;
    match choice::choose(table, &query_now, now, &mut rand::rng()) {
        choice::Choice::Target(target, _) => {
            let name = limit::slots_name(&config.targets[target]);
            let Some(permit) = shared.quota.try_admit(&name, query.deadline, now) else {
                return Ok(SlotStep::NotHeld(target));
            };
            if !covers_deadline(permit.usable_until, query.deadline, now) {
                // A loan that ends long before would cut the answer, or go on beyond the slots.
                shared.quota.release(permit, now);
                return Ok(SlotStep::NotHeld(target));
            }
            let key = choice::begin(table, target).ok_or(RefusalCause::Starting)?;
            drop(guard);
            let shared = Arc::clone(shared);
            let flight = TargetFlight::new(shared, key, target, query.service, permit);
            Ok(SlotStep::Done(SlotOutcome::Acquired(flight)))
        }
        choice::Choice::Wait { expected, wanted } => {
            Ok(SlotStep::Done(SlotOutcome::Busy { expected, wanted }))
        }
        choice::Choice::None { cause, retry_after } => Err(RefusalCause::NoTarget {
            detail: cause.to_string(),
            retry_after,
        }),
    }
}

/// Gives turns to those who wait for a service, for as long as there are slots.
pub fn dispatch(shared: &Arc<shared::SharedState>, service: ServiceKey) {
    let Some(snapshot) = shared.snapshot.load_full() else {
        return;
    };
    let mut undelivered = None;
    shared.waiters.dispatch(service, |entry| {
        let fits_entry = |flight: &TargetFlight| !entry.item.tried.contains(&flight.target);
        if let Some(flight) = undelivered.take_if(|flight| fits_entry(flight)) {
            undelivered = deliver(entry.item, flight);
            return DispatchStep::Delivered;
        }
        let query = SlotQuery {
            service,
            tried: &entry.item.tried,
            is_idempotent: entry.item.is_idempotent,
            deadline: entry.deadline,
        };
        match acquire(shared, &snapshot.state.config, query) {
            Ok(SlotOutcome::Acquired(flight)) => undelivered = deliver(entry.item, flight),
            Ok(SlotOutcome::Busy { .. }) => return DispatchStep::NoSlot(entry),
            Err(cause) => {
                // Who waited may have left.
                let _unsent = entry.item.sender.send(Err(cause));
            }
        }
        DispatchStep::Delivered
    });
}

/// Gives a slot to who waits; comes back with it where that one has left.
fn deliver(waiting: WaitingRequest, flight: TargetFlight) -> Option<TargetFlight> {
    waiting.sender.send(Ok(flight)).err().and_then(Result::ok)
}

/// Tells the choice how many slots of each target this VM holds now, and runs the queues.
pub fn tick(shared: &Arc<shared::SharedState>) {
    let Some(snapshot) = shared.snapshot.load_full() else {
        return;
    };
    let config = &snapshot.state.config;
    update_slot_limits(shared, config);
    tick_drains(shared, config);
    let now = clock::now();
    for service in shared.waiters.waiting_services() {
        dispatch(shared, service);
        shared
            .waiters
            .refuse_late(service, slot_release_rate(shared, service), now);
    }
}

/// Sets each target's limit to what runs there for this VM and what more it may start.
fn update_slot_limits(shared: &shared::SharedState, config: &tables::FleetConfig) {
    let now = clock::now();
    let mut guard = shared.targets();
    let Some(table) = guard.as_mut() else { return };
    let mut quota = shared.quota.lock();
    let Some(manager) = quota.manager.as_mut() else {
        return;
    };
    for (target, spec) in config.targets.iter() {
        let Some(key) = manager.limit(&limit::slots_name(spec)) else {
            continue;
        };
        let free = manager.available(key, now).whole() as u32;
        let running = table.get(target).map_or(0, |state| state.in_flight);
        table.set_slot_limit(target, running + free);
    }
}

/// Slots of a service that come free on this VM in a second, by what it holds and how long requests
/// run; that of one slot at least.
pub fn slot_release_rate(shared: &shared::SharedState, service: ServiceKey) -> f64 {
    let guard = shared.targets();
    let held = guard
        .as_ref()
        .map_or(0.0, |table| choice::slot_rate(table.service(service)));
    held.max(1.0 / choice::ASSUMED_SERVICE.as_secs_f64())
}

/// Runs the drains in force, and records what they did.
fn tick_drains(shared: &Arc<shared::SharedState>, config: &tables::FleetConfig) {
    let headroom = |region: RegionKey| shared.spillover_headroom(config, region);
    let events = match shared.targets().as_mut() {
        Some(table) => drain::tick(table, &headroom, clock::now()),
        None => return,
    };
    for event in &events {
        record_drain(shared, config, event);
        request_drain_loan(shared, config, event.wanted);
    }
}

/// Records each step that was taken, and each change to another kind of step.
fn record_drain(
    shared: &shared::SharedState,
    config: &tables::FleetConfig,
    event: &drain::DrainEvent,
) {
    if event.step == drain::DrainStep::Waiting {
        return;
    }
    let last = shared.drain_steps().insert(event.subject, event.step);
    if last == Some(event.step) && event.step != drain::DrainStep::Moved {
        return;
    }
    let subject = names::DrainName::of(config, event.subject).to_string();
    let step = event.step.to_string();
    shared
        .events
        .record(kind::EventKind::DrainStepped { subject, step });
}

/// Asks for a loan of the slot that a drain needs elsewhere; once it is there, the next step fits.
fn request_drain_loan(
    shared: &Arc<shared::SharedState>,
    config: &tables::FleetConfig,
    wanted: Option<TargetKey>,
) {
    let Some(target) = wanted else { return };
    let name = limit::slots_name(&config.targets[target]);
    let shared = Arc::clone(shared);
    async_std::task::spawn(async move {
        let now = clock::now();
        let admitted = shared
            .quota
            .admit(&name, now.after(DRAIN_LOAN_TIMEOUT), now)
            .await;
        if let Ok(permit) = admitted {
            shared.quota.release(permit, clock::now());
        }
    });
}

/// Joins the queue for a service; the turn comes through the receiver of `entry`.
///
/// # Errors
/// Refused at once: it would not get a slot before its deadline.
pub fn enqueue(
    shared: &Arc<shared::SharedState>,
    service: ServiceKey,
    entry: queue::WaitEntry<WaitingRequest>,
) -> Result<(), RefusalCause> {
    let rate = slot_release_rate(shared, service);
    shared.waiters.enqueue(service, entry, rate, clock::now())?;
    // A slot that came free between the choice and the queue would otherwise be missed.
    dispatch(shared, service);
    Ok(())
}
