//! Checks the acceptance protocol over generated histories of applies, faults, restores of the
//! store and restarts of VMs.

use crate::sim;
use crate::support;
use dahliawood_model::stamp;
use dahliawood_store::acceptance;
use dahliawood_store::content;
use dahliawood_store::head;
use dahliawood_store::protocol;
use dahliawood_store::revision;
use dahliawood_store::revision::tracker;
use futures::executor::LocalPool;
use futures::future::{AbortHandle, Abortable};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const VMS: usize = 4;
/// Time limit for each phase of an apply: acceptance, settling a write that was given up, and
/// rollout.
const APPLY_STEP: Duration = Duration::from_secs(5);
/// Time that a stopped VM stays on the live list.
const LIVE_LAG: Duration = Duration::from_secs(2);
/// Interval at which a VM receives its peers' revisions.
const RELAY_EVERY: Duration = Duration::from_millis(100);
/// Time after the last fault within which all live VMs must have the highest revision in force.
const CONVERGE_WITHIN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum Event {
    Apply { file: u8, expect_current: bool },
    Fault { kind: u8, millis: u64 },
    Cut { vm: usize, millis: u64 },
    Restore { writes: usize },
    Restart { vm: usize, millis: u64 },
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let event = prop_oneof![
        5 => (0u8..6, any::<bool>()).prop_map(|(file, expect_current)| Event::Apply { file, expect_current }),
        4 => (0u8..5, 100u64..6_000).prop_map(|(kind, millis)| Event::Fault { kind, millis }),
        1 => (0..VMS, 100u64..6_000).prop_map(|(vm, millis)| Event::Cut { vm, millis }),
        2 => (1usize..12).prop_map(|writes| Event::Restore { writes }),
        2 => (0..VMS, 10u64..4_000).prop_map(|(vm, millis)| Event::Restart { vm, millis }),
    ];
    (prop_oneof![3 => 0u64..30, 1 => 30u64..3_000], event)
}

/// One VM, whose process may be restarted.
struct VmSlot {
    tracker: Option<revision::SharedTracker>,
    stop: Option<AbortHandle>,
    link: sim::SimLink,
    incarnation: u64,
}

#[derive(Clone)]
struct World {
    clock: sim::SimClock,
    store: sim::SharedStore,
    slots: Arc<Mutex<Vec<VmSlot>>>,
    outcomes: Arc<Mutex<Vec<(head::WriteId, acceptance::ApplyOutcome)>>>,
    /// Revisions that a VM had in force or that an operator was told are accepted.
    known: Arc<Mutex<BTreeSet<head::RevisionStamp>>>,
    violations: Arc<Mutex<Vec<String>>>,
}

fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn check(text: &str) -> Result<(), String> {
    if text.starts_with("file 5") {
        return Err("rejected by the check".to_owned());
    }
    Ok(())
}

impl World {
    fn new(seed: u64) -> Self {
        let clock = sim::SimClock::default();
        let store = sim::store(seed);
        let slots = (0..VMS).map(|_| VmSlot {
            tracker: None,
            stop: None,
            link: sim::SimLink {
                clock: clock.clone(),
                store: Arc::clone(&store),
                is_cut: Arc::new(AtomicBool::new(false)),
            },
            incarnation: 0,
        });
        let world = Self {
            slots: Arc::new(Mutex::new(slots.collect())),
            clock,
            store,
            outcomes: Arc::default(),
            known: Arc::default(),
            violations: Arc::default(),
        };
        (0..VMS).for_each(|vm| world.start_vm(vm));
        world
    }

    /// Starts a VM, which first takes over the highest revision of its peers.
    fn start_vm(&self, vm: usize) {
        let mut slots = self.slots.lock().unwrap();
        slots[vm].incarnation += 1;
        let incarnation = slots[vm].incarnation;
        let tracker = revision::RevisionTracker::new(&vm_name(vm), incarnation);
        let tracker =
            revision::SharedTracker::new(tracker, Arc::new(check), self.in_force_hook(vm));
        for peer in slots.iter().flat_map(|slot| &slot.tracker) {
            tracker.raise_floor(peer.status().highest);
            relay(peer, &tracker);
        }
        let client = slots[vm].link.client();
        let options =
            revision::FollowOptions::new(tracker.clone(), self.clock.source(vm as u64), VMS);
        let (stop, registration) = AbortHandle::new_pair();
        let relays = self.clone().relay_to(vm, tracker.clone());
        let follow = async move { futures::join!(revision::follow(&client, &options), relays) };
        self.clock.spawn(async move {
            let _aborted = Abortable::new(follow, registration).await;
        });
        slots[vm].tracker = Some(tracker);
        slots[vm].stop = Some(stop);
        drop(slots);
        let mut store = self.store.lock().unwrap();
        store.live.retain(|live| live.name != vm_name(vm));
        store.live.push(protocol::LiveVm {
            name: vm_name(vm),
            http: String::new(),
            peer: String::new(),
            domain: String::new(),
            incarnation: Some(incarnation),
            state: protocol::LiveState::Live,
        });
    }

    fn stop_vm(&self, vm: usize) {
        let mut slots = self.slots.lock().unwrap();
        slots[vm].tracker = None;
        slots[vm].stop.take().unwrap().abort();
        let (world, incarnation) = (self.clone(), slots[vm].incarnation);
        let unlist = move || {
            let mut store = world.store.lock().unwrap();
            store
                .live
                .retain(|live| live.name != vm_name(vm) || live.incarnation != Some(incarnation));
        };
        self.clock.after(LIVE_LAG, Box::new(unlist));
    }

    /// Records a violation if a VM goes back to a lower revision, has an invalid file in force, or
    /// has a revision in force that was not accepted.
    fn in_force_hook(&self, vm: usize) -> revision::shared::InForceHook {
        let world = self.clone();
        let last = Mutex::new(None::<head::RevisionStamp>);
        let violations = Arc::clone(&self.violations);
        let known = Arc::clone(&self.known);
        let store = Arc::clone(&world.store);
        Arc::new(move |record: &tracker::RevisionRecord| {
            let mut last = last.lock().unwrap();
            let stamp = &record.stamp;
            let report = |text: &str| {
                violations
                    .lock()
                    .unwrap()
                    .push(format!("vm {vm} {text}: {stamp:?} after {last:?}"));
            };
            if last.as_ref() >= Some(stamp) {
                report("went back to a lower revision");
            }
            if content::ContentHash::of(&record.text) != stamp.hash || check(&record.text).is_err()
            {
                report("has an incomplete or rejected file in force");
            }
            if !store.lock().unwrap().accepted.contains(stamp) {
                report("has a revision in force that was not accepted");
            }
            *last = Some(stamp.clone());
            known.lock().unwrap().insert(stamp.clone());
        })
    }

    async fn relay_to(self, vm: usize, tracker: revision::SharedTracker) {
        loop {
            self.clock.sleep(RELAY_EVERY).await;
            let peers: Vec<_> = {
                let slots = self.slots.lock().unwrap();
                let others = slots.iter().enumerate().filter(|(index, _)| *index != vm);
                others
                    .filter_map(|(_, slot)| slot.tracker.clone())
                    .collect()
            };
            for peer in &peers {
                relay(peer, &tracker);
            }
        }
    }

    fn operator_link(&self) -> sim::SimLink {
        sim::SimLink {
            clock: self.clock.clone(),
            store: Arc::clone(&self.store),
            is_cut: Arc::new(AtomicBool::new(false)),
        }
    }

    fn apply(&self, number: usize, file: u8, expect_current: bool) {
        let client = self.operator_link().client();
        let world = self.clone();
        let text = format!("file {file}\n").repeat(1 + usize::from(file % 2) * 2_000);
        let current = self.highest_in_force().map_or(0, |stamp| stamp.revision);
        let write_id = head::WriteId::from(format!("write-{number}"));
        let mut accept = acceptance::AcceptOptions::new(self.clock.source(number as u64));
        let (notified, notified_text) = (self.clone(), text.clone());
        accept.on_accepted = Arc::new(move |stamp| notified.notify_daemon(stamp, &notified_text));
        accept.accept_within = APPLY_STEP;
        accept.settle_within = APPLY_STEP;
        accept.follow_within = APPLY_STEP;
        let options = acceptance::ApplyOptions {
            file_text: text,
            expect: expect_current.then_some(current),
            write_id: write_id.clone(),
            accept,
        };
        let run = async move {
            let outcome = acceptance::apply(&client, &options).await;
            world.record_outcome(&write_id, &outcome);
            world.outcomes.lock().unwrap().push((write_id, outcome));
        };
        self.clock.spawn(run);
    }

    /// Passes an accepted revision to the daemon that runs the `apply`, which is the first running
    /// VM.
    fn notify_daemon(&self, stamp: &head::RevisionStamp, text: &str) {
        let slots = self.slots.lock().unwrap();
        let tracker = slots.iter().find_map(|slot| slot.tracker.clone());
        drop(slots);
        if let Some(tracker) = tracker {
            tracker.observe_accepted(stamp, tracker::RevisionSource::Apply);
            tracker.add_file(&stamp.hash, text).unwrap();
        }
    }

    /// Records a violation if a write is reported as applied but was not accepted.
    fn record_outcome(&self, write_id: &head::WriteId, outcome: &acceptance::ApplyOutcome) {
        let acceptance::ApplyOutcome::Applied { revision, .. } = outcome else {
            return;
        };
        let store = self.store.lock().unwrap();
        let is_match = |stamp: &&head::RevisionStamp| {
            stamp.write_id == *write_id && stamp.revision == *revision
        };
        if let Some(stamp) = store.accepted.iter().find(is_match) {
            self.known.lock().unwrap().insert(stamp.clone());
        } else {
            let text = format!("{write_id} is reported as applied but was not accepted");
            self.violations.lock().unwrap().push(text);
        }
    }

    fn highest_in_force(&self) -> Option<head::RevisionStamp> {
        let slots = self.slots.lock().unwrap();
        let trackers = slots.iter().filter_map(|slot| slot.tracker.as_ref());
        trackers
            .filter_map(revision::SharedTracker::in_force)
            .map(|record| record.stamp)
            .max()
    }

    fn run_event(&self, number: usize, event: Event) {
        match event {
            Event::Apply {
                file,
                expect_current,
            } => self.apply(number, file, expect_current),
            Event::Fault { kind, millis } => self.fault(kind, Duration::from_millis(millis)),
            Event::Cut { vm, millis } => {
                let is_cut = Arc::clone(&self.slots.lock().unwrap()[vm].link.is_cut);
                is_cut.store(true, Ordering::Relaxed);
                let heal = move || is_cut.store(false, Ordering::Relaxed);
                self.clock
                    .after(Duration::from_millis(millis), Box::new(heal));
            }
            Event::Restore { writes } => self.store.lock().unwrap().restore(writes),
            Event::Restart { vm, millis } => self.restart(vm, Duration::from_millis(millis)),
        }
    }

    fn fault(&self, kind: u8, span: Duration) {
        let mut store = self.store.lock().unwrap();
        let field = move |faults: &mut sim::SimFaults, percent: u8| match kind {
            0 => faults.down = percent,
            1 => faults.down = percent / 3,
            2 => faults.lost_reply = percent / 2,
            3 => faults.late_effect = percent / 2,
            _ => faults.stale = percent / 2,
        };
        field(&mut store.faults, 100);
        let shared = Arc::clone(&self.store);
        let heal = move || field(&mut shared.lock().unwrap().faults, 0);
        self.clock.after(span, Box::new(heal));
    }

    /// Stops a VM and starts it again later; the last running VM is not stopped.
    fn restart(&self, vm: usize, span: Duration) {
        let slots = self.slots.lock().unwrap();
        let alive = slots.iter().filter(|slot| slot.tracker.is_some()).count();
        if alive < 2 || slots[vm].tracker.is_none() {
            return;
        }
        drop(slots);
        self.stop_vm(vm);
        let world = self.clone();
        self.clock.after(span, Box::new(move || world.start_vm(vm)));
    }
}

fn relay(from: &revision::SharedTracker, to: &revision::SharedTracker) {
    if let Some(record) = from.in_force() {
        to.observe_accepted(&record.stamp, tracker::RevisionSource::Peer);
        if to.hashes_to_fetch().contains(&record.stamp.hash) {
            to.add_file(&record.stamp.hash, &record.text).unwrap();
        }
    }
}

fn run_history(seed: u64, events: &[(u64, Event)]) -> World {
    let mut pool = LocalPool::new();
    let world = World::new(seed);
    let mut at = stamp::TimeStamp::ZERO;
    for (number, (millis, event)) in events.iter().enumerate() {
        at = at.after(Duration::from_millis(*millis));
        world.clock.run_until(&mut pool, at);
        world.run_event(number, *event);
    }
    // Wait for the end of the longest fault, then for the time limits of `apply`, so that every
    // outcome is known.
    at = at.after(Duration::from_secs(7));
    world.clock.run_until(&mut pool, at);
    let highest = world.known.lock().unwrap().last().cloned();
    at = at.after(CONVERGE_WITHIN);
    world.clock.run_until(&mut pool, at);
    for (vm, slot) in world.slots.lock().unwrap().iter().enumerate() {
        let own = slot
            .tracker
            .as_ref()
            .and_then(revision::SharedTracker::in_force);
        if own.map(|record| record.stamp) < highest {
            let text = format!("vm {vm} does not have {highest:?} in force in time");
            world.violations.lock().unwrap().push(text);
        }
    }
    at = at.after(3 * APPLY_STEP);
    world.clock.run_until(&mut pool, at);
    world
}

proptest! {
    #![proptest_config(support::config(100))]

    #[test]
    fn acceptance_holds_over_histories(
        seed in any::<u64>(),
        events in prop::collection::vec(event(), 1..25),
    ) {
        let world = run_history(seed, &events);
        let violations = world.violations.lock().unwrap().clone();
        prop_assert!(violations.is_empty(), "{violations:#?}");
        let accepted = world.store.lock().unwrap().accepted.clone();
        let known = world.known.lock().unwrap().clone();
        for left in &accepted {
            for right in &accepted {
                prop_assert!(
                    left == right || left.revision != right.revision,
                    "two writes won one revision: {left:?} {right:?}"
                );
            }
        }
        let applies = events.iter().filter(|(_, event)| matches!(event, Event::Apply { .. }));
        let outcomes = world.outcomes.lock().unwrap().clone();
        prop_assert_eq!(outcomes.len(), applies.count(), "a call of apply did not return");
        for (write_id, outcome) in &outcomes {
            let is_known = known.iter().any(|stamp| stamp.write_id == *write_id);
            let is_denied = matches!(outcome, acceptance::ApplyOutcome::NotApplied { .. });
            prop_assert!(
                !is_known || !is_denied,
                "{write_id} is accepted but reported as {outcome:?}"
            );
        }
        let highest = world.highest_in_force();
        for (vm, slot) in world.slots.lock().unwrap().iter().enumerate() {
            let own = slot.tracker.as_ref().and_then(revision::SharedTracker::in_force);
            prop_assert_eq!(own.map(|record| record.stamp), known.last().cloned(), "vm {}", vm);
        }
        prop_assert_eq!(&highest, &known.last().cloned());
        let head = world.store.lock().unwrap().head();
        prop_assert_eq!(head.accepted(), highest.as_ref());
    }
}
