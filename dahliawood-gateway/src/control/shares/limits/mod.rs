//! The limits of all customers as the coordinator needs them for each report, kept until the configuration or
//! the number of VMs changes.

use crate::front::handler::admission;
use crate::state::GatewayState;
use dahliawood_model::FastMap;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_quota::usage_limit::UsageLimit;
use std::sync::Arc;

/// The limits of the customers of one configuration.
#[derive(Clone, Debug, Default)]
pub struct CustomerLimits {
    catalog: Option<Arc<FleetCatalog>>,
    vms: usize,
    limits: FastMap<String, UsageLimit>,
}

impl CustomerLimits {
    /// Brings the limits up to date.
    pub fn refresh(&mut self, state: &GatewayState) {
        let catalog = state.catalog.load_full();
        let vms = state.location().fleet_sharers.count();
        let is_same = match (&catalog, &self.catalog) {
            (Some(new), Some(known)) => Arc::ptr_eq(new, known),
            (None, None) => true,
            _ => false,
        };
        if is_same && vms == self.vms {
            return;
        }
        let customers = catalog
            .iter()
            .flat_map(|catalog| catalog.customers.values());
        let limits = customers.map(|customer| {
            let limit = admission::fleet_limit(state, customer);
            (customer.name.clone(), limit)
        });
        self.limits = limits.collect();
        self.catalog = catalog;
        self.vms = vms;
    }

    /// The limit of a customer; of one that the configuration does not name, none.
    pub fn get(&self, customer: &str) -> UsageLimit {
        self.limits.get(customer).copied().unwrap_or_default()
    }
}
