//! Passes changes of the key space from VM to VM: asks the VM that this one follows, and answers
//! the VMs that follow this one.

use crate::clock;
use crate::control::vms::VmRecord;
use crate::control::{ControlState, follow};
use async_std::future::timeout;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{ChangesResponse, KeyspaceChange, KeyspaceChanges};
use dahliawood_store::keyspace::call::KeyspaceItem;
use std::rc::Rc;
use std::time::Duration;

/// How long the other VM waits for a change before it answers that there is none.
const CHANGES_WAIT: Duration = Duration::from_millis(400);
/// How long a VM that follows another counts as current after an answer: until the next answer is
/// overdue.
const CURRENT_TIME: Duration = Duration::from_millis(1_200);
/// How long a VM counts as current after the store failed to answer it: the store may reset a
/// connection and answer on the next one.
const RECONNECT_TIME: Duration = Duration::from_millis(700);

/// Waits for changes at another VM and applies them; returns whether that VM's copy is current.
///
/// # Errors
/// Fails if the other VM does not answer.
pub async fn follow_relay(state: &ControlState, relay: &VmRecord) -> Result<bool, CallError> {
    let client = state.peers.client(relay.peer).await?;
    let after = state.view.borrow().revision();
    let wait = match state.is_confirmed.get() {
        true => CHANGES_WAIT,
        false => Duration::ZERO,
    };
    let asked_at = clock::now();
    match client.changes(after, wait).await? {
        ChangesResponse::NotCurrent => Ok(false),
        ChangesResponse::TooOld => {
            let above = state.view.borrow().heard_revision();
            let snapshot = client.keyspace(above).await?;
            let is_settled = snapshot.is_settled;
            super::relay::apply_snapshot(state, snapshot);
            if is_settled {
                state.record_heard(asked_at);
            }
            Ok(is_settled)
        }
        ChangesResponse::Changes(changes) => {
            state.record_heard(asked_at);
            apply(state, changes, asked_at);
            Ok(true)
        }
    }
}

fn apply(state: &ControlState, changes: KeyspaceChanges, asked_at: TimeStamp) {
    let now = clock::now();
    let items = changes.changes.into_iter().map(|change| KeyspaceItem {
        key: change.key,
        value: change.value,
        revision: change.revision,
    });
    let settles_at = now.after(changes.settles_in);
    if !changes.settles_in.is_zero() {
        state.view.borrow_mut().hold_removals(settles_at);
    }
    follow::apply_items(state, items.collect(), changes.revision);
    // An answer that waited while this VM was paused does not make its copy current.
    let answered_by = asked_at.after(CHANGES_WAIT).min(now);
    let current_until = answered_by.after(CURRENT_TIME);
    state.current_until.set(Some(current_until));
}

/// Whether this VM's copy follows the store, directly or through another VM.
pub fn is_current(state: &ControlState, now: TimeStamp) -> bool {
    let current_until = state.current_until.get();
    state.is_confirmed.get() && current_until.is_none_or(|until| now < until)
}

/// Records whether the store answered this VM, which follows it.
pub fn record_store_answer(state: &ControlState, is_answered: bool) {
    let lost_at = clock::now().after(RECONNECT_TIME);
    let current_until = state.current_until.get().unwrap_or(lost_at);
    let current_until = (!is_answered).then_some(current_until);
    state.current_until.set(current_until);
}

/// Answers a VM that follows this one: the changes after a revision, or none after `wait`.
pub async fn changes(state: Rc<ControlState>, after: u64, wait: Duration) -> ChangesResponse {
    let response = known_changes(&state, after);
    if !is_empty(&response) {
        return response;
    }
    // Resolves, with an error, when the next changes are applied.
    let next_change = state.changed.borrow().1.clone();
    let _changed = timeout(wait, next_change.recv()).await;
    known_changes(&state, after)
}

fn is_empty(response: &ChangesResponse) -> bool {
    matches!(response, ChangesResponse::Changes(known) if known.changes.is_empty())
}

fn known_changes(state: &ControlState, after: u64) -> ChangesResponse {
    let now = clock::now();
    if !is_current(state, now) {
        return ChangesResponse::NotCurrent;
    }
    let log = state.change_log.borrow();
    let Some(items) = log.since(after) else {
        return ChangesResponse::TooOld;
    };
    let changes = items.into_iter().map(|item| KeyspaceChange {
        key: item.key,
        revision: item.revision,
        value: item.value,
    });
    ChangesResponse::Changes(KeyspaceChanges {
        revision: log.revision().max(after),
        settles_in: state.view.borrow().settles_in(now),
        changes: changes.collect(),
    })
}
