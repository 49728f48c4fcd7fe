//! Refusals, and when the caller is told to come back.

use crate::placement::choose::candidate::Candidate;
use crate::placement::choose::{self, PlacementChoice, PlacementQuery, QueueTurn, VmLocation};
use crate::placement::rank::RequestRank;
use crate::placement::record::TargetRecord;
use crate::placement::shedding::by_rank::{self, RankShares};
use crate::placement::table::PlacementTable;
use crate::placement::work;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Minimum retry delay told to a refused caller that has the time for it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry delay told to a caller that is refused to shorten queues.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay told to a caller whose request takes longer than the time that it leaves: the estimate
/// changes no sooner.
const WORK_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delays are longer by up to this fraction, at random.
const RETRY_SPREAD: f64 = 0.5;
/// Callers return within this fraction (a third) of the time that they have left.
const USEFUL_FRACTION: u32 = 3;
/// Longest retry delay told to a caller because targets are at the limits that they state.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The refusal of a request that shortens the queues of its service's targets, `None` if it is admitted.
pub(super) fn shed(
    table: &mut PlacementTable,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) -> Option<PlacementChoice> {
    let Some(rank) = query.rank else {
        return shed_evenly(table, query.service, now);
    };
    let work = table.expected_cached_work(query.service, query.route, now);
    let pool = table.services.get_mut(query.service)?;
    if let Some(gap) = pool.rank_shares.idle_gap(now) {
        let kept = pool.shed_share.resume(gap, now);
        pool.rank_shares.resume(kept);
    }
    pool.shed_share.advance_within(by_rank::IDLE_TIME, now);
    pool.rank_shares.record_arrival(rank, work, now);
    pool.rank_shares.advance(pool.shed_share.share(), now);
    let is_refused = pool.rank_shares.take_refusal(rank);
    is_refused.then(|| PlacementChoice::Shed {
        retry_after: ranked_delay(&pool.rank_shares, rank, MIN_RETRY_AFTER, query.time_left),
    })
}

fn shed_evenly(
    table: &mut PlacementTable,
    service: &str,
    now: TimeStamp,
) -> Option<PlacementChoice> {
    let pool = table.services.get_mut(service)?;
    pool.shed_share.advance(now);
    let is_refused = pool.shed_share.take_refusal();
    is_refused.then_some(PlacementChoice::Shed {
        retry_after: SHED_RETRY_AFTER,
    })
}

/// The refusal where no candidate starts the request in time, or none can end it in time: until the
/// first candidate's wait is short enough, or its pace is outdated.
pub(super) fn refuse<'a>(
    table: &mut PlacementTable,
    query: &PlacementQuery<'_>,
    all: impl Iterator<Item = &'a Candidate>,
    room_in: Option<Duration>,
) -> PlacementChoice {
    let usable_in = |candidate: &Candidate| {
        let start_in = candidate.wait.saturating_sub(query.max_wait);
        let spare = query.time_left.saturating_sub(candidate.needed);
        match candidate.needed <= query.time_left {
            true => start_in.max(candidate.wait.saturating_sub(spare)),
            false if candidate.pace > 1.0 => start_in.max(work::PACE_VALIDITY),
            false => start_in.max(WORK_RETRY_AFTER),
        }
    };
    let Some(usable_in) = all.map(usable_in).min() else {
        return PlacementChoice::None;
    };
    record_room(table, query, false);
    let room = usable_in.max(MIN_RETRY_AFTER);
    let pool = table.services.get(query.service);
    let retry_after = match (query.rank, pool) {
        (Some(rank), Some(pool)) => ranked_delay(&pool.rank_shares, rank, room, query.time_left),
        _ => room,
    };
    PlacementChoice::Busy {
        retry_after,
        room_in,
    }
}

/// Records whether an arriving request found a target with room, where requests differ in priority.
pub(super) fn record_room(table: &mut PlacementTable, query: &PlacementQuery<'_>, has_room: bool) {
    let pool = table.services.get_mut(query.service);
    let is_arriving = query.tried.is_empty() && query.turn != QueueTurn::Waited;
    if let (Some(rank), Some(pool), true) = (query.rank, pool, is_arriving) {
        pool.rank_shares.record_room(rank, has_room);
    }
}

/// When a refused request of a rank is expected to be admitted: once its rank is and there is room,
/// after requests that are more urgent. It is spread, so that refused callers do not return together.
fn ranked_delay(
    shares: &RankShares,
    rank: RequestRank,
    room: Duration,
    time_left: Duration,
) -> Duration {
    let admitted = shares.time_until_admitted(rank).max(room);
    let spread = 1.0 + RETRY_SPREAD * rand::random::<f64>();
    let delay = admitted.mul_f64((1.0 + shares.urgent_part(rank)) * spread);
    delay.min(time_left / USEFUL_FRACTION)
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
