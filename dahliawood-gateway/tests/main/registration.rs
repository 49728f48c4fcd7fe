//! Histories of a VM's registration: writes that get lost or are carried out late, restarts, and
//! entries that others remove or overwrite.

use dahliawood_gateway::control::register::tracker::{
    ListedEntry, RegistrationStep, RegistrationTracker,
};
use dahliawood_gateway::control::vms::VmRecord;
use dahliawood_store::keyspace::call::{StoredEntry, WriteCall};
use dahliawood_store::keyspace::record::VersionedValue;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng};
use std::net::SocketAddr;

/// Milliseconds of one step of a history.
const STEP: u64 = 100;
const LEASE_TTL: u64 = 4_000;
const RENEW_INTERVAL: u64 = 1_300;
const RETRY_PAUSE: u64 = 400;
const CALL_TIMEOUT: u64 = 1_000;
/// How late a write may be carried out.
const LATEST: u64 = 6_000;
/// Time with faults, and time within which the entry must be there for good afterwards: what is still
/// carried out late, and the lease of an earlier process.
const FAULTY: u64 = 20_000;
const RECOVERY: u64 = LATEST + LEASE_TTL + CALL_TIMEOUT + 2 * RETRY_PAUSE;
const CALM: u64 = 20_000;

/// The entry and the leases as the store has them.
#[derive(Default)]
struct TestStore {
    revision: u64,
    entry: Option<StoredEntry>,
    /// When each lease ends.
    leases: Vec<u64>,
    /// Writes that are carried out later, each with its time.
    late: Vec<(u64, WriteCall)>,
    /// The entry at each revision, as copies learn it.
    history: Vec<(u64, Option<StoredEntry>)>,
}

impl TestStore {
    fn has_lease(&self, id: u64, now: u64) -> bool {
        self.leases[id as usize] > now
    }

    fn set(&mut self, entry: Option<(Vec<u8>, Option<u64>)>, now: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.entry = entry.map(|(value, lease)| StoredEntry {
            value,
            revision,
            lease,
        });
        self.history.push((now, self.entry.clone()));
    }

    /// Carries out a write; returns the revision, or `None` if the condition does not hold.
    fn write(&mut self, call: &WriteCall, now: u64) -> Result<Option<u64>, ()> {
        let lease = call.lease.expect("registrations have leases");
        if self.entry.as_ref().map_or(0, |entry| entry.revision) != call.expected {
            return Ok(None);
        }
        if !self.has_lease(lease, now) {
            return Err(());
        }
        self.set(Some((call.value.clone(), Some(lease))), now);
        Ok(Some(self.revision))
    }

    fn advance(&mut self, now: u64) {
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = late;
        for (_, call) in due {
            let _outcome = self.write(&call, now);
        }
        let lease = self.entry.as_ref().and_then(|entry| entry.lease);
        if lease.is_some_and(|lease| !self.has_lease(lease, now)) {
            self.set(None, now);
        }
    }
}

/// A process of the VM.
struct TestProcess {
    registration: RegistrationTracker,
    value: Vec<u8>,
    next_at: u64,
}

impl TestProcess {
    fn start(born_millis: u64, now: u64) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 80));
        let record = VmRecord {
            name: "vm".to_owned(),
            front: any,
            peer: any,
            forward: None,
            domain: "a-1".to_owned(),
            region: "a".to_owned(),
            processor_millis: 1_000,
            born_millis,
        };
        Self {
            registration: RegistrationTracker::new(&record).unwrap(),
            value: serde_json::to_vec(&record).unwrap(),
            next_at: now,
        }
    }

    /// Makes the next call, with faults if `random` is given.
    fn step(&mut self, store: &mut TestStore, lag: u64, random: Option<&mut StdRng>, now: u64) {
        let seen_at = now.saturating_sub(lag);
        let mut seen = store.history.iter().rev();
        let known = seen.find(|(at, _)| *at <= seen_at);
        let entry = known
            .and_then(|(_, entry)| entry.as_ref())
            .map(|entry| VersionedValue {
                value: entry.value.clone().into(),
                revision: entry.revision,
            });
        let revision = store.history.iter().take_while(|(at, _)| *at <= seen_at);
        let listed = ListedEntry {
            entry: entry.as_ref(),
            revision: revision.count() as u64,
        };
        let fate = random.map_or(9, |random| random.random_range(0..10));
        self.next_at = now + RETRY_PAUSE;
        match self.registration.plan(listed) {
            // The answer is lost.
            RegistrationStep::Grant | RegistrationStep::Renew { .. } if fate < 3 => {
                self.next_at += CALL_TIMEOUT;
            }
            RegistrationStep::Grant => {
                store.leases.push(now + LEASE_TTL);
                let lease = store.leases.len() as u64 - 1;
                self.registration.record_lease(lease);
                self.next_at = now;
            }
            RegistrationStep::Renew { lease } => {
                if !store.has_lease(lease, now) {
                    self.registration.forget_lease();
                    return;
                }
                store.leases[lease as usize] = now + LEASE_TTL;
                self.next_at = now + RENEW_INTERVAL;
            }
            RegistrationStep::Write(call) if fate < 5 => {
                match fate {
                    0 => {}
                    1 => drop(store.write(&call, now)),
                    _ => store.late.push((now + LATEST * (fate - 1) / 3, call)),
                }
                self.next_at += CALL_TIMEOUT;
            }
            RegistrationStep::Write(call) => match store.write(&call, now) {
                Err(()) => self.registration.forget_lease(),
                Ok(None) => self.registration.record_conflict(store.entry.as_ref()),
                Ok(Some(revision)) => {
                    self.registration.record_written(revision);
                    self.next_at = now + RENEW_INTERVAL;
                }
            },
        }
    }
}

/// Guards against an entry that a late write binds to a lease which nobody renews, and against one of
/// an earlier process in the place of a later one's (HOME).
#[test]
fn the_entry_of_the_latest_process_is_there_for_good_once_faults_are_over() {
    for seed in 0..2_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut store = TestStore::default();
        let mut born = 1_000_000;
        let mut process = TestProcess::start(born, 0);
        let mut earlier: Vec<Vec<u8>> = Vec::new();
        // Whether the entry was this process's one step ago.
        let mut is_own = false;
        for now in (0..FAULTY + RECOVERY + CALM).step_by(STEP as usize) {
            store.advance(now);
            let is_faulty = now < FAULTY;
            if is_faulty && random.random_bool(0.01) {
                // The clock of a machine may step back.
                born += random.random_range(1..2_000);
                if seed % 4 == 0 {
                    born -= 1_500;
                }
                earlier.push(process.value.clone());
                process = TestProcess::start(born, now + 750);
                is_own = false;
            }
            if is_faulty && random.random_bool(0.01) {
                // An operator, or a VM of an earlier version.
                let other = random.random_bool(0.5).then(|| (b"{}".to_vec(), None));
                store.set(other, now);
            }
            let lag = random.random_range(0..1_000);
            let faults = is_faulty.then_some(&mut random);
            if process.next_at <= now {
                process.step(&mut store, lag, faults, now);
            }
            let found = store.entry.as_ref().map(|entry| &entry.value);
            if is_own {
                let is_earlier = found.is_some_and(|found| earlier.contains(found));
                assert!(!is_earlier, "seed {seed}, {now} ms: an earlier process");
            }
            is_own = found == Some(&process.value);
            if now >= FAULTY + RECOVERY {
                assert_eq!(found, Some(&process.value), "seed {seed}, {now} ms");
            }
        }
    }
}
