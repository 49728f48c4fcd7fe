//! The catalog that the platform publishes for the fleet: one version of its routes, services and
//! customers.
//!
//! Targets are not part of the catalog: each registers itself, see [`TargetEntry`].

mod ranked;

use crate::FastMap;
use crate::keys::{CustomerKey, EntityArena, RouteKey};
use crate::stamp::TimeStamp;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a request that may already have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RequestKind {
    /// The request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// The request may run more than once, and its response is large.
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
    /// Weight of the service, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A route: a host and a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogRoute {
    /// Name of the route.
    pub name: String,
    /// Host name that requests are matched against, without port.
    pub host: String,
    /// Path prefix, beginning and ending with a slash.
    pub prefix: String,
    /// Whether requests may be retried after they may have run.
    pub kind: RequestKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Response time up to which a target counts as fast enough.
    pub target_latency: Duration,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Priority, 0 is the highest.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether requests for the same object are served faster by the same target.
    pub has_affinity: bool,
    /// Regions that may serve the route; empty for all.
    pub regions: Vec<String>,
    /// Services that the requests are split among.
    pub services: Vec<ServiceWeight>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogService {
    /// Name of the service.
    pub name: String,
    /// Path of the health check at each target.
    pub health_path: String,
    /// Connections that one target accepts from all VMs together.
    pub max_connections: u32,
    /// How long a target is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold target can serve from all VMs together.
    pub cold_rate: f64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogCustomer {
    /// Name of the customer.
    pub name: String,
    /// Priority, 0 is the highest.
    pub priority: u32,
    /// Requests per second over all VMs; zero for no limit.
    pub rate: f64,
    /// Burst: requests allowed at once above the rate, over all VMs.
    pub burst: f64,
    /// Regions that may serve the customer; empty for all.
    pub regions: Vec<String>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, bytes.
    pub body_bytes: usize,
    /// Maximum time until a request head has arrived.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
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

/// One version of the catalog.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetCatalog {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// All routes.
    pub routes: EntityArena<RouteKey, CatalogRoute>,
    /// Services by name.
    pub services: FastMap<String, CatalogService>,
    /// All customers.
    pub customers: EntityArena<CustomerKey, CatalogCustomer>,
    /// The customer that owns each key.
    pub keys: FastMap<String, CustomerKey>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Services whose requests differ in priority, with their routes in order of priority.
    ranked_services: FastMap<String, Vec<RouteKey>>,
    /// Priority of the most preferred customers.
    highest_priority: u32,
    /// Routes of each host, longest prefix first.
    hosts: FastMap<String, Vec<RouteKey>>,
}

impl FleetCatalog {
    /// Adds a route; call [`FleetCatalog::index`] once all routes and customers have been added.
    pub fn push_route(&mut self, route: CatalogRoute) {
        let host = route.host.clone();
        let key = self.routes.push(route);
        self.hosts.entry(host).or_default().push(key);
    }

    /// Sorts the routes of each host by descending prefix length, as look-ups require, and finds the
    /// services whose requests differ in priority.
    pub fn index(&mut self) {
        self.ranked_services = ranked::ranked_services(&self.routes, &self.customers);
        let priorities = self.customers.values().map(|customer| customer.priority);
        self.highest_priority = priorities.min().unwrap_or_default();
        let routes = &self.routes;
        for keys in self.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
        }
    }

    /// The routes of a service in order of priority, 0 first; `None` if neither its routes nor the
    /// customers differ in priority.
    pub fn ranked_routes(&self, service: &str) -> Option<&[RouteKey]> {
        self.ranked_services.get(service).map(Vec::as_slice)
    }

    /// The priority of a customer. A request without one ranks with the most preferred customers, so
    /// that only its route tells it from others.
    pub fn customer_priority(&self, customer: Option<CustomerKey>) -> u32 {
        let own = customer.and_then(|key| self.customers.get(key));
        own.map_or(self.highest_priority, |customer| customer.priority)
    }

    /// The route on `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.split(':').next().unwrap_or_default();
        let keys = self.hosts.get(name)?;
        keys.iter()
            .copied()
            .find(|key| path.starts_with(&self.routes[*key].prefix))
    }
}

/// The registration that a target publishes about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Id of the target; most restarts change it.
    pub id: String,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Name of the service that the target belongs to.
    pub service: String,
    /// Failure domain of the target.
    pub domain: String,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining.
    pub is_draining: bool,
    /// How much longer the target stays cold.
    pub cold_for: Duration,
    /// Start time, milliseconds since the Unix epoch; a later start is a new incarnation.
    pub started_millis: u64,
}

/// The load that a target reported in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Requests running at the target, from all VMs.
    pub running: u32,
    /// Requests queued at the target, from all VMs.
    pub waiting: u32,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// How long work takes on its host at this moment, 1.0 as usual; `None` if it does not say.
    pub pace: Option<f32>,
    /// When the response arrived.
    pub received_at: TimeStamp,
}

/// What a target says of itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// Its load.
    pub load: Option<TargetLoad>,
    /// Requests a second that it takes from all VMs together, `None` for no such limit.
    pub limit: Option<f64>,
    /// Whether it is about to stop and must get no further request.
    pub is_leaving: bool,
    /// For how long it must get no request from the VM that it answers.
    pub pause: Option<Duration>,
    /// How much longer it stays cold, `None` if it does not say.
    pub cold_for: Option<Duration>,
}
