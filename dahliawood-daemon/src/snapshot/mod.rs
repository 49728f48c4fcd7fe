//! The configuration in force with its indexes, read by every traffic thread without a lock.

use dahliawood_config::keys;
use dahliawood_model::keys::{ArenaKey, CustomerKey, RegionKey, RouteKey, VmKey};
use dahliawood_model::tables;
use dahliawood_steer::lookup;
use dahliawood_store::revision::tracker;
use std::cmp::Reverse;
use std::sync::Arc;

/// An accepted file that is in force on this VM, with the indexes that requests need.
pub struct ConfigState {
    /// Its revision number, from 1.
    pub revision: u64,
    /// Hash of the file, hexadecimal.
    pub hash: String,
    /// The file itself.
    pub text: Arc<str>,
    /// Its checked form.
    pub config: tables::FleetConfig,
    /// Keys of callers.
    pub keys: keys::KeyIndex,
    /// Routes, longest path first.
    pub routes: Vec<RouteKey>,
    /// The region of this VM.
    pub home: RegionKey,
}

/// What a request is answered from; replaced as a whole when either part changes.
pub struct RouteSnapshot {
    /// The configuration in force.
    pub state: Arc<ConfigState>,
    /// The VMs, in the order of their keys.
    pub vms: Vec<lookup::VmEntry>,
    /// Look-up answers over both.
    pub lookup: lookup::LookupTable,
    /// The live VMs that issue each customer's allowance, best first, for callers of each region.
    pub homes: Vec<RegionHomes>,
}

impl ConfigState {
    /// Indexes a checked file; `None` where it does not declare this VM's failure domain.
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

    /// The route of a request: the longest path prefix that holds whole segments decides.
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

    /// Whether a customer may call a service from a place.
    pub fn may_call(&self, customer: CustomerKey, route: RouteKey) -> bool {
        let service = self.config.routes[route].service;
        self.config.customers[customer].services.contains(&service)
    }
}

/// The homes of all customers for callers of one region, by the customers' keys.
pub type RegionHomes = Vec<Vec<VmKey>>;

impl RouteSnapshot {
    /// Puts the homes of a customer before the other VMs of a look-up's answer, as many as it has.
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
        let most = vms.len();
        let others = vms.into_iter().filter(|vm| !homes.contains(vm));
        homes.iter().copied().chain(others).take(most).collect()
    }
}

/// What a request's method and path lead to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// A route.
    Found(RouteKey),
    /// Routes with other methods.
    OtherMethod,
    /// Nothing.
    None,
}

/// Whether `prefix` is `path` or one of its parents.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
