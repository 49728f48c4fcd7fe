//! Replays a load in which urgent requests with little work and less urgent ones with much work share
//! targets, at several VMs that do not talk, beside refusals that are spread evenly.

use crate::placement::support::{SLOTS, START, query, report, table, vm_location};
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::choose::{self, PlacementChoice, PlacementQuery};
use dahliawood_steer::placement::rank::{self, RequestRank};
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

/// With the larger number, each has some two requests a second.
const VMS: [usize; 2] = [8, 24];
const TARGETS: usize = 8;
/// Requests that one target runs and queues at most.
const MAX_OUTSTANDING: usize = 4 * SLOTS as usize;
const LENGTH: f64 = 40.0;
/// Earlier requests are not counted, as shares start at zero.
const SETTLED: f64 = 5.0;

/// Work and target latency of the route of each priority, milliseconds.
type Route = (u64, u64);
const TWO_ROUTES: &[Route] = &[(130, 250), (770, 3_000)];
const THREE_ROUTES: &[Route] = &[(150, 400), (300, 1_000), (600, 2_000)];

#[derive(Clone, Copy)]
struct Load {
    vms: usize,
    routes: &'static [Route],
    /// Relative to the capacity; each route has an equal part of the requests.
    demand: f64,
    /// Whether each VM learns at once what targets report to others.
    is_shared: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteOutcome {
    requests: f64,
    sent: f64,
    served: f64,
    in_time: f64,
}

struct RunningRequest {
    vm: usize,
    key: TargetKey,
    target: usize,
    route: u64,
    started: TimeStamp,
    slack: Duration,
}

type RunningRequests = BTreeMap<(TimeStamp, usize), RunningRequest>;

fn max_wait(routes: &[Route], route: usize, is_ranked: bool) -> Duration {
    let millis = Duration::from_millis;
    let useful = |(work, latency): &Route| {
        rank::useful_wait(millis(*latency), Duration::ZERO, millis(*work))
    };
    let urgent = routes[..route].iter().filter(|_| is_ranked).map(useful);
    rank::wait_limit(useful(&routes[route]), urgent)
}

/// Adds the outcomes of one replay to those of each route.
fn replay(load: Load, is_ranked: bool, seed: u64, outcomes: &mut [RouteOutcome]) {
    let routes = load.routes;
    let location = vm_location("a-1", load.vms);
    let mut tables: Vec<_> = (0..load.vms).map(|_| table(&[("a-1", TARGETS)])).collect();
    let mut slots = vec![vec![START; SLOTS as usize]; TARGETS];
    let mut running = RunningRequests::new();
    let mut random = StdRng::seed_from_u64(seed);
    let work = routes
        .iter()
        .map(|(work, _)| *work as f64 / 1e3)
        .sum::<f64>();
    let capacity = (TARGETS * SLOTS as usize * routes.len()) as f64 / work;
    let mut now = START;
    for turn in 0.. {
        let gap = -(1.0 - random.random::<f64>()).ln() / (load.demand * capacity);
        now = now.after(Duration::from_secs_f64(gap));
        let at = now.since(START).as_secs_f64();
        if at > LENGTH {
            break;
        }
        while let Some(first) = running.first_entry()
            && first.key().0 <= now
        {
            let (end, ended) = (first.key().0, first.remove());
            finish(&mut tables, &running, &ended, load.is_shared, end);
        }
        let vm = random.random_range(0..load.vms);
        let route = random.random_range(0..routes.len());
        let outcome = &mut outcomes[route];
        let count = f64::from(u8::from(at > SETTLED));
        outcome.requests += count;
        let max_wait = max_wait(routes, route, is_ranked);
        let rank = RequestRank {
            customer: 0,
            route: route as u32,
        };
        let query = PlacementQuery {
            route: route as u64,
            rank: is_ranked.then_some(rank),
            max_wait,
            time_left: Duration::from_secs(6),
            ..query(random.random())
        };
        let table = &mut tables[vm];
        let PlacementChoice::Target(key) = choose::choose(table, &location, &query, now) else {
            continue;
        };
        let id = &table.get(key).unwrap().entry.id;
        let target: usize = id.trim_start_matches("target-").parse().unwrap();
        table.begin(key, now);
        outcome.sent += count;
        let request = RunningRequest {
            vm,
            key,
            target,
            route: route as u64,
            started: now,
            slack: max_wait,
        };
        if running
            .values()
            .filter(|other| other.target == target)
            .count()
            >= MAX_OUTSTANDING
        {
            let result = TargetResult {
                kind: ResultKind::Shed,
                ..answer(&running, &request, now)
            };
            table.finish(key, result, now);
            continue;
        }
        let slot = slots[target].iter_mut().min().unwrap();
        *slot = now.max(*slot).after(Duration::from_millis(routes[route].0));
        outcome.served += count;
        let is_in_time = slot.since(now) <= Duration::from_millis(routes[route].1);
        outcome.in_time += if is_in_time { count } else { 0.0 };
        running.insert((*slot, turn), request);
    }
}

fn answer(running: &RunningRequests, ended: &RunningRequest, now: TimeStamp) -> TargetResult {
    let others = running
        .values()
        .filter(|other| other.target == ended.target);
    let left = others.count() as u32;
    let load = TargetLoad {
        running: left.min(SLOTS),
        waiting: left.saturating_sub(SLOTS),
        slots: SLOTS,
        pace: None,
        received_at: now,
    };
    TargetResult {
        kind: ResultKind::Answered,
        latency: now.since(ended.started),
        report: report(Some(load)),
        expected_wait: Duration::ZERO,
        connect_time: None,
        route: ended.route,
        visit: None,
        slack: ended.slack,
    }
}

fn finish(
    tables: &mut [PlacementTable],
    running: &RunningRequests,
    ended: &RunningRequest,
    is_shared: bool,
    now: TimeStamp,
) {
    let answered = answer(running, ended, now);
    tables[ended.vm].finish(ended.key, answered, now);
    let others = tables.iter_mut().enumerate();
    for (_, table) in others.filter(|(vm, _)| is_shared && *vm != ended.vm) {
        // A cancelled request brings a report and says nothing else.
        table.begin(ended.key, now);
        let kind = ResultKind::Cancelled;
        table.finish(ended.key, TargetResult { kind, ..answered }, now);
    }
}

fn outcomes(load: Load, is_ranked: bool) -> Vec<RouteOutcome> {
    let mut outcomes = vec![RouteOutcome::default(); load.routes.len()];
    (0..16).for_each(|seed| replay(load, is_ranked, seed, &mut outcomes));
    outcomes
}

fn loads(vms: usize) -> impl Iterator<Item = Load> {
    let cases = [TWO_ROUTES, THREE_ROUTES].into_iter();
    let cases = cases.flat_map(|routes| [false, true].map(|is_shared| (routes, is_shared)));
    cases.flat_map(move |(routes, is_shared)| {
        [0.8, 1.0, 1.3, 2.0].map(|demand| Load {
            vms,
            routes,
            demand,
            is_shared,
        })
    })
}

fn mean(outcomes: &[RouteOutcome], share: impl Fn(&RouteOutcome) -> f64) -> f64 {
    outcomes.iter().map(share).sum::<f64>() / outcomes.len() as f64
}

/// Guards against refusals that cost urgent requests as much as others, or that serve all ranks
/// together worse than even refusals under overload.
#[test]
fn urgent_requests_are_in_time_more_often_and_all_ranks_together_too_under_overload() {
    let in_time = |outcome: &RouteOutcome| outcome.in_time / outcome.requests;
    for load in loads(VMS[0]) {
        let (before, after) = (outcomes(load, false), outcomes(load, true));
        let gain = in_time(&after[0]) - in_time(&before[0]);
        let least = if load.demand > 1.1 { 0.25 } else { 0.0 };
        let total = mean(&after, in_time) - mean(&before, in_time);
        let context = format!("{} {}", load.demand, load.is_shared);
        assert!(gain >= least, "{context}: {before:?} {after:?}");
        // Below the capacity, short queues cost less urgent requests a little more than they give.
        let least = if load.demand < 1.0 { -0.025 } else { 0.0 };
        assert!(total >= least, "{context}: {before:?} {after:?}");
    }
}

/// Guards against a lower rank that is served more often than a higher one, a rank that starves, and
/// queues so long that targets refuse.
#[test]
fn ranks_are_served_in_their_order_and_none_starves() {
    let served = |outcome: &RouteOutcome| outcome.served / outcome.requests;
    for load in VMS.into_iter().flat_map(loads) {
        let after = outcomes(load, true);
        let context = format!("{} {} {after:?}", load.demand, load.is_shared);
        let is_ordered = after
            .windows(2)
            .all(|pair| served(&pair[0]) >= served(&pair[1]) - 0.01);
        assert!(is_ordered, "{context}");
        let least = 0.25 * mean(&after, served);
        assert!(
            after.iter().all(|outcome| served(outcome) >= least),
            "{context}"
        );
        let refused = mean(&after, |outcome| {
            (outcome.sent - outcome.served) / outcome.sent
        });
        assert!(refused <= 0.03, "{context}");
    }
}
