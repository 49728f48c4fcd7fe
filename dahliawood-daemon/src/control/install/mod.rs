//! Puts an accepted configuration file in force on this VM, and publishes snapshots for traffic
//! threads when the configuration or the members change.

pub mod error;

use crate::control::{members, quota};
use crate::{clock, shared, snapshot};
use dahliawood_config::parse;
use dahliawood_events::kind;
use dahliawood_model::keys::{ArenaKey, VmKey};
use dahliawood_model::tables;
use dahliawood_quota::{limit, member};
use dahliawood_steer::{lookup, target};
use dahliawood_store::revision::tracker;
use snafu::OptionExt;
use std::sync::Arc;

/// Validates a configuration file for a VM of a failure domain.
///
/// # Errors
/// Fails if the file has mistakes, or does not declare the failure domain.
pub fn check(domain: &str, text: &str) -> Result<tables::FleetConfig, error::InstallError> {
    let checked = parse::file("accepted", text);
    let config = checked.map_err(|report| error::InstallError::Mistakes { report })?;
    let declared = config.domains.find(|spec| spec.name == domain);
    declared.context(error::DomainSnafu { domain })?;
    Ok(config)
}

/// Puts a revision in force; callers must pass revisions in increasing order.
///
/// # Errors
/// Fails if the file has mistakes, or does not declare this VM's failure domain.
pub fn install(
    shared: &shared::SharedState,
    record: &tracker::RevisionRecord,
) -> Result<(), error::InstallError> {
    let domain = &shared.settings.domain;
    let config = check(domain, &record.text)?;
    let state = snapshot::ConfigState::build(record, config, domain);
    let state = Arc::new(state.context(error::DomainSnafu { domain })?);
    let before = shared.snapshot.load_full();
    reconfigure_targets(shared, &state);
    quota::configure(shared, state.revision, &state.config);
    publish(shared, Arc::clone(&state));
    if let Some(before) = &before {
        record_withdrawn(shared, &before.state.config, &state.config);
    }
    shared.events.record(kind::EventKind::RevisionInForce {
        revision: state.revision,
    });
    Ok(())
}

/// Publishes a snapshot of the configuration and the current members to the traffic threads.
pub fn publish(shared: &shared::SharedState, state: Arc<snapshot::ConfigState>) {
    let members = shared.members.load();
    let declared = |member: &&members::VmMember| entry(&state.config, member).is_some();
    let members: Vec<_> = members.iter().filter(declared).collect();
    let vms: Vec<_> = members
        .iter()
        .filter_map(|member| entry(&state.config, member))
        .collect();
    let lookup = lookup::LookupTable::build(&state.config, &vms);
    let homes = homes(shared, &state.config, &members);
    let snapshot = snapshot::RouteSnapshot {
        state,
        vms,
        lookup,
        homes,
    };
    shared.snapshot.store(Some(Arc::new(snapshot)));
}

/// The live home VMs of each customer, for callers of each region.
fn homes(
    shared: &shared::SharedState,
    config: &tables::FleetConfig,
    members: &[&members::VmMember],
) -> Vec<snapshot::RegionHomes> {
    let quota = shared.quota.lock();
    let Some(manager) = &quota.manager else {
        return Vec::new();
    };
    let live = |home: &member::HolderId| {
        let found = members.iter().position(|member| {
            member.peer == home.address && member.state == lookup::VmState::Live
        });
        found.map(VmKey::from_index)
    };
    let of_customer = |customer: &tables::CustomerSpec, region: &tables::RegionSpec| {
        let limit = manager.limit(&limit::customer_name(customer));
        let homes = limit.map(|limit| manager.homes(limit, &region.name));
        homes.iter().flatten().filter_map(live).collect()
    };
    let of_region = |region: &tables::RegionSpec| {
        let customers = config.customers.values();
        customers
            .map(|customer| of_customer(customer, region))
            .collect()
    };
    config.regions.values().map(of_region).collect()
}

/// The look-up entry of a VM, `None` if the file does not declare the VM's failure domain.
fn entry(config: &tables::FleetConfig, member: &members::VmMember) -> Option<lookup::VmEntry> {
    let (domain, _) = config.domains.find(|domain| domain.name == member.domain)?;
    let name = member.name.clone();
    Some(lookup::VmEntry {
        name,
        domain,
        http: member.http,
        state: member.state,
    })
}

/// Applies the new configuration to the table of targets; targets that remain keep their state.
fn reconfigure_targets(shared: &shared::SharedState, state: &snapshot::ConfigState) {
    let now = clock::now();
    let mut targets = shared.targets();
    match targets.as_mut() {
        Some(table) => table.reconfigure(&state.config, state.home, now),
        None => *targets = Some(target::TargetTable::build(&state.config, state.home, now)),
    }
}

/// Records an event for each key that the new configuration withdraws.
fn record_withdrawn(
    shared: &shared::SharedState,
    before: &tables::FleetConfig,
    after: &tables::FleetConfig,
) {
    for old in before.customers.values() {
        let new = after.customers.find(|customer| customer.name == old.name);
        let is_kept =
            |id: &str| new.is_some_and(|(_, new)| new.keys.iter().any(|key| key.id == id));
        for key in old.keys.iter().filter(|key| !is_kept(&key.id)) {
            let (customer, key_id) = (old.name.clone(), key.id.clone());
            shared
                .events
                .record(kind::EventKind::KeyWithdrawn { customer, key_id });
        }
    }
}
