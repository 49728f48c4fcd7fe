//! Learns of changes of the key space from another VM that this one follows.

use crate::clock;
use crate::control::vms::VmRecord;
use crate::control::{ControlState, answers, copy, transfers};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{
    ChangesRequest, ChangesResponse, CopyDate, KeyspaceChange, KeyspaceChanges, KeyspaceSnapshot,
};
use dahliawood_store::keyspace::call::KeyspaceItem;
use std::time::Duration;

/// The stamp that a VM sends which was told none yet; no copy has it.
const NO_STAMP: u64 = 1;

/// The date of its copy that a VM was told last.
#[derive(Clone, Debug, Default)]
pub struct ToldDate {
    /// Name of the VM that told it.
    relay: String,
    stamp: u64,
}

/// Waits up to `wait` for news of another VM and applies them; returns whether that VM's copy is
/// current.
///
/// # Errors
/// Fails if the other VM does not answer.
pub async fn ask(
    state: &ControlState,
    relay: &VmRecord,
    wait: Duration,
) -> Result<bool, CallError> {
    let client = state.peers.client(relay.peer).await?;
    let request = ChangesRequest {
        after: state.view.borrow().revision(),
        wait,
        known_stamp: Some(told_stamp(state, relay)),
        takes_parts: true,
    };
    let asked_at = clock::now();
    match client.changes(request).await? {
        ChangesResponse::NotCurrent => Ok(false),
        ChangesResponse::TooOld => {
            let above = state.view.borrow().heard_revision();
            let asked_at = clock::now();
            let snapshot = client.keyspace(above, true).await?;
            let (is_settled, date) = (snapshot.is_settled, snapshot.date);
            if let Some(told) = snapshot.answers {
                answers::record_told(state, asked_at, told);
            }
            announce_left_out(state, &snapshot, &relay.name);
            copy::apply_snapshot(state, snapshot);
            if is_settled {
                record_date(state, relay, date, asked_at);
            }
            Ok(is_settled)
        }
        ChangesResponse::Changes(changes) => {
            let date = changes.date;
            match changes.answers {
                Some(told) => answers::record_told(state, asked_at, told),
                None => hold_as_told(state, &changes),
            }
            apply(state, changes, &relay.name);
            record_date(state, relay, date, asked_at);
            Ok(true)
        }
    }
}

/// The stamp of the date that the relay told last.
fn told_stamp(state: &ControlState, relay: &VmRecord) -> u64 {
    let told = state.told_date.borrow();
    match told.relay == relay.name {
        true => told.stamp,
        false => NO_STAMP,
    }
}

/// Takes over the date of another VM's copy; a VM of an earlier version tells none.
fn record_date(
    state: &ControlState,
    relay: &VmRecord,
    date: Option<CopyDate>,
    asked_at: TimeStamp,
) {
    let Some(date) = date else {
        return;
    };
    state.told_date.replace(ToldDate {
        relay: relay.name.clone(),
        stamp: date.stamp,
    });
    let now = clock::now();
    let mut sources = state.sources.borrow_mut();
    sources.record_relay_answer(asked_at, date.offset_millis, now);
    drop(sources);
    copy::notify_followers(state);
}

/// Fetches the values that a VM left out of its copy.
pub fn announce_left_out(state: &ControlState, snapshot: &KeyspaceSnapshot, teller: &str) {
    let long = snapshot.keys.iter().filter(|key| key.left_out > 0);
    for key in long {
        transfers::announce(state, &key.key, key.revision, teller);
    }
}

/// Holds removals back as a VM of an earlier version does, which tells only for how long.
fn hold_as_told(state: &ControlState, changes: &KeyspaceChanges) {
    if !changes.settles_in.is_zero() {
        let settles_at = clock::now().after(changes.settles_in);
        state.view.borrow_mut().hold_removals(settles_at);
    }
}

fn apply(state: &ControlState, changes: KeyspaceChanges, teller: &str) {
    let is_long = |change: &KeyspaceChange| change.left_out > 0;
    let (long, short): (Vec<_>, Vec<_>) = changes.changes.into_iter().partition(is_long);
    for change in long {
        transfers::announce(state, &change.key, change.revision, teller);
    }
    let items = short.into_iter().map(|change| KeyspaceItem {
        key: change.key,
        value: change.value,
        revision: change.revision,
    });
    copy::apply_items(state, items.collect(), changes.revision);
}
