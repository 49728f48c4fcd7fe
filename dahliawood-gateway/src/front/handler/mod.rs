//! Handles one request: finds its route, checks its API key and its customer's limit, and forwards
//! it to a target.

pub mod admission;

use crate::clock;
use crate::codec::RequestMetadata;
use crate::decisions::{DecisionOutcome, RequestDecision};
use crate::forward::{self, ForwardOptions, RoutedRequest, RunProgress};
use crate::front::connection::CallerRequest;
use crate::front::handler::admission::AdmittedRequest;
use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::state::{GatewayState, SharedState};
use crate::structured_log::EventClass;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_model::keys::{CustomerKey, RouteKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::window::CountedRequest;
use dahliawood_wire::raw::head::RequestHead;
use serde::Serialize;
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

/// How much earlier than its timeout a request gets its final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);

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

/// Handles one request of a caller and returns the response.
pub async fn handle(state: SharedState, request: CallerRequest) -> FrontResponse {
    let started = clock::now();
    let metadata = (state.codec.read_request)(&request.head);
    let catalog = state.catalog.load_full();
    let progress = RunProgress::default();
    let routed = route(&state, catalog.as_ref(), &request, &metadata, started).await;
    let outcome = match (routed, &catalog) {
        (Ok((routed, counted)), Some(catalog)) => {
            let _admitted = AdmittedRequest::new(&state, catalog, &routed, counted, &progress);
            let options = ForwardOptions::new(catalog, &routed);
            let sent = forward::run(
                &state, catalog, &request, &metadata, &routed, options, &progress,
            )
            .await;
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
    if let Some(cause) = cause
        && is_by_configuration(cause)
    {
        state.record_decision(RequestDecision {
            id: metadata.attempt_id.clone(),
            version: catalog.map_or(0, |catalog| catalog.version),
            route: String::new(),
            outcome: DecisionOutcome::Refused(cause.to_string()),
        });
    }
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

/// Whether a request is refused for what the configuration says, or does not say yet.
fn is_by_configuration(cause: &RefusalCause) -> bool {
    matches!(
        cause,
        RefusalCause::NoCatalog
            | RefusalCause::NoRoute
            | RefusalCause::InvalidKey
            | RefusalCause::Outdated
    )
}

/// Finds the route and the customer of a request, and admits it within the customer's limit. Returns
/// also how the limit counts it.
async fn route(
    state: &GatewayState,
    catalog: Option<&Arc<FleetCatalog>>,
    request: &CallerRequest,
    metadata: &RequestMetadata,
    now: TimeStamp,
) -> Result<(RoutedRequest, Option<CountedRequest>), RefusalCause> {
    let catalog = catalog.ok_or(RefusalCause::NoCatalog)?;
    let host = request.head.fields.get("host").unwrap_or_default();
    let route = catalog.route(host, request.head.path());
    let route = route.ok_or_else(|| unknown(state, RefusalCause::NoRoute))?;
    let customer = customer(catalog, route, metadata);
    let customer = customer.map_err(|cause| unknown(state, cause))?;
    let timeout = catalog.routes[route].timeout;
    let wait = metadata.timeout.unwrap_or(timeout).min(timeout);
    let deadline = now.after(wait.saturating_sub(RESPONSE_MARGIN));
    if state.is_too_late(now, deadline) {
        return Err(RefusalCause::Leaving);
    }
    let service = service(state, catalog, route);
    let counted = match customer {
        Some(customer) => admission::admit(state, &catalog.customers[customer], now).await?,
        None => None,
    };
    let routed = RoutedRequest {
        route,
        customer,
        service,
        started: now,
        deadline,
        waited: Cell::default(),
    };
    Ok((routed, counted))
}

/// Why a request is refused whose route or key this VM does not know: they may have been declared since
/// if its configuration is old, and then the request is not wrong.
fn unknown(state: &GatewayState, cause: RefusalCause) -> RefusalCause {
    match state.may_be_outdated() {
        true => RefusalCause::Outdated,
        false => cause,
    }
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
