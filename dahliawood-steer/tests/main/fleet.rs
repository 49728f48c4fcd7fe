//! A small fleet and helpers that the tests share.

use dahliawood_model::keys::{CustomerKey, EntityArena, RegionKey, ServiceKey};
use dahliawood_model::tables::{
    ClientBlock, CustomerSpec, DomainSpec, FleetConfig, LinkSpec, PlaceSpec, RegionSpec,
    ServiceSpec, TargetSpec,
};
use dahliawood_model::units::{ByteRate, RequestRate};
use dahliawood_steer::choice::SpilloverHeadroom;
use dahliawood_steer::{health, lookup};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The seed of every property unless `DAHLIAWOOD_TEST_SEED` sets another.
const DEFAULT_SEED: u64 = 0x5eed;
/// Cases per property.
const CASES: u32 = 64;
/// Failure domains of a region.
pub const DOMAINS: u32 = 2;
/// The only service.
pub const SERVICE: ServiceKey = ServiceKey(0);

/// A test runner with a fixed seed that writes no failure files.
pub fn runner() -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed().to_le_bytes());
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

/// The current seed.
pub fn seed() -> u64 {
    let set = std::env::var("DAHLIAWOOD_TEST_SEED").ok();
    set.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

/// `regions` regions of two failure domains, with `per_domain` targets of `slots` slots each.
pub fn config(regions: u32, per_domain: u32, slots: u32) -> FleetConfig {
    let mut config = FleetConfig {
        regions: named(regions, |name| RegionSpec { name }),
        ..FleetConfig::default()
    };
    let service = config.services.push(ServiceSpec {
        name: "ledger".to_owned(),
        routes: Vec::new(),
        targets: Vec::new(),
        timeout: Duration::from_secs(5),
        retry_percent: 10,
    });
    for region in config.regions.keys() {
        add_region(&mut config, service, region, per_domain, slots);
    }
    config
}

fn add_region(
    config: &mut FleetConfig,
    service: ServiceKey,
    region: RegionKey,
    per_domain: u32,
    slots: u32,
) {
    for other in config.regions.keys().filter(|other| *other != region) {
        config.links.push(LinkSpec {
            from: region,
            to: other,
            cap: ByteRate {
                bytes_per_second: 35_000_000,
            },
            burst_bytes: 1_000_000,
            latency: Duration::from_millis(10),
        });
    }
    config.places.push(PlaceSpec {
        name: format!("place {region}"),
        region,
        blocks: vec![ClientBlock {
            address: client(region, 0),
            prefix: 16,
        }],
    });
    for _ in 0..DOMAINS {
        let domain = config.domains.push(DomainSpec {
            name: format!("domain {}", config.domains.len()),
            region,
        });
        for _ in 0..per_domain {
            let number = config.targets.len() as u16;
            let target = config.targets.push(TargetSpec {
                name: format!("target {number}"),
                service,
                address: SocketAddr::from(([10, 200, 0, 1], 1_000 + number)),
                domain,
                slots,
                connections: 100,
            });
            config.services[service].targets.push(target);
        }
    }
}

/// A client address in the place of a region.
pub fn client(region: RegionKey, host: u16) -> IpAddr {
    let [high, low] = host.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, region.0 as u8, high, low))
}

/// Adds a customer with a rate in requests per second.
pub fn add_customer(config: &mut FleetConfig, name: &str, rate: u64) -> CustomerKey {
    config.customers.push(CustomerSpec {
        name: name.to_owned(),
        rate: RequestRate::from_whole(rate),
        burst: rate,
        weight: 1,
        services: vec![SERVICE],
        places: Vec::new(),
        keys: Vec::new(),
    })
}

/// `per_domain` live VMs in each failure domain.
pub fn vms(config: &FleetConfig, per_domain: u32) -> Vec<lookup::VmEntry> {
    let domains = config.domains.keys();
    domains
        .flat_map(|domain| (0..per_domain).map(move |number| (domain, number)))
        .map(|(domain, number)| lookup::VmEntry {
            name: format!("vm {domain} {number}"),
            domain,
            http: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: lookup::VmState::Live,
        })
        .collect()
}

/// Full headroom everywhere.
pub fn full_headroom(_region: RegionKey) -> SpilloverHeadroom {
    SpilloverHeadroom {
        link: 1.0,
        region: 1.0,
    }
}

/// No headroom anywhere.
pub fn no_headroom(_region: RegionKey) -> SpilloverHeadroom {
    SpilloverHeadroom::NONE
}

/// An outcome after `millis` milliseconds.
pub fn outcome(kind: health::ResultKind, millis: u64) -> health::ResultReport {
    health::ResultReport {
        kind,
        latency: Duration::from_millis(millis),
    }
}

fn named<K, V>(count: u32, make: impl Fn(String) -> V) -> EntityArena<K, V>
where
    K: dahliawood_model::keys::ArenaKey,
{
    (0..count)
        .map(|number| make(format!("entity {number}")))
        .collect()
}
