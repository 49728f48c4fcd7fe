//! Choice of self-registered targets: object affinity, cold targets, regions, overload.

use crate::fleet;
use dahliawood_model::catalog::{TargetEntry, TargetLoad, TargetReport};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose::{
    self, ColdLimit, PlacementChoice, PlacementQuery, VmLocation,
};
use dahliawood_steer::placement::ranking::{self, OrderKey};
use dahliawood_steer::placement::sharers::LimitSharers;
use dahliawood_steer::placement::spillover;
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use dahliawood_steer::rendezvous;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SERVICE: &str = "service";
const SLOTS: u32 = 3;
const START: TimeStamp = TimeStamp::from_millis(1_000_000);
const SERVICE_TIME: Duration = Duration::from_millis(120);

fn regions() -> FastMap<String, String> {
    let pairs = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("c-1", "c")];
    pairs
        .into_iter()
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .collect()
}

fn vm_location(domain: &str, vms: usize) -> VmLocation {
    numbered_location(domain, 0, vms)
}

/// Location of one of `vms` VMs that have been registered for long and know of each other.
fn numbered_location(domain: &str, number: usize, vms: usize) -> VmLocation {
    let name = |vm: usize| format!("vm-{vm}");
    let mut location = VmLocation::new(&name(number), domain, &regions()[domain]);
    let names: Vec<String> = (0..vms).map(name).collect();
    let listed = || names.iter().map(String::as_str);
    let sharers = &mut location.sharers;
    sharers.set_listed(listed(), START.before(Duration::from_secs(60)));
    sharers.set_listed(listed(), START);
    sharers.confirm(START.after(Duration::from_secs(60)));
    location
}

fn entry(id: usize, domain: &str) -> TargetEntry {
    TargetEntry {
        id: format!("target-{id}"),
        address: ([10, 0, 0, id as u8], 80).into(),
        service: SERVICE.to_owned(),
        domain: domain.to_owned(),
        slots: SLOTS,
        is_draining: false,
        cold_for: Duration::ZERO,
        started_millis: 1,
    }
}

/// A table with the given number of targets in each failure domain.
fn table(counts: &[(&str, usize)]) -> PlacementTable {
    let mut table = PlacementTable::new(regions());
    let domains = counts
        .iter()
        .flat_map(|(domain, count)| std::iter::repeat_n(*domain, *count));
    for (id, domain) in domains.enumerate() {
        table.upsert(entry(id, domain), START);
    }
    table
}

fn query(object: u64) -> PlacementQuery<'static> {
    PlacementQuery {
        service: SERVICE,
        object: Some(object),
        is_bulk: false,
        regions: [&[], &[]],
        tried: &[],
        max_wait: Duration::from_millis(100),
        time_left: Duration::from_secs(2),
        cold: ColdLimit { per_second: 20.0 },
    }
}

fn chosen(choice: PlacementChoice) -> Option<TargetKey> {
    match choice {
        PlacementChoice::Target(key) => Some(key),
        _ => None,
    }
}

fn domain_of(table: &PlacementTable, key: TargetKey) -> String {
    table.get(key).unwrap().entry.domain.clone()
}

fn report(load: Option<TargetLoad>) -> Option<TargetReport> {
    load.map(|_| TargetReport {
        load,
        ..TargetReport::default()
    })
}

fn answered(load: Option<TargetLoad>) -> TargetResult {
    TargetResult {
        kind: ResultKind::Answered,
        latency: SERVICE_TIME,
        report: report(load),
        visit: None,
        slack: Duration::from_millis(100),
    }
}

/// The result of a request at a target with all slots in use and `waiting` requests in its queue.
fn busy_result(waiting: u32, now: TimeStamp) -> TargetResult {
    answered(Some(TargetLoad {
        running: SLOTS,
        waiting,
        slots: SLOTS,
        received_at: now,
    }))
}

fn fill(table: &mut PlacementTable, domain: &str, waiting: u32, now: TimeStamp) {
    let keys = table.services[SERVICE].targets.clone();
    for key in keys {
        if domain_of(table, key) == domain {
            table.begin(key, now);
            table.finish(key, busy_result(waiting, now), now);
        }
    }
}

#[test]
fn every_vm_sends_an_object_to_the_same_target() {
    let objects = prop::collection::vec(any::<u64>(), 1..50);
    let order = Just((0_usize..8).collect::<Vec<_>>()).prop_shuffle();
    let result = fleet::runner().run(&(objects, order), |(objects, order)| {
        let mut first = table(&[("a-1", 4), ("a-2", 4)]);
        let mut second = PlacementTable::new(regions());
        for id in order {
            let domain = if id < 4 { "a-1" } else { "a-2" };
            second.upsert(entry(id, domain), START);
        }
        for object in objects {
            let one = choose::choose(&mut first, &vm_location("a-1", 2), &query(object), START);
            let other = choose::choose(&mut second, &vm_location("a-2", 2), &query(object), START);
            let id = |table: &PlacementTable, choice| {
                table.get(chosen(choice).unwrap()).unwrap().entry.id.clone()
            };
            prop_assert_eq!(id(&first, one), id(&second, other));
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_target_that_leaves_moves_only_its_own_objects() {
    let mut before = table(&[("a-1", 8)]);
    let mut after = table(&[("a-1", 8)]);
    after.remove("target-3");
    for object in 0..500 {
        let old = chosen(choose::choose(
            &mut before,
            &vm_location("a-1", 1),
            &query(object),
            START,
        ));
        let new = chosen(choose::choose(
            &mut after,
            &vm_location("a-1", 1),
            &query(object),
            START,
        ));
        let old = before.get(old.unwrap()).unwrap().entry.id.clone();
        let new = after.get(new.unwrap()).unwrap().entry.id.clone();
        assert!(old == new || old == "target-3", "{object}: {old} to {new}");
    }
}

#[test]
fn a_busy_target_keeps_its_objects_while_it_starts_them_in_time() {
    let mut table = table(&[("a-1", 4)]);
    let first = chosen(choose::choose(
        &mut table,
        &vm_location("a-1", 1),
        &query(7),
        START,
    ))
    .unwrap();
    table.begin(first, START);
    let now = START.after(Duration::from_millis(1));
    table.finish(first, busy_result(0, now), now);
    let long_wait = PlacementQuery {
        max_wait: Duration::from_millis(400),
        ..query(7)
    };
    assert_eq!(
        choose::choose(&mut table, &vm_location("a-1", 1), &long_wait, now),
        PlacementChoice::Target(first)
    );
    let short_wait = PlacementQuery {
        max_wait: Duration::from_millis(10),
        ..query(7)
    };
    let other = chosen(choose::choose(
        &mut table,
        &vm_location("a-1", 1),
        &short_wait,
        now,
    ));
    assert!(other.is_some_and(|other| other != first));
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_with_a_retry_delay() {
    let mut table = table(&[("a-1", 3)]);
    fill(&mut table, "a-1", 9, START);
    let refused = choose::choose(&mut table, &vm_location("a-1", 1), &query(1), START);
    let PlacementChoice::Busy { retry_after } = refused else {
        panic!("{refused:?}");
    };
    assert!(retry_after > Duration::from_millis(100), "{retry_after:?}");
}

#[test]
fn cold_targets_stay_within_their_limit_over_all_vms() {
    let gaps = prop::collection::vec(0_u64..40, 50..400);
    let result = fleet::runner().run(&(gaps, 1_usize..6), |(gaps, vms)| {
        let mut tables: Vec<_> = (0..vms).map(|_| table(&[])).collect();
        for table in &mut tables {
            let mut cold = entry(0, "a-1");
            cold.cold_for = Duration::from_secs(60);
            table.upsert(cold, START);
        }
        let mut now = START;
        let mut sent: Vec<TimeStamp> = Vec::new();
        for (turn, gap) in gaps.iter().enumerate() {
            now = now.after(Duration::from_millis(*gap));
            let table = &mut tables[turn % vms];
            let location = numbered_location("a-1", turn % vms, vms);
            let choice = choose::choose(table, &location, &query(turn as u64), now);
            if let Some(key) = chosen(choice) {
                table.begin(key, now);
                table.finish(key, answered(None), now);
                sent.push(now);
            }
            let second = sent
                .iter()
                .filter(|at| now.since(**at) < Duration::from_secs(1));
            prop_assert!(second.count() <= 20);
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_vm_that_left_the_list_still_counts_for_cold_targets() {
    let after = |seconds| START.after(Duration::from_secs(seconds));
    let mut sharers = LimitSharers::new("vm-0");
    sharers.set_listed(["vm-0", "vm-1", "vm-2", "vm-3"].into_iter(), START);
    sharers.set_listed(["vm-0", "vm-1", "vm-2"].into_iter(), after(5));
    assert_eq!(sharers.count(), 4);
    sharers.set_listed(["vm-0", "vm-1", "vm-4"].into_iter(), after(7));
    assert_eq!(
        sharers.count(),
        5,
        "one that left is counted beside one that came"
    );
    sharers.set_listed(["vm-0", "vm-1", "vm-4"].into_iter(), after(9));
    assert_eq!(sharers.count(), 4);
}

#[test]
fn a_vm_has_a_part_of_cold_targets_only_while_it_is_registered_and_its_list_is_current() {
    let after = |seconds| START.after(Duration::from_secs(seconds));
    let mut sharers = LimitSharers::new("vm-0");
    sharers.confirm(START);
    sharers.set_listed(["vm-0"].into_iter(), START);
    assert!(!sharers.is_admitted(after(2)), "just registered");
    assert!(sharers.is_admitted(after(3).after(Duration::from_millis(300))));
    assert!(!sharers.is_admitted(after(5)), "not confirmed");
    sharers.confirm(after(5));
    assert!(sharers.is_admitted(after(5)));
    sharers.set_listed(["vm-1"].into_iter(), after(6));
    assert!(!sharers.is_admitted(after(6)), "its registration is gone");
    sharers.set_listed(["vm-0", "vm-1"].into_iter(), after(7));
    sharers.confirm(after(8));
    assert!(!sharers.is_admitted(after(8)), "just registered again");
}

#[test]
fn parts_of_a_cold_limit_add_up_to_the_limit() {
    for (limit, vms) in [(12, 1), (12, 5), (12, 31), (0, 3), (200, 31)] {
        let part = |vm| {
            let sharers = numbered_location("a-1", vm, vms).sharers;
            sharers.part(limit, 17, START)
        };
        assert_eq!((0..vms).map(part).sum::<usize>(), limit);
    }
}

#[test]
fn draining_and_evacuated_targets_get_no_requests() {
    let mut table = table(&[("a-1", 2), ("a-2", 2)]);
    let mut draining = entry(0, "a-1");
    draining.is_draining = true;
    table.upsert(draining, START);
    table.set_evacuated(FastSet::from_iter(["a-2".to_owned()]));
    for object in 0..100 {
        let choice = choose::choose(&mut table, &vm_location("a-1", 1), &query(object), START);
        let target = table.get(chosen(choice).unwrap()).unwrap();
        assert_eq!(target.entry.id, "target-1");
    }
    table.set_evacuated(FastSet::from_iter(["a-1".to_owned(), "a-2".to_owned()]));
    let choice = choose::choose(&mut table, &vm_location("a-1", 1), &query(0), START);
    assert_eq!(choice, PlacementChoice::None);
}

#[test]
fn a_process_that_starts_under_the_id_of_one_that_left_is_used() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let leaving = TargetResult {
        report: Some(TargetReport {
            is_leaving: true,
            ..TargetReport::default()
        }),
        ..answered(None)
    };
    let key = table.services[SERVICE].targets[0];
    table.begin(key, START);
    assert!(table.finish(key, leaving, START));
    let choose = |table: &mut PlacementTable| choose::choose(table, &location, &query(1), START);
    assert_eq!(choose(&mut table), PlacementChoice::None);
    table.finish(key, answered(None), START);
    assert_eq!(choose(&mut table), PlacementChoice::None, "a late answer");
    table.upsert(entry(0, "a-1"), START);
    assert_eq!(choose(&mut table), PlacementChoice::None, "its entry again");
    table.remove("target-0");
    table.upsert(entry(0, "a-1"), START);
    assert_eq!(choose(&mut table), PlacementChoice::None, "a new entry");
    let mut restarted = entry(0, "a-1");
    restarted.started_millis = 2;
    table.upsert(restarted, START);
    assert!(matches!(choose(&mut table), PlacementChoice::Target(_)));
}

#[test]
fn a_pause_that_a_target_asks_for_is_kept_and_ends_with_one_request() {
    let mut table = table(&[("a-1", 1)]);
    let location = vm_location("a-1", 1);
    let key = table.services[SERVICE].targets[0];
    let refused = TargetResult {
        kind: ResultKind::Shed,
        report: Some(TargetReport {
            pause: Some(Duration::from_secs(5)),
            ..TargetReport::default()
        }),
        ..answered(None)
    };
    table.begin(key, START);
    table.begin(key, START);
    table.finish(key, refused, START);
    let after = |millis| START.after(Duration::from_millis(millis));
    let choose = |table: &mut PlacementTable, at| choose::choose(table, &location, &query(1), at);
    let refusal = |millis| PlacementChoice::Busy {
        retry_after: Duration::from_millis(millis),
    };
    assert_eq!(choose(&mut table, after(1_000)), refusal(4_000));
    // The answer to a request that was sent before does not end the pause.
    table.finish(key, answered(None), after(1_500));
    assert_eq!(choose(&mut table, after(2_000)), refusal(3_000));
    let end = after(5_000);
    assert_eq!(choose(&mut table, end), PlacementChoice::Target(key));
    table.begin(key, end);
    assert_eq!(
        choose(&mut table, end),
        PlacementChoice::None,
        "one at a time"
    );
    table.finish(key, answered(None), end);
    assert_eq!(choose(&mut table, end), PlacementChoice::Target(key));
}

#[test]
fn a_restart_under_the_same_id_is_a_new_target() {
    let mut table = table(&[("a-1", 1)]);
    let old = table.services[SERVICE].targets[0];
    table.begin(old, START);
    let mut restarted = entry(0, "a-1");
    restarted.started_millis = 2;
    table.upsert(restarted, START);
    let new = table.services[SERVICE].targets[0];
    assert_ne!(old, new);
    assert!(table.get(old).is_none());
    assert_eq!(table.get(new).unwrap().load.in_flight, 0);
    // The end of a request to the old target does not change the new one's load.
    table.finish(old, busy_result(9, START), START);
    assert!(
        table
            .get(new)
            .unwrap()
            .load
            .outstanding(SERVICE_TIME, START)
            < 0.5
    );
}

#[test]
fn routes_and_customers_stay_in_their_allowed_regions() {
    let mut table = table(&[("a-1", 1), ("b-1", 4), ("c-1", 4)]);
    fill(&mut table, "a-1", 9, START);
    let (route_regions, customer_regions) = (["a".to_owned(), "b".to_owned()], ["b".to_owned()]);
    for object in 0..100 {
        let restricted = PlacementQuery {
            regions: [&route_regions, &customer_regions],
            ..query(object)
        };
        let choice = choose::choose(&mut table, &vm_location("a-1", 1), &restricted, START);
        assert_eq!(domain_of(&table, chosen(choice).unwrap()), "b-1");
    }
}

/// A VM of region a under load. Targets start every request at once, whatever their slots.
struct LoadSimulation {
    table: PlacementTable,
    objects: StdRng,
    now: TimeStamp,
    running: Vec<(TimeStamp, TargetKey)>,
    /// Requests of other VMs at each target outside region a.
    remote_load: u32,
}

impl LoadSimulation {
    fn new(counts: &[(&str, usize)], seed: u64) -> Self {
        Self {
            table: table(counts),
            objects: StdRng::seed_from_u64(seed),
            now: START,
            running: Vec::new(),
            remote_load: 0,
        }
    }

    /// Runs `steps` spillover steps; returns the failure domain of each request that was served.
    fn run(&mut self, per_second: u64, steps: u32) -> Vec<String> {
        let location = vm_location("a-1", 1);
        let mut ran = Vec::new();
        for _ in 0..steps {
            let step_end = self.now.after(spillover::STEP_INTERVAL);
            while self.now < step_end {
                self.now = self
                    .now
                    .after(Duration::from_micros(1_000_000 / per_second));
                self.finish();
                ran.extend(self.send(&location));
            }
            choose::adjust_spillover(&mut self.table, &location, self.now);
        }
        ran
    }

    fn finish(&mut self) {
        let now = self.now;
        let (over, left): (Vec<_>, _) = self.running.iter().partition(|(end, _)| *end <= now);
        self.running = left;
        for (_, key) in over {
            let running = self.running.iter().filter(|(_, other)| *other == key);
            let is_remote = !domain_of(&self.table, key).starts_with('a');
            let remote_load = if is_remote { self.remote_load } else { 0 };
            let running = running.count() as u32 + remote_load;
            let load = TargetLoad {
                running: running.min(SLOTS),
                waiting: running.saturating_sub(SLOTS),
                slots: SLOTS,
                received_at: now,
            };
            self.table.finish(key, answered(Some(load)), now);
        }
    }

    /// Sends the next request; returns its failure domain, `None` if it is refused.
    fn send(&mut self, location: &VmLocation) -> Option<String> {
        let object = self.objects.random_range(0..100_u64);
        let object = rendezvous::name_hash(&object.to_le_bytes());
        let key = chosen(choose::choose(
            &mut self.table,
            location,
            &query(object),
            self.now,
        ))?;
        self.table.begin(key, self.now);
        self.running.push((self.now.after(SERVICE_TIME), key));
        Some(domain_of(&self.table, key))
    }
}

/// The share of requests that ran outside region a.
fn remote_share(ran: &[String]) -> f64 {
    let remote = ran.iter().filter(|domain| !domain.starts_with('a')).count();
    remote as f64 / ran.len().max(1) as f64
}

#[test]
fn a_load_shift_moves_few_requests_between_regions_in_two_seconds() {
    for seed in 0..6 {
        let mut simulation = LoadSimulation::new(&[("a-1", 8), ("b-1", 36), ("c-1", 36)], seed);
        let mut last = remote_share(&simulation.run(300, 8));
        for per_second in [300, 300, 600, 600, 600, 600, 300, 300, 300] {
            // Four steps are two seconds.
            let share = remote_share(&simulation.run(per_second, 4));
            let change = (share - last).abs();
            assert!(
                change <= 0.15,
                "seed {seed}: {last:.2} to {share:.2} at {per_second}/s"
            );
            last = share;
        }
    }
}

#[test]
fn objects_return_from_another_region_only_when_it_is_busier() {
    let mut simulation = LoadSimulation::new(&[("a-1", 8), ("b-1", 36), ("c-1", 36)], 1);
    let first = remote_share(&simulation.run(200, 8));
    assert!(first > 0.6, "{first}");
    let later = remote_share(&simulation.run(200, 40));
    assert!((later - first).abs() < 0.1, "{first} to {later}");
    simulation.remote_load = 2;
    let busy = remote_share(&simulation.run(200, 40));
    assert!(busy < first - 0.15, "{first} to {busy}");
}

#[test]
fn a_region_without_targets_is_served_by_other_regions_at_once() {
    let mut simulation = LoadSimulation::new(&[("a-1", 6), ("b-1", 6)], 1);
    simulation.run(40, 4);
    let lost = FastSet::from_iter(["a-1".to_owned()]);
    simulation.table.set_evacuated(lost);
    let ran = simulation.run(40, 1);
    assert!(ran.len() >= 19, "{} of 20 were served", ran.len());
}

#[test]
fn a_failed_target_is_skipped_then_probed_one_request_at_a_time() {
    let mut table = table(&[("a-1", 1)]);
    let key = table.services[SERVICE].targets[0];
    let lost = TargetResult {
        kind: ResultKind::ConnectFailed,
        latency: Duration::ZERO,
        report: None,
        visit: None,
        slack: Duration::from_millis(100),
    };
    table.begin(key, START);
    table.finish(key, lost, START);
    let location = vm_location("a-1", 1);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(0), START)),
        None
    );
    let later = START.after(Duration::from_secs(1));
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(0), later)),
        Some(key)
    );
    table.begin(key, later);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(1), later)),
        None
    );
    table.finish(key, answered(None), later);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &query(1), later)),
        Some(key)
    );
}

#[test]
fn objects_sent_away_go_to_the_regions_with_slots_to_spare() {
    // An even part is 16 slots: b has 2 slots more than that, c has 8 more.
    let mut table = table(&[("a-1", 2), ("b-1", 6), ("c-1", 8)]);
    let location = vm_location("a-1", 1);
    let mut ran: FastMap<String, f64> = FastMap::default();
    for object in 0..4_000_u64 {
        let object = rendezvous::name_hash(&object.to_le_bytes());
        let choice = choose::choose(&mut table, &location, &query(object), START);
        *ran.entry(domain_of(&table, chosen(choice).unwrap()))
            .or_default() += 1.0;
    }
    let share_of_c = ran["c-1"] / (ran["b-1"] + ran["c-1"]);
    assert!((0.75..=0.85).contains(&share_of_c), "{ran:?}");
}

/// Records that a target served an object in `latency`.
fn serve(
    table: &mut PlacementTable,
    key: TargetKey,
    object: u64,
    latency: Duration,
    load: Option<TargetLoad>,
) {
    let visit = ObjectVisit {
        object,
        is_preferred: false,
    };
    let result = TargetResult {
        latency,
        visit: Some(visit),
        ..answered(load)
    };
    table.begin(key, START);
    table.finish(key, result, START);
}

#[test]
fn a_request_waits_for_its_objects_target_rather_than_run_longer_at_another() {
    let mut table = table(&[("a-1", 4)]);
    let location = vm_location("a-1", 1);
    let patient = PlacementQuery {
        max_wait: Duration::from_millis(400),
        ..query(7)
    };
    let first = chosen(choose::choose(&mut table, &location, &patient, START)).unwrap();
    let other = table.services[SERVICE].targets.clone();
    let other = other.into_iter().find(|key| *key != first).unwrap();
    // First requests for an object take 600 ms, later ones 120 ms.
    for object in 100..130 {
        serve(&mut table, other, object, Duration::from_millis(600), None);
        serve(&mut table, other, object, SERVICE_TIME, None);
    }
    let busy = busy_result(1, START).report.unwrap().load;
    serve(&mut table, first, 7, SERVICE_TIME, busy);
    assert_eq!(
        chosen(choose::choose(&mut table, &location, &patient, START)),
        Some(first)
    );
}

#[test]
fn a_request_that_cannot_end_in_the_time_left_is_refused_on_arrival() {
    let mut table = table(&[("a-1", 2)]);
    let location = vm_location("a-1", 1);
    for key in table.services[SERVICE].targets.clone() {
        for object in 0..200 {
            serve(&mut table, key, object, Duration::from_millis(500), None);
        }
    }
    let hurried = PlacementQuery {
        max_wait: Duration::from_millis(400),
        time_left: Duration::from_millis(300),
        ..query(1)
    };
    let refused = choose::choose(&mut table, &location, &hurried, START);
    assert!(
        matches!(refused, PlacementChoice::Busy { .. }),
        "{refused:?}"
    );
}

#[test]
fn a_kept_order_follows_changes_of_the_targets() {
    let mut table = table(&[("a-1", 12), ("b-1", 3)]);
    let location = vm_location("a-1", 1);
    for turn in 0..40_u64 {
        let first = chosen(choose::choose(&mut table, &location, &query(7), START)).unwrap();
        let key = OrderKey {
            object: 7,
            is_bulk: false,
        };
        let whole = ranking::whole_order(&table, &location, SERVICE, key);
        assert_eq!(Some(&first), whole.local.first());
        assert!(table.is_preferred(first, key));
        let id = table.get(first).unwrap().entry.id.clone();
        let mut changed = table.get(first).unwrap().entry.clone();
        match turn % 3 {
            0 => {
                changed.is_draining = true;
                table.upsert(changed, START);
            }
            1 => {
                table.remove(&id);
            }
            _ => table.upsert(entry(100 + turn as usize, "a-1"), START),
        }
        if table
            .targets(SERVICE)
            .filter(|target| table.is_open(target))
            .count()
            < 5
        {
            break;
        }
    }
}
