//! Answers readiness checks, look-ups of VMs, and reads of the metrics.

use crate::codec::{LocalCall, LookupQuery};
use crate::control::vms;
use crate::front::connection::CallerRequest;
use crate::front::refusal::FrontResponse;
use crate::state::GatewayState;
use dahliawood_wire::raw::fields::FieldList;
use std::time::Duration;

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// The longest lifetime of a look-up answer: a VM that shuts down accepts no connections after a
/// few seconds, so callers must not use older answers.
const MAX_LIFETIME: Duration = Duration::from_secs(3);

/// Answers a readiness check or a look-up.
pub fn respond(state: &GatewayState, request: &CallerRequest) -> FrontResponse {
    match (state.codec.read_call)(&request.head) {
        LocalCall::Ready if state.is_ready() => text_response(200, "ready"),
        LocalCall::Ready => text_response(503, "not ready"),
        LocalCall::Lookup(query) => lookup(state, &query),
        LocalCall::Unknown => text_response(404, "no such call"),
    }
}

/// Answers a read of the metrics.
pub fn metrics(state: &GatewayState, request: &CallerRequest) -> FrontResponse {
    match request.head.path() {
        METRICS_PATH => text_response(200, &state.metrics.text()),
        _ => text_response(404, "no such path"),
    }
}

/// Answers a look-up with the addresses of the VMs that the caller should use.
fn lookup(state: &GatewayState, query: &LookupQuery) -> FrontResponse {
    let vms = state.vms.load();
    let (own, is_leaving) = (&state.settings.name, state.is_leaving());
    let live = vms.iter().filter(|vm| !is_leaving || vm.name != *own);
    let live: Vec<_> = live.collect();
    let addresses = vms::nearest_addresses(&live, &query.domain, &query.region);
    let outcome = if addresses.is_empty() {
        "empty"
    } else {
        "answered"
    };
    state.metrics.lookups.with_label_values(&[outcome]).inc();
    if addresses.is_empty() {
        return text_response(503, "no VM is known");
    }
    let lifetime = state.settings.bounds.lookup_lifetime.min(MAX_LIFETIME);
    let mut fields = FieldList::default();
    fields.push("Content-Type", "application/json");
    FrontResponse {
        status: 200,
        fields,
        body: (state.codec.write_lookup)(&addresses, lifetime).into(),
    }
}

fn text_response(status: u16, text: &str) -> FrontResponse {
    let mut fields = FieldList::default();
    fields.push("Content-Type", "text/plain");
    FrontResponse {
        status,
        fields,
        body: text.as_bytes().to_vec().into(),
    }
}
