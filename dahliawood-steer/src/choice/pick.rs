//! The steps of one choice.

use super::{Choice, ChoiceQuery, NoTargetCause, SpilloverHeadroom, slot_rate};
use crate::{drain, health, target};
use dahliawood_model::keys::{ArenaKey, RegionKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use rand::Rng;
use std::time::Duration;

/// A region that a request may spill to.
struct SpillRegion {
    region: RegionKey,
    weight: f64,
}

/// What a request may use, as indices of states.
struct CandidateList {
    /// Targets that this request may use and that are in service.
    usable: Vec<u32>,
    /// Those of them that a drain wants this request kept away from.
    avoided: Vec<u32>,
    /// Ejected targets whose probe is due.
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
        return nothing(table, query, now);
    }
    let stay = |index: &u32| !candidates.avoided.contains(index);
    let preferred: Vec<u32> = candidates.usable.iter().copied().filter(stay).collect();
    if let Some(index) = local(table, &preferred, now, rng) {
        return chosen(table, index);
    }
    let spill = spill_regions(table, query, &preferred, now);
    if let Some(index) = spilled(table, &preferred, &spill, now, rng) {
        return chosen(table, index);
    }
    if let Some(index) = local(table, &candidates.avoided, now, rng) {
        note_kept(table, index);
        return chosen(table, index);
    }
    wait_or_refuse(table, query, &candidates.usable, now)
}

fn chosen(table: &target::TargetTable, index: u32) -> Choice {
    let state = &table.states[index as usize];
    Choice::Target(state.key, state.region)
}

/// Sorts out the targets of the service, and counts the request against drains in progress.
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

/// Whether an ejected target may be probed: by a request that may run twice once its time is over,
/// by any other after twice that time, as a service may have no other requests.
fn probe_due(ejection: &health::EjectionState, idempotent: bool, now: TimeStamp) -> bool {
    let harmless = idempotent || ejection.cause == health::EjectCause::Connect;
    let due = if harmless {
        ejection.until
    } else {
        ejection.until.after(ejection.span)
    };
    now >= due
}

/// A target to probe in the home region, or elsewhere where the home region has none to use.
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

/// The usable targets that drains in progress keep this request away from.
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
        let stays = near && plan.split.keep_next();
        if near && !stays {
            plan.moved += 1;
        }
        if stays {
            covered.retain(|index| states[*index as usize].region != home);
        }
        avoided.append(&mut covered);
    }
    avoided
}

/// The best target of the home region that has room.
fn local(
    table: &mut target::TargetTable,
    indices: &[u32],
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Option<u32> {
    let home = table.home;
    best(table, indices, home, now, rng)
}

/// The best target of a region that has room: cold ones in their turn, then the fastest and least
/// used of the warm, then cold ones out of turn.
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

/// How unwelcome one more request is at a target: its latency, by how much of this VM's slots
/// there are in use. A target that reports leaving or full ranks behind its peers.
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

/// Regions that the request may spill to, with their weight in the draw; empty where waiting at
/// home is expected to be shorter than the way.
fn spill_regions(
    table: &target::TargetTable,
    query: &ChoiceQuery<'_>,
    preferred: &[u32],
    now: TimeStamp,
) -> Vec<SpillRegion> {
    let wait = home_wait(table, query, preferred);
    let regions = (0..table.region_count()).map(RegionKey::from_index);
    regions
        .filter(|region| *region != table.home)
        .filter_map(|region| {
            let way = table.link_latency(region)? * 2;
            let free = free_slots(table, preferred, region, now);
            let worth = wait.is_none_or(|wait| wait > way);
            let room = if worth && free > 0 {
                (query.headroom)(region)
            } else {
                SpilloverHeadroom::NONE
            };
            let weight = room.least() * f64::from(free);
            (weight > 0.0).then_some(SpillRegion { region, weight })
        })
        .collect()
}

/// Draws a region by weight and takes its best target.
fn spilled(
    table: &mut target::TargetTable,
    preferred: &[u32],
    spill: &[SpillRegion],
    now: TimeStamp,
    rng: &mut impl Rng,
) -> Option<u32> {
    let region = drawn_region(spill, rng)?;
    best(table, preferred, region, now, rng)
}

/// Draws a region by weight.
fn drawn_region(spill: &[SpillRegion], rng: &mut impl Rng) -> Option<RegionKey> {
    let total: f64 = spill.iter().map(|spill| spill.weight).sum();
    if total <= 0.0 {
        return None;
    }
    let mut draw = rng.random_range(0.0..total);
    let drawn = spill.iter().find(|spill| {
        draw -= spill.weight;
        draw < 0.0
    });
    drawn.or(spill.last()).map(|spill| spill.region)
}

pub(super) fn hand_over(
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
    let spill: Vec<SpillRegion> = regions
        .into_iter()
        .filter(|region| {
            let way = table.link_latency(*region).map(|way| way * 2);
            way.is_some_and(|way| expected.is_none_or(|expected| expected > way))
        })
        .map(|region| SpillRegion {
            region,
            weight: (query.headroom)(region).least(),
        })
        .collect();
    drawn_region(&spill, rng)
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

/// How long the request would wait at home, `None` where nothing there will take it.
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

/// How long it takes until the slots of `states` have ended `waiting` requests and one more.
fn expected_wait<'a>(
    states: impl Iterator<Item = &'a target::TargetState>,
    waiting: u32,
) -> Option<Duration> {
    let per_second = slot_rate(states);
    (per_second > 0.0).then(|| Duration::from_secs_f64(f64::from(waiting + 1) / per_second))
}

/// Notes that a drain wanted this request elsewhere, where there was no room.
fn note_kept(table: &mut target::TargetTable, index: u32) {
    let states = &table.states;
    let plans = table.plans.iter_mut();
    plans
        .filter(|plan: &&mut drain::DrainPlan| {
            target::covers(plan.subject, &states[index as usize])
        })
        .for_each(|plan| plan.kept += 1);
}

/// Waits for a slot at home, for one elsewhere where link and region have headroom, or refuses.
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
    let wanted = open
        .iter()
        .min_by_key(|state| (state.region != table.home, state.in_flight, state.key));
    match wanted {
        Some(wanted) => Choice::Wait {
            expected: expected_wait(open.iter().copied(), query.waiting)
                .unwrap_or(super::NO_SLOT_WAIT),
            wanted: wanted.key,
        },
        None => refuse(NoTargetCause::NoHeadroom, super::SHORTEST_RETRY),
    }
}

/// Why there is nothing to choose from.
fn nothing(table: &target::TargetTable, query: &ChoiceQuery<'_>, now: TimeStamp) -> Choice {
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
