//! What a waiting request depends on in the configuration.

use crate::forward::RoutedRequest;
use crate::front::connection::CallerRequest;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_model::keys::RouteKey;

/// The customer of a waiting request.
#[derive(Debug)]
struct OriginCustomer {
    name: String,
    regions: Vec<String>,
    /// Its API key, `None` if another VM took the request from its caller.
    key: Option<String>,
}

/// The parts of the configuration by which a request was routed.
#[derive(Debug)]
pub(super) struct RequestOrigin {
    host: String,
    path: String,
    route: String,
    regions: Vec<String>,
    service: String,
    customer: Option<OriginCustomer>,
}

impl RequestOrigin {
    /// The origin of a request that was routed by `catalog`.
    pub(super) fn new(
        catalog: &FleetCatalog,
        request: &CallerRequest,
        routed: &RoutedRequest,
        key: Option<&str>,
    ) -> Self {
        let route = &catalog.routes[routed.route];
        let customer = routed.customer.map(|customer| {
            let customer = &catalog.customers[customer];
            OriginCustomer {
                name: customer.name.clone(),
                regions: customer.regions.clone(),
                key: key.map(str::to_owned),
            }
        });
        Self {
            host: host(request).to_owned(),
            path: request.head.path().to_owned(),
            route: route.name.clone(),
            regions: route.regions.clone(),
            service: routed.service.clone(),
            customer,
        }
    }

    /// Whether the request may still be sent by another version of the configuration: its route and its
    /// customer's key exist, and the route leads to the same service in the same regions.
    pub(super) fn is_allowed_by(&self, catalog: &FleetCatalog) -> bool {
        let route = catalog.route(&self.host, &self.path);
        route.is_some_and(|route| self.is_route(catalog, route))
    }

    fn is_route(&self, catalog: &FleetCatalog, route: RouteKey) -> bool {
        let route = &catalog.routes[route];
        let mut services = route.services.iter();
        let is_same = route.name == self.route
            && route.regions == self.regions
            && services.any(|service| service.service == self.service);
        let is_known = match &self.customer {
            Some(customer) => customer.is_known_to(catalog),
            None => route.is_open || catalog.customers.is_empty(),
        };
        is_same && is_known
    }
}

impl OriginCustomer {
    fn is_known_to(&self, catalog: &FleetCatalog) -> bool {
        let mut customers = catalog.customers.iter();
        let found = customers.find(|(_, customer)| customer.name == self.name);
        found.is_some_and(|(found, customer)| {
            let owner = |key: &String| catalog.keys.get(key) == Some(&found);
            customer.regions == self.regions && self.key.as_ref().is_none_or(owner)
        })
    }
}

fn host(request: &CallerRequest) -> &str {
    request.head.fields.get("host").unwrap_or_default()
}
