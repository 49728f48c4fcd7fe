//! The HTTP interface of the stand-in.

use super::faults;
use super::service;
use super::state;
use dahliawood_store::protocol;
use http_types::StatusCode;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tide::{Body, Request, Response, Server};

type AppState = Arc<service::PlatformService>;

/// Internal marker of a response that is not sent; the connection closes instead.
const CLOSE_MARKER_HEADER: &str = "dahliawood-dropped";

/// Upper bound on the wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct DeleteQuery {
    expected: Option<u64>,
}

/// Builds the routes of the stand-in.
pub(super) fn app(service: AppState) -> Server<AppState> {
    let mut app = tide::with_state(service);
    app.at("/v1/kv/*key")
        .get(get_key)
        .put(put_key)
        .delete(delete_key);
    app.at("/v1/list").get(list_keys);
    app.at("/v1/leases").post(grant_lease);
    app.at("/v1/leases/:id")
        .post(renew_lease)
        .delete(revoke_lease);
    app.at("/v1/live").get(live_list);
    app.at("/v1/live/:name").put(put_live).delete(remove_live);
    app.at("/v1/admin/faults").get(get_faults).put(put_faults);
    app.at("/v1/admin/snapshot").post(take_snapshot);
    app.at("/v1/admin/restore/:id").post(restore_snapshot);
    app.at("/v1/admin/counters").get(get_counters);
    app
}

/// Returns the response to a request, or an error where the connection has to close without one.
pub(super) async fn respond(
    app: &Server<AppState>,
    request: http_types::Request,
) -> http_types::Result<http_types::Response> {
    let response: http_types::Response = app.respond(request).await?;
    if response.header(CLOSE_MARKER_HEADER).is_some() {
        return Err(http_types::Error::from_str(
            StatusCode::ServiceUnavailable,
            "the stand-in drops this answer",
        ));
    }
    Ok(response)
}

async fn get_key(request: Request<AppState>) -> tide::Result {
    if let Some(rejection) = admit(&request, service::CallKind::Read).await {
        return Ok(rejection);
    }
    let key = request.param("key")?;
    let query: WatchQuery = request.query()?;
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0)).min(MAX_WATCH_WAIT);
    let Some(after) = query.after else {
        return json(&request.state().get(key));
    };
    match request.state().watch(key, after, wait).await {
        Some(entry) => json(&entry),
        None => Ok(closing_response()),
    }
}

async fn put_key(mut request: Request<AppState>) -> tide::Result {
    let body: protocol::PutBody = request.body_json().await?;
    if let Some(rejection) = admit(&request, service::CallKind::Write).await {
        return Ok(rejection);
    }
    let service = request.state();
    service.count_bytes(body.value.len());
    let key = request.param("key")?;
    let result = service.write(key, |table| {
        table.put(key, body.value, body.expected, body.lease)
    });
    write_result(&request, result)
}

async fn delete_key(request: Request<AppState>) -> tide::Result {
    if let Some(rejection) = admit(&request, service::CallKind::Write).await {
        return Ok(rejection);
    }
    let key = request.param("key")?;
    let query: DeleteQuery = request.query()?;
    let result = request
        .state()
        .write(key, |table| table.delete(key, query.expected));
    write_result(&request, result.map(|()| 0))
}

async fn list_keys(request: Request<AppState>) -> tide::Result {
    if let Some(rejection) = admit(&request, service::CallKind::Read).await {
        return Ok(rejection);
    }
    let query: ListQuery = request.query()?;
    json(&request.state().list(&query.prefix))
}

async fn grant_lease(mut request: Request<AppState>) -> tide::Result {
    let body: protocol::LeaseBody = request.body_json().await?;
    if let Some(rejection) = admit(&request, service::CallKind::Write).await {
        return Ok(rejection);
    }
    let ttl = Duration::from_millis(body.ttl_ms);
    let now = std::time::Instant::now();
    let lease = request.state().write("", |table| table.grant(ttl, now));
    let ttl_ms = body.ttl_ms;
    reply_unless_lost(&request, &protocol::LeaseGrant { lease, ttl_ms })
}

async fn renew_lease(request: Request<AppState>) -> tide::Result {
    if let Some(rejection) = admit(&request, service::CallKind::Write).await {
        return Ok(rejection);
    }
    let lease = request.param("id")?.parse()?;
    let now = std::time::Instant::now();
    let Some(ttl) = request.state().write("", |table| table.renew(lease, now)) else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let ttl_ms = ttl.as_millis() as u64;
    reply_unless_lost(&request, &protocol::LeaseGrant { lease, ttl_ms })
}

async fn revoke_lease(request: Request<AppState>) -> tide::Result {
    if let Some(rejection) = admit(&request, service::CallKind::Write).await {
        return Ok(rejection);
    }
    request.state().revoke(request.param("id")?.parse()?);
    reply_unless_lost(&request, &protocol::VersionBody { version: 0 })
}

async fn live_list(request: Request<AppState>) -> tide::Result {
    if let Some(rejection) = admit(&request, service::CallKind::Read).await {
        return Ok(rejection);
    }
    json(&request.state().live())
}

async fn put_live(mut request: Request<AppState>) -> tide::Result {
    let vm: protocol::LiveVm = request.body_json().await?;
    request.state().put_live(vm);
    Ok(Response::new(StatusCode::NoContent))
}

async fn remove_live(request: Request<AppState>) -> tide::Result {
    request.state().remove_live(request.param("name")?);
    Ok(Response::new(StatusCode::NoContent))
}

async fn get_faults(request: Request<AppState>) -> tide::Result {
    json(&request.state().faults())
}

async fn put_faults(mut request: Request<AppState>) -> tide::Result {
    let settings: faults::FaultSettings = request.body_json().await?;
    request.state().set_faults(settings);
    Ok(Response::new(StatusCode::NoContent))
}

async fn take_snapshot(request: Request<AppState>) -> tide::Result {
    let version = request.state().snapshot();
    json(&protocol::VersionBody { version })
}

async fn restore_snapshot(request: Request<AppState>) -> tide::Result {
    let is_known = request.state().restore(request.param("id")?.parse()?);
    let status = if is_known {
        StatusCode::NoContent
    } else {
        StatusCode::NotFound
    };
    Ok(Response::new(status))
}

async fn get_counters(request: Request<AppState>) -> tide::Result {
    json(&request.state().counters())
}

/// Applies the faults and the rate limits; returns the response to send where the call must not
/// take effect.
async fn admit(request: &Request<AppState>, kind: service::CallKind) -> Option<Response> {
    match request.state().admit(kind).await {
        service::CallAdmission::Admitted => None,
        service::CallAdmission::OverRate => Some(Response::new(StatusCode::TooManyRequests)),
        service::CallAdmission::Disconnected => Some(closing_response()),
    }
}

/// The response to a write that took effect, or the marker to close the connection where the
/// lost-reply fault is drawn.
fn reply_unless_lost(request: &Request<AppState>, body: &impl Serialize) -> tide::Result {
    if request.state().draw_lost_reply() {
        return Ok(closing_response());
    }
    json(body)
}

/// The response to a put or delete, by its result.
fn write_result(
    request: &Request<AppState>,
    result: Result<u64, state::WriteRefusal>,
) -> tide::Result {
    match result {
        Ok(version) => reply_unless_lost(request, &protocol::VersionBody { version }),
        Err(state::WriteRefusal::Conflict(version)) => {
            let mut response = json(&protocol::VersionBody { version })?;
            response.set_status(StatusCode::Conflict);
            Ok(response)
        }
        Err(state::WriteRefusal::TooLarge) => Ok(Response::new(StatusCode::PayloadTooLarge)),
        Err(state::WriteRefusal::NoLease) => Ok(Response::new(StatusCode::NotFound)),
    }
}

/// A marked response, in place of which [`respond`] makes the connection close.
fn closing_response() -> Response {
    Response::builder(StatusCode::ServiceUnavailable)
        .header(CLOSE_MARKER_HEADER, "1")
        .build()
}

fn json(body: &impl Serialize) -> tide::Result {
    Ok(Response::builder(StatusCode::Ok)
        .body(Body::from_json(body)?)
        .build())
}
