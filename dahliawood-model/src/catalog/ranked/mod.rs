//! The services whose requests differ in priority.

use crate::FastMap;
use crate::catalog::{CatalogCustomer, CatalogRoute};
use crate::keys::{CustomerKey, EntityArena, RouteKey};

/// The services whose requests differ in priority, by route or by customer, each with its routes in
/// order of priority, 0 first.
pub(super) fn ranked_services(
    routes: &EntityArena<RouteKey, CatalogRoute>,
    customers: &EntityArena<CustomerKey, CatalogCustomer>,
) -> FastMap<String, Vec<RouteKey>> {
    let mut services: FastMap<String, Vec<RouteKey>> = FastMap::default();
    for key in routes.keys() {
        for weight in &routes[key].services {
            let listed = services.entry(weight.service.clone()).or_default();
            if !listed.contains(&key) {
                listed.push(key);
            }
        }
    }
    let customers_differ = differ(customers.values().map(|customer| customer.priority));
    services.retain(|_, keys| {
        keys.sort_by_key(|key| routes[*key].priority);
        customers_differ || differ(keys.iter().map(|key| routes[*key].priority))
    });
    services
}

fn differ(mut priorities: impl Iterator<Item = u32>) -> bool {
    let first = priorities.next();
    priorities.any(|priority| Some(priority) != first)
}
