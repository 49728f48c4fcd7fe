//! The serialised form of a configuration, in which names replace arena keys.

use crate::{keys, units};
use dahliawood_model::keys::{DomainKey, PlaceKey, RegionKey, ServiceKey};
use dahliawood_model::tables;
use serde::Serialize;

/// A whole file. The fields are written in this order: plain tables before arrays of
/// tables.
#[derive(Serialize)]
pub struct FleetDocument {
    fleet: FleetTable,
    region: Vec<RegionTable>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    link: Vec<LinkTable>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    place: Vec<PlaceTable>,
    service: Vec<ServiceTable>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    customer: Vec<CustomerTable>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    drain: Vec<DrainTable>,
}

#[derive(Serialize)]
struct FleetTable {
    name: String,
    domain_latency: String,
    client_latency: String,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct RegionTable {
    name: String,
    domains: Vec<String>,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct LinkTable {
    between: [String; 2],
    cap: String,
    burst: String,
    latency: String,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceTable {
    name: String,
    region: String,
    blocks: Vec<String>,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct ServiceTable {
    name: String,
    timeout: String,
    retry_percent: u32,
    route: Vec<RouteTable>,
    target: Vec<TargetTable>,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct RouteTable {
    path: String,
    methods: Vec<String>,
    idempotent: bool,
    open: bool,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct TargetTable {
    name: String,
    address: String,
    domain: String,
    slots: u32,
    connections: u32,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct CustomerTable {
    name: String,
    rate: String,
    burst: u64,
    weight: u32,
    services: Vec<String>,
    places: Vec<String>,
    keys: Vec<String>,
}

#[derive(Serialize, PartialEq, Eq, PartialOrd, Ord)]
struct DrainTable {
    #[serde(skip_serializing_if = "Option::is_none")]
    target: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    domain: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    region: Option<String>,
    over: String,
}

impl FleetDocument {
    /// The document as TOML.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}

/// The document of `config`, with all tables and lists sorted.
pub fn from_config(config: &tables::FleetConfig) -> FleetDocument {
    FleetDocument {
        fleet: FleetTable {
            name: config.name.clone(),
            domain_latency: units::format_duration(config.domain_latency),
            client_latency: units::format_duration(config.client_latency),
        },
        region: sorted(
            config
                .regions
                .iter()
                .map(|(key, spec)| region(config, key, spec)),
        ),
        link: links(config),
        place: sorted(config.places.values().map(|spec| place(config, spec))),
        service: sorted(config.services.values().map(|spec| service(config, spec))),
        customer: sorted(config.customers.values().map(|spec| customer(config, spec))),
        drain: sorted(config.drains.iter().map(|spec| drain(config, spec))),
    }
}

fn sorted<T: Ord>(items: impl Iterator<Item = T>) -> Vec<T> {
    let mut items: Vec<T> = items.collect();
    items.sort();
    items
}

fn region(config: &tables::FleetConfig, key: RegionKey, spec: &tables::RegionSpec) -> RegionTable {
    let domains = config
        .domains
        .values()
        .filter(|domain| domain.region == key)
        .map(|domain| domain.name.clone());
    RegionTable {
        name: spec.name.clone(),
        domains: sorted(domains),
    }
}

/// One entry for the two directions of each link: a file declares both with the same values.
fn links(config: &tables::FleetConfig) -> Vec<LinkTable> {
    let mut links = sorted(config.links.values().map(|spec| {
        let mut between = [spec.from, spec.to].map(|key| region_name(config, key));
        between.sort();
        LinkTable {
            between,
            cap: units::format_byte_rate(spec.cap),
            burst: units::format_size(spec.burst_bytes),
            latency: units::format_duration(spec.latency),
        }
    }));
    links.dedup();
    links
}

fn place(config: &tables::FleetConfig, spec: &tables::PlaceSpec) -> PlaceTable {
    let mut blocks = spec.blocks.clone();
    blocks.sort_by_key(|block| (block.address, block.prefix));
    PlaceTable {
        name: spec.name.clone(),
        region: region_name(config, spec.region),
        blocks: blocks.iter().map(ToString::to_string).collect(),
    }
}

fn service(config: &tables::FleetConfig, spec: &tables::ServiceSpec) -> ServiceTable {
    ServiceTable {
        name: spec.name.clone(),
        timeout: units::format_duration(spec.timeout),
        retry_percent: spec.retry_percent,
        route: sorted(spec.routes.iter().map(|&key| route(&config.routes[key]))),
        target: sorted(
            spec.targets
                .iter()
                .map(|&key| target(config, &config.targets[key])),
        ),
    }
}

fn route(spec: &tables::RouteSpec) -> RouteTable {
    RouteTable {
        path: spec.path.clone(),
        methods: sorted(spec.methods.iter().cloned()),
        idempotent: spec.idempotent,
        open: spec.open,
    }
}

fn target(config: &tables::FleetConfig, spec: &tables::TargetSpec) -> TargetTable {
    TargetTable {
        name: spec.name.clone(),
        address: spec.address.to_string(),
        domain: domain_name(config, spec.domain),
        slots: spec.slots,
        connections: spec.connections,
    }
}

fn customer(config: &tables::FleetConfig, spec: &tables::CustomerSpec) -> CustomerTable {
    let service_name = |&key: &ServiceKey| config.services[key].name.clone();
    let place_name = |&key: &PlaceKey| config.places[key].name.clone();
    CustomerTable {
        name: spec.name.clone(),
        rate: units::format_request_rate(spec.rate),
        burst: spec.burst,
        weight: spec.weight,
        services: sorted(spec.services.iter().map(service_name)),
        places: sorted(spec.places.iter().map(place_name)),
        keys: sorted(spec.keys.iter().map(keys::format_hash)),
    }
}

fn drain(config: &tables::FleetConfig, spec: &tables::DrainSpec) -> DrainTable {
    let over = units::format_duration(spec.over);
    let mut table = DrainTable {
        target: None,
        domain: None,
        region: None,
        over,
    };
    match spec.subject {
        tables::DrainSubject::Target(key) => table.target = Some(config.targets[key].name.clone()),
        tables::DrainSubject::Domain(key) => table.domain = Some(domain_name(config, key)),
        tables::DrainSubject::Region(key) => table.region = Some(region_name(config, key)),
    }
    table
}

fn region_name(config: &tables::FleetConfig, key: RegionKey) -> String {
    config.regions[key].name.clone()
}

fn domain_name(config: &tables::FleetConfig, key: DomainKey) -> String {
    config.domains[key].name.clone()
}
