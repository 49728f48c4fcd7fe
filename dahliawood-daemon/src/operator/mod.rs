//! HTTP API for operators: status, configuration and events.
//!
//! The API neither encrypts nor authenticates yet, so bind it to an address on the operators'
//! network.

pub mod apply;
pub mod reply;

use crate::{control, shared};
use async_std::channel::Sender;
use async_std::net::TcpListener;
use dahliawood_store::{client, revision};
use http_types::StatusCode;
use serde::Deserialize;
use std::sync::Arc;

/// The maximum number of events in one response.
const MAX_EVENTS: u32 = 1_000;

/// State that all handlers share.
#[derive(Clone)]
pub struct OperatorState {
    /// State of the daemon.
    pub shared: Arc<shared::SharedState>,
    /// Client of the key-value service.
    pub store: client::StoreClient,
    /// Tracks the revision in force.
    pub tracker: revision::SharedTracker,
    /// Sends requests to the control thread.
    pub control: Sender<control::ControlRequest>,
}

/// Query parameters of `GET /v1/events`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EventParams {
    after: u64,
    most: Option<u32>,
    vm: Option<String>,
}

/// Serves the API until the task is cancelled.
pub async fn run(listener: TcpListener, state: OperatorState) {
    let mut app = tide::with_state(state);
    app.at("/v1/status").get(status);
    app.at("/v1/config").get(config).put(apply::run);
    app.at("/v1/writes/:id").get(apply::outcome);
    app.at("/v1/events").get(events);
    if let Err(error) = app.listen(listener).await {
        log::error!("the operator API stopped: {error}");
    }
}

/// `GET /v1/status`: the status of this VM.
async fn status(request: tide::Request<OperatorState>) -> tide::Result {
    let members = control::call(&request.state().control, control::ControlRequest::Members).await;
    let members = members.map_err(control_stopped)?;
    json(
        StatusCode::Ok,
        &reply::status(&request.state().shared, &members),
    )
}

/// `GET /v1/config`: the text of the configuration file in force.
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

/// `GET /v1/events`: a page of the events of this VM, or of the VM that the query names.
async fn events(request: tide::Request<OperatorState>) -> tide::Result {
    let params: EventParams = request.query()?;
    let max_events = params.most.unwrap_or(MAX_EVENTS).min(MAX_EVENTS);
    let vm = params
        .vm
        .unwrap_or_else(|| request.state().shared.settings.name.clone());
    let to_request = |reply| {
        control::ControlRequest::Events(control::EventRequest {
            vm,
            after: params.after,
            max_events,
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

/// Converts the error that the control thread has ended to a 503.
fn control_stopped(error: control::ControlStopped) -> tide::Error {
    tide::Error::new(StatusCode::ServiceUnavailable, error)
}

/// Builds a JSON response.
fn json(status: StatusCode, value: &impl serde::Serialize) -> tide::Result {
    Ok(tide::Response::builder(status)
        .body(tide::Body::from_json(value)?)
        .build())
}
