//! Construction of the configuration: rows become entities in arenas, and names become arena keys.

use crate::drain::DrainName;
use crate::parse::rows;
use dahliawood_model::keys::{
    ArenaKey, CustomerKey, DomainKey, EntityArena, PlaceKey, RegionKey, RouteKey, ServiceKey,
    TargetKey,
};
use dahliawood_model::{FastMap, tables};

/// Arena keys of one kind of entity, by name.
type NameMap<K> = FastMap<String, K>;

/// Builds the configuration from validated rows: each referenced name must be declared exactly
/// once.
pub fn fleet(rows: rows::FleetRows) -> tables::FleetConfig {
    let mut config = tables::FleetConfig {
        name: rows.fleet.name,
        domain_latency: rows.fleet.domain_latency,
        client_latency: rows.fleet.client_latency,
        ..Default::default()
    };
    regions(&mut config, rows.regions);
    let region_keys = name_map(&config.regions, |region| &region.name);
    links(&mut config, &region_keys, rows.links);
    places(&mut config, &region_keys, rows.places);
    let domain_keys = name_map(&config.domains, |domain| &domain.name);
    services(&mut config, &domain_keys, rows.services);
    customers(&mut config, rows.customers);
    drains(&mut config, &region_keys, &domain_keys, rows.drains);
    config
}

fn name_map<K: ArenaKey, V>(arena: &EntityArena<K, V>, name: impl Fn(&V) -> &String) -> NameMap<K> {
    arena
        .iter()
        .map(|(key, entity)| (name(entity).clone(), key))
        .collect()
}

fn regions(config: &mut tables::FleetConfig, mut regions: Vec<rows::RegionRow>) {
    regions.sort_by(|a, b| a.name.cmp(&b.name));
    let mut domains = Vec::new();
    for row in regions {
        let region = config.regions.push(tables::RegionSpec { name: row.name });
        domains.extend(row.domains.into_iter().map(|name| (name, region)));
    }
    domains.sort();
    config.domains = domains
        .into_iter()
        .map(|(name, region)| tables::DomainSpec { name, region })
        .collect();
}

fn links(
    config: &mut tables::FleetConfig,
    regions: &NameMap<RegionKey>,
    links: Vec<rows::LinkRow>,
) {
    let mut directed: Vec<tables::LinkSpec> = links
        .into_iter()
        .flat_map(|row| {
            let [a, b] = row.between.map(|name| regions[&name]);
            [(a, b), (b, a)].map(|(from, to)| tables::LinkSpec {
                from,
                to,
                cap: row.cap,
                burst_bytes: row.burst_bytes,
                latency: row.latency,
            })
        })
        .collect();
    directed.sort_by_key(|link| (link.from, link.to));
    config.links = directed.into_iter().collect();
}

fn places(
    config: &mut tables::FleetConfig,
    regions: &NameMap<RegionKey>,
    mut places: Vec<rows::PlaceRow>,
) {
    places.sort_by(|a, b| a.name.cmp(&b.name));
    for mut row in places {
        row.blocks
            .sort_by_key(|block| (block.address, block.prefix));
        config.places.push(tables::PlaceSpec {
            name: row.name,
            region: regions[&row.region],
            blocks: row.blocks,
        });
    }
}

fn services(
    config: &mut tables::FleetConfig,
    domains: &NameMap<DomainKey>,
    mut services: Vec<rows::ServiceRow>,
) {
    services.sort_by(|a, b| a.name.cmp(&b.name));
    for row in services {
        let service = ServiceKey::from_index(config.services.len());
        let spec = tables::ServiceSpec {
            name: row.name,
            routes: routes(config, service, row.routes),
            targets: targets(config, service, domains, row.targets),
            timeout: row.timeout,
            retry_percent: row.retry_percent,
        };
        config.services.push(spec);
    }
}

fn routes(
    config: &mut tables::FleetConfig,
    service: ServiceKey,
    routes: Vec<rows::RouteRow>,
) -> Vec<RouteKey> {
    merge_routes(routes)
        .into_iter()
        .map(|row| {
            config.routes.push(tables::RouteSpec {
                service,
                path: row.path,
                methods: row.methods,
                idempotent: row.idempotent,
                open: row.open,
            })
        })
        .collect()
}

/// Sorts routes by path and merges routes that differ only in their methods.
fn merge_routes(routes: Vec<rows::RouteRow>) -> Vec<rows::RouteRow> {
    let mut merged: Vec<rows::RouteRow> = Vec::with_capacity(routes.len());
    for route in routes {
        let is_mergeable = |other: &&mut rows::RouteRow| {
            other.path == route.path
                && other.idempotent == route.idempotent
                && other.open == route.open
        };
        match merged.iter_mut().find(is_mergeable) {
            Some(other) => other.methods.extend(route.methods),
            None => merged.push(route),
        }
    }
    for route in &mut merged {
        route.methods.sort();
    }
    merged.sort_by(|a, b| (&a.path, &a.methods).cmp(&(&b.path, &b.methods)));
    merged
}

fn targets(
    config: &mut tables::FleetConfig,
    service: ServiceKey,
    domains: &NameMap<DomainKey>,
    mut targets: Vec<rows::TargetRow>,
) -> Vec<TargetKey> {
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets
        .into_iter()
        .map(|row| {
            config.targets.push(tables::TargetSpec {
                name: row.name,
                service,
                address: row.address,
                domain: domains[&row.domain],
                slots: row.slots,
                connections: row.connections,
            })
        })
        .collect()
}

fn customers(config: &mut tables::FleetConfig, mut customers: Vec<rows::CustomerRow>) {
    let services = name_map(&config.services, |service| &service.name);
    let places = name_map(&config.places, |place| &place.name);
    customers.sort_by(|a, b| a.name.cmp(&b.name));
    for mut row in customers {
        row.keys.sort_by(|a, b| a.id.cmp(&b.id));
        let _: CustomerKey = config.customers.push(tables::CustomerSpec {
            name: row.name,
            rate: row.rate,
            burst: row.burst,
            weight: row.weight,
            services: sorted_keys(&services, &row.services),
            places: sorted_keys::<PlaceKey>(&places, &row.places),
            keys: row.keys,
        });
    }
}

fn drains(
    config: &mut tables::FleetConfig,
    regions: &NameMap<RegionKey>,
    domains: &NameMap<DomainKey>,
    mut drains: Vec<rows::DrainRow>,
) {
    let targets = name_map(&config.targets, |target| &target.name);
    drains.sort_by(|a, b| a.subject.cmp(&b.subject));
    config.drains = drains
        .into_iter()
        .map(|row| tables::DrainSpec {
            subject: match row.subject {
                DrainName::Target(name) => tables::DrainSubject::Target(targets[&name]),
                DrainName::Domain(name) => tables::DrainSubject::Domain(domains[&name]),
                DrainName::Region(name) => tables::DrainSubject::Region(regions[&name]),
            },
            over: row.over,
        })
        .collect();
}

fn sorted_keys<K: Copy + Ord>(map: &NameMap<K>, names: &[String]) -> Vec<K> {
    let mut found: Vec<K> = names.iter().map(|name| map[name]).collect();
    found.sort_unstable();
    found
}
