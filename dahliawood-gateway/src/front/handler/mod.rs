//! Handles one request: finds its route, checks its API key and its customer's limit, and forwards
//! it to a target.

use crate::clock;
use crate::codec::RequestMetadata;
use crate::forward::{self, ForwardOptions, RoutedRequest};
use crate::front::connection::CallerRequest;
use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::state::{GatewayState, SharedState};
use crate::structured_log::EventClass;
use async_std::future::timeout;
use dahliawood_model::catalog::{CatalogCustomer, FleetCatalog};
use dahliawood_model::keys::{CustomerKey, RouteKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_wire::raw::head::RequestHead;
use serde::Serialize;
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

/// How much earlier than its timeout a request gets its final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);

/// The longest that a request waits for the coordinator's response.
const ALLOCATION_WAIT: Duration = Duration::from_millis(200);

/// Fraction of the tolerated excess over a limit that is handed out; the rest covers the moments in
/// which VMs have different configuration versions.
const SLACK_FRACTION: f64 = 0.5;

/// Log event for an answered request.
#[derive(Serialize)]
struct RequestEvent<'a> {
    id: Option<&'a str>,
    version: u64,
    route: Option<&'a str>,
    customer: Option<&'a str>,
    status: u16,
    cause: Option<String>,
    taken_ms: u128,
    /// Time waited at this VM for a slot.
    waited_ms: u128,
}

/// Log event for a customer's limit that was reached on this VM.
#[derive(Serialize)]
struct LimitEvent<'a> {
    customer: &'a str,
    rate: f64,
    burst: f64,
    /// The fraction of the limit that is allocated to this VM, without the even split.
    part: f64,
    /// Requests that this VM admits per window.
    most: f64,
}

/// Handles one request of a caller and returns the response.
pub async fn handle(state: SharedState, request: CallerRequest) -> FrontResponse {
    let started = clock::now();
    let metadata = (state.codec.read_request)(&request.head);
    let catalog = state.catalog.load_full();
    let routed = route(&state, catalog.as_ref(), &request, &metadata, started).await;
    let outcome = match (routed, &catalog) {
        (Ok(routed), Some(catalog)) => {
            let options = ForwardOptions::new(catalog, &routed);
            let sent = forward::run(&state, catalog, &request, &metadata, &routed, options).await;
            (sent.map(|answer| answer.response), Some(routed))
        }
        (Ok(_), None) => (Err(RefusalCause::NoCatalog), None),
        (Err(cause), _) => (Err(cause), None),
    };
    record_outcome(&state, catalog.as_deref(), &metadata, &outcome, started);
    outcome.0.unwrap_or_else(|cause| cause.response())
}

/// Whether a request may be worked on while earlier ones of its connection are: if its route is for
/// idempotent requests.
pub fn may_overlap(state: &GatewayState, head: &RequestHead) -> bool {
    let catalog = state.catalog.load();
    let Some(catalog) = catalog.as_ref() else {
        return false;
    };
    let host = head.fields.get("host").unwrap_or_default();
    let route = catalog.route(host, head.path());
    route.is_some_and(|route| catalog.routes[route].kind.is_idempotent())
}

/// Records the outcome of a request in the metrics and the log.
fn record_outcome(
    state: &GatewayState,
    catalog: Option<&FleetCatalog>,
    metadata: &RequestMetadata,
    outcome: &(Result<FrontResponse, RefusalCause>, Option<RoutedRequest>),
    started: TimeStamp,
) {
    let taken = clock::now().since(started);
    let (status, cause) = match &outcome.0 {
        Ok(response) => (response.status, None),
        Err(cause) => (cause.status(), Some(cause)),
    };
    let label = match cause {
        None => "answered",
        Some(RefusalCause::Quarantined) => "quarantined",
        Some(cause) if cause.retry_after().is_some() => "refused",
        Some(_) => "failed",
    };
    state.metrics.record_request(label, taken);
    let waited = outcome.1.as_ref().map(|routed| routed.waited.get());
    let waited = waited.unwrap_or_default();
    let class = if cause.is_none() && status < 500 {
        EventClass::Routine
    } else {
        EventClass::Notable
    };
    state.log.write(class, "request", || RequestEvent {
        id: metadata.attempt_id.as_deref(),
        version: catalog.map_or(0, |catalog| catalog.version),
        route: catalog
            .zip(outcome.1.as_ref())
            .map(|(catalog, routed)| catalog.routes[routed.route].name.as_str()),
        customer: catalog
            .zip(outcome.1.as_ref().and_then(|routed| routed.customer))
            .map(|(catalog, customer)| catalog.customers[customer].name.as_str()),
        status,
        cause: cause.map(ToString::to_string),
        taken_ms: taken.as_millis(),
        waited_ms: waited.as_millis(),
    });
}

/// Finds the route and the customer of a request, and admits it within the customer's limit.
async fn route(
    state: &GatewayState,
    catalog: Option<&Arc<FleetCatalog>>,
    request: &CallerRequest,
    metadata: &RequestMetadata,
    now: TimeStamp,
) -> Result<RoutedRequest, RefusalCause> {
    let catalog = catalog.ok_or(RefusalCause::NoCatalog)?;
    let host = request.head.fields.get("host").unwrap_or_default();
    let route = catalog.route(host, request.head.path());
    let route = route.ok_or(RefusalCause::NoRoute)?;
    let customer = customer(catalog, route, metadata)?;
    let timeout = catalog.routes[route].timeout;
    let wait = metadata.timeout.unwrap_or(timeout).min(timeout);
    let service = service(state, catalog, route);
    if let Some(customer) = customer {
        admit(state, &catalog.customers[customer], now).await?;
    }
    Ok(RoutedRequest {
        route,
        customer,
        service,
        started: now,
        deadline: now.after(wait.saturating_sub(RESPONSE_MARGIN)),
        waited: Cell::default(),
    })
}

/// The customer whose API key a request has, `None` if the route needs no key or no customers are
/// declared.
fn customer(
    catalog: &FleetCatalog,
    route: RouteKey,
    metadata: &RequestMetadata,
) -> Result<Option<CustomerKey>, RefusalCause> {
    if catalog.routes[route].is_open || catalog.customers.is_empty() {
        return Ok(None);
    }
    let key = metadata.api_key.as_ref().ok_or(RefusalCause::InvalidKey)?;
    let customer = catalog.keys.get(key).ok_or(RefusalCause::InvalidKey)?;
    Ok(Some(*customer))
}

/// Admits a request within this VM's allocation of the customer's limit; if that is used up, waits
/// once for the coordinator to be asked for more.
async fn admit(
    state: &GatewayState,
    customer: &CatalogCustomer,
    now: TimeStamp,
) -> Result<(), RefusalCause> {
    if customer.rate <= 0.0 {
        return Ok(());
    }
    let name = &customer.name;
    let limit = local_limit(state, customer, now);
    let mut admitted = state.windows().admit(name, limit, now);
    if admitted.is_err()
        && let Some(resumed) = state.admission_queue.enqueue(name, now)
    {
        // Whether the coordinator gave more shows in the allocation that this VM holds now.
        let _resumed = timeout(ALLOCATION_WAIT, resumed).await;
        let now = clock::now();
        let limit = local_limit(state, customer, now);
        admitted = state.windows().admit_again(name, limit, now);
        if admitted.is_err() {
            state.admission_queue.mark_exhausted(name, now);
        }
    }
    admitted.map_err(|wait| {
        log_limit(state, customer);
        RefusalCause::OverLimit(wait)
    })
}

fn log_limit(state: &GatewayState, customer: &CatalogCustomer) {
    let now = clock::now();
    let part = state.allocations().held(&customer.name, now);
    let event = || LimitEvent {
        customer: &customer.name,
        rate: customer.rate,
        burst: customer.burst,
        part,
        most: local_limit(state, customer, now),
    };
    state.log.write(EventClass::Notable, "limit", event);
}

/// Requests of a customer that all VMs together may admit per window.
pub fn fleet_limit(state: &GatewayState, customer: &CatalogCustomer) -> f64 {
    let bounds = &state.settings.bounds;
    let window = bounds.quota_window.as_secs_f64();
    customer.rate * window + customer.burst + bounds.quota_slack * SLACK_FRACTION
}

/// Requests of a customer that this VM may admit per window.
fn local_limit(state: &GatewayState, customer: &CatalogCustomer, now: TimeStamp) -> f64 {
    let even = state.even_fraction();
    let fraction = state.allocations().usable(&customer.name, even, now);
    fleet_limit(state, customer) * fraction
}

/// Selects the service of the next request of a route, by the weights of the route's split.
pub fn service(state: &GatewayState, catalog: &FleetCatalog, route: RouteKey) -> String {
    let route = &catalog.routes[route];
    match route.services.as_slice() {
        [] => String::new(),
        [only] => only.service.clone(),
        services => {
            let mut splits = state.splits();
            let split = splits.entry(route.name.clone()).or_default();
            let next = split.next(services.iter().map(|service| service.weight));
            services[next].service.clone()
        }
    }
}
