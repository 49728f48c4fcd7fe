//! Replays targets that return to a region under load, at 3 to 300 VMs, with slow start by response and
//! without it: until when they carry their share, how much queues at them, and how many callers are late.

use crate::placement::support::{
    SERVICE, SLOTS, START, answered, busy_result, chosen, entry, numbered_location, query, regions,
    report, table,
};
use dahliawood_model::FastSet;
use dahliawood_model::catalog::{TargetEntry, TargetLoad, TargetReport};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose::{self, PlacementQuery, VmLocation};
use dahliawood_steer::placement::ranking::OrderKey;
use dahliawood_steer::placement::record::TargetRecord;
use dahliawood_steer::placement::table::{PlacementTable, TargetResult};
use dahliawood_steer::placement::warmup::{
    PeerLoad, SetbackCause, TargetWarmup, WarmupCause, WarmupChange, WarmupSample,
};
use dahliawood_steer::rendezvous;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const TARGETS: usize = 12;
const CACHED: usize = 24;
/// Requests that queue at a target at most.
const QUEUE: u32 = 12;
const FIRST_MILLIS: f64 = 840.0;
const LATER_MILLIS: f64 = 252.0;
const AIM: Duration = Duration::from_millis(900);
/// Requests a second; the targets serve 143 of objects that they have cached.
const DEMANDS: [f64; 2] = [60.0, 85.0];
const RETURN: TimeStamp = TimeStamp::from_millis(1_012_000);
/// Replays of each case, of which the outcomes are summed; single ones differ by a tenth under load.
const SEEDS: u64 = 4;
const OBSERVED: Duration = Duration::from_secs(10);
/// Fleets of this size share the reports that their VMs receive.
const SHARING_VMS: usize = 12;

/// How targets return.
#[derive(Clone, Copy, Debug)]
struct ReturnPlan {
    /// How many of the targets return.
    targets: usize,
    /// They registered anew, cold for 3 s; otherwise their drain ends.
    is_new: bool,
    /// How many times slower they are, and until when after their return.
    slow: (f64, Duration),
    /// For how long they refuse connections in each 3 s.
    down: Duration,
    /// Every how many VMs one has just started when they return.
    joins: usize,
    /// Every how many VMs one receives no reports from others.
    uninformed: usize,
}

const PLAN: ReturnPlan = ReturnPlan {
    targets: 1,
    is_new: false,
    slow: (1.0, Duration::ZERO),
    down: Duration::ZERO,
    joins: usize::MAX,
    uninformed: usize::MAX,
};

#[derive(Clone, Debug)]
struct Host {
    ends: Vec<TimeStamp>,
    cached: VecDeque<u64>,
}

impl Host {
    fn load(&self, now: TimeStamp) -> TargetLoad {
        let present = self.ends.iter().filter(|end| **end > now).count() as u32;
        let waiting = present.saturating_sub(SLOTS);
        TargetLoad {
            running: present - waiting,
            waiting,
            slots: SLOTS,
            pace: None,
            received_at: now,
        }
    }

    fn run(&mut self, object: u64, factor: f64, now: TimeStamp) -> TimeStamp {
        let is_first = !self.cached.contains(&object);
        self.cached.retain(|cached| *cached != object);
        self.cached.push_front(object);
        self.cached.truncate(CACHED);
        let millis = factor * if is_first { FIRST_MILLIS } else { LATER_MILLIS };
        self.ends.retain(|end| *end > now);
        self.ends.sort();
        let before = self.ends.len().checked_sub(SLOTS as usize);
        let begin = before.map_or(now, |index| self.ends[index]);
        let end = begin.after(Duration::from_secs_f64(millis / 1000.0));
        self.ends.push(end);
        end
    }
}

/// What was seen while the targets returned.
#[derive(Clone, Copy, Debug, Default)]
struct ReturnOutcome {
    /// Until when they got less than 0.7 of their share in a second.
    share_after_secs: usize,
    /// The mean queue that a request met at them, beyond that at the others.
    excess_queue: f64,
    /// Callers that were refused, or got no response within their aim.
    late: u32,
}

impl ReturnOutcome {
    fn add(&mut self, other: Self) {
        self.share_after_secs += other.share_after_secs;
        self.excess_queue += other.excess_queue;
        self.late += other.late;
    }
}

fn returning_entry(id: usize, plan: &ReturnPlan, is_back: bool) -> TargetEntry {
    let is_new = plan.is_new && is_back;
    TargetEntry {
        is_draining: !is_back,
        cold_for: Duration::from_secs(if is_new { 3 } else { 0 }),
        started_millis: if is_new { 2 } else { 1 },
        ..entry(id, "a-1")
    }
}

fn new_table(plan: &ReturnPlan, is_back: bool, now: TimeStamp) -> PlacementTable {
    let mut table = PlacementTable::new(regions());
    for id in 0..TARGETS {
        let is_returning = id < plan.targets;
        let entry = if is_returning {
            returning_entry(id, plan, is_back)
        } else {
            entry(id, "a-1")
        };
        table.upsert(entry, now);
    }
    table
}

/// A request that runs, or fails, until a moment.
struct RunningRequest {
    vm: usize,
    key: TargetKey,
    host: usize,
    begun: TimeStamp,
    result: TargetResult,
}

struct Replay<'a> {
    plan: &'a ReturnPlan,
    random: StdRng,
    locations: Vec<VmLocation>,
    tables: Vec<PlacementTable>,
    hosts: Vec<Host>,
    running: BTreeMap<(TimeStamp, usize), RunningRequest>,
    /// Reports that VMs have received since they were shared last, with the VM and the process.
    reports: Vec<(usize, u64, TargetLoad)>,
    is_back: bool,
    /// Sums of queues met and of requests, at the targets that stayed and at those that returned.
    met: [(f64, f64); 2],
    /// Runs in each second at the targets that stayed and at those that returned.
    runs: Vec<[f64; 2]>,
    late: u32,
}

impl<'a> Replay<'a> {
    fn new(plan: &'a ReturnPlan, vms: usize, seed: u64) -> Self {
        let host = Host {
            ends: Vec::new(),
            cached: VecDeque::new(),
        };
        Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            locations: (0..vms)
                .map(|vm| numbered_location("a-1", vm, vms))
                .collect(),
            tables: (0..vms).map(|_| new_table(plan, false, START)).collect(),
            hosts: vec![host; TARGETS],
            running: BTreeMap::new(),
            reports: Vec::new(),
            is_back: false,
            met: [(0.0, 0.0); 2],
            runs: vec![[0.0; 2]; OBSERVED.as_secs() as usize],
            late: 0,
        }
    }

    fn run(mut self, is_slow_start: bool, demand: f64) -> ReturnOutcome {
        let (mut now, mut share_at) = (START, START);
        for turn in 0.. {
            let gap = -(1.0 - self.random.random::<f64>()).ln() / demand;
            now = now.after(Duration::from_secs_f64(gap));
            if now >= RETURN.after(OBSERVED) {
                break;
            }
            self.finish_until(now);
            if now >= share_at {
                share_at = now.after(Duration::from_millis(250));
                self.share_reports(now);
            }
            if !self.is_back && now >= RETURN {
                self.return_targets(now);
            }
            self.send(turn, is_slow_start, now);
        }
        let ratio = self.plan.targets as f64 / (TARGETS - self.plan.targets) as f64;
        let carries = |[others, own]: &[f64; 2]| *own >= 0.7 * ratio * others;
        let first = self.runs.iter().position(carries);
        let mean = |(sum, count): (f64, f64)| sum / count.max(1.0);
        ReturnOutcome {
            share_after_secs: first.unwrap_or(self.runs.len()),
            excess_queue: mean(self.met[1]) - mean(self.met[0]),
            late: self.late,
        }
    }

    fn finish_until(&mut self, now: TimeStamp) {
        while let Some(first) = self.running.first_entry()
            && first.key().0 <= now
        {
            let (end, mut request) = (first.key().0, first.remove());
            let table = &mut self.tables[request.vm];
            request.result.latency = end.since(request.begun);
            if request.result.kind == ResultKind::Answered {
                let load = self.hosts[request.host].load(end);
                request.result.report = report(Some(load));
                let process = table.get(request.key).map(TargetRecord::process);
                self.reports
                    .extend(process.map(|process| (request.vm, process, load)));
            }
            table.finish(request.key, request.result, end);
        }
    }

    fn share_reports(&mut self, now: TimeStamp) {
        let (vms, uninformed) = (self.tables.len(), self.plan.uninformed);
        for (from, process, load) in self.reports.drain(..) {
            let takes = |vm: &usize| *vm != from && vm % uninformed != uninformed - 1;
            for vm in (0..vms).filter(|vm| vms >= SHARING_VMS && takes(vm)) {
                let table = &mut self.tables[vm];
                let key = table.process(process).map(|(key, _)| key);
                key.into_iter()
                    .for_each(|key| table.judge_load(key, load, now));
            }
        }
    }

    fn return_targets(&mut self, now: TimeStamp) {
        self.is_back = true;
        for (vm, table) in self.tables.iter_mut().enumerate() {
            if vm % self.plan.joins == self.plan.joins - 1 {
                *table = new_table(self.plan, true, now);
            }
            let returning = 0..self.plan.targets;
            returning.for_each(|id| table.upsert(returning_entry(id, self.plan, true), now));
        }
        let hosts = self.hosts.iter_mut().take(self.plan.targets);
        hosts.for_each(|host| host.cached.clear());
    }

    fn send(&mut self, turn: usize, is_slow_start: bool, now: TimeStamp) {
        let vm = self.random.random_range(0..self.tables.len());
        let table = &mut self.tables[vm];
        if !is_slow_start {
            // Slow start is in effect only where a load is known to be reported.
            let pool = table.services.get_mut(SERVICE);
            pool.into_iter().for_each(|pool| pool.peer_loads.clear());
        }
        let number = (self.random.random::<f64>().powf(1.3) * 120.0) as u64;
        let object = rendezvous::name_hash(&number.to_le_bytes());
        let cached_time = table.cached_service_time(SERVICE);
        let query = PlacementQuery {
            max_wait: AIM.saturating_sub(cached_time).max(AIM / 4),
            time_left: Duration::from_secs(3),
            ..query(object)
        };
        let Some(key) = chosen(choose::choose(table, &self.locations[vm], &query, now)) else {
            self.late += u32::from(self.is_back);
            return;
        };
        let order = OrderKey {
            object,
            is_bulk: false,
        };
        let visit = ObjectVisit {
            object,
            is_preferred: table.is_preferred(key, order),
        };
        table.begin(key, now);
        let id = table
            .get(key)
            .unwrap()
            .entry
            .id
            .trim_start_matches("target-")
            .to_owned();
        let host: usize = id.parse().unwrap();
        let (kind, end) = self.serve(host, object, now);
        let result = TargetResult {
            kind,
            visit: Some(visit),
            ..answered(None)
        };
        let request = RunningRequest {
            vm,
            key,
            host,
            begun: now,
            result,
        };
        self.running.insert((end, turn), request);
    }

    /// Serves a request at a target; returns how and when it ends.
    fn serve(&mut self, id: usize, object: u64, now: TimeStamp) -> (ResultKind, TimeStamp) {
        let since = now.since(RETURN);
        let is_returned = self.is_back && id < self.plan.targets;
        let is_down = is_returned && since.as_millis() % 3_000 < self.plan.down.as_millis();
        let is_slow = is_returned && since < self.plan.slow.1;
        let queue = self.hosts[id].load(now).waiting;
        let soon = now.after(Duration::from_millis(3));
        let (kind, end) = if is_down {
            (ResultKind::Refused, soon)
        } else if queue >= QUEUE {
            (ResultKind::Shed, soon)
        } else {
            let factor = if is_slow { self.plan.slow.0 } else { 1.0 };
            (
                ResultKind::Answered,
                self.hosts[id].run(object, factor, now),
            )
        };
        if self.is_back {
            let met = &mut self.met[usize::from(is_returned)];
            *met = (met.0 + f64::from(queue), met.1 + 1.0);
            let is_late = kind != ResultKind::Answered || end.since(now) > AIM;
            self.late += u32::from(is_late);
            let run = f64::from(u8::from(kind == ResultKind::Answered));
            self.runs[since.as_secs() as usize][usize::from(is_returned)] += run;
        }
        (kind, end)
    }
}

/// Sums over seeds, demands and fleets of what was seen with slow start and without it.
fn compare(name: &str, plan: &ReturnPlan) -> [ReturnOutcome; 2] {
    let mut sums = [ReturnOutcome::default(); 2];
    for (vms, demand) in [3, 30, 300]
        .into_iter()
        .flat_map(|vms| DEMANDS.map(|demand| (vms, demand)))
    {
        let mut both = [ReturnOutcome::default(); 2];
        for seed in 0..SEEDS {
            both[0].add(Replay::new(plan, vms, seed).run(true, demand));
            both[1].add(Replay::new(plan, vms, seed).run(false, demand));
        }
        println!("{name}, {vms} VMs, {demand}/s, {SEEDS} seeds, with and without: {both:.2?}");
        let [with, without] = both.map(|outcome| f64::from(outcome.late));
        assert!(
            with <= 1.1 * without + 12.0,
            "{name}, {vms} VMs, {demand}/s: {with} late, {without}"
        );
        sums[0].add(both[0]);
        sums[1].add(both[1]);
    }
    assert!(sums[0].late <= sums[1].late, "{name}: {sums:?}");
    sums
}

const SLOW: (f64, Duration) = (2.0, Duration::from_secs(3));

#[test]
fn cold_and_empty_targets_make_no_more_callers_late_than_without_slow_start() {
    let cold = ReturnPlan {
        is_new: true,
        slow: SLOW,
        ..PLAN
    };
    let [with, without] = compare("cold", &cold);
    assert!(
        with.excess_queue < without.excess_queue,
        "{with:?}, {without:?}"
    );
    compare("empty", &PLAN);
}

#[test]
fn a_target_that_never_gets_warm_makes_fewer_callers_late_than_without_slow_start() {
    let plan = ReturnPlan {
        slow: (2.0, OBSERVED),
        ..PLAN
    };
    let [with, without] = compare("never", &plan);
    assert!(
        f64::from(with.late) <= 0.8 * f64::from(without.late),
        "{with:?}, {without:?}"
    );
    assert!(
        with.excess_queue < 0.7 * without.excess_queue,
        "{with:?}, {without:?}"
    );
}

#[test]
fn many_returning_targets_do_not_overload_the_others() {
    compare(
        "a third",
        &ReturnPlan {
            targets: 4,
            slow: SLOW,
            ..PLAN
        },
    );
    compare(
        "half",
        &ReturnPlan {
            targets: 6,
            slow: SLOW,
            ..PLAN
        },
    );
}

#[test]
fn a_target_that_flaps_makes_no_more_callers_late_than_without_slow_start() {
    compare(
        "flaps",
        &ReturnPlan {
            down: Duration::from_secs(1),
            ..PLAN
        },
    );
}

#[test]
fn vms_that_join_or_know_different_things_do_not_undo_the_slow_start() {
    compare(
        "joins",
        &ReturnPlan {
            is_new: true,
            slow: SLOW,
            joins: 3,
            ..PLAN
        },
    );
    compare(
        "uninformed",
        &ReturnPlan {
            slow: SLOW,
            uninformed: 2,
            ..PLAN
        },
    );
}

fn sample(running: u32, waiting: u32, at: TimeStamp) -> WarmupSample {
    WarmupSample {
        load: TargetLoad {
            running,
            waiting,
            slots: SLOTS,
            pace: None,
            received_at: at,
        },
        slowness: None,
        service_time: Duration::from_millis(100),
        is_cold: false,
    }
}

#[test]
fn a_share_rises_by_good_reports_alone_and_falls_once_for_each_share() {
    let peers = PeerLoad::default();
    let after = |millis| START.after(Duration::from_millis(millis));
    let mut warmup = TargetWarmup::default();
    warmup.begin(START);
    assert_eq!(
        warmup.judge(sample(0, 0, after(99)), &peers),
        None,
        "made under the share before"
    );
    assert_eq!(warmup.share(), Some(0.25));
    assert_eq!(warmup.judge(sample(0, 0, after(3_600_000)), &peers), None);
    assert_eq!(
        warmup.share(),
        Some(0.5),
        "one step, however late the report"
    );
    let back = warmup.judge(sample(3, 3, after(3_600_100)), &peers);
    assert_eq!(back, Some(WarmupChange::SetBack(SetbackCause::Queue)));
    assert_eq!(
        warmup.judge(sample(3, 3, after(3_600_150)), &peers),
        None,
        "sent under the share before"
    );
    let shed = warmup.judge_end(ResultKind::Shed, after(3_600_200), after(3_600_300));
    assert_eq!(shed, Some(WarmupChange::SetBack(SetbackCause::Refused)));
    assert_eq!(warmup.share(), Some(0.125));
    for step in 1..20 {
        let cold = WarmupSample {
            is_cold: true,
            ..sample(0, 0, after(3_600_300 + 100 * step))
        };
        assert_eq!(warmup.judge(cold, &peers), None);
    }
    assert_eq!(warmup.share(), Some(0.5), "cold");
    let ends = (30..).map(|step| warmup.judge(sample(0, 0, after(3_600_300 + 100 * step)), &peers));
    let last = ends.take(6).flatten().last();
    assert_eq!(last, Some(WarmupChange::Ended));
}

/// A table in which target 0 of 4 returns from its drain.
fn returned_table() -> (PlacementTable, TimeStamp) {
    let mut table = table(&[("a-1", 4)]);
    for key in table.services[SERVICE].targets.clone() {
        table.begin(key, START);
        table.finish(key, answered(Some(sample(1, 0, START).load)), START);
    }
    let now = START.after(Duration::from_secs(1));
    table.upsert(returning_entry(0, &PLAN, false), now);
    table.upsert(returning_entry(0, &PLAN, true), now);
    (table, now)
}

#[test]
fn a_request_that_no_other_target_has_room_for_goes_to_the_one_that_is_warming_up() {
    let (mut table, now) = returned_table();
    let location = numbered_location("a-1", 0, 1);
    let keys = table.services[SERVICE].targets.clone();
    let count = |table: &PlacementTable| {
        let choices = (0..400).map(|object| {
            let object = rendezvous::score(object, 5);
            choose::choose(&mut table.clone(), &location, &query(object), now)
        });
        choices
            .filter(|choice| chosen(*choice) == Some(keys[0]))
            .count()
    };
    let count_before = |table: &PlacementTable| {
        let mut table = table.clone();
        table.services.get_mut(SERVICE).unwrap().peer_loads.clear();
        count(&table)
    };
    assert!(
        3 * count(&table) < 2 * count_before(&table),
        "others have room"
    );
    for key in &keys[1..] {
        table.begin(*key, now);
        table.finish(*key, busy_result(9, now), now);
    }
    assert!(count_before(&table) > 200);
    assert_eq!(count(&table), count_before(&table), "no other has room");
}

#[test]
fn nothing_is_held_back_at_the_start_of_a_fleet() {
    let mut table = PlacementTable::new(regions());
    for id in 0..4 {
        table.upsert(
            TargetEntry {
                cold_for: Duration::from_secs(3),
                ..entry(id, "a-1")
            },
            START,
        );
    }
    let key = table.services[SERVICE].targets[0];
    table.begin(key, START);
    table.finish(key, busy_result(0, START), START);
    assert!(table.all().all(|target| target.warmup.share().is_none()));
    table.upsert(entry(9, "a-1"), START);
    let begun = vec![(
        "target-9".to_owned(),
        WarmupChange::Begun(WarmupCause::Registered),
    )];
    assert_eq!(table.take_warmup_changes(START), begun);
}

#[test]
fn a_warm_up_begins_where_a_target_returns_and_its_service_reports_loads() {
    type Event = fn(&mut PlacementTable, TargetKey, TimeStamp);
    let pause: Event = |table, key, now| {
        let pause = Some(Duration::from_millis(200));
        let result = TargetResult {
            report: Some(TargetReport {
                pause,
                ..TargetReport::default()
            }),
            ..answered(None)
        };
        table.finish(key, result, now);
    };
    let failures: Event = |table, key, now| {
        let kind = ResultKind::TimedOut;
        table.finish(
            key,
            TargetResult {
                kind,
                ..answered(None)
            },
            now,
        );
    };
    let evacuation: Event = |table, _, now| {
        table.set_evacuated(["a-1".to_owned()].into_iter().collect(), now);
        table.set_evacuated(FastSet::default(), now);
    };
    let cold: Event = |table, _, now| {
        let cold_for = Duration::from_secs(3);
        table.upsert(
            TargetEntry {
                cold_for,
                ..entry(0, "a-1")
            },
            now,
        );
    };
    let events: [(WarmupCause, Event); 5] = [
        (WarmupCause::Pause, pause),
        (WarmupCause::Failures, failures),
        (WarmupCause::Evacuation, evacuation),
        (WarmupCause::Cold, cold),
        (WarmupCause::CutOff, |table, _, now| {
            table.forgive_failures(now);
        }),
    ];
    for (cause, event) in events {
        for is_reported in [true, false] {
            let mut table = table(&[("a-1", 4)]);
            let key = table.services[SERVICE].targets[0];
            let load = is_reported.then(|| sample(1, 0, START).load);
            table.finish(key, answered(load), START);
            event(&mut table, key, START);
            let changes = table.take_warmup_changes(START);
            let begun = ("target-0".to_owned(), WarmupChange::Begun(cause));
            assert_eq!(
                changes.contains(&begun),
                is_reported,
                "{cause}: {changes:?}"
            );
        }
    }
}

#[test]
fn a_target_of_which_nothing_is_heard_gets_a_trial_request() {
    let (mut table, now) = returned_table();
    let location = numbered_location("a-1", 0, 1);
    let key = table.services[SERVICE].targets[0];
    let held = (0..400)
        .map(|object| rendezvous::score(object, 5))
        .find(|object| {
            let mut table = table.clone();
            let is_sent =
                chosen(choose::choose(&mut table, &location, &query(*object), now)) == Some(key);
            let order = OrderKey {
                object: *object,
                is_bulk: false,
            };
            !is_sent && table.is_preferred(key, order)
        });
    let query = query(held.unwrap());
    let sent = (0..18).filter(|_| {
        let is_sent = chosen(choose::choose(&mut table, &location, &query, now)) == Some(key);
        if is_sent {
            table.begin(key, now);
        }
        is_sent
    });
    assert_eq!(sent.count(), 2, "one in nine");
}
