//! Answers to operators, as they stand in JSON; the command line reads the same types.

use crate::control::members;
use crate::{clock, shared};
use dahliawood_peer::message;
use dahliawood_steer::lookup;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// The answer to `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReply {
    /// The VM that answers.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it is doing: starting, serving or leaving.
    pub phase: String,
    /// The revision in force on it, 0 for none.
    pub revision: u64,
    /// Content hash of that revision.
    pub hash: String,
    /// Requests in flight.
    pub in_flight: usize,
    /// The VMs as it knows them.
    pub vms: Vec<VmReply>,
    /// Its counters.
    pub counters: Vec<CounterReply>,
}

/// One VM in a status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmReply {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Where callers reach it.
    pub http: String,
    /// Live, suspect or leaving.
    pub state: String,
    /// The revision that it last said is in force.
    pub revision: u64,
    /// Milliseconds since it was last heard.
    pub heard_ms: Option<u64>,
}

/// One counter in a status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CounterReply {
    /// Name of the metric.
    pub name: String,
    /// Value since the process started.
    pub value: u64,
}

/// The answer to `GET /v1/events`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventsReply {
    /// Events, oldest first.
    pub events: Vec<serde_json::Value>,
    /// The position to ask after next.
    pub next: u64,
    /// Events that the ring no longer holds.
    pub lost: u64,
}

/// The status of a VM.
pub fn status(shared: &shared::SharedState, members: &[members::VmMember]) -> StatusReply {
    let snapshot = shared.snapshot.load();
    let state = snapshot.as_ref().map(|snapshot| &snapshot.state);
    let counters = shared
        .counters
        .readings()
        .into_iter()
        .map(|reading| CounterReply {
            name: reading.name.to_owned(),
            value: reading.value,
        });
    StatusReply {
        name: shared.settings.name.clone(),
        domain: shared.settings.domain.clone(),
        incarnation: shared.incarnation,
        phase: shared.phase().to_string(),
        revision: state.map_or(0, |state| state.revision),
        hash: state.map(|state| state.hash.clone()).unwrap_or_default(),
        in_flight: shared.in_flight.load(Ordering::Acquire),
        vms: members.iter().map(vm).collect(),
        counters: counters.collect(),
    }
}

/// A VM in a status.
fn vm(member: &members::VmMember) -> VmReply {
    let state = match member.state {
        lookup::VmState::Live => "live",
        lookup::VmState::Suspect => "suspect",
        lookup::VmState::Leaving => "leaving",
    };
    let heard = member
        .heard
        .map(|heard| clock::now().since(heard).as_millis());
    VmReply {
        name: member.name.clone(),
        domain: member.domain.clone(),
        http: member.http.to_string(),
        state: state.to_owned(),
        revision: member.revision,
        heard_ms: heard.and_then(|millis| u64::try_from(millis).ok()),
    }
}

/// A page of events; one that does not parse is left as text.
pub fn events(page: &message::EventPage) -> EventsReply {
    let event = |text: &String| {
        serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.clone()))
    };
    EventsReply {
        events: page.events.iter().map(event).collect(),
        next: page.next,
        lost: page.lost,
    }
}
