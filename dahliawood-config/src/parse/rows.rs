//! The rows of a file: plain values of its tables, with names instead of arena keys.

use crate::drain;
use dahliawood_model::{tables, units};
use std::net::SocketAddr;
use std::time::Duration;

/// The rows of a whole file.
pub struct FleetRows {
    pub fleet: FleetRow,
    pub regions: Vec<RegionRow>,
    pub links: Vec<LinkRow>,
    pub places: Vec<PlaceRow>,
    pub services: Vec<ServiceRow>,
    pub customers: Vec<CustomerRow>,
    pub drains: Vec<DrainRow>,
}

/// `[fleet]`.
pub struct FleetRow {
    pub name: String,
    pub domain_latency: Duration,
    pub client_latency: Duration,
}

/// `[[region]]`.
pub struct RegionRow {
    pub name: String,
    pub domains: Vec<String>,
}

/// `[[link]]`, which stands for both directions.
pub struct LinkRow {
    pub between: [String; 2],
    pub cap: units::ByteRate,
    pub burst_bytes: u64,
    pub latency: Duration,
}

/// `[[place]]`.
pub struct PlaceRow {
    pub name: String,
    pub region: String,
    pub blocks: Vec<tables::ClientBlock>,
}

/// `[[service]]`.
pub struct ServiceRow {
    pub name: String,
    pub timeout: Duration,
    pub retry_percent: u32,
    pub routes: Vec<RouteRow>,
    pub targets: Vec<TargetRow>,
}

/// `[[service.route]]`.
pub struct RouteRow {
    pub path: String,
    pub methods: Vec<String>,
    pub idempotent: bool,
    pub open: bool,
}

/// `[[service.target]]`.
pub struct TargetRow {
    pub name: String,
    pub address: SocketAddr,
    pub domain: String,
    pub slots: u32,
    pub connections: u32,
}

/// `[[customer]]`.
pub struct CustomerRow {
    pub name: String,
    pub rate: units::RequestRate,
    pub burst: u64,
    pub weight: u32,
    pub services: Vec<String>,
    pub places: Vec<String>,
    pub keys: Vec<tables::KeyHash>,
}

/// `[[drain]]`.
pub struct DrainRow {
    pub subject: drain::DrainName,
    pub over: Duration,
}
