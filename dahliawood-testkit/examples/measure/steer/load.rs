//! The simulated deployments, and the generated requests, which are the same for every policy.

use dahliawood_model::keys::{DomainKey, RegionKey};
use dahliawood_model::tables;
use dahliawood_model::units;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

/// Regions of both deployments.
pub const REGIONS: usize = 3;
/// Failure domains of both deployments.
pub const DOMAINS: usize = 6;
/// Entry VMs of both deployments.
pub const VMS: usize = 11;
/// Customers of both deployments.
pub const CUSTOMERS: usize = 8;
/// Customers that use all VMs; each of the other customers uses one VM in each region.
pub const LARGE_CUSTOMERS: usize = 2;
/// Share of all requests that each large customer sends.
const LARGE_SHARE: f64 = 0.3;
/// Mean service time, microseconds.
pub const MEAN_SERVICE_US: f64 = 20_000.0;
/// One-way latency within a region, microseconds.
pub const WITHIN_REGION_US: u64 = 500;
/// Latency above which an answer does not count towards goodput, microseconds.
pub const DEADLINE_US: u64 = 1_000_000;

/// Size and latency of a deployment with one service.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Name used in the printed figures.
    pub name: &'static str,
    /// Targets of the service.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// One-way latency between regions, microseconds.
    pub between_regions_us: u64,
}

/// The catalogue look-up service in Taiwan.
pub const TAIWAN: DeploymentSize = DeploymentSize {
    name: "taiwan",
    targets: 20,
    slots: 3,
    between_regions_us: 12_000,
};

/// The ledger service in Colombia.
pub const COLOMBIA: DeploymentSize = DeploymentSize {
    name: "colombia",
    targets: 18,
    slots: 8,
    between_regions_us: 35_000,
};

impl DeploymentSize {
    /// Slots of all targets.
    pub fn all_slots(self) -> usize {
        self.targets * self.slots as usize
    }

    /// One-way latency from a region to a target's region, microseconds.
    pub fn one_way_us(self, from: usize, to: usize) -> u64 {
        if from == to {
            WITHIN_REGION_US
        } else {
            self.between_regions_us
        }
    }

    /// Targets in a region.
    pub fn region_targets(self, region: usize) -> Vec<usize> {
        let targets = 0..self.targets;
        targets
            .filter(|target| target_region(*target) == region)
            .collect()
    }

    /// The deployment as a `dahliawood-model` configuration.
    pub fn config(self) -> tables::FleetConfig {
        let mut config = tables::FleetConfig::default();
        for region in 0..REGIONS {
            let name = format!("region {region}");
            config.regions.push(tables::RegionSpec { name });
        }
        for domain in 0..DOMAINS {
            config.domains.push(tables::DomainSpec {
                name: format!("domain {domain}"),
                region: RegionKey((domain / 2) as u32),
            });
        }
        for from in config.regions.keys() {
            for to in config.regions.keys().filter(|to| *to != from) {
                config.links.push(tables::LinkSpec {
                    from,
                    to,
                    cap: units::ByteRate {
                        bytes_per_second: 500_000_000,
                    },
                    burst_bytes: 1 << 20,
                    latency: Duration::from_micros(self.between_regions_us),
                });
            }
        }
        let service = config.services.push(tables::ServiceSpec {
            name: "service".to_owned(),
            routes: Vec::new(),
            targets: Vec::new(),
            timeout: Duration::from_micros(DEADLINE_US),
            retry_percent: 0,
        });
        for target in 0..self.targets {
            config.targets.push(tables::TargetSpec {
                name: format!("target {target}"),
                service,
                address: SocketAddr::from(([10, 0, 0, 1], target as u16 + 1)),
                domain: DomainKey((target % DOMAINS) as u32),
                slots: self.slots,
                connections: 400,
            });
        }
        config
    }
}

/// Distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ServiceDistribution {
    /// Exponential distribution.
    #[display("light")]
    Light,
    /// Hyperexponential distribution: the mean of one request in ten is eleven times that of the
    /// others.
    #[display("heavy")]
    Heavy,
}

/// Fault or imbalance in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LoadFault {
    /// No fault.
    #[display("plain")]
    None,
    /// The service time at one target is multiplied by five.
    #[display("slow")]
    SlowTarget,
    /// One target starts at four times its usual service time and warms up with each request that
    /// it serves.
    #[display("cold")]
    ColdTarget,
    /// One region gets 1.4 times the share of requests that its slots make up.
    #[display("skew")]
    SkewedRegion,
}

/// One simulated case: a deployment, its load and a fault.
#[derive(Clone, Copy, Debug)]
pub struct LoadCase {
    /// The deployment.
    pub size: DeploymentSize,
    /// Distribution of service times.
    pub distribution: ServiceDistribution,
    /// Request rate, percent of what all slots can serve.
    pub percent: u32,
    /// The fault.
    pub fault: LoadFault,
    /// Duration of the load, seconds.
    pub seconds: u64,
}

impl LoadCase {
    /// Service time in microseconds at a target that has served `served` requests, for a request
    /// that takes `demand_us` at a warm and healthy target.
    pub fn service_us(&self, target: usize, demand_us: u64, served: u64) -> u64 {
        let factor = match self.fault {
            LoadFault::SlowTarget if target == 0 => 5.0,
            LoadFault::ColdTarget if target == 0 => 1.0 + 3.0 * (-(served as f64) / 300.0).exp(),
            _ => 1.0,
        };
        (demand_us as f64 * factor) as u64
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct LoadRequest {
    /// Time at which it reaches its VM, microseconds.
    pub arrival_us: u64,
    /// The VM that receives it.
    pub vm: usize,
    /// Its customer.
    pub customer: usize,
    /// Its service time at a warm and healthy target, microseconds.
    pub demand_us: u64,
}

/// The region of a target.
pub fn target_region(target: usize) -> usize {
    target % DOMAINS / 2
}

/// Number of VMs in a region.
pub fn region_vm_count(region: usize) -> usize {
    (VMS - region).div_ceil(REGIONS)
}

/// The region of a VM.
pub fn vm_region(vm: usize) -> usize {
    vm % REGIONS
}

/// The requests of a case, in order of arrival.
pub fn requests(case: &LoadCase, seed: u64) -> Vec<LoadRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let per_us = case.size.all_slots() as f64 / MEAN_SERVICE_US * f64::from(case.percent) / 100.0;
    let regions = region_shares(case);
    let end_us = case.seconds * 1_000_000;
    let mut now_us = 0.0;
    let mut requests = Vec::new();
    loop {
        now_us += exponential(1.0 / per_us, &mut rng);
        if now_us >= end_us as f64 {
            return requests;
        }
        let customer = customer(&mut rng);
        let region = draw(&regions, &mut rng);
        requests.push(LoadRequest {
            arrival_us: now_us as u64,
            vm: vm(customer, region, &mut rng),
            customer,
            demand_us: demand_us(case.distribution, &mut rng),
        });
    }
}

fn region_shares(case: &LoadCase) -> Vec<f64> {
    let mut shares: Vec<f64> = (0..REGIONS)
        .map(|region| case.size.region_targets(region).len() as f64 / case.size.targets as f64)
        .collect();
    if case.fault == LoadFault::SkewedRegion {
        let first = shares[0] * 1.4;
        let rest = (1.0 - first) / (1.0 - shares[0]);
        for share in &mut shares {
            *share *= rest;
        }
        shares[0] = first;
    }
    shares
}

fn customer(rng: &mut SmallRng) -> usize {
    let draw: f64 = rng.random();
    let large = LARGE_SHARE * LARGE_CUSTOMERS as f64;
    if draw < large {
        return (draw / LARGE_SHARE) as usize;
    }
    rng.random_range(LARGE_CUSTOMERS..CUSTOMERS)
}

fn vm(customer: usize, region: usize, rng: &mut SmallRng) -> usize {
    let vm_count = region_vm_count(region);
    let number = match customer {
        large if large < LARGE_CUSTOMERS => rng.random_range(0..vm_count),
        small => (small * 7 + region) % vm_count,
    };
    number * REGIONS + region
}

fn demand_us(distribution: ServiceDistribution, rng: &mut SmallRng) -> u64 {
    let mean_us = match distribution {
        ServiceDistribution::Light => MEAN_SERVICE_US,
        ServiceDistribution::Heavy if rng.random_bool(0.1) => MEAN_SERVICE_US * 5.5,
        ServiceDistribution::Heavy => MEAN_SERVICE_US * 0.5,
    };
    exponential(mean_us, rng).max(1.0) as u64
}

fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn draw(shares: &[f64], rng: &mut SmallRng) -> usize {
    let mut draw: f64 = rng.random();
    let found = shares.iter().position(|share| {
        draw -= share;
        draw < 0.0
    });
    found.unwrap_or(shares.len() - 1)
}
