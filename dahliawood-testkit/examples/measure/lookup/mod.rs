//! Measures look-ups: the decision alone, at the fleet size expected in two years, and the complete
//! exchange over loopback HTTP.

mod loopback;

use dahliawood_model::keys::{CustomerKey, DomainKey, PlaceKey, RegionKey, ServiceKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_model::units;
use dahliawood_steer::lookup;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::{Duration, Instant};

const BLOCKS: usize = 400_000;
const SITES: u32 = 160;
const REGIONS: u32 = 5;
const DOMAINS: u32 = 14;
const VMS: u32 = 920;
const CUSTOMERS: u32 = 2_000;
const LOOKUPS: usize = 2_000_000;
/// The longest latency that the histogram distinguishes.
const LONGEST_NANOS: u64 = 1_000_000_000;
/// One client block in this many is IPv6.
const V6_EVERY: usize = 8;
const PAGE_BYTES: f64 = 4_096.0;
const MEBIBYTE: f64 = 1_048_576.0;

/// Runs the measurement.
pub fn run(seed: u64, report: &mut FigureReport) {
    let mut rng = SmallRng::seed_from_u64(seed);
    measure_decision(&mut rng, report);
    async_std::task::block_on(loopback::measure(report));
}

fn measure_decision(rng: &mut SmallRng, report: &mut FigureReport) {
    let config = config(rng);
    let vms = vms();
    let resident = resident_bytes();
    let started = Instant::now();
    let table = lookup::LookupTable::build(&config, &vms);
    let build_time = started.elapsed();
    let resident_growth = resident_bytes() - resident;
    let latencies = latencies(&table, &config, rng);
    let quantile = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    report.figure(
        "lookup.decision.p50",
        quantile(0.5),
        "us",
        FigureTarget::None,
    );
    report.figure(
        "lookup.decision.p99",
        quantile(0.99),
        "us",
        FigureTarget::AtMost(10.0),
    );
    report.figure(
        "lookup.decision.p999",
        quantile(0.999),
        "us",
        FigureTarget::None,
    );
    let ranges = table.memory_bytes() as f64 / MEBIBYTE;
    report.figure(
        "lookup.memory.ranges",
        ranges,
        "MiB",
        FigureTarget::AtMost(256.0),
    );
    let target = FigureTarget::AtMost(256.0);
    report.figure(
        "lookup.memory.resident-growth",
        resident_growth / MEBIBYTE,
        "MiB",
        target,
    );
    report.figure(
        "lookup.build",
        build_time.as_secs_f64() * 1e3,
        "ms",
        FigureTarget::None,
    );
}

/// Latencies of single look-ups, nanoseconds.
fn latencies(
    table: &lookup::LookupTable,
    config: &tables::FleetConfig,
    rng: &mut SmallRng,
) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_max(LONGEST_NANOS, 3).expect("three digits are valid");
    let blocks: Vec<tables::ClientBlock> = config
        .places
        .values()
        .flat_map(|place| place.blocks.iter().copied())
        .collect();
    let mut vms_named = 0;
    for _ in 0..LOOKUPS {
        let block = blocks[rng.random_range(0..blocks.len())];
        let query = lookup::LookupQuery {
            client: client_of(block, rng),
            customer: Some(CustomerKey(rng.random_range(0..CUSTOMERS))),
            service: ServiceKey(0),
        };
        let started = Instant::now();
        let answer = lookup::answer(table, query, TimeStamp::ZERO, rng);
        let elapsed = started.elapsed();
        vms_named += answer.vms.len();
        histogram.saturating_record(elapsed.as_nanos() as u64);
    }
    assert_eq!(vms_named, LOOKUPS * 4, "each answer names four VMs");
    histogram
}

fn client_of(block: tables::ClientBlock, rng: &mut SmallRng) -> IpAddr {
    match block.address {
        IpAddr::V4(address) => IpAddr::V4(Ipv4Addr::from_bits(
            address.to_bits() | rng.random_range(0..256),
        )),
        IpAddr::V6(address) => IpAddr::V6(Ipv6Addr::from_bits(
            address.to_bits() | u128::from(rng.random::<u64>()),
        )),
    }
}

/// A configuration with client blocks of /24 and some enclosing /20 (IPv4), and /48 (IPv6).
fn config(rng: &mut SmallRng) -> tables::FleetConfig {
    let mut config = tables::FleetConfig::default();
    for region in 0..REGIONS {
        config.regions.push(tables::RegionSpec {
            name: format!("region {region}"),
        });
    }
    for domain in 0..DOMAINS {
        config.domains.push(tables::DomainSpec {
            name: format!("domain {domain}"),
            region: RegionKey(domain % REGIONS),
        });
    }
    add_links(&mut config);
    add_service(&mut config);
    for site in 0..SITES {
        config.places.push(tables::PlaceSpec {
            name: format!("site {site}"),
            region: RegionKey(site % REGIONS),
            blocks: Vec::new(),
        });
    }
    for number in 0..BLOCKS {
        let place = PlaceKey(rng.random_range(0..SITES));
        config.places[place].blocks.push(block(number));
    }
    for number in 0..CUSTOMERS {
        let rate = if number % 20 == 0 {
            rng.random_range(500..3_000)
        } else {
            30
        };
        config.customers.push(customer(number, rate));
    }
    config
}

fn add_links(config: &mut tables::FleetConfig) {
    for from in (0..REGIONS).map(RegionKey) {
        for to in (0..REGIONS).map(RegionKey).filter(|to| *to != from) {
            config.links.push(tables::LinkSpec {
                from,
                to,
                cap: units::ByteRate {
                    bytes_per_second: 1 << 30,
                },
                burst_bytes: 1 << 20,
                latency: Duration::from_millis(u64::from(10 + from.0 + to.0)),
            });
        }
    }
}

fn add_service(config: &mut tables::FleetConfig) {
    let service = config.services.push(tables::ServiceSpec {
        name: "lookup".to_owned(),
        routes: Vec::new(),
        targets: Vec::new(),
        timeout: Duration::from_secs(5),
        retry_percent: 10,
    });
    for domain in (0..DOMAINS).map(DomainKey) {
        config.targets.push(tables::TargetSpec {
            name: format!("target {domain}"),
            service,
            address: SocketAddr::from(([10, 0, 0, 1], domain.0 as u16 + 1)),
            domain,
            slots: 3,
            connections: 400,
        });
    }
}

fn block(number: usize) -> tables::ClientBlock {
    if number.is_multiple_of(V6_EVERY) {
        let address = (0x2001_u128 << 112) | ((number as u128) << 80);
        return tables::ClientBlock {
            address: IpAddr::V6(Ipv6Addr::from_bits(address)),
            prefix: 48,
        };
    }
    let address = Ipv4Addr::from_bits((1 << 24) + ((number as u32) << 8));
    let prefix = if number % 16 == 1 { 20 } else { 24 };
    tables::ClientBlock {
        address: IpAddr::V4(address),
        prefix,
    }
}

fn customer(number: u32, rate: u64) -> tables::CustomerSpec {
    tables::CustomerSpec {
        name: format!("customer {number}"),
        rate: units::RequestRate::from_whole(rate),
        burst: rate,
        weight: 1,
        services: vec![ServiceKey(0)],
        places: Vec::new(),
        keys: Vec::new(),
    }
}

fn vms() -> Vec<lookup::VmEntry> {
    let vms = (0..VMS).map(|number| lookup::VmEntry {
        name: format!("vm {number}"),
        domain: DomainKey(number % DOMAINS),
        http: SocketAddr::from(([127, 0, 0, 1], 1)),
        state: lookup::VmState::Live,
    });
    vms.collect()
}

/// Resident memory of this process, bytes; zero if `/proc` does not provide it.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
