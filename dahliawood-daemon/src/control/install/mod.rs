//! Brings an accepted file into force on this VM, and follows changes of the membership.

pub mod error;

use crate::{clock, shared, snapshot};
use dahliawood_config::{canonical, parse};
use dahliawood_events::kind;
use dahliawood_model::tables;
use dahliawood_steer::{lookup, target};
use snafu::OptionExt;
use std::sync::Arc;

/// An accepted file with its place in the order of revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedFile {
    /// Revision number.
    pub revision: u64,
    /// The file.
    pub text: String,
}

/// Checks whether this VM could bring a file into force.
///
/// # Errors
/// Says why not: mistakes in the file, or a failure domain that it does not declare.
pub fn check(
    domain: &str,
    file: AcceptedFile,
) -> Result<snapshot::ConfigState, error::InstallError> {
    let checked = parse::file("accepted", &file.text);
    let config = checked.map_err(|report| error::InstallError::Mistakes { report })?;
    let hash = canonical::revision(&config);
    snapshot::ConfigState::build(file.revision, hash, file.text, config, domain)
        .context(error::DomainSnafu { domain })
}

/// Brings a checked file into force; one that is not newer than what is in force changes nothing.
pub fn install(
    shared: &shared::SharedState,
    state: snapshot::ConfigState,
    vms: &[crate::control::members::VmMember],
) -> bool {
    let before = shared.snapshot.load_full();
    if before.as_ref().is_some_and(|before| before.state.revision >= state.revision) {
        return false;
    }
    let revision = state.revision;
    let state = Arc::new(state);
    retarget(shared, &state);
    publish(shared, Arc::clone(&state), vms);
    if let Some(before) = &before {
        record_withdrawn(shared, &before.state.config, &state.config);
    }
    shared.events.record(kind::EventKind::RevisionInForce { revision });
    true
}

/// Publishes a snapshot over the configuration and the VMs.
pub fn publish(
    shared: &shared::SharedState,
    state: Arc<snapshot::ConfigState>,
    members: &[crate::control::members::VmMember],
) {
    let vms: Vec<_> = members.iter().filter_map(|member| entry(&state.config, member)).collect();
    let lookup = lookup::LookupTable::build(&state.config, &vms);
    shared.snapshot.store(Some(Arc::new(snapshot::RouteSnapshot { state, vms, lookup })));
}

/// The VM as the look-up knows it, `None` where the file does not declare its failure domain.
fn entry(
    config: &tables::FleetConfig,
    member: &crate::control::members::VmMember,
) -> Option<lookup::VmEntry> {
    let (domain, _) = config.domains.find(|domain| domain.name == member.domain)?;
    let name = member.name.clone();
    Some(lookup::VmEntry { name, domain, http: member.http, state: member.state })
}

/// Carries the targets' state over to the new configuration.
fn retarget(shared: &shared::SharedState, state: &snapshot::ConfigState) {
    let now = clock::now();
    let mut targets = shared.targets();
    match targets.as_mut() {
        Some(table) => table.reconfigure(&state.config, now),
        None => *targets = Some(target::TargetTable::build(&state.config, state.home, now)),
    }
}

/// Records each key that was valid before and is not now.
fn record_withdrawn(
    shared: &shared::SharedState,
    before: &tables::FleetConfig,
    after: &tables::FleetConfig,
) {
    for old in before.customers.values() {
        let new = after.customers.find(|customer| customer.name == old.name);
        let is_kept = |id: &str| new.is_some_and(|(_, new)| new.keys.iter().any(|key| key.id == id));
        for key in old.keys.iter().filter(|key| !is_kept(&key.id)) {
            let (customer, key_id) = (old.name.clone(), key.id.clone());
            shared.events.record(kind::EventKind::KeyWithdrawn { customer, key_id });
        }
    }
}
