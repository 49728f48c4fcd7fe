//! JSON responses of the operator API; the command-line tool parses the same types.

use crate::control::members;
use crate::{clock, shared};
use dahliawood_peer::message;
use dahliawood_steer::lookup;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// The response to `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReply {
    /// The name of the VM that responds.
    pub name: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The VM's incarnation.
    pub incarnation: u64,
    /// The VM's phase: starting, serving, isolated or leaving.
    pub phase: String,
    /// The revision in force on the VM, 0 for none.
    pub revision: u64,
    /// Content hash of that revision.
    pub hash: String,
    /// Number of requests in flight.
    pub in_flight: usize,
    /// The VMs of the fleet, as known to the VM.
    pub vms: Vec<VmReply>,
    /// The VM's counters.
    pub counters: Vec<CounterReply>,
}

/// One VM in a status response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmReply {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub http: String,
    /// Live, suspect or leaving.
    pub state: String,
    /// The revision in force according to the VM's last heartbeat.
    pub revision: u64,
    /// Milliseconds since the VM's last heartbeat, `None` if there was none.
    pub heard_ms: Option<u64>,
}

/// One counter in a status response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CounterReply {
    /// Name of the metric.
    pub name: String,
    /// Value since the process started.
    pub value: u64,
}

/// The response to `GET /v1/events`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventsReply {
    /// Events, the oldest first.
    pub events: Vec<serde_json::Value>,
    /// The `after` position for the next page.
    pub next: u64,
    /// Number of events that the ring buffer no longer holds.
    pub lost: u64,
}

/// Builds the status response of a VM.
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

/// Converts a member to its form in a status response.
fn vm(member: &members::VmMember) -> VmReply {
    let state = match member.state {
        lookup::VmState::Live => "live",
        lookup::VmState::Suspect => "suspect",
        lookup::VmState::Leaving => "leaving",
    };
    let elapsed = member
        .last_heartbeat
        .map(|last_heartbeat| clock::now().since(last_heartbeat).as_millis());
    VmReply {
        name: member.name.clone(),
        domain: member.domain.clone(),
        http: member.http.to_string(),
        state: state.to_owned(),
        revision: member.revision,
        heard_ms: elapsed.and_then(|millis| u64::try_from(millis).ok()),
    }
}

/// Converts a page of events; an event that is not valid JSON is returned as a string.
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
