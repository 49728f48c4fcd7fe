//! Measures slot use at all targets under twice the load that they can serve.

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
const WARM_UP_SECONDS: u64 = 10;
const COUNTED_SECONDS: u64 = 20;
/// Mean service time of a request, microseconds.
const SERVICE_MICROS: u64 = 50_000;
/// Load as a multiple of what all slots can serve.
const OVERLOAD: u64 = 2;
/// How long a request may wait for a slot.
const DEADLINE: Duration = Duration::from_secs(1);
/// Bound on the share of slot time in use, percent.
const BUSY_PERCENT_MIN: f64 = 95.0;

/// Id of the scheduled event of an arrival; all other ids are indices of slot uses that end.
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
    exceeded: u64,
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

/// Reports the share of slot time in use, and the number of requests that a target got beyond its
/// slots.
pub fn measure(name: &str, between_regions: u64, seed: u64, report: &mut figures::FigureReport) {
    let specs: Vec<_> = (0..TARGETS).map(target_spec).collect();
    let fleet = fleet::QuotaFleet::new(VMS, between_regions, specs.clone(), seed);
    let key = |spec: &limit::LimitSpec| fleet.vms[0].manager.limit(&spec.name).expect("configured");
    let mut run = SlotRun {
        limits: specs.iter().map(key).collect(),
        fleet,
        uses: Vec::new(),
        in_use: vec![0; TARGETS],
        waiting: FastMap::default(),
        busy_micros: 0,
        exceeded: 0,
    };
    run.fleet.schedule(SECOND, ARRIVAL);
    while run.fleet.now < (WARM_UP_SECONDS + COUNTED_SECONDS) * SECOND {
        run.step();
    }
    let max_micros = (TARGETS as u64 * SLOTS * COUNTED_SECONDS * SECOND) as f64;
    let busy = run.busy_micros as f64 * 100.0 / max_micros;
    report.figure(
        format!("{name}.slots.busy"),
        busy,
        "%",
        FigureTarget::AtLeast(BUSY_PERCENT_MIN),
    );
    let none = FigureTarget::AtMost(0.0);
    report.figure(
        format!("{name}.slots.passed"),
        run.exceeded as f64,
        "requests",
        none,
    );
}

impl SlotRun {
    fn step(&mut self) {
        match self.fleet.step() {
            fleet::FleetStep::Scheduled(ARRIVAL) => self.arrive(),
            fleet::FleetStep::Scheduled(id) => self.end_use(id as usize),
            fleet::FleetStep::Other => {}
        }
        for resolved in std::mem::take(&mut self.fleet.resolved) {
            let key = (resolved.vm, resolved.ticket);
            if let Some(target) = self.waiting.remove(&key) {
                self.start_use(resolved.vm, target, resolved.admission);
            }
        }
    }

    fn arrive(&mut self) {
        let mean = SERVICE_MICROS / (TARGETS as u64 * SLOTS * OVERLOAD);
        let gap = self.fleet.rng.random_range(0..2 * mean);
        self.fleet.schedule(gap, ARRIVAL);
        let vm = self.fleet.rng.random_range(0..VMS);
        let target = self.fleet.rng.random_range(0..TARGETS);
        let now = self.fleet.stamp();
        let deadline = now.after(DEADLINE);
        let admission = self.fleet.vms[vm]
            .manager
            .admit(self.limits[target], deadline, now);
        if let effect::Admission::Waiting { ticket, .. } = admission {
            self.waiting.insert((vm, ticket), target);
            self.fleet.wake(vm);
        }
        self.start_use(vm, target, admission);
    }

    fn start_use(&mut self, vm: usize, target: usize, admission: effect::Admission) {
        let effect::Admission::Granted(permit) = admission else {
            return;
        };
        let permit_micros = permit.usable_until.since(self.fleet.stamp()).as_micros() as u64;
        let service_micros = self
            .fleet
            .rng
            .random_range(0..2 * SERVICE_MICROS)
            .min(permit_micros);
        self.in_use[target] += 1;
        self.exceeded += u64::from(SLOTS < self.in_use[target]);
        if WARM_UP_SECONDS * SECOND <= self.fleet.now {
            self.busy_micros += service_micros;
        }
        self.fleet.schedule(service_micros, self.uses.len() as u64);
        self.uses.push(Some(SlotUse { vm, target, permit }));
    }

    fn end_use(&mut self, index: usize) {
        let ended = self.uses[index].take().expect("a use ends once");
        self.in_use[ended.target] -= 1;
        let now = self.fleet.stamp();
        let effects = self.fleet.vms[ended.vm].manager.release(ended.permit, now);
        self.fleet.apply_effects(ended.vm, effects);
    }
}
