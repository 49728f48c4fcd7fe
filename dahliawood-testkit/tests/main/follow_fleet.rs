//! How late changes are in force while the VMs that others follow fail.

use dahliawood_gateway::settings::FleetBounds;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_testkit::follow_fleet::fault::{self, FaultKind, FaultWindow};
use dahliawood_testkit::follow_fleet::rules::RuleKind;
use dahliawood_testkit::follow_fleet::{self, FollowOptions, FollowOutcome};
use std::ops::Range;
use std::time::Duration;

/// Seeds without `DAHLIAWOOD_FOLLOW_SEEDS=FROM..TO`.
const SEEDS: Range<u64> = 1..5;
/// VMs and failure domains.
const FLEETS: [(usize, usize); 5] = [(3, 1), (11, 6), (30, 5), (76, 6), (300, 9)];
const LENGTH: Duration = Duration::from_secs(16);

/// Config, drain and recovery time of a fleet, seconds.
const BOUNDS: [[f64; 3]; 3] = [[2.0, 2.0, 3.0], [2.5, 2.5, 4.0], [3.0, 3.0, 4.0]];

fn bounds([config, drain, recovery]: [f64; 3]) -> FleetBounds {
    FleetBounds {
        config_time: Duration::from_secs_f64(config),
        drain_time: Duration::from_secs_f64(drain),
        recovery_time: Duration::from_secs_f64(recovery),
        ..FleetBounds::default()
    }
}

fn options(rules: RuleKind, (vms, domains): (usize, usize), seed: u64) -> FollowOptions {
    FollowOptions {
        vms,
        domains,
        rules,
        bounds: bounds(BOUNDS[seed as usize % BOUNDS.len()]),
        change_interval: Duration::from_millis(400),
        length: LENGTH,
        faults: fault::draw(seed, vms, LENGTH),
        seed,
    }
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("DAHLIAWOOD_FOLLOW_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("seeds as FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Adds up the outcomes of all seeds.
fn run_all(rules: RuleKind, fleet: (usize, usize)) -> FollowOutcome {
    let outcomes = seeds().map(|seed| follow_fleet::run(&options(rules, fleet, seed)));
    outcomes.fold(FollowOutcome::default(), |sum, outcome| FollowOutcome {
        checked: sum.checked + outcome.checked,
        late: sum.late + outcome.late,
        worst: sum.worst.max(outcome.worst),
        store_calls: sum.store_calls + outcome.store_calls,
        relay_calls: sum.relay_calls + outcome.relay_calls,
    })
}

#[test]
fn changes_are_late_behind_relays_that_fail_one_after_another() {
    for fleet in FLEETS {
        let dated = run_all(RuleKind::Dated, fleet);
        let former = run_all(RuleKind::Former, fleet);
        println!("{fleet:?}: {dated:?}, formerly {former:?}");
        assert_eq!(dated.late, 0, "of {fleet:?}: {dated:?}");
        assert!(dated.checked > 100, "of {fleet:?}: {dated:?}");
        if fleet.0 > 11 {
            assert!(former.late > 0, "of {fleet:?}: {former:?}");
        }
    }
}

/// All relays have one fault at the same time, from 6 s to 12 s.
fn all_relays_fail(rules: RuleKind, kind: FaultKind) -> FollowOutcome {
    let mut options = options(rules, (76, 6), 2);
    let half = (0..options.vms).filter(|vm| vm % 4 > 0);
    let fault = |vm| FaultWindow {
        vm,
        kind,
        from: TimeStamp::from_millis(6_000),
        until: TimeStamp::from_millis(12_000),
    };
    options.faults = half.map(fault).collect();
    follow_fleet::run(&options)
}

#[test]
fn changes_are_late_where_three_quarters_of_a_failure_domain_have_one_fault() {
    let kinds = [
        FaultKind::CutFromStore,
        FaultKind::CutFromAll,
        FaultKind::Refused,
        FaultKind::Stalled,
        FaultKind::Paused,
        FaultKind::Killed,
        FaultKind::Slow,
    ];
    for kind in kinds {
        let dated = all_relays_fail(RuleKind::Dated, kind);
        let former = all_relays_fail(RuleKind::Former, kind);
        println!("{kind:?}: {dated:?}, formerly {former:?}");
        assert_eq!(dated.late, 0, "{kind:?}: {dated:?}");
    }
}
