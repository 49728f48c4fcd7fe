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

impl ForwardRun<'_> {
    /// Records the refused share of a rank, and how a request of the rank is refused, if it is.
    pub(super) fn record_share(
        &self,
        rank: RequestRank,
        share: f64,
        refused: Option<&PlacementChoice>,
    ) {
        let service = &self.routed.service;
        let label = rank.to_string();
        let metrics = &self.state.metrics;
        metrics.set_shed_share(service, &label, share);
        let (reason, retry_after) = match refused {
            Some(PlacementChoice::Shed { retry_after }) => ("share", *retry_after),
            Some(PlacementChoice::Busy { retry_after }) => ("room", *retry_after),
            _ => return,
        };
        metrics.record_shed(service, &label, reason);
        self.log_shed(label, reason, share, retry_after);
    }

    fn log_shed(&self, rank: String, reason: &str, share: f64, retry_after: Duration) {
        let event = || ShedEvent {
            id: self.metadata.attempt_id.as_deref(),
            service: &self.routed.service,
            rank,
            reason,
            share,
            retry_after_ms: retry_after.as_millis(),
        };
        self.state.log.write(EventClass::Notable, "shed", event);
    }
}
