//! Measures how much of a link's cap is used under a flood of downloads and whether the cap is ever
//! exceeded, and the same for target slots under overload.

mod slots;

use crate::quota::fleet;
use dahliawood_model::{FastMap, stamp};
use dahliawood_quota::manager::effect;
use dahliawood_quota::{amount, bucket, limit, pacer};
use dahliawood_testkit::figures::{self, FigureTarget};
use std::time::Duration;

const VMS: usize = 11;
const SECOND: u64 = 1_000_000;
/// Seconds before counting starts, and seconds that are counted.
const WARM_UP_SECONDS: u64 = 10;
const COUNTED_SECONDS: u64 = 20;
/// Concurrent downloads at each sending VM.
const FLOWS: usize = 16;
/// Bytes per second that one VM can write.
const VM_BYTES_PER_SECOND: u64 = 1_250_000_000;
/// Burst size of a link, given as the time that it takes to send at the cap, milliseconds.
const BURST_MILLIS: u64 = 50;
/// Bound on the share of the cap that a flood uses, percent.
const USE_PERCENT_MIN: f64 = 95.0;

/// Latency in microseconds and cap of a deployment's links between regions.
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
        for (name, sender_count) in [("all-vms", VMS), ("one-vm", 1)] {
            let outcome = flood(link, sender_count, seed);
            let name = format!("{}.{name}", link.name);
            let lower_bound = FigureTarget::AtLeast(USE_PERCENT_MIN);
            report.figure(
                format!("{name}.use"),
                outcome.percent_used,
                "%",
                lower_bound,
            );
            let none = FigureTarget::AtMost(0.0);
            report.figure(
                format!("{name}.passed"),
                outcome.exceeded as f64,
                "chunks",
                none,
            );
        }
        slots::measure(link.name, link.between_regions, seed, report);
    }
}

struct FloodOutcome {
    percent_used: f64,
    /// Chunks that exceeded the cap plus one burst within some window.
    exceeded: u64,
}

struct FloodRun {
    fleet: fleet::QuotaFleet,
    link: limit::LimitKey,
    chunk: u64,
    reference_bucket: bucket::TokenBucket,
    flows: FastMap<(usize, effect::WaitTicket), u64>,
    sent: u64,
    exceeded: u64,
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

fn flood(link: &LinkSize, sender_count: usize, seed: u64) -> FloodOutcome {
    let spec = link_spec(link);
    let fleet = fleet::QuotaFleet::new(VMS, link.between_regions, vec![spec.clone()], seed);
    let mut reference_bucket = bucket::TokenBucket::new(stamp::TimeStamp::ZERO);
    reference_bucket.grow(spec.terms.rate(), spec.terms.burst());
    reference_bucket.credit(spec.terms.burst());
    let mut run = FloodRun {
        link: fleet.vms[0].manager.limit(&spec.name).expect("configured"),
        fleet,
        chunk: pacer::chunk_bytes(spec.terms),
        reference_bucket,
        flows: FastMap::default(),
        sent: 0,
        exceeded: 0,
    };
    run.start(sender_count);
    while run.fleet.now < (WARM_UP_SECONDS + COUNTED_SECONDS) * SECOND {
        run.step();
    }
    let max_bytes = (link.bytes_per_second * COUNTED_SECONDS) as f64;
    FloodOutcome {
        percent_used: run.sent as f64 * 100.0 / max_bytes,
        exceeded: run.exceeded,
    }
}

impl FloodRun {
    fn start(&mut self, sender_count: usize) {
        let sends = |vm: &usize| self.fleet.vms[*vm].region == 0;
        let senders: Vec<_> = (0..VMS).filter(sends).take(sender_count).collect();
        for vm in senders {
            for flow in 0..FLOWS {
                self.fleet.schedule(SECOND, (vm * FLOWS + flow) as u64);
            }
        }
    }

    fn step(&mut self) {
        if let fleet::FleetStep::Scheduled(flow) = self.fleet.step() {
            self.reserve(flow);
        }
        for resolved in std::mem::take(&mut self.fleet.resolved) {
            if let Some(flow) = self.flows.remove(&(resolved.vm, resolved.ticket)) {
                self.handle_admission(flow, resolved.admission);
            }
        }
    }

    fn reserve(&mut self, flow: u64) {
        let vm = flow as usize / FLOWS;
        let now = self.fleet.stamp();
        let deadline = now.after(Duration::from_secs(1));
        let manager = &mut self.fleet.vms[vm].manager;
        let admission = pacer::reserve_bytes(manager, self.link, self.chunk, deadline, now);
        if let effect::Admission::Waiting { ticket, .. } = admission {
            self.flows.insert((vm, ticket), flow);
            self.fleet.wake(vm);
        } else {
            self.handle_admission(flow, admission);
        }
    }

    /// Sends a granted chunk and schedules the flow's next one, or retries a refused one.
    fn handle_admission(&mut self, flow: u64, admission: effect::Admission) {
        match admission {
            effect::Admission::Granted(_) => {
                self.count_chunk();
                let per_flow = VM_BYTES_PER_SECOND / FLOWS as u64;
                self.fleet.schedule(self.chunk * SECOND / per_flow, flow);
            }
            effect::Admission::Refused { retry_after } => {
                self.fleet.schedule(retry_after.as_micros() as u64, flow);
            }
            effect::Admission::Waiting { .. } => {}
        }
    }

    fn count_chunk(&mut self) {
        self.reference_bucket.refill(self.fleet.stamp());
        let is_within_cap = self
            .reference_bucket
            .spend(amount::TokenAmount::from_whole(self.chunk));
        self.exceeded += u64::from(!is_within_cap);
        if WARM_UP_SECONDS * SECOND <= self.fleet.now {
            self.sent += self.chunk;
        }
    }
}
