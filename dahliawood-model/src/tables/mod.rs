//! The checked form of an operators' file: one arena for each kind of entity.

use crate::keys::{
    CustomerKey, DomainKey, EntityArena, LinkKey, PlaceKey, RegionKey, RouteKey, ServiceKey,
    TargetKey,
};
use crate::units::{ByteRate, RequestRate};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A whole file, checked: every key in it indexes an arena of the same value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// The deployment's name.
    pub name: String,
    /// One-way latency between failure domains of one region.
    pub domain_latency: Duration,
    /// One-way latency between callers and the VMs of their region.
    pub client_latency: Duration,
    /// Regions.
    pub regions: EntityArena<RegionKey, RegionSpec>,
    /// Failure domains.
    pub domains: EntityArena<DomainKey, DomainSpec>,
    /// Directed links; both directions of a declared link are entries of their own.
    pub links: EntityArena<LinkKey, LinkSpec>,
    /// Places that callers come from.
    pub places: EntityArena<PlaceKey, PlaceSpec>,
    /// Services.
    pub services: EntityArena<ServiceKey, ServiceSpec>,
    /// Routes of all services.
    pub routes: EntityArena<RouteKey, RouteSpec>,
    /// Targets of all services.
    pub targets: EntityArena<TargetKey, TargetSpec>,
    /// Customers.
    pub customers: EntityArena<CustomerKey, CustomerSpec>,
    /// Drains in force.
    pub drains: Vec<DrainSpec>,
}

impl FleetConfig {
    /// The region of a target.
    pub fn target_region(&self, target: TargetKey) -> RegionKey {
        self.domains[self.targets[target].domain].region
    }

    /// The directed link between two regions, `None` for a region with itself or no link declared.
    pub fn link_between(&self, from: RegionKey, to: RegionKey) -> Option<LinkKey> {
        self.links
            .find(|link| link.from == from && link.to == to)
            .map(|(key, _)| key)
    }
}

/// A region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionSpec {
    /// Name, unique among regions.
    pub name: String,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSpec {
    /// Name, unique among failure domains.
    pub name: String,
    /// The region that it is in.
    pub region: RegionKey,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSpec {
    /// Where the bytes are sent.
    pub from: RegionKey,
    /// Where they arrive.
    pub to: RegionKey,
    /// The most that may be sent, by all traffic together.
    pub cap: ByteRate,
    /// The most that may be sent at once above the cap, bytes.
    pub burst_bytes: u64,
    /// One-way latency.
    pub latency: Duration,
}

/// A place: the client blocks of one site and the region nearest to it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceSpec {
    /// Name, unique among places.
    pub name: String,
    /// The region that serves it first.
    pub region: RegionKey,
    /// Client blocks; the longest prefix over all places decides.
    pub blocks: Vec<ClientBlock>,
}

/// A block of client addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{address}/{prefix}")]
pub struct ClientBlock {
    /// The first address of the block.
    pub address: IpAddr,
    /// Prefix length in bits: at most 32 for IPv4, 128 for IPv6.
    pub prefix: u8,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name, unique among services.
    pub name: String,
    /// Its routes.
    pub routes: Vec<RouteKey>,
    /// Its targets.
    pub targets: Vec<TargetKey>,
    /// How long a request may take from its arrival, where the caller sets no shorter deadline.
    pub timeout: Duration,
    /// Retries allowed as a share of first tries, percent.
    pub retry_percent: u32,
}

/// A route of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Its service.
    pub service: ServiceKey,
    /// Path prefix, starting with `/`; the longest that matches decides.
    pub path: String,
    /// Methods in upper case.
    pub methods: Vec<String>,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Whether it is open to all, without a key.
    pub open: bool,
}

/// A target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name, unique among targets.
    pub name: String,
    /// Its service.
    pub service: ServiceKey,
    /// Where it listens, unique among targets.
    pub address: SocketAddr,
    /// The failure domain that it is in.
    pub domain: DomainKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes from the whole fleet.
    pub connections: u32,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSpec {
    /// Name, unique among customers.
    pub name: String,
    /// Requests a second over the whole fleet.
    pub rate: RequestRate,
    /// Requests at once above the rate, over the whole fleet.
    pub burst: u64,
    /// Weight in fair queues.
    pub weight: u32,
    /// Services that it may call.
    pub services: Vec<ServiceKey>,
    /// Places that it may call from; empty means all.
    pub places: Vec<PlaceKey>,
    /// Keys in force; two while one is rotated.
    pub keys: Vec<KeyHash>,
}

/// A caller's key as the fleet knows it: a public id and a salted hash, never the key itself.
///
/// `Debug` shows the id alone, so that no log holds a salt or a digest.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyHash {
    /// Public id, the part of the key that picks the hash to compare with.
    pub id: String,
    /// Salt of the hash.
    pub salt: [u8; 16],
    /// SHA-256 over salt and secret.
    pub digest: [u8; 32],
}

impl std::fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("KeyHash")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A drain in force.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainSpec {
    /// What is leaving.
    pub subject: DrainSubject,
    /// Over how long its traffic moves away; zero means at once.
    pub over: Duration,
}

/// What a drain is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainSubject {
    /// A single target.
    Target(TargetKey),
    /// All targets of a failure domain.
    Domain(DomainKey),
    /// All targets of a region.
    Region(RegionKey),
}
