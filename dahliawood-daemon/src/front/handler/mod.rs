//! Handles one request: finds the route, checks the key, admits the request and forwards it.

use crate::front::refusal::RefusalCause;
use crate::front::{api, flight, forward};
use crate::{clock, counters, shared, snapshot};
use dahliawood_model::keys::{CustomerKey, RouteKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::limit;
use dahliawood_wire::headers as wire_headers;
use http_types::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Request header with the caller's timeout in milliseconds. The header can only shorten the
/// service's timeout; the request to the target carries the remaining time in the same header.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Prefix of the paths that the VM serves itself.
const LOCAL_PREFIX: &str = "/v1/";

/// Counts a request as in flight until the guard is dropped together with the response body.
struct InFlight(Arc<shared::SharedState>);

impl InFlight {
    fn begin(shared: &Arc<shared::SharedState>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers one request from the caller at `client`.
pub async fn handle_request(
    shared: Arc<shared::SharedState>,
    request: Request,
    client: SocketAddr,
) -> Response {
    let in_flight = InFlight::begin(&shared);
    let outcome = match request.url().path() {
        api::HEALTH_PATH => return api::health(&shared),
        path if path.starts_with(LOCAL_PREFIX) => answer_locally(&shared, &request, client),
        _ => forward_request(&shared, request, client).await,
    };
    let mut response = outcome.unwrap_or_else(|cause| {
        shared.counters.count(cause.counter());
        cause.into_response()
    });
    let body = response.take_body();
    forward::set_body(&mut response, flight::with_guard(body, in_flight));
    response
}

/// Answers a request that the VM serves itself.
fn answer_locally(
    shared: &shared::SharedState,
    request: &Request,
    client: SocketAddr,
) -> Result<Response, RefusalCause> {
    check_phase(shared)?;
    let snapshot = shared.snapshot.load();
    let snapshot = snapshot.as_ref().ok_or(RefusalCause::Starting)?;
    if request.url().path() != api::LOOKUP_PATH {
        return Err(RefusalCause::NoRoute);
    }
    if request.method() != http_types::Method::Get {
        return Err(RefusalCause::OtherMethod);
    }
    let customer = authenticate(&snapshot.state, request)?;
    api::lookup(shared, snapshot, request, client.ip(), customer)
}

/// Authorizes and admits a request, and forwards it along its route.
async fn forward_request(
    shared: &Arc<shared::SharedState>,
    request: Request,
    client: SocketAddr,
) -> Result<Response, RefusalCause> {
    check_phase(shared)?;
    let snapshot = shared.snapshot.load_full().ok_or(RefusalCause::Starting)?;
    let route = find_route(&snapshot.state, &request)?;
    let customer = authorize(&snapshot, &request, route, client)?;
    let deadline = request_deadline(&snapshot.state, &request, route)?;
    admit(shared, &snapshot.state, customer, deadline).await?;
    let admitted = forward::AdmittedRequest {
        request,
        route,
        customer,
        client,
        deadline,
    };
    forward::run(Arc::clone(shared), snapshot, admitted).await
}

/// Checks whether the VM accepts requests. A leaving VM does, because callers with older look-up
/// answers still send requests to it.
fn check_phase(shared: &shared::SharedState) -> Result<(), RefusalCause> {
    match shared.phase() {
        shared::DaemonPhase::Starting => Err(RefusalCause::Starting),
        shared::DaemonPhase::Isolated => Err(RefusalCause::Isolated),
        shared::DaemonPhase::Serving | shared::DaemonPhase::Leaving => Ok(()),
    }
}

/// Finds the route of a request.
fn find_route(state: &snapshot::ConfigState, request: &Request) -> Result<RouteKey, RefusalCause> {
    match state.route(request.method().as_ref(), request.url().path()) {
        snapshot::RouteMatch::Found(route) => Ok(route),
        snapshot::RouteMatch::OtherMethod => Err(RefusalCause::OtherMethod),
        snapshot::RouteMatch::None => Err(RefusalCause::NoRoute),
    }
}

/// Determines the customer that calls a route: `None` if the route is open, otherwise the customer
/// of the key, which must be granted the service and the place of the caller.
fn authorize(
    snapshot: &snapshot::RouteSnapshot,
    request: &Request,
    route: RouteKey,
    client: SocketAddr,
) -> Result<Option<CustomerKey>, RefusalCause> {
    let state = &snapshot.state;
    if state.config.routes[route].open {
        return Ok(None);
    }
    let customer = authenticate(state, request)?.ok_or(RefusalCause::NoKey)?;
    if !state.may_call(customer, route) {
        return Err(RefusalCause::NotGranted);
    }
    let places = &state.config.customers[customer].places;
    let place = snapshot.lookup.place_of(client.ip());
    if !places.is_empty() && !place.is_some_and(|place| places.contains(&place)) {
        return Err(RefusalCause::OtherPlace);
    }
    Ok(Some(customer))
}

/// The customer of the key in the request, `None` if the request has no key.
fn authenticate(
    state: &snapshot::ConfigState,
    request: &Request,
) -> Result<Option<CustomerKey>, RefusalCause> {
    match wire_headers::presented_key(request) {
        wire_headers::PresentedKey::Absent => Ok(None),
        wire_headers::PresentedKey::Ambiguous => Err(RefusalCause::BadKey),
        wire_headers::PresentedKey::Single(key) => {
            let customer = state.keys.verify(&key).ok_or(RefusalCause::BadKey)?;
            Ok(Some(customer))
        }
    }
}

/// The deadline of the request, from the shorter of the service's and the caller's timeouts.
fn request_deadline(
    state: &snapshot::ConfigState,
    request: &Request,
    route: RouteKey,
) -> Result<TimeStamp, RefusalCause> {
    let service = state.config.routes[route].service;
    let timeout = state.config.services[service].timeout;
    let Some(value) = request.header(TIMEOUT_HEADER) else {
        return Ok(clock::now().after(timeout));
    };
    let millis = value.as_str().trim().parse().map_err(|_| {
        RefusalCause::Malformed(format!("{TIMEOUT_HEADER} takes whole milliseconds"))
    })?;
    Ok(clock::now().after(timeout.min(Duration::from_millis(millis))))
}

/// Takes one unit of the customer's rate and burst; requests without a customer are not limited.
async fn admit(
    shared: &shared::SharedState,
    state: &snapshot::ConfigState,
    customer: Option<CustomerKey>,
    deadline: TimeStamp,
) -> Result<(), RefusalCause> {
    let Some(customer) = customer else {
        return Ok(());
    };
    let name = limit::customer_name(&state.config.customers[customer]);
    let admitted = shared.quota.admit(&name, deadline, clock::now()).await;
    admitted.map_err(RefusalCause::OverRate)?;
    shared.counters.count(counters::CounterKind::Admitted);
    Ok(())
}
