//! Follows the key space and brings what it says into force.

use crate::clock;
use crate::codec::SpaceRecord;
use crate::control::ControlState;
use crate::control::vms::{VMS_PREFIX, VmRecord};
use crate::line::LineRank;
use async_std::future::timeout;
use async_std::task;
use dahliawood_model::FastSet;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_store::client::error::StoreError;
use dahliawood_store::keyspace::call::{FollowCall, FollowOutcome, KeyspaceItem, RangeCall};
use dahliawood_store::keyspace::view::ViewChange;
use futures::future::{self, Either};
use serde::Serialize;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long a call waits for changes; a connection that goes silent meanwhile is found by TCP.
const FOLLOW_WAIT: Duration = Duration::from_secs(15);
/// The same where the store did not answer last time: whether it does now is to be known soon.
const FIRST_WAIT: Duration = Duration::from_millis(200);
/// How long changes are gathered before the next call: each change would otherwise cost a call of
/// every VM.
const GATHER_TIME: Duration = Duration::from_millis(350);
/// VMs beyond which changes are gathered for longer.
const GATHER_VMS: f64 = 16.0;
/// The longest that changes are gathered: a part of the time in which they are to be in force.
const LONGEST_GATHER: Duration = Duration::from_millis(1_100);
/// The first pause after a failed call; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The prefix of all keys: one call waits for all changes.
const EVERYTHING: &str = "";
/// Under which operators write, without leases.
const OPERATORS_PREFIX: &str = "op/";

/// Whether a key is removed when its writer is not heard of.
pub fn is_leased(key: &str) -> bool {
    !key.starts_with(OPERATORS_PREFIX)
}

/// A line on a change of what this VM believes.
#[derive(Serialize)]
struct ChangeLine<'a> {
    key: &'a str,
    what: &'a str,
    version: u64,
    detail: String,
}

/// A line on a dependency that was lost or is back.
#[derive(Serialize)]
struct StoreLine {
    is_up: bool,
    cause: String,
}

/// Follows until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut pause = FIRST_PAUSE;
    let mut is_read = false;
    loop {
        let step = match is_read {
            true => follow(&state).await,
            false => read_all(&state).await.map(|()| true),
        };
        match step {
            Ok(is_current) => {
                is_read = is_current;
                pause = FIRST_PAUSE;
                note_store(&state, None);
            }
            Err(error) => {
                note_store(&state, Some(&error));
                let spread = pause.mul_f64(0.5 + rand::random::<f64>());
                let _rung = timeout(spread, state.store_bell.1.recv()).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Notes whether the store answered.
pub fn note_store(state: &ControlState, error: Option<&StoreError>) {
    let is_up = error.is_none_or(StoreError::is_answer);
    state
        .view
        .borrow_mut()
        .set_unavailable(!is_up, clock::now());
    if state.is_store_up.replace(is_up) != is_up {
        // One ring that waits is enough.
        let _rung = state.store_bell.0.try_send(());
        let cause = error.map_or(String::new(), ToString::to_string);
        let line = || StoreLine { is_up, cause };
        state.shared.lines.write(LineRank::State, "store", line);
    }
}

/// Reads the whole key space.
async fn read_all(state: &ControlState) -> Result<(), StoreError> {
    let mut items: Vec<KeyspaceItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = RangeCall {
            prefix: EVERYTHING.to_owned(),
            after,
        };
        let read = (state.store.range)(call).await;
        state.shared.metrics.store_call("range", read.is_ok());
        let page = read?;
        // Pages are no snapshot: changes after the first one are heard of by following from there.
        revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            break;
        }
    }
    let revision = revision.unwrap_or(0);
    let changes = state
        .view
        .borrow_mut()
        .replace(items, revision, clock::now());
    take(state, &changes);
    Ok(())
}

/// Waits until another call finds that the store does not answer.
async fn lost(state: &ControlState) {
    while state.store_bell.1.recv().await.is_ok() {
        if !state.is_store_up.get() {
            return;
        }
    }
    future::pending::<()>().await;
}

/// Waits for changes; false where the space has to be read anew.
async fn follow(state: &ControlState) -> Result<bool, StoreError> {
    let call = FollowCall {
        prefix: EVERYTHING.to_owned(),
        after: state.view.borrow().revision(),
        wait: match state.is_store_up.get() {
            true => FOLLOW_WAIT,
            false => FIRST_WAIT,
        },
    };
    // A connection that has gone silent shows first where the registration is renewed.
    let following = pin!((state.store.follow)(call));
    let lost = pin!(lost(state));
    let followed = match future::select(following, lost).await {
        Either::Left((followed, _)) => followed,
        Either::Right(((), _)) => Err(StoreError::ConnectionLost {
            reason: "another call got no answer".to_owned(),
        }),
    };
    state.shared.metrics.store_call("follow", followed.is_ok());
    let FollowOutcome::Changes { items, revision } = followed? else {
        return Ok(false);
    };
    let is_empty = items.is_empty();
    let changes = state.view.borrow_mut().apply(items, revision, clock::now());
    take(state, &changes);
    if !is_empty {
        task::sleep(gather_time(state.shared.vms.load().len())).await;
    }
    Ok(true)
}

/// How long changes are gathered among so many VMs.
fn gather_time(vms: usize) -> Duration {
    let gather = GATHER_TIME.mul_f64((vms as f64 / GATHER_VMS).max(1.0));
    gather.min(LONGEST_GATHER)
}

/// Brings changes into force.
pub fn take(state: &ControlState, changes: &[ViewChange]) {
    let mut is_vm_changed = false;
    let mut is_evacuation_changed = false;
    for change in changes {
        if change.key.starts_with(VMS_PREFIX) {
            is_vm_changed = true;
            continue;
        }
        let Some(value) = &change.value else {
            is_evacuation_changed |= change.key.starts_with(OPERATORS_PREFIX);
            remove(state, &change.key);
            continue;
        };
        match (state.shared.codec.read_item)(&change.key, value) {
            Some(SpaceRecord::Evacuated(_)) => is_evacuation_changed = true,
            Some(record) => take_record(state, &change.key, record),
            None => {}
        }
    }
    if is_vm_changed {
        publish_vms(state);
    }
    if is_evacuation_changed {
        publish_evacuated(state);
    }
}

fn take_record(state: &ControlState, key: &str, record: SpaceRecord) {
    let mut place = state.shared.place();
    match record {
        SpaceRecord::Target(entry) => {
            let detail = format!(
                "{} at {} in {}, cold for {:?}",
                entry.service, entry.address, entry.domain, entry.cold_for
            );
            let what = if entry.is_draining {
                "target-draining"
            } else {
                "target"
            };
            place.upsert(entry, clock::now());
            log_change(state, key, what, 0, detail);
        }
        SpaceRecord::Catalog(catalog) => {
            drop(place);
            take_catalog(state, key, catalog);
        }
        SpaceRecord::Unreadable { reason } => {
            if let Some(id) = (state.shared.codec.target_id)(key) {
                place.remove(id);
            }
            log_change(state, key, "unreadable", 0, reason);
        }
        SpaceRecord::Evacuated(_) => {}
    }
}

/// Brings a version into force unless it is older than the one that is.
fn take_catalog(state: &ControlState, key: &str, catalog: FleetCatalog) {
    let shared = &state.shared;
    let current = shared.catalog.load_full();
    let version = catalog.version;
    if current.is_some_and(|current| current.version >= version) {
        log_change(state, key, "older-version", version, String::new());
        return;
    }
    let detail = format!("{} routes", catalog.routes.len());
    shared.catalog.store(Some(Arc::new(catalog)));
    log_change(state, key, "version", version, detail);
}

fn remove(state: &ControlState, key: &str) {
    let id = (state.shared.codec.target_id)(key);
    if id.is_some_and(|id| state.shared.place().remove(id)) {
        log_change(state, key, "target-gone", 0, String::new());
    }
}

fn log_change(state: &ControlState, key: &str, what: &str, version: u64, detail: String) {
    let line = || ChangeLine {
        key,
        what,
        version,
        detail,
    };
    state.shared.lines.write(LineRank::State, "change", line);
}

/// Counts the VMs of this region.
pub fn count_vms(state: &ControlState) {
    let region = &state.shared.settings.region;
    let vms = state.shared.vms.load();
    let near = vms.iter().filter(|vm| vm.region == *region).count();
    state.shared.own().set_vms(near.max(1), clock::now());
}

/// Publishes the VMs that are registered.
fn publish_vms(state: &ControlState) {
    let view = state.view.borrow();
    let mut vms: Vec<VmRecord> = Vec::new();
    for (key, known) in view.known().filter(|(key, _)| key.starts_with(VMS_PREFIX)) {
        match serde_json::from_slice(&known.value) {
            Ok(vm) => vms.push(vm),
            Err(error) => log::warn!("the VM at '{key}' cannot be read: {error}"),
        }
    }
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
    log_change(state, VMS_PREFIX, "vms", vms.len() as u64, names.join(" "));
    state.shared.vms.store(Arc::new(vms));
    count_vms(state);
}

/// Publishes the failure domains whose targets get nothing.
fn publish_evacuated(state: &ControlState) {
    let view = state.view.borrow();
    let read = state.shared.codec.read_item;
    let domains: FastSet<String> = view
        .known()
        .filter(|(key, _)| key.starts_with(OPERATORS_PREFIX))
        .filter_map(|(key, known)| match read(key, &known.value) {
            Some(SpaceRecord::Evacuated(domain)) => Some(domain),
            _ => None,
        })
        .collect();
    log_change(
        state,
        OPERATORS_PREFIX,
        "evacuated",
        0,
        format!("{domains:?}"),
    );
    state.shared.place().set_evacuated(domains);
}
