//! One request from its head to its answer: route, key, admission, then the forward path.

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

/// The header in which a caller says how long it waits, milliseconds; it shortens the service's
/// timeout, and goes to the target with what is left.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Prefix of the paths that the VM answers itself.
const LOCAL_PREFIX: &str = "/v1/";

/// Counts a request as in flight until it is dropped, with its answer's body.
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

/// Answers one request of the caller at `client`.
pub async fn answer(
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

/// Forwards a request along its route.
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

/// Whether the VM may take work; one that is leaving does, for callers with older answers.
fn check_phase(shared: &shared::SharedState) -> Result<(), RefusalCause> {
    match shared.phase() {
        shared::DaemonPhase::Starting => Err(RefusalCause::Starting),
        shared::DaemonPhase::Isolated => Err(RefusalCause::Isolated),
        shared::DaemonPhase::Serving | shared::DaemonPhase::Leaving => Ok(()),
    }
}

/// The route of a request.
fn find_route(state: &snapshot::ConfigState, request: &Request) -> Result<RouteKey, RefusalCause> {
    match state.route(request.method().as_ref(), request.url().path()) {
        snapshot::RouteMatch::Found(route) => Ok(route),
        snapshot::RouteMatch::OtherMethod => Err(RefusalCause::OtherMethod),
        snapshot::RouteMatch::None => Err(RefusalCause::NoRoute),
    }
}

/// Who calls a route: nobody in particular on an open one, otherwise the key's customer, who has to
/// be granted the service from this place.
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

/// The customer whose key came with the request, `None` without a key.
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

/// Until when the request may take: the service's timeout, or the caller's where it is shorter.
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

/// Takes one request from the customer's rate and burst.
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
