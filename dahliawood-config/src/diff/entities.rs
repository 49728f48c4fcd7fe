//! Conversion of a configuration to entities with named fields of text, for comparison.

use crate::diff::EntityKind;
use crate::drain::DrainName;
use crate::{keys, units};
use dahliawood_model::keys::{DomainKey, RegionKey};
use dahliawood_model::tables;
use std::collections::BTreeMap;

const HIDDEN: &str = "(not shown)";

/// The identity of an entity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntityName {
    pub kind: EntityKind,
    pub name: String,
}

/// One field of an entity, with its value as text.
pub struct EntityField {
    pub field: &'static str,
    pub value: String,
    is_secret: bool,
}

impl EntityField {
    /// The value, or a placeholder if it is secret.
    pub fn display_value(&self) -> String {
        if self.is_secret {
            return HIDDEN.to_owned();
        }
        self.value.clone()
    }
}

/// Fields of all entities, by kind and name.
pub type EntityMap = BTreeMap<EntityName, Vec<EntityField>>;

/// All entities of `config`.
pub fn entities(config: &tables::FleetConfig) -> EntityMap {
    let mut map = EntityMap::new();
    fleet(&mut map, config);
    regions(&mut map, config);
    links(&mut map, config);
    places(&mut map, config);
    services(&mut map, config);
    customers(&mut map, config);
    drains(&mut map, config);
    map
}

fn add(map: &mut EntityMap, kind: EntityKind, name: impl Into<String>, fields: Vec<EntityField>) {
    let name = name.into();
    map.insert(EntityName { kind, name }, fields);
}

fn field(field: &'static str, value: impl Into<String>) -> EntityField {
    EntityField {
        field,
        value: value.into(),
        is_secret: false,
    }
}

fn secret(field: &'static str, value: String) -> EntityField {
    EntityField {
        field,
        value,
        is_secret: true,
    }
}

fn fleet(map: &mut EntityMap, config: &tables::FleetConfig) {
    let fields = vec![
        field("name", &config.name),
        field(
            "domain_latency",
            units::format_duration(config.domain_latency),
        ),
        field(
            "client_latency",
            units::format_duration(config.client_latency),
        ),
    ];
    add(map, EntityKind::Fleet, "itself", fields);
}

fn regions(map: &mut EntityMap, config: &tables::FleetConfig) {
    for region in config.regions.values() {
        add(map, EntityKind::Region, &region.name, Vec::new());
    }
    for domain in config.domains.values() {
        let fields = vec![field("region", region_name(config, domain.region))];
        add(map, EntityKind::Domain, &domain.name, fields);
    }
}

fn links(map: &mut EntityMap, config: &tables::FleetConfig) {
    for link in config.links.values() {
        let mut ends = [link.from, link.to].map(|key| region_name(config, key));
        ends.sort_unstable();
        let fields = vec![
            field("cap", units::format_byte_rate(link.cap)),
            field("burst", units::format_size(link.burst_bytes)),
            field("latency", units::format_duration(link.latency)),
        ];
        add(map, EntityKind::Link, ends.join(" - "), fields);
    }
}

fn places(map: &mut EntityMap, config: &tables::FleetConfig) {
    for place in config.places.values() {
        let fields = vec![field("region", region_name(config, place.region))];
        add(map, EntityKind::Place, &place.name, fields);
        for block in &place.blocks {
            let fields = vec![field("place", &place.name)];
            add(map, EntityKind::Block, block.to_string(), fields);
        }
    }
}

fn services(map: &mut EntityMap, config: &tables::FleetConfig) {
    for service in config.services.values() {
        let fields = vec![
            field("timeout", units::format_duration(service.timeout)),
            field("retry_percent", service.retry_percent.to_string()),
        ];
        add(map, EntityKind::Service, &service.name, fields);
    }
    for route in config.routes.values() {
        for method in &route.methods {
            let fields = vec![
                field("service", &config.services[route.service].name),
                field("idempotent", route.idempotent.to_string()),
                field("open", route.open.to_string()),
            ];
            add(
                map,
                EntityKind::Route,
                format!("{method} {}", route.path),
                fields,
            );
        }
    }
    for target in config.targets.values() {
        let fields = vec![
            field("service", &config.services[target.service].name),
            field("address", target.address.to_string()),
            field("domain", domain_name(config, target.domain)),
            field("slots", target.slots.to_string()),
            field("connections", target.connections.to_string()),
        ];
        add(map, EntityKind::Target, &target.name, fields);
    }
}

fn customers(map: &mut EntityMap, config: &tables::FleetConfig) {
    for customer in config.customers.values() {
        let services = customer.services.iter();
        let services = services.map(|&key| config.services[key].name.as_str());
        let places = customer.places.iter();
        let places = places.map(|&key| config.places[key].name.as_str());
        let fields = vec![
            field("rate", units::format_request_rate(customer.rate)),
            field("burst", customer.burst.to_string()),
            field("weight", customer.weight.to_string()),
            field("services", joined_names(services, "none")),
            field("places", joined_names(places, "all")),
        ];
        add(map, EntityKind::Customer, &customer.name, fields);
        for hash in &customer.keys {
            let fields = vec![
                field("customer", &customer.name),
                secret("hash", keys::format_hash(hash)),
            ];
            add(map, EntityKind::Key, &hash.id, fields);
        }
    }
}

fn drains(map: &mut EntityMap, config: &tables::FleetConfig) {
    for drain in &config.drains {
        let name = DrainName::of(config, drain.subject).to_string();
        let fields = vec![field("over", units::format_duration(drain.over))];
        add(map, EntityKind::Drain, name, fields);
    }
}

/// The names sorted and joined by commas, or `empty` if there are none.
fn joined_names<'a>(names: impl Iterator<Item = &'a str>, empty: &str) -> String {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    match names.as_slice() {
        [] => empty.to_owned(),
        names => names.join(", "),
    }
}

fn region_name(config: &tables::FleetConfig, key: RegionKey) -> &str {
    &config.regions[key].name
}

fn domain_name(config: &tables::FleetConfig, key: DomainKey) -> &str {
    &config.domains[key].name
}
