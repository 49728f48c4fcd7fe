//! Settings of a gateway: addresses, location, and limits that hold over the fleet.

use dahliawood_model::FastMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings with which a gateway is started.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This VM's name.
    pub name: String,
    /// This VM's failure domain.
    pub domain: String,
    /// This VM's region.
    pub region: String,
    /// The region of each failure domain.
    pub regions: FastMap<String, String>,
    /// Address for callers' requests.
    pub front: SocketAddr,
    /// Address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Address for look-ups.
    pub directory: SocketAddr,
    /// Address for the calls of other VMs.
    pub peer: SocketAddr,
    /// Address for requests that other VMs forward.
    pub forward: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that all VMs start together.
    pub is_first_start: bool,
    /// Processor time that the VM may use a second, in thousandths of a core.
    pub processor_millis: u32,
    /// Limits that the fleet guarantees.
    pub bounds: FleetBounds,
}

/// Limits that hold over all VMs together.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// Retries per request of a service, as a ratio.
    pub retry_ratio: f64,
    /// Retries of a service beyond that ratio, per ten seconds.
    pub retry_extra: f64,
    /// Window over which a customer's requests are counted.
    pub quota_window: Duration,
    /// Fraction of its limit that a customer is tolerated beyond it, per window.
    pub quota_overage: f64,
    /// Requests of a customer that are tolerated beyond that, per window.
    pub quota_slack: f64,
    /// Factor by which a cold target's declared rate may be exceeded.
    pub cold_factor: f64,
    /// Requests per second that a cold target tolerates beyond that.
    pub cold_slack: f64,
    /// How long callers may use a look-up answer.
    pub lookup_lifetime: Duration,
    /// Time from the store's acknowledgement of a configuration until it is in force.
    pub config_time: Duration,
    /// Time from the acknowledgement that a target leaves until it gets no request.
    pub drain_time: Duration,
    /// Time from the acknowledgement of an evacuation until its targets get no request.
    pub evacuation_time: Duration,
    /// Time after a fault of a VM from which changes are in force there in time again.
    pub recovery_time: Duration,
    /// How long a graceful shutdown may take.
    pub grace: Duration,
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_extra: 10.0,
            quota_window: Duration::from_secs(5),
            quota_overage: 0.0,
            quota_slack: 0.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
            lookup_lifetime: Duration::from_secs(2),
            config_time: Duration::from_secs(2),
            drain_time: Duration::from_secs(2),
            evacuation_time: Duration::from_secs(5),
            recovery_time: Duration::from_secs(3),
            grace: Duration::from_secs(5),
        }
    }
}

impl FleetBounds {
    /// The shortest time within which a change of the key space must be in force at all VMs.
    pub fn change_time(&self) -> Duration {
        let shortest = self.config_time.min(self.drain_time);
        shortest.min(self.evacuation_time)
    }
}
