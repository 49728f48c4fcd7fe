//! Requests that other VMs forward to this one, which sends them to targets.

use crate::clock;
use crate::count_guard::CountGuard;
use crate::forward::{self, ForwardOptions, RoutedRequest, RunProgress};
use crate::front::connection::{CallerRequest, InFlightGuard};
use crate::front::handler;
use crate::front::refusal::RefusalCause;
use crate::peer_forward::{BODY_BYTES, decode_fields, encode_fields};
use crate::state::{GatewayState, SharedState};
use crate::structured_log::EventClass;
use async_std::net::TcpListener;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_model::keys::CustomerKey;
use dahliawood_peer::forward::message::{
    ForwardOutcome, ForwardedRequest, ForwardedResponse, RefusalMessage,
};
use dahliawood_peer::forward::server::{self, ForwardHandler};
use dahliawood_wire::raw::head::RequestHead;
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;

/// Requests of other VMs that this one works on at a time.
const MAX_HELPING: usize = 256;

/// Log event for a request of another VM.
#[derive(Serialize)]
struct HelpEvent<'a> {
    id: Option<&'a str>,
    /// Name of the VM that took the request from its caller.
    from: &'a str,
    status: u16,
    cause: Option<String>,
    taken_ms: u128,
    /// Time waited at this VM for a slot.
    waited_ms: u128,
}

/// Serves the calls of other VMs until the listener fails.
pub async fn serve(state: SharedState, listener: TcpListener) {
    let drain = state.forward_drain.clone();
    let handler = ForwardHandler {
        forward: Box::new(move |request| Box::pin(handle(SharedState::clone(&state), request))),
    };
    if let Err(error) = server::serve(listener, Rc::new(handler), &drain).await {
        log::error!("the listener for requests of other VMs failed: {error}");
    }
}

async fn handle(state: SharedState, request: ForwardedRequest) -> ForwardOutcome {
    let _in_flight = InFlightGuard::begin(&state);
    let outcome = match CountGuard::begin_within(&state, |state| &state.helping, MAX_HELPING) {
        Some(_helping) => help(&state, request).await,
        None => Err(RefusalMessage::Overloaded),
    };
    let label = match &outcome {
        Ok(_) => "answered",
        Err(refusal) if refusal.may_have_run() => "failed",
        Err(_) => "refused",
    };
    state.metrics.record_forward("helper", label);
    outcome
}

/// Sends a request to a target, if this VM can.
async fn help(state: &GatewayState, request: ForwardedRequest) -> ForwardOutcome {
    let now = clock::now();
    if state.has_stopped_accepting() || state.reach().tracker.is_cut_off() {
        return Err(RefusalMessage::Unreachable);
    }
    let catalog = state.catalog.load_full().ok_or(RefusalMessage::Outdated)?;
    let routed = route(state, &catalog, &request).ok_or(RefusalMessage::Outdated)?;
    if state.ends_at().is_some_and(|end| end < routed.deadline) {
        return Err(RefusalMessage::Unreachable);
    }
    let options = ForwardOptions {
        max_tries: request.tries_left,
        is_retry: request.is_retry,
        may_ask: false,
    };
    let from = request.from.clone();
    let request = caller_request(state, request).ok_or(RefusalMessage::Overloaded)?;
    let metadata = (state.codec.read_request)(&request.head);
    // The VM that took the request from its caller counts it in the customer's limit, and learns from
    // the outcome whether it has run.
    let progress = RunProgress::default();
    let ended = forward::run(
        state, &catalog, &request, &metadata, &routed, options, &progress,
    )
    .await;
    let (status, cause) = match &ended {
        Ok(answer) => (answer.response.status, None),
        Err(cause) => (cause.status(), Some(cause.to_string())),
    };
    let class = match cause {
        None => EventClass::Routine,
        Some(_) => EventClass::Notable,
    };
    state.log.write(class, "help", || HelpEvent {
        id: metadata.attempt_id.as_deref(),
        from: &from,
        status,
        cause,
        taken_ms: clock::now().since(now).as_millis(),
        waited_ms: routed.waited.get().as_millis(),
    });
    match ended {
        Ok(answer) if answer.response.body.len() > BODY_BYTES => Err(RefusalMessage::TargetFailed),
        Ok(answer) => Ok(ForwardedResponse {
            status: answer.response.status,
            fields: encode_fields(&answer.response.fields),
            body: answer.response.body.into_bytes(),
            target_id: answer.target_id,
        }),
        Err(cause) => Err(encode_refusal(&cause)),
    }
}

/// The route of a request by this VM's configuration, `None` if that is older than the origin's or
/// knows no such route or customer.
fn route(
    state: &GatewayState,
    catalog: &FleetCatalog,
    request: &ForwardedRequest,
) -> Option<RoutedRequest> {
    if catalog.version < request.version {
        return None;
    }
    let now = clock::now();
    let host = request
        .fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case("host"));
    let host = host.and_then(|field| std::str::from_utf8(&field.value).ok());
    let path = request.target.split('?').next().unwrap_or_default();
    let route = catalog.route(host.unwrap_or_default().trim(), path)?;
    let services = &catalog.routes[route].services;
    let is_routed = services
        .iter()
        .any(|service| service.service == request.service);
    let customer = match &request.customer {
        Some(name) => Some(customer(catalog, name)?),
        None => None,
    };
    // By a newer configuration the route may lead elsewhere.
    let service = match is_routed {
        true => request.service.clone(),
        false => handler::service(state, catalog, route),
    };
    Some(RoutedRequest {
        route,
        customer,
        service,
        started: now.before(request.spent),
        deadline: now.after(request.left),
        waited: Cell::default(),
    })
}

fn customer(catalog: &FleetCatalog, name: &str) -> Option<CustomerKey> {
    let mut customers = catalog.customers.iter();
    let found = customers.find(|(_, customer)| customer.name == name);
    found.map(|(key, _)| key)
}

/// The request as of a caller, `None` if there is no memory for its body.
fn caller_request(state: &GatewayState, request: ForwardedRequest) -> Option<CallerRequest> {
    Some(CallerRequest {
        head: RequestHead {
            method: request.method,
            target: request.target,
            is_http10: false,
            fields: decode_fields(request.fields),
        },
        body: state.held_bytes.requests.hold(request.body).ok()?,
    })
}

fn encode_refusal(cause: &RefusalCause) -> RefusalMessage {
    match cause {
        RefusalCause::Busy(retry_after) | RefusalCause::OverLimit(retry_after) => {
            RefusalMessage::Busy(*retry_after)
        }
        RefusalCause::NoTarget => RefusalMessage::NoTarget,
        RefusalCause::Quarantined => RefusalMessage::Quarantined,
        RefusalCause::TargetTimeout => RefusalMessage::TargetTimeout,
        RefusalCause::NoMemory => RefusalMessage::Overloaded,
        RefusalCause::Leaving => RefusalMessage::Unreachable,
        RefusalCause::NoCatalog
        | RefusalCause::Outdated
        | RefusalCause::NoRoute
        | RefusalCause::InvalidKey
        | RefusalCause::Malformed(_)
        | RefusalCause::HeadTooLong
        | RefusalCause::BodyTooLong
        | RefusalCause::RequestTimeout => RefusalMessage::Outdated,
        RefusalCause::TargetFailed => RefusalMessage::TargetFailed,
    }
}
