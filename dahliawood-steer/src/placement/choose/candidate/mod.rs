//! The usable targets for one request, with the times that are expected at each.

use crate::placement::choose::{PlacementQuery, VmLocation};
use crate::placement::record::TargetRecord;
use crate::placement::table::PlacementTable;
use crate::placement::warmup;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Number of targets in a region, by preference, that an object may use when the first is busy.
const SPREAD_TARGETS: usize = 3;
/// A target this many times slower than its service's average is skipped.
const SLOW_FACTOR: f64 = 3.0;
/// Share of a cold target's limit that is used; the rest is a margin, as lists of VMs differ for a
/// moment whenever one changes.
const COLD_LIMIT_SHARE: f64 = 0.8;

/// A usable target with its expected times; lists hold candidates by preference.
pub(super) struct Candidate {
    pub(super) key: TargetKey,
    /// Time until a slot is free.
    pub(super) wait: Duration,
    /// Time until the request is served.
    pub(super) total: Duration,
    /// Whether it is warming up, and the request goes to it only if no other of its region has room.
    pub(super) is_held: bool,
}

/// The candidate that is expected to serve the request first, among those that start it within
/// `max_wait` and serve it in the time that is left. A target that has the object cached may be
/// first despite a longer wait.
pub(super) fn best_in_time(list: &[Candidate], query: &PlacementQuery<'_>) -> Option<TargetKey> {
    let is_in_time = |candidate: &&Candidate| {
        candidate.wait <= query.max_wait && candidate.total <= query.time_left
    };
    let best = |is_any: bool| {
        let same = list.iter().filter(|candidate| is_any || !candidate.is_held);
        let in_time = same.take(SPREAD_TARGETS).filter(is_in_time);
        in_time.min_by_key(|candidate| candidate.total)
    };
    let other = best(false).filter(|other| other.wait.is_zero());
    let best = other.or_else(|| best(true));
    best.map(|candidate| candidate.key)
}

/// Usable targets of one region among `targets`, in their order; without those that are much slower
/// than their service's average if `skips_slow`.
pub(super) fn candidates(
    table: &PlacementTable,
    location: &VmLocation,
    query: &PlacementQuery<'_>,
    targets: &[TargetKey],
    skips_slow: bool,
    now: TimeStamp,
) -> Vec<Candidate> {
    let Some(pool) = table.services.get(query.service) else {
        return Vec::new();
    };
    let average = pool.average_service_time;
    let times = pool.service_times;
    let mut usable = Vec::new();
    for (rank, key) in targets.iter().enumerate() {
        let Some(target) = table.get(*key) else {
            continue;
        };
        let is_slow = target.load.service_time(average, now) > average.mul_f64(SLOW_FACTOR);
        let is_passed_over = query.tried.contains(key) || (skips_slow && is_slow);
        let is_usable = !is_passed_over
            && target.breaker.is_usable(target.load.in_flight, now)
            && has_cold_capacity(target, location, query, now)
            && now >= target.open_at(location, now);
        if !is_usable {
            continue;
        }
        let is_cached = rank == 0
            || query
                .object
                .is_some_and(|object| pool.cached_objects.contains(object, *key));
        let service_time = match is_cached {
            true => times.cached(average),
            false => times.uncached(average),
        };
        let wait = table.expected_wait(target, now);
        usable.push(Candidate {
            key: *key,
            wait,
            total: wait + service_time,
            is_held: false,
        });
    }
    hold_warming(table, query, &mut usable, now);
    usable
}

/// Marks the targets that are warming up and whose share does not cover the request.
fn hold_warming(
    table: &PlacementTable,
    query: &PlacementQuery<'_>,
    usable: &mut [Candidate],
    now: TimeStamp,
) {
    let pool = table.services.get(query.service);
    let share = |key| {
        let target = table.get(key)?;
        let is_reported = pool?.is_load_reported(&target.region, now);
        target.warmup.share().filter(|_| is_reported)
    };
    let warming = usable
        .iter()
        .filter(|candidate| share(candidate.key).is_some());
    let warming = warming.count();
    if warming == 0 {
        return;
    }
    let of_usable = usable.len();
    for candidate in usable {
        let Some(target) = table.get(candidate.key) else {
            continue;
        };
        let peers = pool.and_then(|pool| pool.peer_loads.get(&target.region));
        let least = peers.map_or(1.0, |peers| warmup::least_share(warming, of_usable, peers));
        candidate.is_held = share(candidate.key).is_some_and(|share| {
            !target.warmup.is_trial_due()
                && !warmup::is_let_in(query.object, target.hash, share.max(least))
        });
    }
}

/// Whether a target is warm, or is cold and its limit has room for one more request of this VM.
/// Only VMs of the target's own region use it while cold.
fn has_cold_capacity(
    target: &TargetRecord,
    location: &VmLocation,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) -> bool {
    if !target.is_cold(query.cold.lasts, now) {
        return true;
    }
    let limit = (query.cold.per_second * COLD_LIMIT_SHARE) as usize;
    target.region == location.region && {
        let part = location.sharers.part(limit, target.hash, now);
        target.cold_window.has_room(part, now)
    }
}
