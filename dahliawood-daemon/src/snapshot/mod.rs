//! Immutable snapshots of the configuration in force and its indexes.
//!
//! Traffic threads read the current snapshot without a lock.

use dahliawood_config::keys;
use dahliawood_model::keys::{ArenaKey, CustomerKey, RegionKey, RouteKey, VmKey};
use dahliawood_model::tables;
use dahliawood_steer::lookup;
use dahliawood_store::revision::tracker;
use std::cmp::Reverse;
use std::sync::Arc;

/// The configuration file in force on this VM, with the indexes that requests need.
pub struct ConfigState {
    /// Revision number, from 1.
    pub revision: u64,
    /// Hash of the file, hexadecimal.
    pub hash: String,
    /// The text of the file.
    pub text: Arc<str>,
    /// The parsed and validated configuration.
    pub config: tables::FleetConfig,
    /// Index of the callers' keys.
    pub keys: keys::KeyIndex,
    /// Routes, the longest path first.
    pub routes: Vec<RouteKey>,
    /// The region of this VM.
    pub home: RegionKey,
}

/// The data that requests are routed with; replaced as a whole when the configuration or the VMs
/// change.
pub struct RouteSnapshot {
    /// The configuration in force.
    pub state: Arc<ConfigState>,
    /// The VMs of the fleet, indexed by `VmKey`.
    pub vms: Vec<lookup::VmEntry>,
    /// Look-up table built from the configuration and the VMs.
    pub lookup: lookup::LookupTable,
    /// For callers of each region: the live home VMs of each customer, best first. The homes of a
    /// customer are the VMs that issue its quota.
    pub homes: Vec<RegionHomes>,
}

impl ConfigState {
    /// Builds the indexes of a validated file; `None` if the file does not declare this VM's
    /// failure domain.
    pub fn build(
        record: &tracker::RevisionRecord,
        config: tables::FleetConfig,
        domain: &str,
    ) -> Option<Self> {
        let (_, spec) = config.domains.find(|spec| spec.name == domain)?;
        let home = spec.region;
        let mut routes: Vec<_> = config.routes.keys().collect();
        routes.sort_by_key(|key| Reverse(config.routes[*key].path.len()));
        let keys = keys::KeyIndex::build(&config);
        let revision = record.stamp.revision;
        let hash = record.stamp.hash.to_string();
        let text = Arc::clone(&record.text);
        Some(Self {
            revision,
            hash,
            text,
            config,
            keys,
            routes,
            home,
        })
    }

    /// The route of a request: the one with the longest path that is a prefix of the request's path
    /// in whole segments and that allows the method.
    pub fn route(&self, method: &str, path: &str) -> RouteMatch {
        let mut is_declared = false;
        for key in &self.routes {
            let route = &self.config.routes[*key];
            if !is_path_prefix(&route.path, path) {
                continue;
            }
            is_declared = true;
            if route.methods.iter().any(|allowed| allowed == method) {
                return RouteMatch::Found(*key);
            }
        }
        if is_declared {
            RouteMatch::OtherMethod
        } else {
            RouteMatch::None
        }
    }

    /// Whether a customer is granted the service of a route.
    pub fn may_call(&self, customer: CustomerKey, route: RouteKey) -> bool {
        let service = self.config.routes[route].service;
        self.config.customers[customer].services.contains(&service)
    }
}

/// The home VMs of all customers for callers of one region, indexed by `CustomerKey`.
pub type RegionHomes = Vec<Vec<VmKey>>;

impl RouteSnapshot {
    /// Moves the home VMs of a customer to the front of a look-up answer; the number of VMs in the
    /// answer stays the same.
    pub fn put_homes_first(
        &self,
        vms: Vec<VmKey>,
        customer: Option<CustomerKey>,
        region: Option<RegionKey>,
    ) -> Vec<VmKey> {
        let homes = region
            .and_then(|region| self.homes.get(region.index()))
            .zip(customer)
            .and_then(|(homes, customer)| homes.get(customer.index()));
        let Some(homes) = homes else { return vms };
        let count = vms.len();
        let others = vms.into_iter().filter(|vm| !homes.contains(vm));
        homes.iter().copied().chain(others).take(count).collect()
    }
}

/// The result of matching a request's method and path with the routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// This route matches.
    Found(RouteKey),
    /// Routes match the path, but none allows the method.
    OtherMethod,
    /// No route matches the path.
    None,
}

/// Whether `prefix` is `path` itself or one of its parent paths.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
