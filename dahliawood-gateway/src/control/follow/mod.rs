//! Follows the key space in the store and applies its changes to the shared state.

use crate::clock;
use crate::codec::KeyspaceRecord;
use crate::control::ControlState;
use crate::control::vms::{VMS_PREFIX, VmRecord};
use crate::structured_log::EventClass;
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

/// How long a call waits for changes; TCP detects a connection that goes silent meanwhile.
const FOLLOW_WAIT: Duration = Duration::from_secs(15);
/// The same wait after the store failed to answer: short, to find out soon whether it answers
/// again.
const RECONNECT_WAIT: Duration = Duration::from_millis(200);
/// Delay between calls, in which changes accumulate in the store: each change would otherwise cost
/// a call from every VM.
const BATCH_INTERVAL: Duration = Duration::from_millis(350);
/// Number of VMs above which the delay grows in proportion to the number of VMs.
const BATCH_INTERVAL_VMS: f64 = 16.0;
/// The longest delay: a part of the time within which changes must be in force.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(1_100);
/// Backoff after the first failed call; doubles with each further one up to the maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Prefix that all keys have: a single call waits for all changes.
const ALL_KEYS_PREFIX: &str = "";
/// Prefix of the keys that operators write, without leases.
const OPERATORS_PREFIX: &str = "op/";

/// Whether a key is written under a lease, so that it is removed when its writer stops renewing.
pub fn is_leased(key: &str) -> bool {
    !key.starts_with(OPERATORS_PREFIX)
}

/// Log event for a change of the key space that this VM has applied or ignored.
#[derive(Serialize)]
struct ChangeEvent<'a> {
    key: &'a str,
    what: &'a str,
    version: u64,
    detail: String,
}

/// Log event for the loss or return of the store.
#[derive(Serialize)]
struct StoreEvent {
    is_up: bool,
    cause: String,
}

/// Follows the key space until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut backoff = INITIAL_BACKOFF;
    let mut is_synced = false;
    loop {
        let step = match is_synced {
            true => follow(&state).await,
            false => read_all(&state).await.map(|()| true),
        };
        match step {
            Ok(is_current) => {
                is_synced = is_current;
                backoff = INITIAL_BACKOFF;
                set_store_status(&state, None);
            }
            Err(error) => {
                set_store_status(&state, Some(&error));
                let jittered = backoff.mul_f64(0.5 + rand::random::<f64>());
                let _notified = timeout(jittered, state.store_status_changed.1.recv()).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Records whether the store answered a call.
pub fn set_store_status(state: &ControlState, error: Option<&StoreError>) {
    let is_up = error.is_none_or(StoreError::is_answer);
    state
        .view
        .borrow_mut()
        .set_unavailable(!is_up, clock::now());
    if state.is_store_up.replace(is_up) != is_up {
        // One pending message is enough.
        let _notified = state.store_status_changed.0.try_send(());
        let cause = error.map_or(String::new(), ToString::to_string);
        let event = || StoreEvent { is_up, cause };
        state.shared.log.write(EventClass::State, "store", event);
    }
}

/// Reads the whole key space, page by page.
async fn read_all(state: &ControlState) -> Result<(), StoreError> {
    let mut items: Vec<KeyspaceItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = RangeCall {
            prefix: ALL_KEYS_PREFIX.to_owned(),
            after,
        };
        let read = (state.store.range)(call).await;
        state
            .shared
            .metrics
            .record_store_call("range", read.is_ok());
        let page = read?;
        // The pages are no consistent snapshot: following continues from the revision of the first
        // page, so that later changes are not missed.
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
    apply_changes(state, &changes);
    Ok(())
}

/// Waits until a call of another task gets no answer from the store.
async fn wait_for_store_loss(state: &ControlState) {
    while state.store_status_changed.1.recv().await.is_ok() {
        if !state.is_store_up.get() {
            return;
        }
    }
    future::pending::<()>().await;
}

/// Waits for changes and applies them; returns false if the whole key space must be read again.
async fn follow(state: &ControlState) -> Result<bool, StoreError> {
    let call = FollowCall {
        prefix: ALL_KEYS_PREFIX.to_owned(),
        after: state.view.borrow().revision(),
        wait: match state.is_store_up.get() {
            true => FOLLOW_WAIT,
            false => RECONNECT_WAIT,
        },
    };
    // A call that waits cannot tell a silent connection from a store without changes; the renewal
    // of the registration fails first on such a connection.
    let following = pin!((state.store.follow)(call));
    let lost = pin!(wait_for_store_loss(state));
    let followed = match future::select(following, lost).await {
        Either::Left((followed, _)) => followed,
        Either::Right(((), _)) => Err(StoreError::ConnectionLost {
            reason: "the store did not answer another call".to_owned(),
        }),
    };
    state
        .shared
        .metrics
        .record_store_call("follow", followed.is_ok());
    let FollowOutcome::Changes { items, revision } = followed? else {
        return Ok(false);
    };
    let is_empty = items.is_empty();
    let changes = state.view.borrow_mut().apply(items, revision, clock::now());
    apply_changes(state, &changes);
    if !is_empty {
        task::sleep(batch_interval(state.shared.vms.load().len())).await;
    }
    Ok(true)
}

/// The delay between calls in a fleet of `vms` VMs.
fn batch_interval(vms: usize) -> Duration {
    let interval = BATCH_INTERVAL.mul_f64((vms as f64 / BATCH_INTERVAL_VMS).max(1.0));
    interval.min(MAX_BATCH_INTERVAL)
}

/// Applies changes of the key space to the shared state.
pub fn apply_changes(state: &ControlState, changes: &[ViewChange]) {
    let mut is_vm_changed = false;
    let mut is_evacuation_changed = false;
    for change in changes {
        if change.key.starts_with(VMS_PREFIX) {
            is_vm_changed = true;
            continue;
        }
        let Some(value) = &change.value else {
            is_evacuation_changed |= change.key.starts_with(OPERATORS_PREFIX);
            remove_target(state, &change.key);
            continue;
        };
        match (state.shared.codec.read_item)(&change.key, value) {
            Some(KeyspaceRecord::Evacuated(_)) => is_evacuation_changed = true,
            Some(record) => apply_record(state, &change.key, record),
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

fn apply_record(state: &ControlState, key: &str, record: KeyspaceRecord) {
    let mut table = state.shared.placement();
    match record {
        KeyspaceRecord::Target(entry) => {
            let detail = format!(
                "{} at {} in {}, cold for {:?}",
                entry.service, entry.address, entry.domain, entry.cold_for
            );
            let what = if entry.is_draining {
                "target-draining"
            } else {
                "target"
            };
            table.upsert(entry, clock::now());
            log_change(state, key, what, 0, detail);
        }
        KeyspaceRecord::Catalog(catalog) => {
            drop(table);
            install_catalog(state, key, catalog);
        }
        KeyspaceRecord::Unreadable { reason } => {
            if let Some(id) = (state.shared.codec.target_id)(key) {
                table.remove(id);
            }
            log_change(state, key, "unreadable", 0, reason);
        }
        KeyspaceRecord::Evacuated(_) => {}
    }
}

/// Brings a configuration version into force unless the current one is as new or newer.
fn install_catalog(state: &ControlState, key: &str, catalog: FleetCatalog) {
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

fn remove_target(state: &ControlState, key: &str) {
    let id = (state.shared.codec.target_id)(key);
    if id.is_some_and(|id| state.shared.placement().remove(id)) {
        log_change(state, key, "target-gone", 0, String::new());
    }
}

fn log_change(state: &ControlState, key: &str, what: &str, version: u64, detail: String) {
    let event = || ChangeEvent {
        key,
        what,
        version,
        detail,
    };
    state.shared.log.write(EventClass::State, "change", event);
}

/// Updates the number of VMs in this region, among which a cold target's rate is divided.
pub fn update_vm_count(state: &ControlState) {
    let region = &state.shared.settings.region;
    let vms = state.shared.vms.load();
    let count = vms.iter().filter(|vm| vm.region == *region).count();
    state.shared.location().set_vms(count.max(1), clock::now());
}

/// Publishes the list of registered VMs.
fn publish_vms(state: &ControlState) {
    let view = state.view.borrow();
    let mut vms: Vec<VmRecord> = Vec::new();
    for (key, known) in view.known().filter(|(key, _)| key.starts_with(VMS_PREFIX)) {
        match serde_json::from_slice(&known.value) {
            Ok(vm) => vms.push(vm),
            Err(error) => log::warn!("cannot decode the VM record at '{key}': {error}"),
        }
    }
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
    log_change(state, VMS_PREFIX, "vms", vms.len() as u64, names.join(" "));
    state.shared.vms.store(Arc::new(vms));
    update_vm_count(state);
}

/// Publishes the evacuated failure domains, whose targets get no requests.
fn publish_evacuated(state: &ControlState) {
    let view = state.view.borrow();
    let read = state.shared.codec.read_item;
    let domains: FastSet<String> = view
        .known()
        .filter(|(key, _)| key.starts_with(OPERATORS_PREFIX))
        .filter_map(|(key, known)| match read(key, &known.value) {
            Some(KeyspaceRecord::Evacuated(domain)) => Some(domain),
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
    state.shared.placement().set_evacuated(domains);
}
