//! The refused share by rank, and when refused callers are told to return.

use crate::placement::support::{SERVICE, START, fill, query, table, vm_location};
use dahliawood_model::catalog::{
    CatalogCustomer, CatalogRoute, FleetCatalog, RequestKind, ServiceWeight,
};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::choose::{self, PlacementChoice, PlacementQuery};
use dahliawood_steer::placement::rank::RequestRank;
use dahliawood_steer::placement::shedding::by_rank::{self, RankShares};
use dahliawood_steer::placement::table::PlacementTable;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);

fn rank(route: u32) -> RequestRank {
    RequestRank { customer: 0, route }
}

/// Advances by some steps in which each of three ranks sends one request.
fn advance(shares: &mut RankShares, shed: f64, steps: u32, now: &mut TimeStamp) {
    for _ in 0..steps {
        *now = now.after(STEP);
        for route in 0..3 {
            shares.record_arrival(rank(route), STEP, *now);
        }
        shares.advance(shed, *now);
    }
}

/// Guards against work that is refused twice or not at all, and a rank that is refused wholly.
#[test]
fn the_whole_share_is_divided_lowest_rank_first_and_no_rank_is_refused_wholly() {
    let demands = [3.0, 1.0, 2.0];
    for step in 0..=8 {
        let total = f64::from(step) / 10.0;
        let shares = by_rank::divide(total, &demands);
        let work = demands.iter().zip(&shares);
        let refused: f64 = work.map(|(demand, share)| demand * share).sum();
        assert!((refused - 6.0 * total).abs() < 1e-9, "{total}: {shares:?}");
        assert!(shares.is_sorted(), "{total}: {shares:?}");
        assert!(
            shares
                .iter()
                .all(|share| 1.0 - share >= 0.25 * (1.0 - total))
        );
    }
}

/// Guards against ranks that turn from refused to admitted, so that all refused callers return at once.
#[test]
fn shares_fall_smoothly_and_to_zero_when_load_falls() {
    let (mut shares, mut now) = (RankShares::default(), START);
    advance(&mut shares, 0.7, 100, &mut now);
    assert!(shares.share(rank(2)) > 0.8, "{shares:?}");
    for _ in 0..20 {
        let before = [0, 1, 2].map(|route| shares.share(rank(route)));
        advance(&mut shares, 0.0, 1, &mut now);
        let after = [0, 1, 2].map(|route| shares.share(rank(route)));
        let falls = before
            .iter()
            .zip(&after)
            .map(|(before, after)| before - after);
        assert!(falls.into_iter().all(|fall| fall <= 0.06), "{after:?}");
        assert!(after.is_sorted(), "{after:?}");
    }
    assert!(shares.share(rank(2)) < 0.01, "{shares:?}");
}

/// Guards against a caller that always meets the refusals of the others that it takes turns with.
#[test]
fn callers_that_take_turns_are_refused_alike() {
    let (mut shares, mut now) = (RankShares::default(), START);
    advance(&mut shares, 0.2, 100, &mut now);
    let mut refused = [0_u32; 2];
    for turn in 0..2_000 {
        refused[turn % 2] += u32::from(shares.take_refusal(rank(2)));
    }
    let share = f64::from(refused[0] + refused[1]) / 2_000.0;
    assert!((share - shares.share(rank(2))).abs() < 0.01, "{refused:?}");
    assert!(refused[0].abs_diff(refused[1]) < 200, "{refused:?}");
}

/// Guards against urgent requests that are refused to give themselves room, and against room that is
/// kept when no urgent request needs it.
#[test]
fn room_for_urgent_requests_is_taken_from_lower_ranks_only() {
    let (mut shares, mut now) = (RankShares::default(), START);
    let mut arrive = |shares: &mut RankShares, urgent: Duration, lower: Duration| {
        for _ in 0..200 {
            now = now.after(STEP);
            shares.record_arrival(rank(0), urgent, now);
            shares.record_arrival(rank(1), lower, now);
            shares.record_room(rank(0), false);
            shares.advance(0.0, now);
        }
        [0, 1].map(|route| shares.share(rank(route)))
    };
    let [urgent, lower] = arrive(&mut shares, STEP * 20, STEP / 20);
    assert!(urgent < 0.01 && lower > 0.5, "{urgent} {lower}");
    let [urgent, lower] = arrive(&mut shares, STEP, STEP);
    assert!(urgent < 0.2 && lower > 0.6, "{urgent} {lower}");
    let [_, lower] = arrive(&mut shares, Duration::ZERO, STEP);
    assert!(lower < 0.1, "{lower}");
}

fn ranked(route: u32, time_left: Duration) -> PlacementQuery<'static> {
    PlacementQuery {
        rank: Some(rank(route)),
        time_left,
        ..query(1)
    }
}

/// Raises the shares by queues that last for ten seconds.
fn overload(table: &mut PlacementTable) -> TimeStamp {
    let mut now = START;
    for turn in 0..200 {
        now = now.after(STEP / 2);
        let query = ranked(turn % 2, Duration::from_secs(2));
        choose::choose(table, &vm_location("a-1", 1), &query, now);
        fill(table, "a-1", 9, now);
    }
    now
}

/// Guards against a VM that refuses by what it learnt before a pause.
#[test]
fn a_vm_that_was_paused_decays_its_share_before_it_acts_on_it() {
    let mut table = table(&[("a-1", 3)]);
    let now = overload(&mut table);
    let share = |table: &PlacementTable| table.services[SERVICE].rank_shares.share(rank(1));
    assert!(share(&table) > 0.7, "{}", share(&table));
    let resumed = now.after(Duration::from_secs(8));
    choose::choose(
        &mut table,
        &vm_location("a-1", 1),
        &ranked(1, STEP),
        resumed,
    );
    assert!(share(&table) < 0.1, "{}", share(&table));
}

/// Guards against refused callers that return all at once, too late to be served, or before requests
/// that are more urgent.
#[test]
fn less_urgent_callers_return_later_spread_and_within_a_third_of_their_time() {
    let mut table = table(&[("a-1", 3)]);
    let now = overload(&mut table);
    let mut delays = |route, time_left| -> Vec<Duration> {
        let query = ranked(route, time_left);
        let choices =
            (0..100).map(|_| choose::choose(&mut table, &vm_location("a-1", 1), &query, now));
        let delays = choices.filter_map(|choice| match choice {
            PlacementChoice::Shed { retry_after } | PlacementChoice::Busy { retry_after, .. } => {
                Some(retry_after)
            }
            _ => None,
        });
        delays.collect()
    };
    let minute = Duration::from_secs(60);
    let (urgent, other) = (delays(0, minute), delays(1, minute));
    let mean = |delays: &[Duration]| delays.iter().sum::<Duration>() / delays.len() as u32;
    assert!(mean(&other) > mean(&urgent), "{urgent:?} {other:?}");
    assert!(other.iter().max() > other.iter().min(), "{other:?}");
    assert!(delays(1, STEP).iter().all(|delay| *delay <= STEP / 3));
}

/// A catalog with routes of the given priorities to one service each, and customers.
fn catalog(routes: &[(u32, &str)], customers: &[u32]) -> FleetCatalog {
    let mut catalog = FleetCatalog::default();
    for (priority, service) in routes {
        catalog.push_route(CatalogRoute {
            name: format!("{service}-{priority}"),
            host: String::new(),
            prefix: "/".to_owned(),
            kind: RequestKind::Idempotent,
            timeout: STEP,
            target_latency: STEP,
            max_attempts: 1,
            priority: *priority,
            is_open: false,
            has_affinity: false,
            regions: Vec::new(),
            services: vec![ServiceWeight {
                service: (*service).to_owned(),
                weight: 1.0,
            }],
        });
    }
    for priority in customers {
        catalog.customers.push(CatalogCustomer {
            name: String::new(),
            priority: *priority,
            rate: 0.0,
            burst: 0.0,
            regions: Vec::new(),
        });
    }
    catalog.index();
    catalog
}

/// Guards against ranks where nothing calls for them, and against a route that bounds waits of more
/// urgent ones.
#[test]
fn a_service_is_ranked_only_if_its_routes_or_the_customers_differ() {
    let routes = [(2, "mixed"), (0, "mixed"), (1, "even"), (1, "even")];
    let by_route = catalog(&routes, &[3, 3]);
    let ranked = by_route.ranked_routes("mixed").unwrap().iter();
    let priorities: Vec<u32> = ranked.map(|key| by_route.routes[*key].priority).collect();
    assert_eq!(priorities, [0, 2]);
    assert!(by_route.ranked_routes("even").is_none());
    assert_eq!(by_route.customer_priority(None), 3);
    assert!(catalog(&routes, &[3, 1]).ranked_routes("even").is_some());
}
