//! How busy the slots of all targets are under twice the load that they can serve.

use crate::quota::fleet;
use dahliawood_model::FastMap;
use dahliawood_quota::manager::effect;
use dahliawood_quota::{amount, limit};
use dahliawood_testkit::figures::{self, FigureTarget};
use rand::Rng;
use std::time::Duration;

const VMS: usize = 11;
const TARGETS: usize = 20;
const SLOTS: u64 = 3;
const SECOND: u64 = 1_000_000;
const WARM_UP: u64 = 10;
const COUNTED: u64 = 20;
/// Microseconds that a request keeps a slot, on average.
const SERVICE: u64 = 50_000;
/// Times the load that all slots can serve.
const OVERLOAD: u64 = 2;
/// How long a request may take.
const DEADLINE: Duration = Duration::from_secs(1);
const BUSY_LEAST: f64 = 95.0;

/// The planned event of an arrival; all others end the use of a slot.
const ARRIVAL: u64 = u64::MAX;

struct SlotUse {
    vm: usize,
    target: usize,
    permit: effect::QuotaPermit,
}

struct SlotRun {
    fleet: fleet::QuotaFleet,
    limits: Vec<limit::LimitKey>,
    uses: Vec<Option<SlotUse>>,
    in_use: Vec<u64>,
    waiting: FastMap<(usize, effect::WaitTicket), usize>,
    busy_micros: u64,
    passed: u64,
}

fn target_spec(target: usize) -> limit::LimitSpec {
    limit::LimitSpec {
        name: format!("slots/{target}"),
        terms: limit::LimitTerms::Count {
            count: amount::TokenAmount::from_whole(SLOTS),
        },
        homes: limit::HomeRule {
            region: Some(fleet::REGIONS[target % fleet::REGIONS.len()].to_owned()),
            homes_max: 2,
        },
        is_paced: false,
    }
}

/// Prints how busy the slots are, and how often a target had more in flight than it has slots.
pub fn measure(name: &str, between_regions: u64, seed: u64, report: &mut figures::FigureReport) {
    let specs: Vec<_> = (0..TARGETS).map(target_spec).collect();
    let fleet = fleet::QuotaFleet::new(VMS, between_regions, specs.clone(), seed);
    let key = |spec: &limit::LimitSpec| fleet.vms[0].book.limit(&spec.name).expect("configured");
    let mut run = SlotRun {
        limits: specs.iter().map(key).collect(),
        fleet,
        uses: Vec::new(),
        in_use: vec![0; TARGETS],
        waiting: FastMap::default(),
        busy_micros: 0,
        passed: 0,
    };
    run.fleet.plan(SECOND, ARRIVAL);
    while run.fleet.now < (WARM_UP + COUNTED) * SECOND {
        run.step();
    }
    let most = (TARGETS as u64 * SLOTS * COUNTED * SECOND) as f64;
    let busy = run.busy_micros as f64 * 100.0 / most;
    report.figure(
        format!("{name}.slots.busy"),
        busy,
        "%",
        FigureTarget::AtLeast(BUSY_LEAST),
    );
    let none = FigureTarget::AtMost(0.0);
    report.figure(
        format!("{name}.slots.passed"),
        run.passed as f64,
        "requests",
        none,
    );
}

impl SlotRun {
    fn step(&mut self) {
        match self.fleet.step() {
            fleet::FleetStep::Planned(ARRIVAL) => self.arrive(),
            fleet::FleetStep::Planned(name) => self.end(name as usize),
            fleet::FleetStep::Other => {}
        }
        for resolved in std::mem::take(&mut self.fleet.resolved) {
            let key = (resolved.vm, resolved.ticket);
            if let Some(target) = self.waiting.remove(&key) {
                self.begin(resolved.vm, target, resolved.admission);
            }
        }
    }

    fn arrive(&mut self) {
        let mean = SERVICE / (TARGETS as u64 * SLOTS * OVERLOAD);
        let gap = self.fleet.rng.random_range(0..2 * mean);
        self.fleet.plan(gap, ARRIVAL);
        let vm = self.fleet.rng.random_range(0..VMS);
        let target = self.fleet.rng.random_range(0..TARGETS);
        let now = self.fleet.stamp();
        let deadline = now.after(DEADLINE);
        let admission = self.fleet.vms[vm]
            .book
            .admit(self.limits[target], deadline, now);
        if let effect::Admission::Waiting { ticket, .. } = admission {
            self.waiting.insert((vm, ticket), target);
            self.fleet.wake(vm);
        }
        self.begin(vm, target, admission);
    }

    fn begin(&mut self, vm: usize, target: usize, admission: effect::Admission) {
        let effect::Admission::Granted(permit) = admission else {
            return;
        };
        let left = permit.usable_until.since(self.fleet.stamp()).as_micros() as u64;
        let span = self.fleet.rng.random_range(0..2 * SERVICE).min(left);
        self.in_use[target] += 1;
        self.passed += u64::from(SLOTS < self.in_use[target]);
        if WARM_UP * SECOND <= self.fleet.now {
            self.busy_micros += span;
        }
        self.fleet.plan(span, self.uses.len() as u64);
        self.uses.push(Some(SlotUse { vm, target, permit }));
    }

    fn end(&mut self, name: usize) {
        let ended = self.uses[name].take().expect("a use ends once");
        self.in_use[ended.target] -= 1;
        let now = self.fleet.stamp();
        let effects = self.fleet.vms[ended.vm].book.release(ended.permit, now);
        self.fleet.carry_out(ended.vm, effects);
    }
}
