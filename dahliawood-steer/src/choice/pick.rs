//! Implementation of the choice of a target.

use super::{Choice, ChoiceQuery, NoTargetCause, SpilloverHeadroom, slot_rate};
use crate::{drain, health, target};
use dahliawood_model::keys::{ArenaKey, RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use rand::Rng;
use std::time::Duration;

/// A region that a request may spill over to.
struct SpilloverRegion {
    region: RegionKey,
    weight: f64,
}

/// Targets that a request may use, as indices into the table's states.
struct CandidateList {
    /// Targets that serve, are not ejected and were not tried yet.
    usable: Vec<u32>,
    /// Usable targets that a drain moves this request away from.
    avoided: Vec<u32>,
    /// Ejected targets that are due for a probe.
    probes: Vec<u32>,
}

pub(super) fn choose(
    table: &mut target::TargetTable,
    query: &ChoiceQuery<'_>,
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Choice {
    let candidates = candidates(table, query, now);
    if let Some(probe) = due_probe(table, query, &candidates) {
        return chosen(table, probe);
    }
    if candidates.usable.is_empty() {
        return refuse_without_candidate(table, query, now);
    }
    let is_preferred = |index: &u32| !candidates.avoided.contains(index);
    let preferred: Vec<u32> = candidates
        .usable
        .iter()
        .copied()
        .filter(is_preferred)
        .collect();
    if let Some(index) = best_at_home(table, &preferred, now, rng) {
        return chosen(table, index);
    }
    let regions = spillover_regions(table, query, &preferred, now);
    if let Some(index) = spillover_target(table, &preferred, &regions, now, rng) {
        return chosen(table, index);
    }
    if let Some(index) = best_at_home(table, &candidates.avoided, now, rng) {
        record_not_moved(table, index);
        return chosen(table, index);
    }
    wait_or_refuse(table, query, &candidates.usable, now)
}

fn chosen(table: &target::TargetTable, index: u32) -> Choice {
    let state = &table.states[index as usize];
    Choice::Target(state.key, state.region)
}

/// Collects the candidates for a request, and counts the request in each drain in progress.
fn candidates(
    table: &mut target::TargetTable,
    query: &ChoiceQuery<'_>,
    now: TimeStamp,
) -> CandidateList {
    let mut list = CandidateList {
        usable: Vec::new(),
        avoided: Vec::new(),
        probes: Vec::new(),
    };
    let all_ejected = table
        .service(query.service)
        .filter(|state| state.serving)
        .all(|state| state.health.ejection.is_some());
    for index in table.indices(query.service) {
        let state = &table.states[*index as usize];
        if !state.serving || query.exclude.contains(&state.key) {
            continue;
        }
        match state.health.ejection {
            None => list.usable.push(*index),
            Some(ejection) if probe_due(&ejection, query.idempotent || all_ejected, now) => {
                list.probes.push(*index);
            }
            Some(_) => {}
        }
    }
    list.avoided = avoided(table, &list.usable);
    list
}

/// Whether an ejected target may be probed. A request that may safely run twice can probe it once
/// its ejection time is over; any other after twice that time, as a service may get only such
/// requests.
fn probe_due(ejection: &health::EjectionState, idempotent: bool, now: TimeStamp) -> bool {
    let is_repeatable = idempotent || ejection.cause == health::EjectCause::Connect;
    let due = if is_repeatable {
        ejection.until
    } else {
        ejection.until.after(ejection.span)
    };
    now >= due
}

/// A target to probe: in the home region, or elsewhere if the home region has no usable target.
fn due_probe(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    list: &CandidateList,
) -> Option<u32> {
    let home = table.home;
    let free = list.probes.iter().copied().filter(|index| {
        let state = &table.states[*index as usize];
        state.in_flight == 0 && state.limit > 0
    });
    let region = |index: &u32| table.states[*index as usize].region;
    let has_home = list.usable.iter().any(|index| region(index) == home);
    free.min_by_key(|index| (region(index) != home, *index))
        .filter(|index| {
            let region = region(index);
            region == home || (!has_home && (query.headroom)(region).least() > 0.0)
        })
}

/// The usable targets that drains in progress move this request away from.
fn avoided(table: &mut target::TargetTable, usable: &[u32]) -> Vec<u32> {
    let mut avoided = Vec::new();
    let home = table.home;
    for plan in table.plans.iter_mut().filter(|plan| !plan.is_leaving()) {
        let states = &table.states;
        let covered = usable
            .iter()
            .copied()
            .filter(|index| target::covers(plan.subject, &states[*index as usize]));
        let mut covered: Vec<u32> = covered.collect();
        let near = covered
            .iter()
            .any(|index| states[*index as usize].region == home);
        let stays_home = near && plan.split.keep_next();
        if near && !stays_home {
            plan.to_move += 1;
        }
        if stays_home {
            covered.retain(|index| states[*index as usize].region != home);
        }
        avoided.append(&mut covered);
    }
    avoided
}

/// The best target of the home region that has a free slot.
fn best_at_home(
    table: &mut target::TargetTable,
    indices: &[u32],
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Option<u32> {
    let home = table.home;
    best(table, indices, home, now, rng)
}

/// The best target of a region that has a free slot: a cold one whose slow start offers it this
/// request, else the warm one with the lowest score, else any cold one.
fn best(
    table: &mut target::TargetTable,
    indices: &[u32],
    region: RegionKey,
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Option<u32> {
    let mut warm: Option<(u32, f64)> = None;
    let mut cold = None;
    for index in indices {
        let state = &mut table.states[*index as usize];
        if state.region != region || !state.has_room(now) {
            continue;
        }
        if let Some(ramp) = &mut state.ramp {
            if ramp.offer_next() {
                return Some(*index);
            }
            cold = Some(*index);
            continue;
        }
        let score = score(state, now) * rng.random_range(1.0..1.05);
        if warm.is_none_or(|(_, lowest)| score < lowest) {
            warm = Some((*index, score));
        }
    }
    warm.map(|(index, _)| index).or(cold)
}

/// Cost of one more request at a target, lower is better: its latency times the used share of this
/// VM's slots there. Reports of being loaded or leaving raise the cost.
fn score(state: &target::TargetState, now: TimeStamp) -> f64 {
    let latency_us = if state.health.answers == 0 {
        super::ASSUMED_SERVICE.as_micros() as f64
    } else {
        state.health.latency_us.max(1.0)
    };
    let used = f64::from(state.in_flight + 1) / f64::from(state.limit.max(1));
    let hint = state.health.fresh_report(now).map_or(1.0, |report| {
        let leaving = if report.leaving { 4.0 } else { 1.0 };
        leaving * (1.0 + report.load.clamp(0.0, 1.0))
    });
    latency_us * used * hint
}

/// Regions that the request may spill over to, with their weight in the random draw; empty if the
/// expected wait at home is shorter than the round trip.
fn spillover_regions(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    preferred: &[u32],
    now: TimeStamp,
) -> Vec<SpilloverRegion> {
    let wait = home_wait(table, query, preferred);
    let regions = (0..table.region_count()).map(RegionKey::from_index);
    regions
        .filter(|region| *region != table.home)
        .filter_map(|region| {
            let round_trip = table.link_latency(region)? * 2;
            let free = free_slots(table, preferred, region, now);
            let is_faster = wait.is_none_or(|wait| wait > round_trip);
            let headroom = if is_faster && free > 0 {
                (query.headroom)(region)
            } else {
                SpilloverHeadroom::NONE
            };
            let weight = headroom.least() * f64::from(free);
            (weight > 0.0).then_some(SpilloverRegion { region, weight })
        })
        .collect()
}

/// Draws a region at random by weight and returns its best target.
fn spillover_target(
    table: &mut target::TargetTable,
    preferred: &[u32],
    regions: &[SpilloverRegion],
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Option<u32> {
    let region = draw_region(regions, rng)?;
    best(table, preferred, region, now, rng)
}

/// Draws a region at random by weight.
fn draw_region(regions: &[SpilloverRegion], rng: &mut impl Rng) -> Option<RegionKey> {
    let total: f64 = regions.iter().map(|spillover| spillover.weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut draw = rng.random_range(0.0..total);
    let drawn = regions.iter().find(|spillover| {
        draw -= spillover.weight;
        draw < 0.0
    });
    drawn.or(regions.last()).map(|spillover| spillover.region)
}

pub(super) fn choose_handover_region(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    expected: Option<Duration>,
    rng: &mut impl Rng,
) -> Option<RegionKey> {
    let mut regions: Vec<RegionKey> = table
        .service(query.service)
        .filter(|state| state.serving && state.region != table.home)
        .map(|state| state.region)
        .collect();
    regions.sort_unstable();
    regions.dedup();
    let regions: Vec<SpilloverRegion> = regions
        .into_iter()
        .filter(|region| {
            let round_trip = table.link_latency(*region).map(|latency| latency * 2);
            round_trip
                .is_some_and(|round_trip| expected.is_none_or(|expected| expected > round_trip))
        })
        .map(|region| SpilloverRegion {
            region,
            weight: (query.headroom)(region).least(),
        })
        .collect();
    draw_region(&regions, rng)
}

fn free_slots(
    table: &target::TargetTable,
    indices: &[u32],
    region: RegionKey,
    now: TimeStamp,
) -> u32 {
    let states = indices.iter().map(|index| &table.states[*index as usize]);
    states
        .filter(|state| state.region == region)
        .map(|state| state.in_flight_limit(now).saturating_sub(state.in_flight))
        .sum()
}

/// Expected wait for a slot in the home region, `None` if no target there can take the request.
fn home_wait(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    indices: &[u32],
) -> Option<Duration> {
    let states = indices.iter().map(|index| &table.states[*index as usize]);
    expected_wait(
        states.filter(|state| state.region == table.home),
        query.waiting,
    )
}

/// Expected time until the slots of `states` have served `waiting` requests and one more.
fn expected_wait<'a>(
    states: impl Iterator<Item = &'a target::TargetState>,
    waiting: u32,
) -> Option<Duration> {
    let per_second = slot_rate(states);
    (per_second > 0.0).then(|| Duration::from_secs_f64(f64::from(waiting + 1) / per_second))
}

/// Records that a drain could not move this request, as there was no headroom elsewhere.
fn record_not_moved(table: &mut target::TargetTable, index: u32) {
    let states = &table.states;
    let plans = table.plans.iter_mut();
    plans
        .filter(|plan: &&mut drain::DrainPlan| {
            target::covers(plan.subject, &states[index as usize])
        })
        .for_each(|plan| plan.not_moved += 1);
}

/// Waits for a slot at home, or in a region with headroom; refuses if there is neither.
fn wait_or_refuse(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    usable: &[u32],
    _now: TimeStamp,
) -> Choice {
    let open = |state: &&target::TargetState| {
        state.region == table.home || (query.headroom)(state.region).least() > 0.0
    };
    let states = usable.iter().map(|index| &table.states[*index as usize]);
    let open: Vec<&target::TargetState> = states.filter(open).collect();
    let loan_target = open
        .iter()
        .min_by_key(|state| (state.region != table.home, state.in_flight, state.key));
    match loan_target {
        Some(loan_target) => Choice::Wait {
            expected: expected_wait(open.iter().copied(), query.waiting)
                .unwrap_or(super::NO_SLOT_WAIT),
            loan_target: loan_target.key,
        },
        None => refuse(NoTargetCause::NoHeadroom, super::SHORTEST_RETRY),
    }
}

/// Refuses a request without candidates, with the cause.
fn refuse_without_candidate(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    now: TimeStamp,
) -> Choice {
    let serving = || table.service(query.service).filter(|state| state.serving);
    let untried = |key: TargetKey| !query.exclude.contains(&key);
    if serving().count() == 0 {
        return refuse(NoTargetCause::NoTarget, super::SHORTEST_RETRY);
    }
    if !serving().any(|state| untried(state.key)) {
        return refuse(NoTargetCause::Tried, super::SHORTEST_RETRY);
    }
    let soonest = serving()
        .filter_map(|state| state.health.ejection)
        .map(|ejection| ejection.until.since(now))
        .min();
    refuse(NoTargetCause::Ejected, soonest.unwrap_or_default())
}

fn refuse(cause: NoTargetCause, retry_after: Duration) -> Choice {
    Choice::None {
        cause,
        retry_after: retry_after.max(super::SHORTEST_RETRY),
    }
}
