//! Generated histories: what goes wrong, when, for how long and for whom.

use proptest::prelude::*;

/// Microseconds of a history in which faults happen, and of the quiet time after it.
pub const FAULTS_FOR: u64 = 12_000_000;
pub const QUIET_FOR: u64 = 18_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    Pause,
    Death,
    StoreOutage,
    StoreSlow,
    LostReplies,
    StaleReads,
    RegionCut,
    Lossy,
    ListDown,
    Growth,
    Leave,
    Revision { permille: u64 },
}

#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub kind: FaultKind,
    pub at: u64,
    pub span: u64,
    pub whom: usize,
}

#[derive(Clone, Debug)]
pub struct History {
    pub seed: u64,
    pub vms: usize,
    pub demand_permille: u64,
    pub faults: Vec<Fault>,
}

fn fault_kind() -> impl Strategy<Value = FaultKind> {
    prop_oneof![
        3 => Just(FaultKind::Pause),
        2 => Just(FaultKind::Death),
        2 => Just(FaultKind::StoreOutage),
        1 => Just(FaultKind::StoreSlow),
        2 => Just(FaultKind::LostReplies),
        1 => Just(FaultKind::StaleReads),
        2 => Just(FaultKind::RegionCut),
        2 => Just(FaultKind::Lossy),
        1 => Just(FaultKind::ListDown),
        1 => Just(FaultKind::Growth),
        1 => Just(FaultKind::Leave),
        2 => (200_u64..3_000).prop_map(|permille| FaultKind::Revision { permille }),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    let span = prop_oneof![100_000_u64..1_000_000, 4_000_000_u64..9_000_000];
    (fault_kind(), 0..FAULTS_FOR, span, 0_usize..16).prop_map(|(kind, at, span, whom)| Fault {
        kind,
        at,
        span,
        whom,
    })
}

pub fn history() -> impl Strategy<Value = History> {
    let faults = prop::collection::vec(fault(), 0..8);
    (any::<u64>(), 2_usize..7, 300_u64..4_000, faults).prop_map(
        |(seed, vms, demand_permille, faults)| History {
            seed,
            vms,
            demand_permille,
            faults,
        },
    )
}
