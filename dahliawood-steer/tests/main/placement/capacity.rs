//! Replays of a region with a tenth of the slots and a third of the callers, beside the previous decision.

use crate::placement::support::{
    SERVICE, START, chosen, domain_of, fill, query, report, table, vm_location,
};
use dahliawood_model::catalog::{TargetEntry, TargetLoad};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::{FastMap, FastSet};
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::balance;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose::{
    self, ColdLimit, PlacementChoice, PlacementQuery, QueueTurn, VmLocation,
};
use dahliawood_steer::placement::ranking::OrderKey;
use dahliawood_steer::placement::spillover::shares::ShareReason;
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use dahliawood_steer::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const REGIONS: [&str; 3] = ["a", "b", "c"];
const TARGETS: [usize; 3] = [6, 26, 32];
const VMS: usize = 6;
const SLOTS: usize = 4;
const QUEUE: usize = 12;
const CACHED: usize = 24;
const OBJECTS: f64 = 400.0;
/// Time of a request whose object is cached, ms; a first visit takes 1 / 0.3 of it.
const WORK: f64 = 250.0;
const TARGET_LATENCY: u64 = 1_000;

#[derive(Clone, Copy)]
struct Request {
    vm: usize,
    object: u64,
    arrived: u64,
    sent: u64,
    is_retry: bool,
    target: usize,
}

#[derive(Clone, Default)]
struct Target {
    region: usize,
    running: usize,
    queue: VecDeque<Request>,
    cache: VecDeque<u64>,
    is_lost: bool,
}

#[derive(Clone, Copy)]
enum Event {
    Arrive(Request),
    End(Request),
    Answer(Request, ResultKind, Option<TargetLoad>),
}

/// Requests, worth and runs by region of the requests of one region's callers in a window of 2 s.
#[derive(Clone, Copy, Default)]
struct Window {
    requests: f64,
    worth: f64,
    ran: [f64; 3],
}

struct Replay {
    now: u64,
    rng: StdRng,
    vms: Vec<(VmLocation, PlacementTable)>,
    targets: Vec<Target>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Event>,
    windows: Vec<[Window; 3]>,
    /// Position in the swing of demand at the start, in cycles.
    phase: f64,
    /// Whether the previous decision is replayed.
    is_previous: bool,
    /// Share of region a's requests that are for one object.
    hot: f64,
    hot_object: u64,
}

fn domain_entry(id: usize, region: usize) -> TargetEntry {
    TargetEntry {
        id: format!("target-{id}"),
        address: ([10, 0, 0, id as u8], 80).into(),
        service: SERVICE.to_owned(),
        domain: format!("{}-1", REGIONS[region]),
        slots: SLOTS as u32,
        is_draining: false,
        cold_for: Duration::ZERO,
        started_millis: 1,
    }
}

fn stamp(millis: u64) -> TimeStamp {
    START.after(Duration::from_millis(millis))
}

/// The initial level of the previous decision.
fn previous_init(table: &mut PlacementTable, location: &VmLocation) {
    let slots = |region: Option<&str>| -> u32 {
        let targets = table.targets(SERVICE);
        let targets = targets.filter(|target| region.is_none_or(|region| target.region == region));
        targets.map(|target| target.entry.slots).sum()
    };
    let even = f64::from(slots(None)) / 3.0;
    let level = 1.0 - f64::from(slots(Some(&location.region))) / even;
    table
        .services
        .get_mut(SERVICE)
        .unwrap()
        .spillover
        .init(level);
}

/// One step of the previous decision.
fn previous_step(table: &mut PlacementTable, location: &VmLocation, now: TimeStamp) {
    let average = table.average_service_time(SERVICE);
    let share = |is_local: bool| {
        let side = table.targets(SERVICE).filter(|target| {
            (target.region == location.region) == is_local
                && (is_local || target.load.has_fresh_report(average, now))
        });
        let (mut used, mut slots, mut targets) = (0.0, 0.0, 0);
        for target in side {
            used += target.load.outstanding(average, now);
            slots += f64::from(target.entry.slots);
            targets += 1;
        }
        (is_local || targets >= 3).then(|| used / slots)
    };
    let (local, remote) = (share(true).unwrap(), share(false));
    table
        .services
        .get_mut(SERVICE)
        .unwrap()
        .spillover
        .step(local, remote);
}

impl Replay {
    fn new(seed: u64, phase: f64, is_previous: bool) -> Self {
        let regions: FastMap<String, String> = REGIONS
            .iter()
            .map(|name| (format!("{name}-1"), (*name).to_owned()))
            .collect();
        let regions_of = |counts: [usize; 3]| {
            (0..3).flat_map(move |region| std::iter::repeat_n(region, counts[region]))
        };
        let target = |region| Target {
            region,
            ..Target::default()
        };
        let targets: Vec<Target> = regions_of(TARGETS).map(target).collect();
        let vm = |(number, region): (usize, usize)| {
            let names: Vec<String> = (0..VMS).map(|vm| format!("vm-{vm}")).collect();
            let domain = format!("{}-1", REGIONS[region]);
            let mut location = VmLocation::new(&names[number % VMS], &domain, REGIONS[region]);
            let listed = names.iter().map(String::as_str);
            location.sharers.set_listed(listed, START);
            location.sharers.confirm(stamp(1_000_000));
            let mut table = PlacementTable::new(regions.clone());
            for (id, target) in targets.iter().enumerate() {
                table.upsert(domain_entry(id, target.region), START);
            }
            if is_previous {
                previous_init(&mut table, &location);
            }
            (location, table)
        };
        Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            vms: regions_of([VMS; 3]).enumerate().map(vm).collect(),
            targets,
            due: BinaryHeap::new(),
            events: Vec::new(),
            windows: Vec::new(),
            phase,
            is_previous,
            hot: 0.0,
            hot_object: 0,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.due.push(Reverse((at, self.events.len())));
        self.events.push(event);
    }

    /// Runs for some seconds with `rate` requests per second over all regions.
    fn run(&mut self, seconds: u64, rate: f64) {
        for _ in 0..seconds * 1_000 {
            if self.now.is_multiple_of(2_000) {
                self.windows.push(Default::default());
            }
            if self.now.is_multiple_of(500) {
                self.step();
            }
            for region in 0..3 {
                let angle = self.now as f64 / 36_000.0 + region as f64 / 3.0 + self.phase;
                let swing = 1.0 + 0.55 * (angle * std::f64::consts::TAU).sin();
                if self.rng.random_bool((rate * swing / 3_000.0).min(1.0)) {
                    self.arrive(region);
                }
            }
            while let Some(Reverse((at, index))) = self.due.peek().copied()
                && at <= self.now
            {
                self.due.pop();
                let event = self.events[index];
                self.handle(event);
            }
            self.now += 1;
        }
    }

    /// The periodic work of all VMs.
    fn step(&mut self) {
        let now = stamp(self.now);
        for (location, table) in &mut self.vms {
            for (key, _) in table.begin_checks(SLOTS * 16, now) {
                table.finish_check(key, !self.targets[key.0 as usize].is_lost, now);
            }
            if !self.is_previous {
                balance::adjust_spillover(table, location, now);
                continue;
            }
            previous_step(table, location, now);
        }
    }

    fn lose(&mut self, region: usize, is_lost: bool) {
        let targets = self.targets.iter_mut();
        for target in targets.filter(|target| target.region == region) {
            target.is_lost = is_lost;
        }
    }

    fn evacuate(&mut self, domains: &[&str]) {
        for (_, table) in &mut self.vms {
            let domains = domains.iter().map(|domain| (*domain).to_owned());
            table.set_evacuated(domains.collect(), stamp(self.now));
        }
    }

    fn arrive(&mut self, region: usize) {
        let is_hot = region == 0 && self.hot > 0.0 && self.rng.random_bool(self.hot);
        let drawn = (OBJECTS * self.rng.random::<f64>().powf(1.5)) as u64;
        let object = if is_hot { self.hot_object } else { drawn };
        let request = Request {
            vm: region * VMS + self.rng.random_range(0..VMS),
            object: rendezvous::name_hash(&object.to_le_bytes()),
            arrived: self.now,
            ..NONE
        };
        self.window(request).requests += 1.0;
        self.send(request, &[]);
    }

    /// The window in which a request arrived.
    fn window(&mut self, request: Request) -> &mut Window {
        &mut self.windows[(request.arrived / 2_000) as usize][request.vm / VMS]
    }

    fn send(&mut self, mut request: Request, tried: &[TargetKey]) {
        let spent = self.now - request.arrived;
        let left = TARGET_LATENCY.saturating_sub(spent + WORK as u64);
        let query = PlacementQuery {
            rank: None,
            turn: QueueTurn::Arriving,
            route: 0,
            service: SERVICE,
            object: Some(request.object),
            is_bulk: false,
            regions: [&[], &[]],
            tried,
            max_wait: Duration::from_millis(left.max(TARGET_LATENCY / 4)),
            time_left: Duration::from_millis((2 * TARGET_LATENCY).saturating_sub(spent)),
            cold: ColdLimit {
                per_second: 1_000.0,
                lasts: Duration::ZERO,
            },
        };
        let (location, table) = &mut self.vms[request.vm];
        let now = stamp(self.now);
        let PlacementChoice::Target(key) = choose::choose(table, location, &query, now) else {
            return;
        };
        table.begin(key, now);
        request.target = key.0 as usize;
        request.sent = self.now;
        let region = self.targets[request.target].region;
        if !request.is_retry {
            self.window(request).ran[region] += 1.0;
        }
        let at = self.now + self.delay(request);
        self.schedule(at, Event::Arrive(request));
    }

    /// One-way delay between a request's VM and its target, ms.
    fn delay(&self, request: Request) -> u64 {
        let is_local = self.targets[request.target].region == request.vm / VMS;
        if is_local { 1 } else { 13 }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                let target = &mut self.targets[request.target];
                if target.is_lost {
                    self.answer(request, ResultKind::Refused);
                } else if target.running < SLOTS {
                    self.start(request);
                } else if target.queue.len() < QUEUE {
                    target.queue.push_back(request);
                } else {
                    self.answer(request, ResultKind::Shed);
                }
            }
            Event::End(request) => {
                self.targets[request.target].running -= 1;
                if let Some(next) = self.targets[request.target].queue.pop_front() {
                    self.start(next);
                }
                self.answer(request, ResultKind::Answered);
            }
            Event::Answer(request, kind, load) => self.finish(request, kind, load),
        }
    }

    fn start(&mut self, request: Request) {
        let target = &mut self.targets[request.target];
        target.running += 1;
        let cached = target
            .cache
            .iter()
            .position(|known| *known == request.object);
        let work = if cached.is_some() { WORK } else { WORK / 0.3 };
        cached.map(|index| target.cache.remove(index));
        target.cache.push_front(request.object);
        target.cache.truncate(CACHED);
        let at = self.now + (work * self.rng.random_range(0.7..1.3)) as u64;
        self.schedule(at, Event::End(request));
    }

    fn answer(&mut self, request: Request, kind: ResultKind) {
        let target = &self.targets[request.target];
        let load = TargetLoad {
            pace: None,
            running: target.running as u32,
            waiting: target.queue.len() as u32,
            slots: SLOTS as u32,
            received_at: stamp(self.now),
        };
        let load = (!target.is_lost).then_some(load);
        let at = self.now + self.delay(request);
        self.schedule(at, Event::Answer(request, kind, load));
    }

    fn finish(&mut self, request: Request, kind: ResultKind, load: Option<TargetLoad>) {
        let key = TargetKey(request.target as u32);
        let (_, table) = &mut self.vms[request.vm];
        let order = OrderKey {
            object: request.object,
            is_bulk: false,
        };
        let result = TargetResult {
            expected_wait: Duration::ZERO,
            connect_time: None,
            route: 0,
            kind,
            latency: Duration::from_millis(self.now - request.sent),
            report: report(load),
            visit: Some(ObjectVisit {
                object: request.object,
                is_preferred: table.is_preferred(key, order),
            }),
            slack: Duration::from_millis(TARGET_LATENCY - WORK as u64),
        };
        table.finish(key, result, stamp(self.now));
        let taken = (self.now - request.arrived) as f64 / TARGET_LATENCY as f64;
        if kind == ResultKind::Answered {
            self.window(request).worth += (2.0 - taken).clamp(0.0, 1.0);
        } else if !request.is_retry {
            let retry = Request {
                is_retry: true,
                ..request
            };
            self.send(retry, &[key]);
        }
    }
}

const NONE: Request = Request {
    vm: 0,
    object: 0,
    arrived: 0,
    sent: 0,
    is_retry: false,
    target: 0,
};

/// Windows of four replays with the same swing of demand, added up.
fn replay(phase: f64, is_previous: bool, play: impl Fn(&mut Replay)) -> Vec<[Window; 3]> {
    let mut sums: Vec<[Window; 3]> = Vec::new();
    for seed in 0..4 {
        let mut replay = Replay::new(seed, phase, is_previous);
        play(&mut replay);
        sums.resize(replay.windows.len(), Default::default());
        for (sum, window) in sums
            .iter_mut()
            .flatten()
            .zip(replay.windows.iter().flatten())
        {
            sum.requests += window.requests;
            sum.worth += window.worth;
            (0..3).for_each(|region| sum.ran[region] += window.ran[region]);
        }
    }
    sums
}

/// Share of the worth that the first region's callers got, and the mean of the others.
fn worth(windows: &[[Window; 3]]) -> (f64, f64) {
    let sum = |region: usize, part: fn(&Window) -> f64| -> f64 {
        windows.iter().map(|window| part(&window[region])).sum()
    };
    let share = |region| sum(region, |window| window.worth) / sum(region, |window| window.requests);
    (share(0), share(1).midpoint(share(2)))
}

/// The largest share of the first region's requests that change their region between two windows.
fn shift(windows: &[[Window; 3]]) -> f64 {
    let share = |window: &Window, side: usize| window.ran[side] / window.ran.iter().sum::<f64>();
    let moved = windows.windows(2).map(|pair| {
        let change = |side| (share(&pair[0][0], side) - share(&pair[1][0], side)).abs();
        (0..3).map(change).sum::<f64>() / 2.0
    });
    moved.fold(0.0, f64::max)
}

const PHASES: [f64; 4] = [0.0, 0.25, 0.5, 0.75];

/// Guards against few slots that get more than their part of the demand: at a start, when nothing is
/// cached, in the swing of demand, and by objects that wander and are cached nowhere.
#[test]
fn callers_of_a_region_with_few_slots_are_served_like_others_from_the_first_second() {
    let at_full_start = [(500.0, 0.25), (500.0, 0.75)];
    for (rate, phase) in PHASES
        .map(|phase| (360.0, phase))
        .into_iter()
        .chain(at_full_start)
    {
        let play = |replay: &mut Replay| replay.run(40, rate);
        let [now, before] = [false, true].map(|is_previous| replay(phase, is_previous, play));
        let case = format!("{rate}/s, phase {phase}");
        let (start, later) = (worth(&now[..3]), worth(&now[3..]));
        assert!(start.0 > start.1 - 0.1, "{case}: {start:?} at the start");
        assert!(later.0 > later.1 - 0.05, "{case}: {later:?} later");
        let previous = worth(&before[3..]);
        assert!(
            later.0 >= previous.0,
            "{case}: {later:?}, before {previous:?}"
        );
        let shift = shift(&now[1..]);
        assert!(shift <= 0.15, "{case}: {shift}");
    }
}

/// Guards against requests that come back all at once when a region's own targets return.
#[test]
fn an_evacuated_region_gets_its_requests_back_slowly() {
    for phase in [0.25, 0.75] {
        let windows = replay(phase, false, |replay| {
            replay.run(16, 360.0);
            replay.evacuate(&["a-1"]);
            replay.run(10, 360.0);
            replay.evacuate(&[]);
            replay.run(20, 360.0);
        });
        let (during, after) = (worth(&windows[8..13]), worth(&windows[13..]));
        assert!(during.0 > 0.95 && after.0 > 0.95, "{during:?} {after:?}");
        // The evacuation itself moves requests at once.
        let shifts = [shift(&windows[1..8]), shift(&windows[8..])];
        assert!(shifts.iter().all(|shift| *shift <= 0.15), "{shifts:?}");
        assert!(windows.last().unwrap()[0].ran[0] > 0.0);
    }
}

/// Guards against retries in the region that is lost, against its share being sent to the few targets of
/// this region, and against requests that return all at once.
#[test]
fn callers_are_served_while_another_region_is_lost_and_after_it_returns() {
    for phase in [0.25, 0.75] {
        let play = |replay: &mut Replay| {
            replay.run(16, 300.0);
            replay.lose(2, true);
            replay.run(10, 300.0);
            replay.lose(2, false);
            replay.run(24, 300.0);
        };
        let windows = replay(phase, false, play);
        let (during, after) = (worth(&windows[8..13]), worth(&windows[13..]));
        assert!(during.0 > during.1 - 0.05, "{during:?}");
        assert!(after.0 > after.1 - 0.05, "{after:?}");
        let shift = shift(&windows[11..]);
        assert!(shift <= 0.15, "{shift}");
        assert!(windows.last().unwrap()[0].ran[2] > 0.0);
    }
}

/// Guards against an object that takes a large share of the requests to its region, and one that fills the
/// slots of its target.
#[test]
fn a_hot_object_is_divided_among_the_regions() {
    for phase in PHASES {
        let play = |replay: &mut Replay| {
            replay.run(16, 360.0);
            replay.hot_object = 3 + (phase * 40.0) as u64;
            replay.hot = 0.4;
            replay.run(10, 360.0);
            replay.hot = 0.0;
            replay.run(10, 360.0);
        };
        let windows = replay(phase, false, play);
        let shift = shift(&windows[1..]);
        assert!(shift <= 0.15, "phase {phase}: {shift}");
        let during = worth(&windows[8..13]);
        assert!(during.0 > 0.95, "phase {phase}: {during:?}");
    }
}

/// Guards against changes where a region has half of an even share or more: its VMs place requests by the
/// previous decision.
#[test]
fn a_region_with_half_of_an_even_share_places_requests_as_before() {
    for (counts, domain) in [([3, 6, 9], "a-1"), ([2, 6, 8], "b-1")] {
        let domains = ["a-1", "b-1", "c-1"];
        let counts: Vec<_> = domains.into_iter().zip(counts).collect();
        let (mut one, mut other) = (table(&counts), table(&counts));
        let location = vm_location(domain, 3);
        previous_init(&mut other, &location);
        let mut rng = StdRng::seed_from_u64(1);
        for turn in 0..2_000_u64 {
            let now = START.after(Duration::from_millis(turn * 10));
            let (busy, waiting) = (domains[rng.random_range(0..3)], rng.random_range(0..8));
            let object = rendezvous::name_hash(&rng.random_range(0..90_u64).to_le_bytes());
            let choices = [&mut one, &mut other].map(|table| {
                if turn % 20 == 0 {
                    fill(table, busy, waiting, now);
                }
                choose::choose(table, &location, &query(object), now)
            });
            assert_eq!(choices[0], choices[1], "{domain}, turn {turn}");
            if turn % 50 == 49 {
                balance::adjust_spillover(&mut one, &location, now);
                previous_step(&mut other, &location, now);
            }
        }
        assert!(one.services[SERVICE].spillover.shares().is_none());
    }
}

/// Guards against requests that are refused because their object belongs to a region that they may not use.
#[test]
fn a_route_that_allows_only_the_region_with_few_slots_is_served_there() {
    let mut table = table(&[("a-1", 2), ("b-1", 6), ("c-1", 8)]);
    let own = ["a".to_owned()];
    for object in 0..100 {
        let restricted = PlacementQuery {
            regions: [&own, &[]],
            ..query(rendezvous::name_hash(&u64::to_le_bytes(object)))
        };
        let choice = choose::choose(&mut table, &vm_location("a-1", 1), &restricted, START);
        assert_eq!(domain_of(&table, chosen(choice).unwrap()), "a-1");
    }
}

/// Guards against a VM that moves objects by registrations that others know to be outdated, and one that
/// starts later and takes none of the objects that others keep.
#[test]
fn stale_registrations_change_no_share_and_a_later_vm_begins_by_slots() {
    let mut table = table(&[("a-1", 2), ("b-1", 9), ("c-1", 8)]);
    let location = vm_location("a-1", 1);
    choose::choose(&mut table, &location, &query(1), START);
    let first = table.services[SERVICE].spillover.clone();
    assert!((0.6..0.9).contains(&first.level()), "{}", first.level());
    table.set_evacuated(FastSet::from_iter(["c-1".to_owned()]), START);
    let late = START.after(Duration::from_secs(120));
    balance::adjust_spillover(&mut table, &location, late);
    let held = &table.services[SERVICE].spillover;
    assert_eq!(
        (held.level(), held.reason()),
        (first.level(), Some(ShareReason::Stale))
    );
    let pool = table.services.get_mut(SERVICE).unwrap();
    let reported = pool.spillover.take_change().map(|change| change.reason);
    assert_eq!(reported, Some(ShareReason::Stale));
    assert_eq!(pool.spillover.take_change(), None);
    balance::adjust_spillover(&mut table, &location, START);
    let shares = table.services[SERVICE].spillover.shares().unwrap();
    assert_eq!(
        (shares.share("c"), shares.reason()),
        (0.0, ShareReason::SlotsLost)
    );
    // Shares move by utilization again while the region stays without slots.
    balance::adjust_spillover(&mut table, &location, START);
    let shares = table.services[SERVICE].spillover.shares().unwrap();
    assert_ne!(shares.reason(), ShareReason::SlotsLost);
}
