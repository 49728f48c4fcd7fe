//! The faults of VMs in a simulated fleet.

use dahliawood_model::stamp::TimeStamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// What is wrong with a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// It does not reach the store; connections hang.
    CutFromStore,
    /// It reaches neither the store nor other VMs; connections hang.
    CutFromAll,
    /// The store refuses its calls.
    Refused,
    /// The store answers all its calls but those that wait for changes.
    Stalled,
    /// Its process does not run.
    Paused,
    /// Its process is gone; a new one starts at the end.
    Killed,
    /// It has a small part of its processor time.
    Slow,
}

/// A fault of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultWindow {
    /// Index of the VM.
    pub vm: usize,
    /// The fault.
    pub kind: FaultKind,
    /// Its start.
    pub from: TimeStamp,
    /// Its end.
    pub until: TimeStamp,
}

impl FaultWindow {
    /// Whether the fault is present at `now`.
    pub fn is_present(&self, now: TimeStamp) -> bool {
        self.from <= now && now < self.until
    }
}

const KINDS: [FaultKind; 7] = [
    FaultKind::CutFromStore,
    FaultKind::CutFromAll,
    FaultKind::Refused,
    FaultKind::Stalled,
    FaultKind::Paused,
    FaultKind::Killed,
    FaultKind::Slow,
];

/// Time before the first fault, milliseconds.
const FIRST_MS: u64 = 4_500;
/// Range of the time between the starts of two rounds of faults, milliseconds.
const GAP_MS: std::ops::Range<u64> = 400..2_500;
/// Range of the length of a fault, milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 1_000..5_000;

/// Draws rounds of faults that begin within `span`: each round has one kind of fault at a share of the
/// VMs, so that relays of many failure domains fail together, and rounds overlap.
pub fn draw(seed: u64, vms: usize, span: Duration) -> Vec<FaultWindow> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = FIRST_MS;
    while u128::from(at) < u128::from(FIRST_MS) + span.as_millis() {
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let length = rng.random_range(LENGTH_MS);
        let share = rng.random_range(0.1..0.4);
        let hit = (0..vms).filter(|_| rng.random_bool(share));
        let hit: Vec<usize> = hit.collect();
        faults.extend(hit.into_iter().map(|vm| FaultWindow {
            vm,
            kind,
            from: TimeStamp::from_millis(at),
            until: TimeStamp::from_millis(at + length),
        }));
        at += rng.random_range(GAP_MS);
    }
    faults
}
