//! Operator endpoints that apply a configuration file and report the outcome of a write.

use crate::operator::{OperatorState, json};
use crate::shared;
use dahliawood_config::parse;
use dahliawood_events::kind;
use dahliawood_steer::lookup;
use dahliawood_store::acceptance::{self, ApplyOutcome};
use dahliawood_store::revision::tracker;
use dahliawood_store::{clock, head, protocol, status};
use http_types::StatusCode;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The longest time that a request waits for a file to be in force on all VMs.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The wait if the request does not give one.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// The maximum length of a write id, in characters.
const WRITE_ID_CHARS: usize = 64;

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteState {
    /// The write is accepted and will not be undone.
    Applied,
    /// The same file was in force already.
    NoChange,
    /// The write is not accepted, and cannot be accepted any more.
    NotApplied,
    /// It is unknown whether the write is or will be accepted.
    Unknown,
}

/// The response to `PUT /v1/config` and `GET /v1/writes/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// The outcome of the write.
    pub state: WriteState,
    /// The id of the write.
    pub write_id: String,
    /// The revision that the write led to, 0 for none.
    pub revision: u64,
    /// VMs that have the revision in force.
    pub in_force: Vec<String>,
    /// Live VMs that have not confirmed the revision.
    pub missing: Vec<String>,
    /// The reason why the write was not applied.
    pub detail: String,
}

/// Query parameters of `PUT /v1/config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyParams {
    write: String,
    expect: Option<u64>,
    wait: Option<u64>,
}

/// `PUT /v1/config?write=ID&expect=REVISION&wait=SECONDS`: applies a configuration file.
///
/// # Errors
/// Responds 400 to a malformed query and 422 to a file with mistakes; nothing changes then.
pub async fn run(mut request: tide::Request<OperatorState>) -> tide::Result {
    let params: ApplyParams = request.query()?;
    if !is_write_id(&params.write) {
        return Ok(error_response(
            400,
            "a write is named by 1 to 64 letters, digits and hyphens",
        ));
    }
    let text = request.body_string().await?;
    if let Err(report) = parse::file("file", &text) {
        return Ok(error_response(422, &report.to_string()));
    }
    let write_id = head::WriteId::from(params.write.clone());
    let wait = params
        .wait
        .map_or(DEFAULT_WAIT, Duration::from_secs)
        .min(MAX_WAIT);
    let state = request.state();
    let options = acceptance::ApplyOptions {
        file_text: text,
        expect: params.expect,
        write_id,
        accept: accept_options(state, wait),
    };
    let outcome = acceptance::apply(&state.store, &options).await;
    json(StatusCode::Ok, &reply(&params.write, outcome))
}

/// `GET /v1/writes/ID`: reports the outcome of a write.
///
/// # Errors
/// Responds 400 to a malformed write id.
pub async fn outcome(request: tide::Request<OperatorState>) -> tide::Result {
    let id = request.param("id")?.to_owned();
    if !is_write_id(&id) {
        return Ok(error_response(
            400,
            "a write is named by 1 to 64 letters, digits and hyphens",
        ));
    }
    let state = request.state();
    let options = accept_options(state, Duration::from_secs(1));
    let write_id = head::WriteId::from(id.clone());
    let outcome = acceptance::resolve(&state.store, &write_id, &options).await;
    json(StatusCode::Ok, &reply(&id, outcome))
}

/// Options for the acceptance of a write. Once the write is accepted, the tracker of this VM is
/// notified at once, so that other VMs can get the revision from this VM as well as from the store.
fn accept_options(state: &OperatorState, wait: Duration) -> acceptance::AcceptOptions {
    let tracker = state.tracker.clone();
    let shared = Arc::clone(&state.shared);
    let known = Arc::clone(&state.shared);
    acceptance::AcceptOptions {
        required: Arc::new(move |list| required_vms(&known, list)),
        on_accepted: Arc::new(move |stamp| {
            let revision = stamp.revision;
            shared
                .events
                .record(kind::EventKind::RevisionAccepted { revision });
            tracker.observe_accepted(stamp, tracker::RevisionSource::Apply);
        }),
        follow_within: wait,
        ..acceptance::AcceptOptions::new(clock::boot())
    }
}

/// The VMs that must confirm a write before it is accepted: this VM, the VMs on the live list, and
/// VMs that send heartbeats to this VM but are missing on the list, which lags behind.
fn required_vms(
    shared: &shared::SharedState,
    list: &protocol::LiveList,
) -> Vec<status::RequiredVm> {
    let mut required = status::all_live(list);
    let members = shared.members.load();
    let live = members
        .iter()
        .filter(|member| member.state == lookup::VmState::Live);
    let live_names = live.map(|member| member.name.clone());
    for name in live_names.chain([shared.settings.name.clone()]) {
        if required.iter().all(|vm| vm.name != name) {
            required.push(status::RequiredVm {
                name,
                incarnation: None,
            });
        }
    }
    required
}

/// Converts an outcome to the response.
fn reply(write_id: &str, outcome: ApplyOutcome) -> ApplyReply {
    let mut reply = ApplyReply {
        state: WriteState::Unknown,
        write_id: write_id.to_owned(),
        revision: 0,
        in_force: Vec::new(),
        missing: Vec::new(),
        detail: String::new(),
    };
    match outcome {
        ApplyOutcome::Applied { revision, report } => {
            reply.state = WriteState::Applied;
            (reply.revision, reply.in_force, reply.missing) =
                (revision, report.in_force, report.missing);
        }
        ApplyOutcome::NoChange { revision, report } => {
            reply.state = WriteState::NoChange;
            (reply.revision, reply.in_force, reply.missing) =
                (revision, report.in_force, report.missing);
        }
        ApplyOutcome::NotApplied { why } => {
            reply.state = WriteState::NotApplied;
            reply.detail = why.to_string();
        }
        ApplyOutcome::Unknown { .. } => {}
    }
    reply
}

/// Whether a text is a valid write id, which can be part of a URL path.
fn is_write_id(text: &str) -> bool {
    let fits = (1..=WRITE_ID_CHARS).contains(&text.len());
    fits && text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// Builds the response to an invalid request.
fn error_response(status: u16, detail: &str) -> tide::Response {
    tide::Response::builder(status).body(detail).build()
}
