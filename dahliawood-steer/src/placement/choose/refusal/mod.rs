//! Refusals, and when the caller is told to come back.

use crate::placement::choose::candidate::Candidate;
use crate::placement::choose::{self, PlacementChoice, PlacementQuery, VmLocation};
use crate::placement::record::TargetRecord;
use crate::placement::table::PlacementTable;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Minimum retry delay told to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry delay told to a caller that is refused to shorten queues.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry delay told to a caller because targets are at the limits that they state.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The refusal of a request that shortens the queues of its service's targets, `None` if it is admitted.
pub(super) fn shed(
    table: &mut PlacementTable,
    service: &str,
    now: TimeStamp,
) -> Option<PlacementChoice> {
    let pool = table.services.get_mut(service)?;
    pool.shed_share.advance(now);
    let is_refused = pool.shed_share.take_refusal();
    is_refused.then_some(PlacementChoice::Busy {
        retry_after: SHED_RETRY_AFTER,
        room_in: None,
    })
}

/// The refusal where no candidate starts the request in time.
pub(super) fn refuse<'a>(
    all: impl Iterator<Item = &'a Candidate>,
    max_wait: Duration,
    room_in: Option<Duration>,
) -> PlacementChoice {
    match all.map(|candidate| candidate.wait).min() {
        None => PlacementChoice::None,
        Some(wait) => PlacementChoice::Busy {
            retry_after: wait.saturating_sub(max_wait).max(MIN_RETRY_AFTER),
            room_in,
        },
    }
}

/// The refusal where no target is usable: until the first target that asked for a pause, or states a
/// limit, may get a request again. A target at its limit may take the request from another VM.
pub(super) fn refuse_until_open(
    table: &PlacementTable,
    location: &VmLocation,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) -> PlacementChoice {
    let targets = table.targets(query.service);
    let open =
        targets.filter(|target| table.is_open(target) && choose::allows(query, &target.region));
    let held_for = |target: &TargetRecord| {
        let asked_until = target.breaker.asked_until();
        let at_limit = target.open_at(location, now).since(now);
        asked_until.since(now).max(at_limit.min(LIMIT_RETRY_AFTER))
    };
    let waits = open.map(held_for).filter(|wait| !wait.is_zero());
    waits.min().map_or(PlacementChoice::None, |wait| {
        let retry_after = wait.max(MIN_RETRY_AFTER);
        let room_in = Some(wait);
        PlacementChoice::Busy {
            retry_after,
            room_in,
        }
    })
}
