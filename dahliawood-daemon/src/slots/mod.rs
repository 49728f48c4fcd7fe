//! Slots at targets: acquires a slot for an attempt, and hands free slots to waiting requests.
//!
//! A target is chosen among those whose slots this VM holds according to its quota manager.

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

/// The longest wait for a loan of a slot that a drain needs.
const DRAIN_LOAN_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt that needs a slot now.
#[derive(Clone, Copy, Debug)]
pub struct SlotQuery<'a> {
    /// The service of the request.
    pub service: ServiceKey,
    /// Targets at which the request was attempted before.
    pub tried: &'a [TargetKey],
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// The deadline of the request.
    pub deadline: TimeStamp,
}

/// The outcome of acquiring a slot.
pub enum SlotOutcome {
    /// A slot was acquired.
    Acquired(TargetFlight),
    /// No slot is free now.
    Busy {
        /// The expected wait.
        expected: Duration,
        /// The busy target whose slot would help first; the caller requests a loan of it.
        wanted: TargetKey,
    },
}

/// The outcome of one choice of a target.
enum SlotStep {
    Done(SlotOutcome),
    /// The chosen target seemed to have a free slot, but this VM holds none that lasts long enough.
    NotHeld(TargetKey),
}

/// Whether a permit is usable for at least three quarters of the time until the request's deadline.
/// The full time is not required, because a service whose timeout equals the longest loan time
/// could then never use loans.
fn covers_deadline(usable_until: TimeStamp, deadline: TimeStamp, now: TimeStamp) -> bool {
    usable_until.since(now) * 4 >= deadline.since(now) * 3
}

/// Acquires a slot that is free now.
///
/// # Errors
/// Fails if no target can be used.
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

/// Chooses once among the targets that are not excluded, and tries to take a slot there.
fn choose_once(
    shared: &Arc<shared::SharedState>,
    config: &tables::FleetConfig,
    query: SlotQuery<'_>,
    excluded: &[TargetKey],
) -> Result<SlotStep, RefusalCause> {
    let now = clock::now();
    let headroom = |region: RegionKey| shared.spillover_headroom(config, region);
    let choice_query = choice::ChoiceQuery {
        service: query.service,
        exclude: excluded,
        idempotent: query.is_idempotent,
        waiting: shared.waiters.waiting(query.service),
        headroom: &headroom,
    };
    let mut guard = shared.targets();
    let table = guard.as_mut().ok_or(RefusalCause::Starting)?;
    match choice::choose(table, &choice_query, now, &mut rand::rng()) {
        choice::Choice::Target(target, _) => {
            let name = limit::slots_name(&config.targets[target]);
            let Some(permit) = shared.quota.try_admit(&name, query.deadline, now) else {
                return Ok(SlotStep::NotHeld(target));
            };
            if !covers_deadline(permit.usable_until, query.deadline, now) {
                // If the loan ended well before the deadline, either the response would be cut off,
                // or the request would keep running at the target without a slot.
                shared.quota.release(permit, now);
                return Ok(SlotStep::NotHeld(target));
            }
            let key = choice::begin(table, target).ok_or(RefusalCause::Starting)?;
            drop(guard);
            let shared = Arc::clone(shared);
            let flight = TargetFlight::new(shared, key, target, query.service, permit);
            Ok(SlotStep::Done(SlotOutcome::Acquired(flight)))
        }
        choice::Choice::Wait {
            expected,
            loan_target: wanted,
        } => Ok(SlotStep::Done(SlotOutcome::Busy { expected, wanted })),
        choice::Choice::None { cause, retry_after } => Err(RefusalCause::NoTarget {
            detail: cause.to_string(),
            retry_after,
        }),
    }
}

/// Hands free slots to the requests that wait for a service, until no slot is free.
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
                // The caller of the waiting request may have disconnected.
                let _unsent = entry.item.sender.send(Err(cause));
            }
        }
        DispatchStep::Delivered
    });
}

/// Hands a slot to a waiting request; returns the slot if the caller of that request has gone.
fn deliver(waiting: WaitingRequest, flight: TargetFlight) -> Option<TargetFlight> {
    waiting.sender.send(Ok(flight)).err().and_then(Result::ok)
}

/// Updates the slot limits of all targets, advances the drains and dispatches the queues.
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

/// Sets the slot limit of each target to the number of requests of this VM that run there, plus the
/// number of further requests that the VM's quota allows.
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

/// The rate at which slots of a service are released on this VM, per second, estimated from the
/// slots held and the measured latency; at least the rate of one slot.
pub fn slot_release_rate(shared: &shared::SharedState, service: ServiceKey) -> f64 {
    let guard = shared.targets();
    let held = guard
        .as_ref()
        .map_or(0.0, |table| choice::slot_rate(table.service(service)));
    held.max(1.0 / choice::ASSUMED_SERVICE.as_secs_f64())
}

/// Advances the drains in force and records their steps.
fn tick_drains(shared: &Arc<shared::SharedState>, config: &tables::FleetConfig) {
    let headroom = |region: RegionKey| shared.spillover_headroom(config, region);
    let events = match shared.targets().as_mut() {
        Some(table) => drain::tick(table, &headroom, clock::now()),
        None => return,
    };
    for event in &events {
        record_drain(shared, config, event);
        request_drain_loan(shared, config, event.loan_target);
    }
}

/// Records a step of a drain: every `Moved` step, other steps only if the kind changed, and
/// `Waiting` never.
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

/// Requests a loan of the slot that a drain needs at another target, so that the next step of the
/// drain can use that slot.
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

/// Adds a request to the queue of a service; the result arrives at the receiver that belongs to the
/// sender in `entry`.
///
/// # Errors
/// Fails if the request would not get a slot before its deadline, or the queue is full.
pub fn enqueue(
    shared: &Arc<shared::SharedState>,
    service: ServiceKey,
    entry: queue::WaitEntry<WaitingRequest>,
) -> Result<(), RefusalCause> {
    let rate = slot_release_rate(shared, service);
    shared.waiters.enqueue(service, entry, rate, clock::now())?;
    // Covers a slot that was released after the choice failed and before the request was queued.
    dispatch(shared, service);
    Ok(())
}
