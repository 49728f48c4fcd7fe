//! Settings of a gateway.

use dahliawood_model::FastMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a gateway is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This VM's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// All failure domains, each with its region.
    pub regions: FastMap<String, String>,
    /// Where callers are answered.
    pub front: SocketAddr,
    /// Where the platform asks whether the VM takes work.
    pub ready: SocketAddr,
    /// Where look-ups are answered.
    pub directory: SocketAddr,
    /// Where other VMs are answered.
    pub peer: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// What the fleet promises.
    pub bounds: FleetBounds,
}

/// Bounds that hold over all VMs together.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// Second tries for each request of a service.
    pub retry_ratio: f64,
    /// Second tries of a service beyond that, in ten seconds.
    pub retry_extra: f64,
    /// The span over which a customer's requests are counted.
    pub quota_window: Duration,
    /// Requests of a customer that are tolerated beyond its limit, in a window.
    pub quota_slack: f64,
    /// How far a cold target's rate may be exceeded, as a factor.
    pub cold_factor: f64,
    /// Requests that a cold target bears beyond that, in a second.
    pub cold_slack: f64,
    /// How long the answer to a look-up may be used.
    pub lookup_lifetime: Duration,
    /// How long a graceful shutdown may take.
    pub grace: Duration,
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_extra: 10.0,
            quota_window: Duration::from_secs(5),
            quota_slack: 0.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
            lookup_lifetime: Duration::from_secs(2),
            grace: Duration::from_secs(5),
        }
    }
}
