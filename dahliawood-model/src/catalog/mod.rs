//! What a platform declares for the fleet: routes, services and customers, as one version.
//!
//! Targets are not part of it: they register by themselves, see [`TargetEntry`].

use crate::FastMap;
use crate::keys::{CustomerKey, EntityArena, RouteKey};
use crate::stamp::TimeStamp;
use std::net::SocketAddr;
use std::time::Duration;

/// What may be done with a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RequestKind {
    /// It may run again.
    #[display("idempotent")]
    Idempotent,
    /// It runs once at most.
    #[display("non-idempotent")]
    NonIdempotent,
    /// It may run again, and its answer is large.
    #[display("download")]
    Download,
}

impl RequestKind {
    /// Whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self != Self::NonIdempotent
    }
}

/// One of the services that a route's requests are split among, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: String,
    /// Its share of the requests, in relation to the other parts'.
    pub weight: f64,
}

/// A route: a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogRoute {
    /// Its name.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Prefix of the paths, beginning and ending with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// How long a request may take at most.
    pub timeout: Duration,
    /// Within which time an answer is prompt.
    pub target_latency: Duration,
    /// Targets that one request may be sent to at most.
    pub max_attempts: u32,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// Whether no key is needed.
    pub is_open: bool,
    /// Whether requests about one object are faster at the same target.
    pub has_affinity: bool,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<String>,
    /// The services that serve it.
    pub services: Vec<ServiceWeight>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogService {
    /// Its name.
    pub name: String,
    /// Path that answers whether a target is healthy.
    pub health_path: String,
    /// Connections that one target takes from all VMs together.
    pub max_connections: u32,
    /// How long a target is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold target bears from all VMs together.
    pub cold_rate: f64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogCustomer {
    /// Its name.
    pub name: String,
    /// Rank, 0 is the highest.
    pub priority: u32,
    /// Requests a second over all VMs; zero for no limit.
    pub rate: f64,
    /// Requests beyond the rate, over all VMs.
    pub burst: f64,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<String>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head, bytes.
    pub head_bytes: usize,
    /// The longest body, bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of all that is declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetCatalog {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: EntityArena<RouteKey, CatalogRoute>,
    /// Services by name.
    pub services: FastMap<String, CatalogService>,
    /// All customers.
    pub customers: EntityArena<CustomerKey, CatalogCustomer>,
    /// Whose each key is.
    pub keys: FastMap<String, CustomerKey>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// Routes of each host, longest prefix first.
    hosts: FastMap<String, Vec<RouteKey>>,
}

impl FleetCatalog {
    /// Adds a route; call [`FleetCatalog::index`] once all are there.
    pub fn push_route(&mut self, route: CatalogRoute) {
        let host = route.host.clone();
        let key = self.routes.push(route);
        self.hosts.entry(host).or_default().push(key);
    }

    /// Orders the routes of each host for look-ups.
    pub fn index(&mut self) {
        let routes = &self.routes;
        for keys in self.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
        }
    }

    /// The route with the longest prefix of `path` on `host`, whose port does not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.split(':').next().unwrap_or_default();
        let keys = self.hosts.get(name)?;
        keys.iter()
            .copied()
            .find(|key| path.starts_with(&self.routes[*key].prefix))
    }
}

/// What a target says of itself where it registers.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Its id, new with most starts.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Name of its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// How much longer it stays cold.
    pub cold_for: Duration,
    /// When it started, milliseconds since the Unix epoch; a later one is a new incarnation.
    pub started_millis: u64,
}

/// What a target's answer says of its load, at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that it runs, of all VMs.
    pub running: u32,
    /// Requests that wait there, of all VMs.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When the answer came.
    pub received_at: TimeStamp,
}
