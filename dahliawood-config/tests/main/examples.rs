//! The example files: valid, with the documented sizes, and with the published keys.

use crate::support;
use dahliawood_config::keys;
use dahliawood_model::tables::FleetConfig;
use sha2::Digest;
use std::time::Duration;

/// Targets, slots and connections of one service.
type ServiceSize = (&'static str, usize, u32, u32);

fn assert_sizes(config: &FleetConfig, latency: Duration, cap: u64, services: &[ServiceSize]) {
    assert_eq!(config.domain_latency, Duration::from_micros(500));
    assert_eq!(config.client_latency, Duration::from_millis(1));
    assert_eq!(config.regions.len(), 3);
    assert_eq!(config.domains.len(), 6);
    assert_eq!(config.links.len(), 6);
    assert!(config.links.values().all(|link| link.latency == latency));
    assert!(
        config
            .links
            .values()
            .all(|link| link.cap.bytes_per_second == cap)
    );
    assert_eq!(config.customers.len(), 8);
    assert!(config.routes.values().any(|route| route.open));
    assert!(config.routes.values().any(|route| !route.idempotent));
    assert_eq!(config.services.len(), services.len());
    for &(name, targets, slots, connections) in services {
        let (service, spec) = config.services.find(|spec| spec.name == name).unwrap();
        assert_eq!(spec.targets.len(), targets);
        for &target in &spec.targets {
            let target = &config.targets[target];
            assert_eq!(target.service, service);
            assert_eq!((target.slots, target.connections), (slots, connections));
        }
        for domain in config.domains.keys() {
            let here = spec
                .targets
                .iter()
                .filter(|&&target| config.targets[target].domain == domain);
            assert!(
                here.count() >= 2,
                "{name} has fewer than two targets in a failure domain"
            );
        }
    }
}

#[test]
fn lianguang_has_the_documented_sizes() {
    let services = [
        ("catalogue", 20, 3, 400),
        ("confirmation", 12, 3, 400),
        ("drawings", 12, 3, 400),
    ];
    let config = support::config(support::LIANGUANG);
    assert_sizes(&config, Duration::from_millis(12), 500_000_000, &services);
}

#[test]
fn barrientos_urrego_has_the_documented_sizes() {
    let services = [
        ("ledgers", 18, 8, 360),
        ("filings", 12, 6, 360),
        ("archive", 12, 3, 360),
    ];
    let config = support::config(support::BARRIENTOS);
    assert_sizes(&config, Duration::from_millis(35), 35_000_000, &services);
}

/// Customer and plaintext key of each row in the section on keys of the README.
fn published_keys() -> Vec<(&'static str, &'static str)> {
    let (_, section) = support::EXAMPLES_PAGE.split_once("## The keys").unwrap();
    section
        .lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter_map(|line| line.split_once(" | `"))
        .map(|(customer, rest)| (customer, rest.trim_end_matches("` |")))
        .collect()
}

#[test]
fn published_keys_are_derived_as_documented_and_match_the_hashes() {
    let configs = [support::LIANGUANG, support::BARRIENTOS].map(support::config);
    let indexes = configs.each_ref().map(keys::KeyIndex::build);
    let published = published_keys();
    assert_eq!(
        published.len(),
        indexes.iter().map(keys::KeyIndex::len).sum::<usize>()
    );
    for (name, text) in published {
        let key: keys::PlaintextKey = text.parse().unwrap();
        let secret = sha2::Sha256::digest(format!("dahliawood example secret of {}", key.id));
        assert_eq!(key.secret, <[u8; 32]>::from(secret));
        let owner = configs.iter().zip(&indexes).find_map(|(config, index)| {
            let customer = index.verify(text)?;
            Some(config.customers[customer].name.as_str())
        });
        assert_eq!(owner, Some(name));
    }
}
