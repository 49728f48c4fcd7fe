//! The usable targets for one request, with the times that are expected at each.

use crate::placement::choose::{PlacementQuery, VmLocation};
use crate::placement::record::TargetRecord;
use crate::placement::table::PlacementTable;
use crate::placement::warmup;
use crate::placement::work::VisitKind;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Number of targets in a region, by preference, that an object may use when the first is busy.
const SPREAD_TARGETS: usize = 3;
/// A wait of at most the longest useful one divided by this is safe: queues are estimated by reports
/// that are older than a typical wait.
const SAFE_WAIT_DIVISOR: u32 = 2;
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
    /// Time from the start of the request in which it must be able to end; zero if nothing is known.
    pub(super) needed: Duration,
    /// The kind of visits from which that is known.
    pub(super) basis: Option<VisitKind>,
    /// Factor of work by the target's stated pace.
    pub(super) pace: f64,
    /// What the target is known to have cached of the request's object, `None` where only averages are
    /// used.
    visit: Option<VisitKind>,
    /// Whether it is warming up, and the request goes to it only if no other of its region has room.
    pub(super) is_held: bool,
}

/// What a request costs the others of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum VisitCost {
    /// The object is cached, and the request is in time even if the queue is longer than expected.
    Low,
    /// The object is cached and the request may be late, or it is a first visit to a free slot.
    Medium,
    /// A first visit that queues.
    High,
}

impl Candidate {
    /// A target for which only the averages of its service are used.
    fn by_average(key: TargetKey, wait: Duration, service_time: Duration) -> Self {
        Self {
            key,
            wait,
            total: wait + service_time,
            needed: service_time,
            basis: None,
            pace: 1.0,
            visit: None,
            is_held: false,
        }
    }

    /// What a request costs others at this target. A first visit takes as much slot time as several
    /// cached requests, which those that queue there would miss.
    fn cost(&self, query: &PlacementQuery<'_>) -> VisitCost {
        let Some(visit) = self.visit else {
            return VisitCost::Low;
        };
        let is_first = visit == VisitKind::First;
        let is_safe = self.wait <= query.max_wait / SAFE_WAIT_DIVISOR;
        match (is_first, self.wait.is_zero()) {
            (false, _) if is_safe => VisitCost::Low,
            (true, false) => VisitCost::High,
            (false, _) | (true, true) => VisitCost::Medium,
        }
    }

    /// Whether it starts the request within `max_wait`.
    fn starts_in_time(&self, query: &PlacementQuery<'_>) -> bool {
        self.wait <= query.max_wait && self.wait <= query.time_left
    }

    /// Whether it ends the request in the time that is left.
    fn ends_in_time(&self, query: &PlacementQuery<'_>) -> bool {
        self.wait + self.needed <= query.time_left
    }
}

/// The candidate that is expected to serve the request first, among those that start it within
/// `max_wait` and serve it in the time that is left. A target that has the object cached goes first
/// while the request is safely in time there.
pub(super) fn best_in_time(list: &[Candidate], query: &PlacementQuery<'_>) -> Option<TargetKey> {
    let in_time = |candidate: &Candidate| candidate.ends_in_time(query);
    let best = best(list, query, in_time, |candidate| {
        (candidate.cost(query), candidate.total)
    });
    best.map(|candidate| candidate.key)
}

/// The candidate that is expected to serve the request first, among those that start it within
/// `max_wait`, whether or not it ends in the time that is left.
pub(super) fn best_starting<'a>(
    list: &'a [Candidate],
    query: &PlacementQuery<'_>,
) -> Option<&'a Candidate> {
    best(list, query, |_| true, |candidate| candidate.total)
}

/// The candidate with the least key of those that may take the request. One that is held back takes it only if no
/// other of its region has a free slot.
fn best<'a, K: Ord>(
    list: &'a [Candidate],
    query: &PlacementQuery<'_>,
    fits: impl Fn(&Candidate) -> bool,
    order_key: impl Fn(&Candidate) -> K,
) -> Option<&'a Candidate> {
    let fitting = |is_any| starting(list, query, is_any).filter(|candidate| fits(candidate));
    let best = fitting(true).min_by_key(|candidate| order_key(candidate));
    let other = || {
        let free = fitting(false).filter(|candidate| candidate.wait.is_zero());
        free.min_by_key(|candidate| order_key(candidate))
    };
    let unheld = best.filter(|best| !best.is_held);
    unheld.or_else(other).or(best)
}

/// The candidates that an object may use and that start the request in time; those that are held back
/// only if `is_any`.
fn starting<'a>(
    list: &'a [Candidate],
    query: &PlacementQuery<'_>,
    is_any: bool,
) -> impl Iterator<Item = &'a Candidate> {
    let same = list.iter();
    let same = same.filter(move |candidate| is_any || !candidate.is_held);
    let spread = same.take(SPREAD_TARGETS);
    spread.filter(|candidate| candidate.starts_in_time(query))
}

/// Time until one of the candidates that may be chosen has room for the request and can still serve it in
/// the time that is left then.
pub(super) fn room_in(list: &[Candidate], query: &PlacementQuery<'_>) -> Option<Duration> {
    let spread = list.iter().take(SPREAD_TARGETS);
    let in_time = spread.filter(|candidate| candidate.ends_in_time(query));
    let waits = in_time.map(|candidate| candidate.wait.saturating_sub(query.max_wait));
    waits.min()
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
    let uses_estimates = location.has_many_vms || query.rank.is_some();
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
        let is_cached = query
            .object
            .is_none_or(|object| pool.cached_objects.contains(object, *key));
        if !uses_estimates {
            let times = pool.service_times;
            let service_time = match rank == 0 || (query.object.is_some() && is_cached) {
                true => times.cached(average),
                false => times.uncached(average),
            };
            let wait = table.expected_wait(target, now);
            usable.push(Candidate::by_average(*key, wait, service_time));
            continue;
        }
        let visit = VisitKind::new(is_cached, rank == 0);
        let pace = target.load.pace(now);
        let round_trip = table.round_trip(target);
        let wait = table.expected_wait(target, now);
        let work = pool.expected_work(query.route, visit, now).mul_f64(pace);
        // A free slot takes nothing from other requests, so that an even chance to end in time is
        // enough; the slot that a queued request takes could serve another one in time.
        let basis = pool.work.basis(query.route, visit, now);
        let needed = basis.map(|(_, estimate)| match wait.is_zero() {
            true => estimate.median,
            false => estimate.high,
        });
        usable.push(Candidate {
            key: *key,
            wait,
            total: wait + round_trip + work,
            needed: needed.map_or(Duration::ZERO, |needed| needed.mul_f64(pace) + round_trip),
            basis: basis.map(|(kind, _)| kind),
            pace,
            visit: Some(visit),
            is_held: false,
        });
    }
    if uses_estimates {
        hold_warming(table, query, &mut usable, now);
    }
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
                && !warmup::is_admitted(query.object, target.hash, share.max(least))
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
