//! Answers the VMs that follow this one, or that copy the key space from it.

use crate::clock;
use crate::control::{ControlState, answers, parts};
use async_std::future::timeout;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::gateway::message::{
    ChangesRequest, ChangesResponse, CopyDate, KeyspaceChange, KeyspaceChanges, KeyspaceEntry,
    KeyspaceSnapshot,
};
use std::rc::Rc;

/// Answers a VM that follows this one, as soon as there is news: changes, or a later date of this VM's
/// copy than the caller was told last.
pub async fn changes(state: Rc<ControlState>, request: ChangesRequest) -> ChangesResponse {
    let arrived_at = clock::now();
    let ends_at = arrived_at.after(request.wait);
    loop {
        // Resolves, with an error, when the next answer of this VM's source is applied.
        let next_answer = state.changed.borrow().1.clone();
        let response = known_changes(&state, request, arrived_at);
        let left = ends_at.since(clock::now());
        if left.is_zero() || is_news(&response, request.known_stamp) {
            return response;
        }
        let _answered = timeout(left, next_answer.recv()).await;
    }
}

fn is_news(response: &ChangesResponse, known_stamp: Option<u64>) -> bool {
    let ChangesResponse::Changes(known) = response else {
        return true;
    };
    let is_later = |date: CopyDate| known_stamp.is_some_and(|known| known != date.stamp);
    !known.changes.is_empty() || known.date.is_some_and(is_later)
}

fn known_changes(
    state: &ControlState,
    request: ChangesRequest,
    arrived_at: TimeStamp,
) -> ChangesResponse {
    let after = request.after;
    let now = clock::now();
    if !is_sound(state, now) {
        return ChangesResponse::NotCurrent;
    }
    let view = state.view.borrow();
    let Some(told) = view.changes_since(after) else {
        return ChangesResponse::TooOld;
    };
    let changes = told.items.into_iter().map(|item| {
        let value = item.value.as_deref().unwrap_or_default();
        let left_out = parts::left_out(value, request.takes_parts);
        KeyspaceChange {
            key: item.key,
            revision: item.revision,
            value: item.value.filter(|_| left_out == 0),
            left_out,
        }
    });
    ChangesResponse::Changes(KeyspaceChanges {
        revision: told.revision,
        settles_in: view.settles_in(now),
        changes: changes.collect(),
        date: date(state, arrived_at, now),
        answers: answers::told(state, arrived_at, now),
    })
}

/// This VM's copy of the key space, without the values of keys last written at or below `above`, and
/// without long ones if the caller takes parts. While this VM itself lacks a value it has no copy to
/// give.
pub fn snapshot(state: &ControlState, above: u64, takes_parts: bool) -> KeyspaceSnapshot {
    if !state.transfers.borrow().is_empty() {
        return KeyspaceSnapshot::default();
    }
    let now = clock::now();
    let view = state.view.borrow();
    let copy = view.copy(is_sound(state, now), now);
    let keys = copy.entries.into_iter().map(|(key, known)| {
        let is_newer = known.revision > above;
        let left_out = match is_newer {
            true => parts::left_out(&known.value, takes_parts),
            false => 0,
        };
        KeyspaceEntry {
            key: key.to_owned(),
            revision: known.revision,
            value: (is_newer && left_out == 0).then(|| known.value.to_vec()),
            left_out,
        }
    });
    KeyspaceSnapshot {
        revision: copy.revision,
        is_settled: copy.is_settled,
        keys: keys.collect(),
        date: date(state, now, now),
        answers: answers::told(state, now, now),
    }
}

/// Whether this VM's copy is current, and kept so by its source.
fn is_sound(state: &ControlState, now: TimeStamp) -> bool {
    let has_source = state.is_relayed.get() || state.is_store_up.get();
    let has_all = state.transfers.borrow().is_empty();
    has_source && has_all && state.sources.borrow().is_current(now)
}

/// The date of this VM's copy, from the arrival of a call.
fn date(state: &ControlState, arrived_at: TimeStamp, now: TimeStamp) -> Option<CopyDate> {
    let sources = state.sources.borrow();
    Some(CopyDate {
        offset_millis: sources.offset_millis(arrived_at, now)?,
        stamp: sources.current_at()?.as_micros(),
    })
}
