//! The parts of a table, from configuration and membership.

use super::{CustomerHome, RegionSeats, VmEntry, VmSeat, VmState};
use crate::rendezvous;
use dahliawood_model::keys::{ArenaKey, DomainKey, RegionKey, ServiceKey, VmKey};
use dahliawood_model::tables::{self, FleetConfig};
use dahliawood_model::units;
use std::time::Duration;

/// Regions with the VMs that may be named.
pub(super) fn region_seats(config: &FleetConfig, vms: &[VmEntry]) -> Vec<RegionSeats> {
    let regions = config.regions.keys();
    regions
        .map(|region| RegionSeats {
            domains: domain_seats(config, vms, region),
            others: regions_by_latency(config, region),
        })
        .collect()
}

/// The VMs of a region that may be named, by failure domain.
fn domain_seats(config: &FleetConfig, vms: &[VmEntry], region: RegionKey) -> Vec<Vec<VmSeat>> {
    let any_live = vms.iter().any(|vm| vm.state == VmState::Live);
    let may_name = |state| state == VmState::Live || (state == VmState::Suspect && !any_live);
    let seats = |domain: DomainKey| {
        let vms = vms.iter().enumerate();
        vms.filter(|(_, vm)| vm.domain == domain && may_name(vm.state))
            .map(|(index, vm)| VmSeat {
                vm: VmKey::from_index(index),
                hash: rendezvous::name_hash(vm.name.as_bytes()),
            })
            .collect()
    };
    let domains = config.domains.iter();
    domains
        .filter(|(_, spec)| spec.region == region)
        .map(|(domain, _)| seats(domain))
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

/// What answers need of each customer.
pub(super) fn customer_homes(
    config: &FleetConfig,
    rate_per_home: units::RequestRate,
) -> Vec<CustomerHome> {
    let homes = |spec: &tables::CustomerSpec| {
        let rate = spec.rate.millis_per_second;
        let homes = rate.div_ceil(rate_per_home.millis_per_second.max(1));
        homes.max(1) as usize
    };
    let customers = config.customers.values();
    customers
        .map(|spec| CustomerHome {
            hash: rendezvous::name_hash(spec.name.as_bytes()),
            homes: homes(spec),
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
