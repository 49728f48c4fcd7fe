//! Targets that turn cold before the VMs are told: what all VMs together send one of them stays within
//! its limit, and no request is refused for it while other targets have room.
//!
//! Each VM learns of each change of the store some time after it was written, or never.

use crate::placement::support::{START, answered, entry, query, regions};
use dahliawood_model::FastSet;
use dahliawood_model::catalog::TargetEntry;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::choose::{
    self, ColdLimit, PlacementChoice, PlacementQuery, VmLocation,
};
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// Requests a second that the cold target tolerates.
const LIMIT: f64 = 15.35;
/// How long a target is cold.
const COLD: Duration = Duration::from_secs(3);
/// Requests a second that arrive at all VMs together.
const DEMAND: f64 = 160.0;
/// How long a target takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The longest time until a VM in touch knows a change.
const MAX_LAG_MILLIS: u64 = 1_600;
const OBJECTS: u64 = 64;
/// The failure domain of the targets that turn cold.
const DOMAIN: &str = "a-1";
/// Targets in each of the two failure domains of the VMs' region.
const TARGETS: usize = 2;

type Change = Box<dyn Fn(&mut PlacementTable, TimeStamp)>;

/// Requests on their way at one VM, by when they are answered.
type InFlight = Vec<(TimeStamp, TargetKey)>;

struct SimulatedVm {
    location: VmLocation,
    table: PlacementTable,
    in_flight: InFlight,
    /// Changes that this VM has not learnt yet.
    changes: Vec<(TimeStamp, Change)>,
}

struct SimulatedFleet {
    random: StdRng,
    vms: Vec<SimulatedVm>,
    /// Requests that reached the targets of [`DOMAIN`], with the target's id.
    arrived: Vec<(TimeStamp, String)>,
    refused: usize,
    /// When no process listens at the targets of [`DOMAIN`].
    down: std::ops::Range<TimeStamp>,
}

fn at(seconds: f64) -> TimeStamp {
    START.after(Duration::from_secs_f64(seconds))
}

fn target(number: usize, cold_for: Duration) -> TargetEntry {
    let domain = if number < TARGETS { DOMAIN } else { "a-2" };
    TargetEntry {
        slots: 1_000,
        cold_for,
        ..entry(number, domain)
    }
}

fn new_vm(number: usize, vms: usize) -> SimulatedVm {
    let mut table = PlacementTable::new(regions());
    for number in 0..2 * TARGETS {
        table.upsert(target(number, Duration::ZERO), START);
    }
    let name = |vm: usize| format!("vm-{vm}");
    let mut location = VmLocation::new(&name(number), "a-1", "a");
    let names: Vec<String> = (0..vms).map(name).collect();
    for listed_at in [START.before(Duration::from_secs(60)), START] {
        let names = names.iter().map(String::as_str);
        location.sharers.set_listed(names, listed_at);
    }
    SimulatedVm {
        location,
        table,
        in_flight: Vec::new(),
        changes: Vec::new(),
    }
}

impl SimulatedFleet {
    fn new(vms: usize, seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            vms: (0..vms).map(|number| new_vm(number, vms)).collect(),
            arrived: Vec::new(),
            refused: 0,
            down: START..START,
        }
    }

    /// All VMs learn a change that is written at `written`, each some time later.
    fn announce(
        &mut self,
        written: TimeStamp,
        change: impl Fn(&mut PlacementTable, TimeStamp) + Clone + 'static,
    ) {
        for vm in &mut self.vms {
            let lag = Duration::from_millis(self.random.random_range(50..MAX_LAG_MILLIS));
            vm.changes
                .push((written.after(lag), Box::new(change.clone())));
        }
    }

    fn play(&mut self, until: TimeStamp) {
        let mut now = START;
        while now < until {
            if now == self.down.start && !self.down.is_empty() {
                self.break_off(now);
            }
            for number in 0..self.vms.len() {
                self.step(number, now);
            }
            now = now.after(STEP);
        }
    }

    /// The requests in flight at the targets of [`DOMAIN`] break off as these crash. The VMs that see
    /// it find that the processes are gone, and tell the others.
    fn break_off(&mut self, now: TimeStamp) {
        let mut gone: Vec<u64> = Vec::new();
        for vm in &mut self.vms {
            let table = &mut vm.table;
            let in_domain = |key: TargetKey, table: &PlacementTable| {
                table.get(key).unwrap().entry.domain == DOMAIN
            };
            let lost = vm
                .in_flight
                .extract_if(.., |(_, key)| in_domain(*key, table));
            let lost: Vec<TargetKey> = lost.map(|(_, key)| key).collect();
            for key in lost {
                gone.push(vm.table.get(key).unwrap().process());
                vm.table.finish(key, errored(), now);
            }
        }
        for process in gone {
            self.announce(now, move |table, now| table.record_gone(process, now));
        }
    }

    fn step(&mut self, number: usize, now: TimeStamp) {
        let vms = self.vms.len() as f64;
        let vm = &mut self.vms[number];
        vm.location.sharers.confirm(now);
        for (_, change) in vm
            .changes
            .extract_if(.., |(learnt_at, _)| now >= *learnt_at)
        {
            change(&mut vm.table, now);
        }
        for (_, key) in vm.in_flight.extract_if(.., |(end, _)| now >= *end) {
            vm.table.finish(key, answered(None), now);
        }
        self.check_targets(number, now);
        if self.random.random::<f64>() < DEMAND * STEP.as_secs_f64() / vms {
            self.request(number, now);
        }
    }

    /// The VM opens connections to the targets that it holds for down.
    fn check_targets(&mut self, number: usize, now: TimeStamp) {
        let is_accepted = !self.down.contains(&now);
        let table = &mut self.vms[number].table;
        for (key, _) in table.begin_checks(usize::MAX, now) {
            table.finish_check(key, is_accepted, now);
        }
    }

    fn request(&mut self, number: usize, now: TimeStamp) {
        let object = self.random.random_range(0..OBJECTS);
        let vm = &mut self.vms[number];
        let choice = choose::choose(&mut vm.table, &vm.location, &cold_query(object), now);
        let PlacementChoice::Target(key) = choice else {
            self.refused += 1;
            return;
        };
        vm.table.begin(key, now);
        let entry = &vm.table.get(key).unwrap().entry;
        if entry.domain == DOMAIN {
            if self.down.contains(&now) {
                vm.table.finish(key, refused(), now);
                return;
            }
            self.arrived.push((now, entry.id.clone()));
        }
        vm.in_flight.push((now.after(ANSWER_TIME), key));
    }

    /// The most requests that one target received in a second from `start` to `end`.
    fn most_in_a_second(&self, start: TimeStamp, end: TimeStamp) -> usize {
        let received = |id: &str| -> Vec<TimeStamp> {
            let arrived = self.arrived.iter();
            let arrived = arrived.filter(|(now, to)| to == id && (start..end).contains(now));
            arrived.map(|(now, _)| *now).collect()
        };
        let most = |times: Vec<TimeStamp>| {
            let in_second = |last: &TimeStamp| {
                let recent = |time: &&TimeStamp| {
                    **time <= *last && last.since(**time) < Duration::from_secs(1)
                };
                times.iter().filter(recent).count()
            };
            times.iter().map(in_second).max().unwrap_or(0)
        };
        let ids = (0..TARGETS).map(|number| target(number, COLD).id);
        ids.map(|id| most(received(&id))).max().unwrap_or(0)
    }
}

/// The result of a request whose connection broke off.
fn errored() -> TargetResult {
    TargetResult {
        kind: ResultKind::Errored,
        ..answered(None)
    }
}

/// The result of a request at a target whose process is gone.
fn refused() -> TargetResult {
    TargetResult {
        kind: ResultKind::Refused,
        latency: Duration::from_millis(1),
        ..answered(None)
    }
}

fn cold_query(object: u64) -> PlacementQuery<'static> {
    PlacementQuery {
        cold: ColdLimit {
            per_second: LIMIT,
            lasts: COLD,
        },
        ..query(object)
    }
}

/// The targets of an evacuated failure domain turn cold a second before the evacuation ends, and say
/// so in the store only a second after its end.
#[test]
fn targets_that_say_after_their_evacuation_that_they_are_cold_are_not_flooded() {
    for vms in [4, 10, 31, 91, 300] {
        let mut fleet = SimulatedFleet::new(vms, vms as u64);
        let evacuated = FastSet::from_iter([DOMAIN.to_owned()]);
        fleet.announce(at(2.0), move |table, now| {
            table.set_evacuated(evacuated.clone(), now);
        });
        fleet.announce(at(8.0), |table, now| {
            table.set_evacuated(FastSet::default(), now);
        });
        fleet.announce(at(9.0), |table, now| {
            for number in 0..TARGETS {
                table.upsert(target(number, Duration::from_secs(1)), now);
            }
        });
        fleet.play(at(16.0));
        let most = fleet.most_in_a_second(at(7.0), at(10.0));
        assert!(most <= LIMIT as usize, "{vms} VMs: {most} in a second");
        assert_eq!(fleet.refused, 0, "{vms} VMs");
        let later = fleet.most_in_a_second(at(13.0), at(16.0));
        assert!(
            later as f64 > LIMIT,
            "{vms} VMs: {later} in a second once they are warm"
        );
    }
}

/// All targets of a failure domain crash and start again under their ids, and are cut off from the
/// store, so that their entries do not change.
fn play_restart(vms: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(vms, vms as u64);
    fleet.down = at(4.0)..at(7.0);
    fleet.play(at(16.0));
    fleet
}

fn assert_restart_is_borne(vms: usize) {
    let fleet = play_restart(vms);
    let most = fleet.most_in_a_second(at(7.0), at(10.0));
    assert!(most <= LIMIT as usize, "{vms} VMs: {most} in a second");
    assert_eq!(fleet.refused, 0, "{vms} VMs");
    let later = fleet.most_in_a_second(at(13.0), at(16.0));
    assert!(
        later as f64 > LIMIT,
        "{vms} VMs: {later} in a second once they are warm"
    );
}

#[test]
fn targets_that_restart_under_their_ids_are_not_flooded() {
    for vms in [4, 10, 31] {
        assert_restart_is_borne(vms);
    }
}

/// Most of the VMs send the targets nothing while they are down.
#[test]
fn targets_that_restart_unseen_by_most_vms_are_not_flooded() {
    for vms in [91, 300] {
        assert_restart_is_borne(vms);
    }
}
