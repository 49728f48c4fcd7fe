//! How much of a link's cap a flood uses, and whether it is ever passed; the same for slots.

mod slots;

use crate::quota::fleet;
use dahliawood_model::{FastMap, stamp};
use dahliawood_quota::manager::effect;
use dahliawood_quota::{amount, bucket, limit, pacer};
use dahliawood_testkit::figures::{self, FigureTarget};
use std::time::Duration;

const VMS: usize = 11;
const SECOND: u64 = 1_000_000;
/// Seconds before counting, and that are counted.
const WARM_UP: u64 = 10;
const COUNTED: u64 = 20;
/// Downloads at once on each VM that floods.
const FLOWS: usize = 16;
/// Bytes a second that one VM can write.
const VM_BYTES_PER_SECOND: u64 = 1_250_000_000;
/// Burst of a link as time at its cap, milliseconds.
const BURST_MILLIS: u64 = 50;
/// Percent of the cap that a flood has to use.
const USE_LEAST: f64 = 95.0;

/// A link of a deployment.
struct LinkSize {
    name: &'static str,
    between_regions: u64,
    bytes_per_second: u64,
}

const LINKS: [LinkSize; 2] = [
    LinkSize {
        name: "taiwan",
        between_regions: 12_000,
        bytes_per_second: 500_000_000,
    },
    LinkSize {
        name: "colombia",
        between_regions: 35_000,
        bytes_per_second: 35_000_000,
    },
];

/// Runs the measurement.
pub fn measure(seed: u64, report: &mut figures::FigureReport) {
    for link in &LINKS {
        for (name, flooding) in [("all-vms", VMS), ("one-vm", 1)] {
            let outcome = flood(link, flooding, seed);
            let name = format!("{}.{name}", link.name);
            let least = FigureTarget::AtLeast(USE_LEAST);
            report.figure(format!("{name}.use"), outcome.percent_used, "%", least);
            let none = FigureTarget::AtMost(0.0);
            report.figure(
                format!("{name}.passed"),
                outcome.passed as f64,
                "chunks",
                none,
            );
        }
        slots::measure(link.name, link.between_regions, seed, report);
    }
}

struct FloodOutcome {
    percent_used: f64,
    /// Chunks that took some window over the cap and one burst.
    passed: u64,
}

struct FloodRun {
    fleet: fleet::QuotaFleet,
    link: limit::LimitKey,
    chunk: u64,
    oracle: bucket::TokenBucket,
    flows: FastMap<(usize, effect::WaitTicket), u64>,
    sent: u64,
    passed: u64,
}

fn link_spec(link: &LinkSize) -> limit::LimitSpec {
    let burst = link.bytes_per_second * BURST_MILLIS / 1_000;
    limit::LimitSpec {
        name: "link/first>second".to_owned(),
        terms: limit::LimitTerms::Rate {
            rate: amount::TokenRate::from_whole(link.bytes_per_second),
            burst: amount::TokenAmount::from_whole(burst),
        },
        homes: limit::HomeRule {
            region: Some(fleet::REGIONS[0].to_owned()),
            homes_max: 0,
        },
        is_paced: true,
    }
}

fn flood(link: &LinkSize, flooding: usize, seed: u64) -> FloodOutcome {
    let spec = link_spec(link);
    let fleet = fleet::QuotaFleet::new(VMS, link.between_regions, vec![spec.clone()], seed);
    let mut oracle = bucket::TokenBucket::new(stamp::TimeStamp::ZERO);
    oracle.grow(spec.terms.rate(), spec.terms.burst());
    oracle.credit(spec.terms.burst());
    let mut run = FloodRun {
        link: fleet.vms[0].book.limit(&spec.name).expect("configured"),
        fleet,
        chunk: pacer::chunk_bytes(spec.terms),
        oracle,
        flows: FastMap::default(),
        sent: 0,
        passed: 0,
    };
    run.start(flooding);
    while run.fleet.now < (WARM_UP + COUNTED) * SECOND {
        run.step();
    }
    let most = (link.bytes_per_second * COUNTED) as f64;
    FloodOutcome {
        percent_used: run.sent as f64 * 100.0 / most,
        passed: run.passed,
    }
}

impl FloodRun {
    fn start(&mut self, flooding: usize) {
        let sends = |vm: &usize| self.fleet.vms[*vm].region == 0;
        let senders: Vec<_> = (0..VMS).filter(sends).take(flooding).collect();
        for vm in senders {
            for flow in 0..FLOWS {
                self.fleet.plan(SECOND, (vm * FLOWS + flow) as u64);
            }
        }
    }

    fn step(&mut self) {
        if let fleet::FleetStep::Planned(flow) = self.fleet.step() {
            self.reserve(flow);
        }
        for resolved in std::mem::take(&mut self.fleet.resolved) {
            if let Some(flow) = self.flows.remove(&(resolved.vm, resolved.ticket)) {
                self.take(flow, resolved.admission);
            }
        }
    }

    fn reserve(&mut self, flow: u64) {
        let vm = flow as usize / FLOWS;
        let now = self.fleet.stamp();
        let deadline = now.after(Duration::from_secs(1));
        let book = &mut self.fleet.vms[vm].book;
        let admission = pacer::reserve_bytes(book, self.link, self.chunk, deadline, now);
        if let effect::Admission::Waiting { ticket, .. } = admission {
            self.flows.insert((vm, ticket), flow);
            self.fleet.wake(vm);
        } else {
            self.take(flow, admission);
        }
    }

    /// Writes a granted chunk and plans the flow's next one.
    fn take(&mut self, flow: u64, admission: effect::Admission) {
        match admission {
            effect::Admission::Granted(_) => {
                self.count();
                let per_flow = VM_BYTES_PER_SECOND / FLOWS as u64;
                self.fleet.plan(self.chunk * SECOND / per_flow, flow);
            }
            effect::Admission::Refused { retry_after } => {
                self.fleet.plan(retry_after.as_micros() as u64, flow);
            }
            effect::Admission::Waiting { .. } => {}
        }
    }

    fn count(&mut self) {
        self.oracle.refill(self.fleet.stamp());
        let taken = self
            .oracle
            .spend(amount::TokenAmount::from_whole(self.chunk));
        self.passed += u64::from(!taken);
        if WARM_UP * SECOND <= self.fleet.now {
            self.sent += self.chunk;
        }
    }
}
