//! The validated form of the operators' configuration file: one arena for each kind of entity.

use crate::keys::{
    CustomerKey, DomainKey, EntityArena, LinkKey, PlaceKey, RegionKey, RouteKey, ServiceKey,
    TargetKey,
};
use crate::units::{ByteRate, RequestRate};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A validated configuration. Every key in it indexes an arena of the same `FleetConfig`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Name of the deployment.
    pub name: String,
    /// One-way latency between failure domains of one region.
    pub domain_latency: Duration,
    /// One-way latency between callers and the VMs of their region.
    pub client_latency: Duration,
    /// Regions.
    pub regions: EntityArena<RegionKey, RegionSpec>,
    /// Failure domains.
    pub domains: EntityArena<DomainKey, DomainSpec>,
    /// Directed links; each direction of a declared link is a separate entry.
    pub links: EntityArena<LinkKey, LinkSpec>,
    /// Client locations.
    pub places: EntityArena<PlaceKey, PlaceSpec>,
    /// Services.
    pub services: EntityArena<ServiceKey, ServiceSpec>,
    /// Routes of all services.
    pub routes: EntityArena<RouteKey, RouteSpec>,
    /// Targets of all services.
    pub targets: EntityArena<TargetKey, TargetSpec>,
    /// Customers.
    pub customers: EntityArena<CustomerKey, CustomerSpec>,
    /// Active drains.
    pub drains: Vec<DrainSpec>,
}

impl FleetConfig {
    /// The region of a target.
    pub fn target_region(&self, target: TargetKey) -> RegionKey {
        self.domains[self.targets[target].domain].region
    }

    /// The directed link between two regions; `None` if both are the same region or no link is
    /// declared.
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
    /// The region that contains the failure domain.
    pub region: RegionKey,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSpec {
    /// The sending region.
    pub from: RegionKey,
    /// The receiving region.
    pub to: RegionKey,
    /// Maximum rate of all traffic on the link together.
    pub cap: ByteRate,
    /// Maximum burst above the cap, bytes.
    pub burst_bytes: u64,
    /// One-way latency.
    pub latency: Duration,
}

/// A place: the client address blocks of one site, and the region nearest to it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceSpec {
    /// Name, unique among places.
    pub name: String,
    /// The region preferred for callers of this place.
    pub region: RegionKey,
    /// Client blocks; a caller's address belongs to the block with the longest matching prefix over
    /// all places.
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
    /// Routes of the service.
    pub routes: Vec<RouteKey>,
    /// Targets of the service.
    pub targets: Vec<TargetKey>,
    /// Maximum duration of a request from its arrival, unless the caller sets a shorter deadline.
    pub timeout: Duration,
    /// Retry budget: retries allowed as a share of first attempts, percent.
    pub retry_percent: u32,
}

/// A route of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// The service that the route belongs to.
    pub service: ServiceKey,
    /// Path prefix, starting with `/`; the longest matching prefix wins.
    pub path: String,
    /// HTTP methods in upper case.
    pub methods: Vec<String>,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Whether requests need no key.
    pub open: bool,
}

/// A target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name, unique among targets.
    pub name: String,
    /// The service that the target belongs to.
    pub service: ServiceKey,
    /// Address that the target listens on, unique among targets.
    pub address: SocketAddr,
    /// The failure domain that contains the target.
    pub domain: DomainKey,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts from the whole fleet.
    pub connections: u32,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSpec {
    /// Name, unique among customers.
    pub name: String,
    /// Rate limit over the whole fleet.
    pub rate: RequestRate,
    /// Burst: requests allowed at once above the rate, over the whole fleet.
    pub burst: u64,
    /// Weight in fair queueing.
    pub weight: u32,
    /// Services that the customer may call.
    pub services: Vec<ServiceKey>,
    /// Places that the customer may call from; empty means all.
    pub places: Vec<PlaceKey>,
    /// Hashes of the valid keys; two during a key rotation.
    pub keys: Vec<KeyHash>,
}

/// The stored form of a caller's key: a public id and a salted hash, never the key itself.
///
/// `Debug` prints only the id, so that no log contains a salt or a digest.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyHash {
    /// Public id, the part of the key that selects the hash to compare with.
    pub id: String,
    /// Salt of the hash.
    pub salt: [u8; 16],
    /// SHA-256 of the salt followed by the secret.
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

/// An active drain.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainSpec {
    /// The targets to drain.
    pub subject: DrainSubject,
    /// Time over which the traffic is moved away; zero means immediately.
    pub over: Duration,
}

/// The scope of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainSubject {
    /// A single target.
    Target(TargetKey),
    /// All targets of a failure domain.
    Domain(DomainKey),
    /// All targets of a region.
    Region(RegionKey),
}
