//! Which region serves a request, and shifts between regions.

use crate::placement::support::{
    SERVICE_TIME, SLOTS, START, answered, chosen, domain_of, fill, query, table, vm_location,
};
use dahliawood_model::FastMap;
use dahliawood_model::FastSet;
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::balance;
use dahliawood_steer::placement::choose::{self, PlacementQuery, VmLocation};
use dahliawood_steer::placement::spillover;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

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
    /// Objects of one customer that sends half of all requests.
    hot_objects: Vec<u64>,
}

impl LoadSimulation {
    fn new(counts: &[(&str, usize)], seed: u64) -> Self {
        Self {
            table: table(counts),
            objects: StdRng::seed_from_u64(seed),
            now: START,
            running: Vec::new(),
            remote_load: 0,
            hot_objects: Vec::new(),
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
            balance::adjust_spillover(&mut self.table, &location, self.now);
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
                pace: None,
                received_at: now,
            };
            self.table.finish(key, answered(Some(load)), now);
        }
    }

    /// Sends the next request; returns its failure domain, `None` if it is refused.
    fn send(&mut self, location: &VmLocation) -> Option<String> {
        let object = match self.hot_objects.len() {
            hot @ 1.. if self.objects.random_bool(0.5) => {
                self.hot_objects[self.objects.random_range(0..hot)]
            }
            _ => self.objects.random_range(0..100_u64),
        };
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
fn a_hot_customer_moves_few_requests_between_regions_in_two_seconds() {
    for seed in 0..12 {
        let mut simulation = LoadSimulation::new(&[("a-1", 8), ("b-1", 36), ("c-1", 36)], seed);
        let mut last = remote_share(&simulation.run(150, 12));
        simulation.hot_objects = (seed * 2..seed * 2 + 2).collect();
        for window in 0..6 {
            let share = remote_share(&simulation.run(300, 4));
            let change = (share - last).abs();
            assert!(
                change <= 0.15,
                "seed {seed}, window {window}: {last:.2} to {share:.2}"
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
    simulation.table.set_evacuated(lost, simulation.now);
    let ran = simulation.run(40, 1);
    assert!(ran.len() >= 19, "{} of 20 were served", ran.len());
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
