//! The operators' side: status, the configuration, events.
//!
//! It neither encrypts nor authenticates yet: its address belongs on the operators' network.

pub mod apply;
pub mod reply;

use crate::{control, shared};
use async_std::channel::Sender;
use async_std::net::TcpListener;
use dahliawood_store::{client, revision};
use http_types::StatusCode;
use serde::Deserialize;
use std::sync::Arc;

/// The most events in one answer.
const MAX_EVENTS: u32 = 1_000;

/// What every handler shares.
#[derive(Clone)]
pub struct OperatorState {
    /// State of the daemon.
    pub shared: Arc<shared::SharedState>,
    /// The key-value service.
    pub store: client::StoreClient,
    /// The revision in force.
    pub tracker: revision::SharedTracker,
    /// Questions to the control thread.
    pub control: Sender<control::ControlRequest>,
}

/// The query of `GET /v1/events`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EventParams {
    after: u64,
    most: Option<u32>,
    vm: Option<String>,
}

/// Serves operators until the task is cancelled.
pub async fn run(listener: TcpListener, state: OperatorState) {
    let mut app = tide::with_state(state);
    app.at("/v1/status").get(status);
    app.at("/v1/config").get(config).put(apply::run);
    app.at("/v1/writes/:id").get(apply::outcome);
    app.at("/v1/events").get(events);
    if let Err(error) = app.listen(listener).await {
        log::error!("operators can no longer be answered: {error}");
    }
}

/// `GET /v1/status`
async fn status(request: tide::Request<OperatorState>) -> tide::Result {
    let members = control::call(&request.state().control, control::ControlRequest::Members).await;
    let members = members.map_err(control_stopped)?;
    json(
        StatusCode::Ok,
        &reply::status(&request.state().shared, &members),
    )
}

/// `GET /v1/config`: the file in force, as it was applied.
async fn config(request: tide::Request<OperatorState>) -> tide::Result {
    let snapshot = request.state().shared.snapshot.load_full();
    let Some(snapshot) = snapshot else {
        return Ok(tide::Response::builder(404)
            .body("no configuration is known yet")
            .build());
    };
    let response = tide::Response::builder(200)
        .header("dahliawood-revision", snapshot.state.revision.to_string())
        .content_type("application/toml")
        .body(snapshot.state.text.to_string());
    Ok(response.build())
}

/// `GET /v1/events`: a page of the ring of this VM, or of the VM that is named.
async fn events(request: tide::Request<OperatorState>) -> tide::Result {
    let params: EventParams = request.query()?;
    let most = params.most.unwrap_or(MAX_EVENTS).min(MAX_EVENTS);
    let vm = params
        .vm
        .unwrap_or_else(|| request.state().shared.settings.name.clone());
    let to_request = |reply| {
        control::ControlRequest::Events(control::EventRequest {
            vm,
            after: params.after,
            most,
            reply,
        })
    };
    let page = control::call(&request.state().control, to_request)
        .await
        .map_err(control_stopped)?;
    match page {
        Ok(page) => json(StatusCode::Ok, &reply::events(&page)),
        Err(detail) => Ok(tide::Response::builder(502).body(detail).build()),
    }
}

/// The control thread has ended.
fn control_stopped(error: control::ControlStopped) -> tide::Error {
    tide::Error::new(StatusCode::ServiceUnavailable, error)
}

/// A JSON answer.
fn json(status: StatusCode, value: &impl serde::Serialize) -> tide::Result {
    Ok(tide::Response::builder(status)
        .body(tide::Body::from_json(value)?)
        .build())
}
