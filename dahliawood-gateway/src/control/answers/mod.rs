//! When the store is known to have answered, by this VM's own calls and by what other VMs tell, and what is
//! held back because of it.
//!
//! [`dahliawood_store::keyspace::view::settle`] decides; this records, tells and logs.

use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use crate::structured_log::EventClass;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{ChangesRequest, ChangesResponse, ToldAnswers};
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::availability::AnswerSpan;
use dahliawood_store::keyspace::view::retained::{HoldChange, HoldStep};
use serde::Serialize;
use std::time::Duration;

/// Most keys that a log event for held removals names.
const MAX_LOGGED_KEYS: usize = 8;

/// Log event for removals that are held back, or no longer.
#[derive(Serialize)]
struct HoldEvent<'a> {
    step: &'a str,
    count: usize,
    /// Some of the keys.
    keys: &'a [&'a str],
    /// For how long the first of them was held back.
    held_ms: u128,
    /// Why: for how long the store was away, as far as is known; `None` if the store was restored, or if
    /// nothing is known of the time before.
    outage_ms: Option<u128>,
    /// How long ago the store was first known to answer again.
    answers_for_ms: Option<u128>,
    /// How long ago it was last known to answer.
    answered_ms_ago: Option<u128>,
    /// How much longer removals are held back.
    settles_in_ms: u128,
    /// From whom this VM learns of changes.
    from: String,
}

/// Records the outcome of a call of this VM that the store does not answer from an old replica.
pub fn record_call<T>(state: &ControlState, asked_at: TimeStamp, outcome: &Result<T, StoreError>) {
    let is_answer = match outcome {
        Ok(_) | Err(StoreError::LeaseExpired | StoreError::Conflict { .. }) => true,
        // A rejection says nothing of whether others can renew their leases.
        Err(_) => false,
    };
    let mut view = state.view.borrow_mut();
    match is_answer {
        true => view.record_answers(AnswerSpan::of_answer(asked_at, clock::now())),
        false => view.record_failure(),
    }
}

/// Records what another VM, asked at `asked_at`, told of the store's answers.
pub fn record_told(state: &ControlState, asked_at: TimeStamp, told: ToldAnswers) {
    let offset = Duration::from_millis(told.until_offset_millis.unsigned_abs().into());
    let now = clock::now();
    let span = AnswerSpan {
        since: now.before(Duration::from_millis(told.since_millis.into())),
        until: match told.until_offset_millis < 0 {
            true => asked_at.before(offset),
            false => asked_at.after(offset).min(now),
        },
        is_after_outage: told.is_after_outage,
    };
    state.view.borrow_mut().record_answers(span);
}

/// What this VM tells of the store's answers, to a call that arrived at `arrived_at`.
pub fn told(state: &ControlState, arrived_at: TimeStamp, now: TimeStamp) -> Option<ToldAnswers> {
    let span = state.view.borrow().answers()?;
    let since = now.since(span.since).as_millis();
    let after = span.until.since(arrived_at).as_millis();
    let before = arrived_at.since(span.until).as_micros().div_ceil(1_000);
    let offset = i64::try_from(after).ok()? - i64::try_from(before).ok()?;
    Some(ToldAnswers {
        since_millis: u32::try_from(since).unwrap_or(u32::MAX),
        until_offset_millis: i32::try_from(offset).ok()?,
        is_after_outage: span.is_after_outage,
    })
}

/// Asks another VM when the store answered, and nothing else.
///
/// # Errors
/// Fails if the other VM does not answer.
pub async fn ask(state: &ControlState, vm: &VmRecord) -> Result<(), CallError> {
    let client = state.peers.client(vm.peer).await?;
    let request = ChangesRequest {
        after: u64::MAX,
        wait: Duration::ZERO,
        known_stamp: None,
        takes_parts: true,
    };
    let asked_at = clock::now();
    if let ChangesResponse::Changes(known) = client.changes(request).await?
        && let Some(told) = known.answers
    {
        record_told(state, asked_at, told);
    }
    Ok(())
}

/// Logs which removals are held back, why and until when, and which no longer are.
pub fn log_holds(state: &ControlState) {
    let mut view = state.view.borrow_mut();
    let changes = view.take_hold_changes();
    let retained = i64::try_from(view.retained()).unwrap_or(i64::MAX);
    drop(view);
    state.shared.metrics.held_keys.set(retained);
    if changes.is_empty() {
        return;
    }
    for (step, name) in [
        (HoldStep::Begun, "begun"),
        (HoldStep::Returned, "returned"),
        (HoldStep::Dropped, "dropped"),
    ] {
        let of_step: Vec<&HoldChange> = changes
            .iter()
            .filter(|change| change.step == step)
            .collect();
        if step == HoldStep::Begun {
            let begun = of_step.len() as u64;
            state.shared.metrics.held_removals.inc_by(begun);
        }
        if let Some(first) = of_step.first() {
            log_hold(state, name, &of_step, first.held);
        }
    }
}

fn log_hold(state: &ControlState, step: &str, changes: &[&HoldChange], held: Duration) {
    let now = clock::now();
    let view = state.view.borrow();
    let (span, outage) = (view.answers(), view.outage());
    let settles_in = view.settles_in(now);
    drop(view);
    let named = changes.iter().take(MAX_LOGGED_KEYS);
    let keys: Vec<&str> = named.map(|change| change.key.as_str()).collect();
    let age = |at: TimeStamp| now.since(at).as_millis();
    let event = || HoldEvent {
        step,
        count: changes.len(),
        keys: &keys,
        held_ms: held.as_millis(),
        outage_ms: outage.map(|outage| outage.as_millis()),
        answers_for_ms: span.map(|span| age(span.since)),
        answered_ms_ago: span.map(|span| age(span.until)),
        settles_in_ms: settles_in.as_millis(),
        from: state.knowledge.borrow().source().to_string(),
    };
    state
        .shared
        .log
        .write(EventClass::State, "held-removals", event);
}
