//! Builds the parts of a look-up table from configuration and membership.

use super::{CustomerProfile, HashedVm, RegionVms, VmEntry, VmState};
use crate::rendezvous;
use dahliawood_model::keys::{ArenaKey, DomainKey, RegionKey, ServiceKey, VmKey};
use dahliawood_model::tables::{self, FleetConfig};
use dahliawood_model::units;
use std::time::Duration;

/// All regions with their usable VMs.
pub(super) fn region_vms(config: &FleetConfig, vms: &[VmEntry]) -> Vec<RegionVms> {
    let regions = config.regions.keys();
    regions
        .map(|region| RegionVms {
            domains: domain_vms(config, vms, region),
            others: regions_by_latency(config, region),
        })
        .collect()
}

/// The usable VMs of a region, by failure domain.
fn domain_vms(config: &FleetConfig, vms: &[VmEntry], region: RegionKey) -> Vec<Vec<HashedVm>> {
    let any_live = vms.iter().any(|vm| vm.state == VmState::Live);
    let is_usable = |state| state == VmState::Live || (state == VmState::Suspect && !any_live);
    let vms_in = |domain: DomainKey| {
        let vms = vms.iter().enumerate();
        vms.filter(|(_, vm)| vm.domain == domain && is_usable(vm.state))
            .map(|(index, vm)| HashedVm {
                vm: VmKey::from_index(index),
                hash: rendezvous::name_hash(vm.name.as_bytes()),
            })
            .collect()
    };
    let domains = config.domains.iter();
    domains
        .filter(|(_, spec)| spec.region == region)
        .map(|(domain, _)| vms_in(domain))
        .collect()
}

fn regions_by_latency(config: &FleetConfig, from: RegionKey) -> Vec<RegionKey> {
    let latency = |to| {
        let link = config.link_between(from, to);
        link.map_or(Duration::MAX, |link| config.links[link].latency)
    };
    let mut others: Vec<RegionKey> = config.regions.keys().filter(|to| *to != from).collect();
    others.sort_by_key(|to| (latency(*to), *to));
    others
}

/// Profiles of all customers.
pub(super) fn customer_profiles(
    config: &FleetConfig,
    rate_per_home: units::RequestRate,
) -> Vec<CustomerProfile> {
    let home_count = |spec: &tables::CustomerSpec| {
        let rate = spec.rate.millis_per_second;
        let home_count = rate.div_ceil(rate_per_home.millis_per_second.max(1));
        home_count.max(1) as usize
    };
    let customers = config.customers.values();
    customers
        .map(|spec| CustomerProfile {
            hash: rendezvous::name_hash(spec.name.as_bytes()),
            home_count: home_count(spec),
            weight: spec.weight,
        })
        .collect()
}

/// Regions with a target of the service that is not draining.
pub(super) fn serving_regions(config: &FleetConfig, service: ServiceKey) -> Vec<RegionKey> {
    let drains = |subject| config.drains.iter().any(|drain| drain.subject == subject);
    let mut regions: Vec<RegionKey> = config
        .targets
        .iter()
        .filter(|(_, target)| target.service == service)
        .filter(|(key, target)| {
            !drains(tables::DrainSubject::Target(*key))
                && !drains(tables::DrainSubject::Domain(target.domain))
                && !drains(tables::DrainSubject::Region(config.target_region(*key)))
        })
        .map(|(key, _)| config.target_region(key))
        .collect();
    regions.sort_unstable();
    regions.dedup();
    regions
}
