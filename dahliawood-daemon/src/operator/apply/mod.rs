//! Applying a file, and asking what became of a write.

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

/// The longest that an answer waits until a file is in force everywhere.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How long it waits where the request does not say.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// The longest name of a write.
const WRITE_ID_CHARS: usize = 64;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteState {
    /// It is accepted and never reverts.
    Applied,
    /// The same file was in force already.
    NoChange,
    /// It is not accepted and never will be by this write.
    NotApplied,
    /// It may or may not be accepted.
    Unknown,
}

/// The answer to `PUT /v1/config` and `GET /v1/writes/ID`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyReply {
    /// What became of it.
    pub state: WriteState,
    /// The write.
    pub write_id: String,
    /// The revision in force by it, 0 for none.
    pub revision: u64,
    /// VMs that have it in force.
    pub in_force: Vec<String>,
    /// Live VMs that have not confirmed it.
    pub missing: Vec<String>,
    /// Why it was not applied.
    pub detail: String,
}

/// The query of `PUT /v1/config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyParams {
    write: String,
    expect: Option<u64>,
    wait: Option<u64>,
}

/// `PUT /v1/config?write=ID&expect=REVISION&wait=SECONDS`
///
/// # Errors
/// Answers 400 to a malformed query and 422 to a file with mistakes; nothing is changed then.
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

/// `GET /v1/writes/ID`
///
/// # Errors
/// Answers 400 to a malformed name.
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

/// How a write is gone about; what is accepted is taken in here at once, so that it spreads to the
/// others by this VM too.
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

/// The VMs without which nothing is accepted: this one, those on the live list, and those that this
/// one hears although the lagging list does not have them yet.
fn required_vms(
    shared: &shared::SharedState,
    list: &protocol::LiveList,
) -> Vec<status::RequiredVm> {
    let mut required = status::all_live(list);
    let members = shared.members.load();
    let heard = members
        .iter()
        .filter(|member| member.state == lookup::VmState::Live);
    let heard = heard.map(|member| member.name.clone());
    for name in heard.chain([shared.settings.name.clone()]) {
        if required.iter().all(|vm| vm.name != name) {
            required.push(status::RequiredVm {
                name,
                incarnation: None,
            });
        }
    }
    required
}

/// An outcome as it is told.
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

/// Whether a name of a write can stand in a path.
fn is_write_id(text: &str) -> bool {
    let fits = (1..=WRITE_ID_CHARS).contains(&text.len());
    fits && text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// A refusal of the request itself.
fn error_response(status: u16, detail: &str) -> tide::Response {
    tide::Response::builder(status).body(detail).build()
}
