//! Long values on their way to the VMs of a fleet: parts that are kept, beside whole values that are
//! cut off at a deadline and begun anew.

use dahliawood_gateway::control::transfers::tracker::{PartOutcome, TransferStep, TransferTracker};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng};

const KEY: &str = "key";
/// Milliseconds of one step.
const STEP: u64 = 10;
/// Within this time after a write all VMs must have it.
const BOUND: u64 = 3_000;
const PART_BYTES: usize = 64 * 1024;
/// How long the call for a part may take.
const PART_DEADLINE: u64 = 1_200;
/// How long the calls for a whole value could take: by the VM that others follow, by the store, and by
/// the store later on.
const WHOLE_DEADLINES: [u64; 3] = [1_650, 600, 1_000];
/// The pause after a call that failed.
const PAUSE: u64 = 50;
/// How much longer a value is in the store's answer, in base64.
const STORE_FACTOR: f64 = 4.0 / 3.0;

/// One run: a value that is written once or several times.
#[derive(Clone, Copy, Debug)]
struct Load {
    vms: usize,
    /// Bytes of the value, and the part that is left of them once compressed.
    bytes: usize,
    ratio: f64,
    /// Bytes a millisecond of each VM's link, and of the VM that the others follow.
    link: f64,
    relay_link: f64,
    /// Part of the calls whose answer is lost.
    loss: f64,
    /// When the relay is killed; another VM that has the value answers instead.
    killed_at: Option<u64>,
    /// Milliseconds between writes, and their number.
    interval: u64,
    writes: u64,
}

/// A call on its way to one VM.
struct RunningCall {
    bytes_left: f64,
    ends_at: u64,
    is_lost: bool,
    is_from_store: bool,
    revision: u64,
}

/// How a VM fetches the value: in parts, or whole.
enum Fetcher {
    Parts(TransferTracker),
    Whole { failures: usize },
}

struct TestVm {
    fetcher: Fetcher,
    call: Option<RunningCall>,
    idle_until: u64,
    revision: u64,
}

impl TestVm {
    /// Begins the next call, if one is needed.
    fn begin(&mut self, load: &Load, latest: u64, is_lost: bool, now: u64) {
        if self.call.is_some() || now < self.idle_until {
            return;
        }
        let compressed = (load.bytes as f64 * load.ratio) as usize;
        self.call = match &mut self.fetcher {
            Fetcher::Parts(tracker) => tracker.plan().map(|step| {
                tracker.record_call(KEY);
                match step {
                    TransferStep::Part {
                        revision, offset, ..
                    } => RunningCall {
                        bytes_left: (compressed - offset as usize).min(PART_BYTES) as f64,
                        ends_at: now + PART_DEADLINE,
                        is_lost,
                        is_from_store: false,
                        revision,
                    },
                    TransferStep::Whole { .. } => RunningCall {
                        bytes_left: load.bytes as f64 * STORE_FACTOR,
                        // Bounded by its progress.
                        ends_at: u64::MAX,
                        is_lost: false,
                        is_from_store: true,
                        revision: latest,
                    },
                }
            }),
            Fetcher::Whole { failures } if self.revision < latest => Some(RunningCall {
                bytes_left: load.bytes as f64 * if *failures == 0 { 1.0 } else { STORE_FACTOR },
                ends_at: now + WHOLE_DEADLINES[(*failures).min(2)],
                is_lost,
                is_from_store: *failures > 0,
                revision: latest,
            }),
            Fetcher::Whole { .. } => None,
        };
    }

    /// Ends a call that has its answer, or that has reached its deadline.
    fn end(&mut self, load: &Load, now: u64) {
        let is_answered = |call: &RunningCall| call.bytes_left <= 0.0 && !call.is_lost;
        let is_over = |call: &RunningCall| is_answered(call) || now >= call.ends_at;
        if !self.call.as_ref().is_some_and(is_over) {
            return;
        }
        let Some(call) = self.call.take() else { return };
        let compressed = (load.bytes as f64 * load.ratio) as usize;
        match &mut self.fetcher {
            Fetcher::Parts(tracker) if call.is_from_store => {
                tracker.supersede(KEY, call.revision);
                self.revision = call.revision;
            }
            Fetcher::Parts(tracker) if is_answered(&call) => {
                let Some(TransferStep::Part { offset, .. }) = tracker.plan() else {
                    return;
                };
                let part = vec![0; (compressed - offset as usize).min(PART_BYTES)];
                let outcome = tracker.record_part(KEY, call.revision, compressed as u32, &part);
                if let PartOutcome::Complete { revision, bytes } = outcome {
                    assert_eq!(bytes.len(), compressed);
                    self.revision = revision;
                    tracker.supersede(KEY, revision);
                }
            }
            Fetcher::Parts(tracker) => {
                tracker.record_failure(KEY);
                self.idle_until = now + PAUSE;
            }
            Fetcher::Whole { failures } if is_answered(&call) => {
                *failures = 0;
                self.revision = call.revision;
            }
            Fetcher::Whole { failures } => {
                *failures += 1;
                self.idle_until = now + PAUSE;
            }
        }
    }
}

/// Plays a load; returns the pairs of a VM and a write which that VM did not have in time, itself or by
/// a later one, and the bytes that each VM received on average.
fn play(load: &Load, in_parts: bool, seed: u64) -> (usize, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let new = |_| TestVm {
        fetcher: match in_parts {
            true => Fetcher::Parts(TransferTracker::default()),
            false => Fetcher::Whole { failures: 0 },
        },
        call: None,
        idle_until: 0,
        revision: 0,
    };
    let mut vms: Vec<TestVm> = (1..load.vms).map(new).collect();
    let (mut late, mut moved) = (0, 0.0);
    let end = (load.writes - 1) * load.interval + BOUND;
    for now in (0..=end).step_by(STEP as usize) {
        let latest = (now / load.interval + 1).min(load.writes);
        if now.is_multiple_of(load.interval) && now / load.interval < load.writes {
            for vm in &mut vms {
                if let Fetcher::Parts(tracker) = &mut vm.fetcher {
                    tracker.announce(KEY, latest, "relay");
                }
            }
        }
        let is_down = load
            .killed_at
            .is_some_and(|at| (at..at + PART_DEADLINE).contains(&now));
        for vm in &mut vms {
            vm.end(load, now);
            let is_lost = is_down || random.random_bool(load.loss);
            vm.begin(load, latest, is_lost, now);
        }
        let is_relayed = |vm: &&TestVm| vm.call.as_ref().is_some_and(|call| !call.is_from_store);
        let shared = load.relay_link / vms.iter().filter(is_relayed).count().max(1) as f64;
        for call in vms.iter_mut().filter_map(|vm| vm.call.as_mut()) {
            let rate = match call.is_from_store {
                true => load.link,
                false => load.link.min(shared),
            };
            let sent = (rate * STEP as f64).min(call.bytes_left.max(0.0));
            call.bytes_left -= sent;
            moved += sent;
        }
        let is_due = now >= BOUND && (now - BOUND).is_multiple_of(load.interval);
        if is_due {
            let due = (now - BOUND) / load.interval + 1;
            late += vms.iter().filter(|vm| vm.revision < due).count();
        }
    }
    (late, moved / vms.len() as f64)
}

fn load(vms: usize, bytes: usize, megabits: f64) -> Load {
    Load {
        vms,
        bytes,
        ratio: 0.25,
        link: megabits * 125.0,
        // A VM that others follow has a faster link, and a few followers a failure domain.
        relay_link: 200.0 * 125.0,
        loss: 0.0,
        killed_at: None,
        interval: 1_000,
        writes: 1,
    }
}

/// Whether the bound leaves time for the bytes alone over the slower link, for a write that is on its way
/// already, and for two calls that fail.
fn is_possible(load: &Load) -> bool {
    let rate = load.link.min(load.relay_link / load.vms as f64);
    let needed = load.bytes as f64 * load.ratio / rate;
    let transfers = if load.writes > 1 { 2.0 } else { 1.0 };
    let may_fail = load.loss > 0.0 || load.killed_at.is_some();
    let failures = if may_fail { 2.0 } else { 0.0 };
    needed * transfers * 1.2 + failures * (PART_DEADLINE + PAUSE) as f64 <= BOUND as f64
}

/// Guards against values that never arrive, since a deadline cuts their transfers off (DENIED).
#[test]
fn long_values_arrive_in_time_over_slow_links_and_beside_failures() {
    let mut late_whole = 0;
    // VMs of one failure domain, which has its own relay, in fleets of 3 to 300 VMs.
    for vms in [3, 13, 35] {
        for bytes in [10_000, 100_000, 400_000, 1_048_576] {
            for megabits in [2.0, 10.0, 100.0] {
                let calm = load(vms, bytes, megabits);
                let lossy = Load { loss: 0.02, ..calm };
                let killed = Load {
                    killed_at: Some(100),
                    ..calm
                };
                let stormy = Load {
                    interval: 300,
                    writes: 20,
                    ..calm
                };
                for load in [calm, lossy, killed, stormy] {
                    if !is_possible(&load) {
                        continue;
                    }
                    for seed in 0..3 {
                        let (late, _) = play(&load, true, seed);
                        assert_eq!(late, 0, "{load:?}, seed {seed}");
                        late_whole += play(&load, false, seed).0;
                    }
                }
            }
        }
    }
    println!("late with the former decision: {late_whole}");
    assert!(late_whole > 0, "the former decision is never late");
}

/// Guards against a version that is begun anew for each later one, and never had (CONFIG).
#[test]
fn a_transfer_that_has_begun_is_finished_before_a_later_write_is_fetched() {
    let mut tracker = TransferTracker::default();
    tracker.announce(KEY, 5, "a");
    assert_eq!(
        tracker.record_part(KEY, 5, 4, &[1, 2]),
        PartOutcome::Continues
    );
    tracker.announce(KEY, 6, "b");
    tracker.record_failure(KEY);
    let Some(TransferStep::Part {
        revision, offset, ..
    }) = tracker.plan()
    else {
        panic!("a part is next");
    };
    assert_eq!((revision, offset), (5, 2));
    let complete = PartOutcome::Complete {
        revision: 5,
        bytes: vec![1, 2, 3, 4],
    };
    assert_eq!(tracker.record_part(KEY, 5, 4, &[3, 4]), complete);
    tracker.supersede(KEY, 5);
    let next = tracker.plan();
    assert!(matches!(
        next,
        Some(TransferStep::Part {
            revision: 6,
            offset: 0,
            ..
        })
    ));
    tracker.supersede(KEY, 6);
    assert!(tracker.is_empty());
}

/// Guards against a transfer that waits for a VM which does not have that write any more.
#[test]
fn a_write_that_nobody_has_any_more_is_left_for_the_latest_and_at_last_read_from_the_store() {
    let mut tracker = TransferTracker::default();
    tracker.announce(KEY, 5, "a");
    tracker.record_part(KEY, 5, 4, &[1]);
    tracker.announce(KEY, 9, "a");
    tracker.record_part(KEY, 5, 0, &[]);
    let next = tracker.plan();
    assert!(matches!(
        next,
        Some(TransferStep::Part {
            revision: 9,
            offset: 0,
            ..
        })
    ));
    for _ in 0..8 {
        tracker.record_failure(KEY);
    }
    assert!(matches!(tracker.plan(), Some(TransferStep::Whole { .. })));
}

/// Guards against a VM that does not answer and is asked for each part again.
#[test]
fn the_vm_that_answered_is_asked_for_the_next_part() {
    let turn = |tracker: &TransferTracker| match tracker.plan() {
        Some(TransferStep::Part { turn, .. }) => turn,
        other => panic!("{other:?}"),
    };
    let mut tracker = TransferTracker::default();
    tracker.announce(KEY, 5, "a");
    assert_eq!(turn(&tracker), 0);
    tracker.record_failure(KEY);
    assert_eq!(turn(&tracker), 1);
    tracker.record_part(KEY, 5, 3, &[1]);
    assert_eq!(turn(&tracker), 1);
    tracker.record_failure(KEY);
    tracker.record_part(KEY, 5, 3, &[2]);
    assert_eq!(turn(&tracker), 2);
    tracker.announce(KEY, 6, "b");
    assert_eq!(turn(&tracker), 0);
}

/// Guards against a VM that misses a version for good (CONFIG): a later write was announced while the first part
/// of an earlier one was on its way, and the earlier value was taken for the later one.
#[test]
fn a_part_of_an_earlier_write_is_not_taken_for_one_of_a_later_write() {
    let complete = |revision, bytes: [u8; 2]| PartOutcome::Complete {
        revision,
        bytes: bytes.to_vec(),
    };
    let planned = |tracker: &TransferTracker| match tracker.plan() {
        Some(TransferStep::Part { revision, .. }) => revision,
        other => panic!("{other:?}"),
    };
    let mut tracker = TransferTracker::default();
    tracker.announce(KEY, 5, "a");
    tracker.record_call(KEY);
    tracker.announce(KEY, 6, "a");
    assert_eq!(tracker.record_part(KEY, 5, 2, &[5, 5]), complete(5, [5, 5]));
    tracker.supersede(KEY, 5);
    assert_eq!(planned(&tracker), 6);
    // The write comes in another way while a part of it is on its way, and a later one is announced.
    tracker.record_call(KEY);
    tracker.announce(KEY, 7, "a");
    tracker.supersede(KEY, 6);
    assert_eq!(planned(&tracker), 7);
    let late = tracker.record_part(KEY, 6, 2, &[6, 6]);
    assert_eq!(late, PartOutcome::Continues);
    assert_eq!(tracker.record_part(KEY, 7, 2, &[7, 7]), complete(7, [7, 7]));
}
