//! The endpoints that a VM answers itself: look-ups and health.

use crate::front::refusal::RefusalCause;
use crate::{clock, counters, shared, snapshot};
use dahliawood_model::keys::{CustomerKey, ServiceKey};
use dahliawood_steer::lookup;
use http_types::{Body, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Path of the look-up endpoint.
pub const LOOKUP_PATH: &str = "/v1/lookup";
/// Path of the health endpoint.
pub const HEALTH_PATH: &str = "/v1/health";

/// The response to a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The requested service.
    pub service: String,
    /// The configuration revision that the answer is based on.
    pub revision: u64,
    /// How long the answer may be cached, in milliseconds, jitter included.
    pub ttl_ms: u64,
    /// VMs in the order in which to try them.
    pub vms: Vec<NamedVm>,
}

/// A VM in a look-up response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVm {
    /// The VM's name.
    pub name: String,
    /// Base URL for requests: `http://ADDRESS`.
    pub url: String,
}

/// The response to a health check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HealthReply {
    /// The VM's name.
    pub name: String,
    /// The phase that the VM is in.
    pub phase: shared::DaemonPhase,
    /// The revision in force, 0 for none.
    pub revision: u64,
}

/// Query parameters of a look-up.
#[derive(Debug, Deserialize)]
struct LookupParams {
    service: String,
}

/// Answers `GET /v1/lookup?service=NAME`.
///
/// # Errors
/// Fails if the query is malformed, the service is unknown, or the caller may not call the service.
pub fn lookup(
    shared: &shared::SharedState,
    snapshot: &snapshot::RouteSnapshot,
    request: &Request,
    client: IpAddr,
    customer: Option<CustomerKey>,
) -> Result<Response, RefusalCause> {
    let params: LookupParams = request
        .query()
        .map_err(|_| RefusalCause::Malformed("ask with /v1/lookup?service=NAME".to_owned()))?;
    let config = &snapshot.state.config;
    let found = config
        .services
        .find(|service| service.name == params.service);
    let (service, _) = found.ok_or(RefusalCause::NoService)?;
    check_grant(snapshot, service, customer)?;
    let query = lookup::LookupQuery {
        client,
        customer,
        service,
    };
    let answer = lookup::answer(&snapshot.lookup, query, clock::now(), &mut rand::rng());
    let vms = snapshot.put_homes_first(answer.vms, customer, answer.region);
    let vms = vms
        .iter()
        .map(|key| named(&snapshot.vms[key.0 as usize]))
        .collect();
    let ttl_ms = u64::try_from(answer.ttl.as_millis()).unwrap_or(u64::MAX);
    let revision = snapshot.state.revision;
    shared.counters.count(counters::CounterKind::Lookups);
    Ok(reply(&LookupReply {
        service: params.service,
        revision,
        ttl_ms,
        vms,
    }))
}

/// Converts a VM to its form in a look-up response.
fn named(vm: &lookup::VmEntry) -> NamedVm {
    NamedVm {
        name: vm.name.clone(),
        url: format!("http://{}", vm.http),
    }
}

/// Checks whether a caller may look up a service: customers that are granted the service may, and
/// everyone may if one of its routes is open.
fn check_grant(
    snapshot: &snapshot::RouteSnapshot,
    service: ServiceKey,
    customer: Option<CustomerKey>,
) -> Result<(), RefusalCause> {
    let config = &snapshot.state.config;
    let is_open = || {
        let routes = &config.services[service].routes;
        routes.iter().any(|route| config.routes[*route].open)
    };
    match customer {
        Some(customer) if config.customers[customer].services.contains(&service) => Ok(()),
        _ if is_open() => Ok(()),
        Some(_) => Err(RefusalCause::NotGranted),
        None => Err(RefusalCause::NoKey),
    }
}

/// Builds the look-up response. The cache headers limit caching to the answer's time to live and to
/// callers with the same key.
fn reply(reply: &LookupReply) -> Response {
    let mut response = json(StatusCode::Ok, reply);
    let max_age = reply.ttl_ms / 1_000;
    response.insert_header("cache-control", format!("private, max-age={max_age}"));
    response.insert_header("vary", "Authorization");
    response
}

/// Answers `GET /v1/health`: 200 if the VM is serving, otherwise 503.
pub fn health(shared: &shared::SharedState) -> Response {
    let phase = shared.phase();
    let status = match phase {
        shared::DaemonPhase::Serving => StatusCode::Ok,
        _ => StatusCode::ServiceUnavailable,
    };
    let revision = shared
        .snapshot
        .load()
        .as_ref()
        .map_or(0, |snapshot| snapshot.state.revision);
    let mut response = json(
        status,
        &HealthReply {
            name: shared.settings.name.clone(),
            phase,
            revision,
        },
    );
    response.insert_header("cache-control", "no-store");
    response
}

/// Builds a JSON response.
fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    match Body::from_json(value) {
        Ok(body) => response.set_body(body),
        Err(error) => {
            log::error!("cannot serialize a response: {error}");
            response.set_status(StatusCode::InternalServerError);
        }
    }
    response
}
