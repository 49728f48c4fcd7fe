//! Loads shared among VMs.

mod fleet;

use crate::placement::support::{SERVICE, SLOTS, START, answered, entry, regions};
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::exchange::collector::{
    self, CollectorCandidate, CollectorFailure, SkippedCollectors,
};
use dahliawood_steer::placement::exchange::entry::{IgnoredReason, LoadEntry};
use dahliawood_steer::placement::exchange::participant::{
    CalleeRole, EntryOutcomes, LoadCall, LoadParticipant,
};
use dahliawood_steer::placement::table::PlacementTable;
use std::time::Duration;

const CALL_INTERVAL: Duration = Duration::from_millis(250);
const HOP: Duration = Duration::from_millis(3);

/// A VM with its table and a clock that is ahead by some time.
struct TestVm {
    table: PlacementTable,
    participant: LoadParticipant,
    ahead: Duration,
}

impl TestVm {
    fn new(number: u64, targets: usize) -> Self {
        let mut table = PlacementTable::new(regions());
        for id in 0..targets {
            table.upsert(entry(id, "a-1"), START);
        }
        Self {
            table,
            participant: LoadParticipant::new(number, number + 100),
            ahead: Duration::from_secs(1_000 * number),
        }
    }

    fn clock(&self, now: TimeStamp) -> TimeStamp {
        now.after(self.ahead)
    }

    fn key(&self, target: usize) -> TargetKey {
        self.table.services[SERVICE].targets[target]
    }

    /// Receives a response with a load.
    fn respond(&mut self, target: usize, waiting: u32, now: TimeStamp) {
        let (key, now) = (self.key(target), self.clock(now));
        self.table.begin(key, now);
        let load = TargetLoad {
            pace: None,
            running: SLOTS,
            waiting,
            slots: SLOTS,
            received_at: now,
        };
        self.table.finish(key, answered(Some(load)), now);
    }

    fn outstanding(&self, target: usize, now: TimeStamp) -> f64 {
        let load = &self.table.get(self.key(target)).unwrap().load;
        let average = self.table.average_service_time(SERVICE);
        load.outstanding(average, self.clock(now))
    }

    fn process(&self, target: usize) -> u64 {
        self.table.get(self.key(target)).unwrap().process()
    }
}

/// One call, which is under way for `there` and its answer for `back`; returns what became of the
/// entries at the collector and at the caller.
fn call(
    caller: &mut TestVm,
    collector: &mut TestVm,
    role: CalleeRole,
    now: TimeStamp,
    (there, back): (Duration, Duration),
) -> (EntryOutcomes, EntryOutcomes) {
    let (request, pending) = caller
        .participant
        .call(role, &caller.table, caller.clock(now));
    let arrived = collector.clock(now.after(there));
    let (answer, heard) = collector
        .participant
        .answer(&request, &mut collector.table, arrived);
    let returned = caller.clock(now.after(there + back));
    let (participant, table) = (&mut caller.participant, &mut caller.table);
    (
        heard,
        participant.receive(pending, &answer, table, returned),
    )
}

const OWN: CalleeRole = CalleeRole::OwnRegion;
const OTHER: CalleeRole = CalleeRole::OtherRegion(7);

/// Three VMs, the second and third of which collect; all have called before.
fn chain() -> [TestVm; 3] {
    let mut vms = [0, 1, 2].map(|number| TestVm::new(number, 4));
    let [first, second, third] = &mut vms;
    call(first, second, OWN, START, (HOP, HOP));
    call(second, third, OTHER, START, (HOP, HOP));
    vms
}

/// A report must not become younger on its way, or it would be used after its validity and would take
/// the place of newer ones. The clocks of the VMs differ by hours.
#[test]
fn ages_add_up_over_two_hops() {
    let [mut first, mut second, mut third] = chain();
    let seen = START.after(CALL_INTERVAL);
    first.respond(0, 30, seen);
    let told = seen.after(Duration::from_millis(40));
    assert_eq!(
        call(&mut first, &mut second, OWN, told, (HOP, HOP)).0,
        [Ok(())]
    );
    let passed = told.after(Duration::from_millis(100));
    assert_eq!(
        call(&mut second, &mut third, OTHER, passed, (HOP, HOP)).0,
        [Ok(())]
    );
    let load = |vm: &TestVm| vm.table.get(vm.key(0)).unwrap().load;
    let now = passed.after(HOP);
    let age = |vm: &TestVm| {
        let shared = 30.0 + f64::from(SLOTS);
        let average = vm.table.average_service_time(SERVICE).as_secs_f64();
        let left = load(vm).outstanding(vm.table.average_service_time(SERVICE), vm.clock(now));
        (1.0 - left / shared) * 3.0 * average
    };
    let true_age = now.since(seen).as_secs_f64();
    let error = age(&third) - true_age;
    assert!((0.0..0.013).contains(&error), "{error}");
}

/// A pause of either VM, or a link that holds a call back, must not make an old report look new.
#[test]
fn what_was_held_back_beyond_its_validity_is_ignored() {
    let held = Duration::from_secs(5);
    for delays in [(held, HOP), (HOP, held)] {
        let [mut first, mut second, _] = chain();
        let now = START.after(CALL_INTERVAL);
        first.respond(0, 9, now);
        second.respond(1, 9, now);
        let (heard, received) = call(&mut first, &mut second, OWN, now, delays);
        let outcomes = if delays.0 == held { heard } else { received };
        assert_eq!(outcomes, [Err(IgnoredReason::Expired)]);
    }
}

/// Garbage of another VM must not reach the estimates.
#[test]
fn malformed_entries_are_ignored_by_reason() {
    let [mut first, mut second, _] = chain();
    let now = START.after(CALL_INTERVAL);
    let (request, _) = first.participant.call(OWN, &first.table, first.clock(now));
    let good = LoadEntry {
        process: second.process(0),
        running: 1,
        slots: 3,
        waiting: 0,
        pace: None,
        age: Duration::ZERO,
    };
    let bad = [
        (LoadEntry { process: 1, ..good }, IgnoredReason::Unknown),
        (LoadEntry { slots: 0, ..good }, IgnoredReason::Implausible),
        (LoadEntry { running: 4, ..good }, IgnoredReason::Implausible),
        (
            LoadEntry {
                waiting: 60_000,
                ..good
            },
            IgnoredReason::Implausible,
        ),
        (
            LoadEntry {
                age: Duration::from_secs(60),
                ..good
            },
            IgnoredReason::Expired,
        ),
    ];
    let mut told = LoadCall {
        entries: bad.iter().map(|(entry, _)| *entry).collect(),
        ..request
    };
    let at = second.clock(now);
    let mut answer = |told: &LoadCall| second.participant.answer(told, &mut second.table, at).1;
    let expected: EntryOutcomes = bad.iter().map(|(_, reason)| Err(*reason)).collect();
    assert_eq!(answer(&told), expected);
    told.entries = vec![good, good];
    assert_eq!(answer(&told), [Ok(()), Err(IgnoredReason::Older)]);
    told.clock = at.after(Duration::from_secs(1));
    assert_eq!(answer(&told), [Err(IgnoredReason::Future); 2]);
}

/// A restarted collector must neither be read from a position that it has not reached nor take ages by
/// the clock of its predecessor, and must be told again what is still valid.
#[test]
fn a_restarted_collector_is_told_and_read_from_the_start() {
    let [mut first, mut second, _] = chain();
    let now = START.after(CALL_INTERVAL);
    first.respond(0, 9, now);
    call(&mut first, &mut second, OWN, now, (HOP, HOP));
    second = TestVm::new(1, 4);
    second.participant = LoadParticipant::new(1, 999);
    second.respond(1, 9, now);
    let (heard, received) = call(&mut first, &mut second, OWN, now.after(HOP * 3), (HOP, HOP));
    assert_eq!((heard.len(), received), (0, vec![Ok(())]));
    let (heard, _) = call(&mut first, &mut second, OWN, now.after(HOP * 6), (HOP, HOP));
    assert_eq!(heard, [Ok(())]);
}

/// Requests of this VM that the report does not include must be added to it, or all VMs would send to
/// a target that was idle a moment ago.
#[test]
fn requests_sent_after_an_adopted_report_was_made_are_added() {
    let [mut first, mut second, _] = chain();
    let seen = START.after(CALL_INTERVAL);
    let key = second.key(0);
    second.table.begin(key, second.clock(seen.before(HOP)));
    first.respond(0, 0, seen);
    for _ in 0..3 {
        second.table.begin(key, second.clock(seen.after(HOP)));
    }
    call(&mut first, &mut second, OWN, seen.after(HOP), (HOP, HOP));
    let outstanding = second.outstanding(0, seen.after(HOP * 2));
    assert!((5.8..=6.0).contains(&outstanding), "{outstanding}");
}

/// VMs must agree on the collector without a message, pass over one that fails, and come back to it.
#[test]
fn a_collector_that_fails_is_passed_over_for_a_while() {
    let vms: Vec<_> = (0..20_u64)
        .map(|name| CollectorCandidate {
            name: name * 77,
            born_millis: 1,
            weight: 100,
        })
        .collect();
    let mut skipped = SkippedCollectors::default();
    let select = |vms: &[CollectorCandidate], skipped: &SkippedCollectors, now| {
        vms[collector::select(7, vms, skipped, now).unwrap()].name
    };
    let first = select(&vms, &skipped, START);
    let reversed: Vec<_> = vms.iter().rev().copied().collect();
    assert_eq!(select(&reversed, &skipped, START), first);
    let failed = *vms.iter().find(|vm| vm.name == first).unwrap();
    for (failure, secs) in [
        (CollectorFailure::Unavailable, 4),
        (CollectorFailure::Unimplemented, 31),
    ] {
        skipped.record(&failed, failure, START);
        assert_ne!(select(&vms, &skipped, START), first);
        // A new process under the same name is asked at once.
        let replaced = vms.iter().map(|vm| CollectorCandidate {
            born_millis: 2,
            ..*vm
        });
        assert_eq!(
            select(&replaced.collect::<Vec<_>>(), &skipped, START),
            first
        );
        assert_eq!(
            select(&vms, &skipped, START.after(Duration::from_secs(secs))),
            first
        );
    }
}

/// A collector with a tenth of a core must not be called more than 100 times a second, also when all
/// VMs start together.
#[test]
fn calls_are_bounded_and_spread_when_all_vms_start_together() {
    for vms in [12_usize, 60, 300] {
        let interval = collector::interval(vms);
        assert!(vms as f64 / interval.as_secs_f64() <= 100.0);
        let name = |vm: usize| dahliawood_steer::rendezvous::name_hash(&vm.to_le_bytes());
        let delays = (0..vms).map(|vm| collector::first_delay(name(vm), interval));
        let early = delays.filter(|delay| *delay < interval / 4).count();
        assert!(
            early <= vms / 2,
            "{early} of {vms} VMs in a quarter of the interval"
        );
    }
}
