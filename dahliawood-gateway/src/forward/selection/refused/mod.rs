//! Log event and metrics of refusals for load where requests differ in priority.

use crate::forward::ForwardRun;
use crate::structured_log::EventClass;
use dahliawood_steer::placement::choose::PlacementChoice;
use dahliawood_steer::placement::rank::RequestRank;
use serde::Serialize;
use std::time::Duration;

/// Log event for a request that is refused for load.
#[derive(Serialize)]
struct ShedEvent<'a> {
    id: Option<&'a str>,
    service: &'a str,
    /// Priorities of the customer and the route.
    rank: String,
    /// `share` if refused to shorten queues, `room` if no target had room in time.
    reason: &'a str,
    /// Refused share of the rank.
    share: f64,
    retry_after_ms: u128,
}

/// How a request with a rank is refused for load.
#[derive(Clone, Copy, Debug)]
pub(in crate::forward) struct ShedRecord {
    rank: RequestRank,
    /// Refused share of the rank.
    share: f64,
    reason: &'static str,
    retry_after: Duration,
}

impl ShedRecord {
    /// The record of a refusal, `None` if the refusal is not for load.
    pub(super) fn new(rank: RequestRank, share: f64, refused: &PlacementChoice) -> Option<Self> {
        let (reason, retry_after) = match refused {
            PlacementChoice::Shed { retry_after } => ("share", *retry_after),
            PlacementChoice::Busy { retry_after, .. } => ("room", *retry_after),
            PlacementChoice::Target(_) | PlacementChoice::None => return None,
        };
        Some(Self {
            rank,
            share,
            reason,
            retry_after,
        })
    }
}

impl ForwardRun<'_> {
    /// Records the refused share of a rank.
    pub(super) fn record_share(&self, rank: RequestRank, share: f64) {
        let service = &self.routed.service;
        let metrics = &self.state.metrics;
        metrics.set_shed_share(service, &rank.to_string(), share);
    }

    /// Logs and counts the refusal of a request for load; `None` if it is refused for another reason.
    pub(in crate::forward) fn record_shed(&self, shed: Option<ShedRecord>) {
        let Some(shed) = shed else {
            return;
        };
        let service = &self.routed.service;
        let rank = shed.rank.to_string();
        self.state.metrics.record_shed(service, &rank, shed.reason);
        let event = || ShedEvent {
            id: self.metadata.attempt_id.as_deref(),
            service,
            rank,
            reason: shed.reason,
            share: shed.share,
            retry_after_ms: shed.retry_after.as_millis(),
        };
        self.state.log.write(EventClass::Notable, "shed", event);
    }
}
