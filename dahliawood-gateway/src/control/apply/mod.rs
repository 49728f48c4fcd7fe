//! Applies changes of the key space to the state that the threads share: targets, configuration,
//! registered VMs and evacuated failure domains.

use crate::clock;
use crate::codec::KeyspaceRecord;
use crate::control::vms::{VMS_PREFIX, VmRecord};
use crate::control::{ControlState, knowledge};
use crate::decisions::EntryOrigin;
use crate::structured_log::EventClass;
use dahliawood_model::FastSet;
use dahliawood_model::catalog::{FleetCatalog, TargetEntry};
use dahliawood_steer::placement::exchange::collector;
use dahliawood_store::keyspace::view::ViewChange;
use serde::Serialize;
use std::sync::Arc;

/// Prefix of the keys that operators write, without leases.
const OPERATORS_PREFIX: &str = "op/";

/// Whether a key is written under a lease, so that it is removed when its writer stops renewing.
pub fn is_leased(key: &str) -> bool {
    !key.starts_with(OPERATORS_PREFIX)
}

/// What a change of the key space changes at this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum ChangeKind {
    Target,
    TargetDraining,
    TargetGone,
    Unreadable,
    Version,
    OlderVersion,
    Vms,
    Evacuated,
}

/// Log event for a change of the key space that this VM has applied or ignored.
#[derive(Serialize)]
struct ChangeEvent<'a> {
    key: &'a str,
    what: ChangeKind,
    /// Revision of the write that is in force, zero if none is.
    revision: u64,
    version: u64,
    detail: String,
    /// From whom this VM learned of it, and how old its knowledge was by then.
    from: String,
    age_ms: u128,
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
    match record {
        KeyspaceRecord::Target(entry) => apply_target(state, key, entry),
        KeyspaceRecord::Catalog(catalog) => install_catalog(state, key, catalog),
        KeyspaceRecord::Unreadable { reason } => {
            if let Some(id) = (state.shared.codec.target_id)(key) {
                state.shared.placement().remove(id, clock::now());
            }
            log_change(state, key, ChangeKind::Unreadable, 0, reason);
        }
        KeyspaceRecord::Evacuated(_) => {}
    }
}

fn apply_target(state: &ControlState, key: &str, entry: TargetEntry) {
    let mut table = state.shared.placement();
    let now = clock::now();
    let detail = format!(
        "{} at {} in {}, cold for {:?}, {} recent requests",
        entry.service,
        entry.address,
        entry.domain,
        entry.cold_for,
        table.recent_requests(&entry.id, now)
    );
    let what = match entry.is_draining {
        true => ChangeKind::TargetDraining,
        false => ChangeKind::Target,
    };
    let id = entry.id.clone();
    table.upsert(entry, now);
    drop(table);
    let mut decisions = state.shared.decisions();
    if what == ChangeKind::TargetDraining {
        decisions.write(&state.shared.log);
    }
    decisions.set_target(&id, origin(state, key));
    drop(decisions);
    log_change(state, key, what, 0, detail);
}

/// Brings a configuration version into force unless the current one is as new or newer.
fn install_catalog(state: &ControlState, key: &str, catalog: FleetCatalog) {
    let shared = &state.shared;
    let current = shared.catalog.load_full();
    let version = catalog.version;
    if current.is_some_and(|current| current.version >= version) {
        log_change(state, key, ChangeKind::OlderVersion, version, String::new());
        return;
    }
    let detail = format!("{} routes", catalog.routes.len());
    let catalog = Arc::new(catalog);
    shared
        .decisions()
        .set_catalog(version, origin(state, key), &shared.log);
    shared.catalog.store(Some(Arc::clone(&catalog)));
    shared.waiting.apply_catalog(&catalog, clock::now());
    log_change(state, key, ChangeKind::Version, version, detail);
}

fn remove_target(state: &ControlState, key: &str) {
    let id = (state.shared.codec.target_id)(key);
    if let Some(id) = id
        && state.shared.placement().remove(id, clock::now())
    {
        let shared = &state.shared;
        shared.decisions().remove_target(id, &shared.log);
        log_change(state, key, ChangeKind::TargetGone, 0, String::new());
    }
}

/// From where this VM has the value of a key, which it has just learned.
fn origin(state: &ControlState, key: &str) -> EntryOrigin {
    EntryOrigin {
        revision: revision(state, key),
        from: state.knowledge.borrow().source().to_string(),
        learned_at: clock::now(),
    }
}

/// Revision of the write of a key that is in force, zero if none is.
fn revision(state: &ControlState, key: &str) -> u64 {
    let view = state.view.borrow();
    view.get(key).map_or(0, |known| known.revision)
}

fn log_change(state: &ControlState, key: &str, what: ChangeKind, version: u64, detail: String) {
    let event = || ChangeEvent {
        key,
        what,
        revision: revision(state, key),
        version,
        detail,
        from: state.knowledge.borrow().source().to_string(),
        age_ms: knowledge::age(state, clock::now()).as_millis(),
    };
    state.shared.log.write(EventClass::State, "change", event);
}

/// Updates the VMs among which limits are divided: those of this region and those of the fleet.
pub fn update_sharers(state: &ControlState) {
    let region = &state.shared.settings.region;
    let vms = state.shared.vms.load();
    let near = vms.iter().filter(|vm| vm.region == *region);
    let now = clock::now();
    {
        let mut location = state.shared.location();
        let near = near.map(|vm| vm.name.as_str());
        location.sharers.set_listed(near, now);
        let all = vms.iter().map(|vm| vm.name.as_str());
        location.fleet_sharers.set_listed(all, now);
        location.has_many_vms = location.sharers.count() >= collector::MIN_VMS;
    }
    confirm_sharers(state);
}

/// Records when the list of VMs was last known to be current.
pub fn confirm_sharers(state: &ControlState) {
    let Some(current_at) = state.sources.borrow().current_at() else {
        return;
    };
    let mut location = state.shared.location();
    location.sharers.confirm(current_at);
    location.fleet_sharers.confirm(current_at);
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
    log_change(
        state,
        VMS_PREFIX,
        ChangeKind::Vms,
        vms.len() as u64,
        names.join(" "),
    );
    state.shared.vms.store(Arc::new(vms));
    update_sharers(state);
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
    state.shared.decisions().write(&state.shared.log);
    log_change(
        state,
        OPERATORS_PREFIX,
        ChangeKind::Evacuated,
        0,
        format!("{domains:?}"),
    );
    state
        .shared
        .placement()
        .set_evacuated(domains, clock::now());
}
