//! This VM's copy of the key space: takes over changes and other VMs' copies, and wakes the VMs that
//! follow this one.

use crate::clock;
use crate::control::vms::VMS_PREFIX;
use crate::control::{ControlState, apply, knowledge};
use crate::structured_log::EventClass;
use async_std::channel::bounded;
use dahliawood_model::FastSet;
use dahliawood_peer::gateway::message::KeyspaceSnapshot;
use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::view::{RelaySource, ViewChange};
use serde::Serialize;
use std::sync::Arc;

/// Log event for a write that the store carried out after one of which the writer said later.
#[derive(Serialize)]
struct LateWriteEvent<'a> {
    key: &'a str,
    revision: u64,
}

/// Log event for a return of the store to an older state.
#[derive(Serialize)]
struct RestorationEvent {
    epoch: u64,
}

/// Applies the changes that lead to `revision`, and passes on those that are newer than what is known to
/// VMs that follow this one.
pub fn apply_items(state: &ControlState, items: Vec<KeyspaceItem>, revision: u64) {
    supersede_transfers(state, &items);
    let changes = state.view.borrow_mut().apply(items, revision, clock::now());
    log_late_writes(state);
    apply_or_hold(state, &changes);
    notify_followers(state);
}

/// Logs and counts the writes that the store carried out late since the last call.
fn log_late_writes(state: &ControlState) {
    let late = state.view.borrow_mut().take_late_writes();
    for write in &late {
        state.shared.metrics.late_writes.inc();
        let event = || LateWriteEvent {
            key: &write.key,
            revision: write.revision,
        };
        state
            .shared
            .log
            .write(EventClass::State, "late-write", event);
    }
}

/// Replaces the copy by the whole key space as the store listed it at `revision`.
///
/// The changes of a first read may be some seconds old, so they are not in force before they are
/// [confirmed](confirm), but for the registered VMs.
pub fn replace(state: &ControlState, items: Vec<KeyspaceItem>, revision: u64) {
    supersede_transfers(state, &items);
    let is_first = !state.sources.borrow().is_confirmed();
    let epoch = state.view.borrow().epoch();
    let changes = state
        .view
        .borrow_mut()
        .replace(items, revision, clock::now());
    log_late_writes(state);
    note_restoration(state, epoch);
    if is_first {
        let is_vm = |change: &ViewChange| change.key.starts_with(VMS_PREFIX);
        let (vms, others) = changes.into_iter().partition::<Vec<_>, _>(is_vm);
        apply_now(state, &vms);
        hold(state, &others);
    } else {
        confirm(state);
        apply_now(state, &changes);
        notify_followers(state);
    }
}

/// Applies what is newer in another VM's copy of the key space.
pub fn apply_snapshot(state: &ControlState, snapshot: KeyspaceSnapshot) {
    let source = RelaySource {
        revision: snapshot.revision,
        is_settled: snapshot.is_settled,
        tells_answers: snapshot.answers.is_some(),
    };
    if !state.view.borrow().has_newer(source) {
        return;
    }
    let listed: FastSet<String> = snapshot.keys.iter().map(|key| key.key.clone()).collect();
    let newer = snapshot.keys.into_iter().filter(|key| key.value.is_some());
    let items = newer.map(|key| KeyspaceItem {
        key: key.key,
        value: key.value,
        revision: key.revision,
    });
    let items: Vec<KeyspaceItem> = items.collect();
    supersede_transfers(state, &items);
    let epoch = state.view.borrow().epoch();
    let changes = state
        .view
        .borrow_mut()
        .apply_relayed(items, &listed, source, clock::now());
    log_late_writes(state);
    note_restoration(state, epoch);
    apply_now(state, &changes);
    notify_followers(state);
}

/// Applies a long value that was fetched apart from the changes around it.
pub fn apply_value(state: &ControlState, item: KeyspaceItem) {
    supersede_transfers(state, std::slice::from_ref(&item));
    let changes = state.view.borrow_mut().apply_fetched(item, clock::now());
    log_late_writes(state);
    apply_or_hold(state, changes.as_slice());
    notify_followers(state);
}

/// Ends the transfers of values that have come in another way, or are gone.
fn supersede_transfers(state: &ControlState, items: &[KeyspaceItem]) {
    let mut transfers = state.transfers.borrow_mut();
    if transfers.is_empty() {
        return;
    }
    for item in items {
        transfers.supersede(&item.key, item.revision);
    }
}

/// Brings changes into force.
pub fn apply_now(state: &ControlState, changes: &[ViewChange]) {
    let mut held = state.unconfirmed.borrow_mut();
    for change in changes {
        held.remove(&change.key);
    }
    drop(held);
    apply::apply_changes(state, changes);
}

/// Holds changes until they are confirmed: only their keys, since the view may have newer values by then.
fn hold(state: &ControlState, changes: &[ViewChange]) {
    let keys = changes.iter().map(|change| change.key.clone());
    state.unconfirmed.borrow_mut().extend(keys);
}

/// Brings changes into force if the first read is confirmed, and holds them otherwise.
fn apply_or_hold(state: &ControlState, changes: &[ViewChange]) {
    match state.sources.borrow().is_confirmed() {
        true => apply_now(state, changes),
        false => hold(state, changes),
    }
}

/// Brings into force what is held, as the view has it now: the answer to a later call has confirmed the
/// first read, or none can be had.
pub fn confirm(state: &ControlState) {
    let mut keys: Vec<String> = state.unconfirmed.take().into_iter().collect();
    keys.sort();
    let view = state.view.borrow();
    let changes = keys.into_iter().map(|key| ViewChange {
        value: view.get(&key).map(|known| Arc::clone(&known.value)),
        key,
    });
    let changes: Vec<ViewChange> = changes.collect();
    drop(view);
    apply::apply_changes(state, &changes);
    state.sources.borrow_mut().set_confirmed();
}

/// Logs that the store has returned to an older state since the view had `epoch`, and lets this VM
/// register again.
fn note_restoration(state: &ControlState, epoch: u64) {
    let now = state.view.borrow().epoch();
    let is_first = !state.sources.borrow().is_confirmed();
    if is_first || now == epoch {
        return;
    }
    // One pending message is enough.
    let _notified = state.epoch_changed.0.try_send(());
    let event = || RestorationEvent { epoch: now };
    state
        .shared
        .log
        .write(EventClass::State, "restoration", event);
}

/// Wakes the calls of VMs that wait for changes, or for a later date of this VM's copy.
pub fn notify_followers(state: &ControlState) {
    knowledge::tell_decisions(state);
    let (sender, _) = state.changed.replace(bounded(1));
    sender.close();
}
