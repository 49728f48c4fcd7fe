//! One request from its head to its answer: route, key, limit, then the forward path.

use crate::clock;
use crate::codec::RequestMetadata;
use crate::forward::{self, RoutedRequest};
use crate::front::connection::CallerRequest;
use crate::front::refusal::{FrontAnswer, RefusalCause};
use crate::line::LineRank;
use crate::state::{GatewayState, SharedState};
use async_std::future::timeout;
use dahliawood_model::catalog::{CatalogCustomer, FleetCatalog};
use dahliawood_model::keys::{CustomerKey, RouteKey};
use dahliawood_model::stamp::TimeStamp;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// How much sooner than its route's timeout a request is given its final answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);

/// The longest that a request waits for an answer of the head.
const ASK_WAIT: Duration = Duration::from_millis(200);

/// The part of what is tolerated beyond a limit that is used: VMs may hold different versions for a
/// moment.
const SLACK_SHARE: f64 = 0.5;

/// A line on an answered request.
#[derive(Serialize)]
struct RequestLine<'a> {
    id: Option<&'a str>,
    version: u64,
    route: Option<&'a str>,
    customer: Option<&'a str>,
    status: u16,
    cause: Option<String>,
    taken_ms: u128,
}

/// A line on a customer's limit that was reached on this VM.
#[derive(Serialize)]
struct LimitLine<'a> {
    customer: &'a str,
    rate: f64,
    burst: f64,
    /// The part of the limit that this VM holds beside the even part.
    part: f64,
    /// Requests that this VM takes in a window.
    most: f64,
}

/// Answers one request of a caller.
pub async fn answer(state: SharedState, request: CallerRequest) -> FrontAnswer {
    let started = clock::now();
    let metadata = (state.codec.read_request)(&request.head);
    let catalog = state.catalog.load_full();
    let routed = route(&state, catalog.as_ref(), &request, &metadata, started).await;
    let outcome = match (routed, &catalog) {
        (Ok(routed), Some(catalog)) => {
            let sent = forward::run(&state, catalog, &request, &metadata, &routed).await;
            (sent, Some(routed))
        }
        (Ok(_), None) => (Err(RefusalCause::Unknown), None),
        (Err(cause), _) => (Err(cause), None),
    };
    report(&state, catalog.as_deref(), &metadata, &outcome, started);
    outcome.0.unwrap_or_else(|cause| cause.answer())
}

/// Counts and logs what became of a request.
fn report(
    state: &GatewayState,
    catalog: Option<&FleetCatalog>,
    metadata: &RequestMetadata,
    outcome: &(Result<FrontAnswer, RefusalCause>, Option<RoutedRequest>),
    started: TimeStamp,
) {
    let taken = clock::now().since(started);
    let (status, cause) = match &outcome.0 {
        Ok(answer) => (answer.status, None),
        Err(cause) => (cause.status(), Some(cause)),
    };
    let label = match cause {
        None => "answered",
        Some(cause) if cause.retry_after().is_some() => "refused",
        Some(_) => "failed",
    };
    state.metrics.request(label, taken);
    let rank = if cause.is_none() && status < 500 {
        LineRank::Routine
    } else {
        LineRank::Notable
    };
    state.lines.write(rank, "request", || RequestLine {
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
    });
}

/// Finds the route and the customer of a request, and counts it against the customer's limit.
async fn route(
    state: &GatewayState,
    catalog: Option<&Arc<FleetCatalog>>,
    request: &CallerRequest,
    metadata: &RequestMetadata,
    now: TimeStamp,
) -> Result<RoutedRequest, RefusalCause> {
    let catalog = catalog.ok_or(RefusalCause::Unknown)?;
    let host = request.head.fields.get("host").unwrap_or_default();
    let route = catalog.route(host, request.head.path());
    let route = route.ok_or(RefusalCause::NoRoute)?;
    let customer = customer(catalog, route, metadata)?;
    let timeout = catalog.routes[route].timeout;
    let patience = metadata.timeout.unwrap_or(timeout).min(timeout);
    let service = service(state, catalog, route);
    if let Some(customer) = customer {
        admit(state, &catalog.customers[customer], now).await?;
    }
    Ok(RoutedRequest {
        route,
        customer,
        service,
        started: now,
        deadline: now.after(patience.saturating_sub(ANSWER_MARGIN)),
    })
}

/// Whose key came with a request, `None` on a route that is open to all.
fn customer(
    catalog: &FleetCatalog,
    route: RouteKey,
    metadata: &RequestMetadata,
) -> Result<Option<CustomerKey>, RefusalCause> {
    if catalog.routes[route].is_open || catalog.customers.is_empty() {
        return Ok(None);
    }
    let key = metadata.key.as_ref().ok_or(RefusalCause::BadKey)?;
    let customer = catalog.keys.get(key).ok_or(RefusalCause::BadKey)?;
    Ok(Some(*customer))
}

/// Counts a request against this VM's part of the customer's limit; where that is used up, the
/// head is asked once for more.
async fn admit(
    state: &GatewayState,
    customer: &CatalogCustomer,
    now: TimeStamp,
) -> Result<(), RefusalCause> {
    if customer.rate <= 0.0 {
        return Ok(());
    }
    let name = &customer.name;
    let most = limit(state, customer, now);
    let mut admitted = state.windows().admit(name, most, now);
    if admitted.is_err()
        && let Some(answered) = state.asks.ask(name, now)
    {
        // Whether an answer came shows in the part that is held now.
        let _answered = timeout(ASK_WAIT, answered).await;
        let now = clock::now();
        let most = limit(state, customer, now);
        admitted = state.windows().admit_again(name, most, now);
        if admitted.is_err() {
            state.asks.note_full(name, now);
        }
    }
    admitted.map_err(|wait| {
        log_limit(state, customer);
        RefusalCause::OverLimit(wait)
    })
}

fn log_limit(state: &GatewayState, customer: &CatalogCustomer) {
    let now = clock::now();
    let part = state.parts().held(&customer.name, now);
    let line = || LimitLine {
        customer: &customer.name,
        rate: customer.rate,
        burst: customer.burst,
        part,
        most: limit(state, customer, now),
    };
    state.lines.write(LineRank::Notable, "limit", line);
}

/// Requests of a customer that all VMs together may take in a window.
pub fn whole_limit(state: &GatewayState, customer: &CatalogCustomer) -> f64 {
    let bounds = &state.settings.bounds;
    let window = bounds.quota_window.as_secs_f64();
    customer.rate * window + customer.burst + bounds.quota_slack * SLACK_SHARE
}

/// This VM's part of a customer's limit, in a window.
fn limit(state: &GatewayState, customer: &CatalogCustomer, now: TimeStamp) -> f64 {
    let vms = state.vms.load().len();
    let part = state.parts().usable(&customer.name, vms, now);
    whole_limit(state, customer) * part
}

/// The service that serves the next request of a route.
fn service(state: &GatewayState, catalog: &FleetCatalog, route: RouteKey) -> String {
    let route = &catalog.routes[route];
    match route.parts.as_slice() {
        [] => String::new(),
        [part] => part.service.clone(),
        parts => {
            let mut splits = state.splits();
            let split = splits.entry(route.name.clone()).or_default();
            let next = split.next(parts.iter().map(|part| part.weight));
            parts[next].service.clone()
        }
    }
}
