//! Generated fault scenarios: which faults occur, when, for how long and at which VM or region.

use proptest::prelude::*;

/// Microseconds of a scenario in which faults occur, and of the time without faults that follows.
pub const FAULT_PERIOD: u64 = 12_000_000;
pub const RECOVERY_PERIOD: u64 = 18_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    Pause,
    Crash,
    StoreOutage,
    SlowStore,
    LostReplies,
    StaleReads,
    RegionPartition,
    MessageLoss,
    ListOutage,
    Join,
    Leave,
    Revision { permille: u64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub kind: FaultKind,
    pub at: u64,
    pub span: u64,
    /// Chooses the VM or region that is affected, modulo their number.
    pub victim: usize,
}

#[derive(Clone, Debug)]
pub struct FaultScenario {
    pub seed: u64,
    pub vms: usize,
    pub demand_permille: u64,
    pub faults: Vec<Fault>,
}

fn fault_kind() -> impl Strategy<Value = FaultKind> {
    prop_oneof![
        3 => Just(FaultKind::Pause),
        2 => Just(FaultKind::Crash),
        2 => Just(FaultKind::StoreOutage),
        1 => Just(FaultKind::SlowStore),
        2 => Just(FaultKind::LostReplies),
        1 => Just(FaultKind::StaleReads),
        2 => Just(FaultKind::RegionPartition),
        2 => Just(FaultKind::MessageLoss),
        1 => Just(FaultKind::ListOutage),
        1 => Just(FaultKind::Join),
        1 => Just(FaultKind::Leave),
        2 => (200_u64..3_000).prop_map(|permille| FaultKind::Revision { permille }),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    let span = prop_oneof![100_000_u64..1_000_000, 4_000_000_u64..9_000_000];
    (fault_kind(), 0..FAULT_PERIOD, span, 0_usize..16).prop_map(|(kind, at, span, victim)| Fault {
        kind,
        at,
        span,
        victim,
    })
}

pub fn scenarios() -> impl Strategy<Value = FaultScenario> {
    let faults = prop::collection::vec(fault(), 0..8);
    (any::<u64>(), 2_usize..7, 300_u64..4_000, faults).prop_map(
        |(seed, vms, demand_permille, faults)| FaultScenario {
            seed,
            vms,
            demand_permille,
            faults,
        },
    )
}
