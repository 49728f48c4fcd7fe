//! The operators' configuration of a soak, version by version: where each route leads, and which keys hold.

use crate::operator_config;
use dahliawood_steer::rendezvous;
use rand::Rng;
use serde_json::{Value, json};

/// The services; each route leads to one of them.
pub const SERVICES: [&str; 2] = ["first", "second"];
/// Routes of each kind that every version has.
pub const ROUTES: usize = 4;
/// Routes, and keys of the large customer, that some versions lack.
pub const EXTRAS: usize = 3;
/// The API key of the customer whose limit is never reached.
const LARGE_KEY: &str = "key-large";
/// The API key of the customer whose limit the callers constantly exceed.
const SMALL_KEY: &str = "key-small";
/// The limit that is never reached, as rate in requests a second and as burst in requests.
const LARGE_RATE: u32 = 100_000;
/// The limit of the customer that callers constantly exceed.
pub const SMALL_LIMIT: SoakLimit = SoakLimit { rate: 8, burst: 8 };
/// Routes that the configuration grows by at a time, and the most.
const GROWTH: u64 = 1_400;
const MAX_FURTHER: u64 = 4_200;
/// Probability with which a change also adds or removes a route, and with which a key.
const EXTRA_CHANGE_SHARE: f64 = 0.4;

/// A limit of a customer.
#[derive(Clone, Copy, Debug)]
pub struct SoakLimit {
    /// Sustained rate, requests a second.
    pub rate: u32,
    /// Burst above the rate, requests.
    pub burst: u32,
}

/// A route that callers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakRoute {
    /// A route for idempotent requests.
    Read(usize),
    /// A route for requests that may run once.
    Write(usize),
    /// A route for idempotent requests that some versions lack.
    Extra(usize),
}

impl SoakRoute {
    /// The prefix of its paths.
    pub fn prefix(self) -> String {
        match self {
            Self::Read(index) => format!("/read-{index}/"),
            Self::Write(index) => format!("/write-{index}/"),
            Self::Extra(index) => format!("/extra-{index}/"),
        }
    }
}

/// An API key that callers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKey {
    /// The key of the customer whose limit is never reached.
    Large,
    /// The key of the customer whose limit the callers constantly exceed.
    Small,
    /// A key of the large customer that some versions lack.
    Extra(usize),
}

impl SoakKey {
    /// The key as a request states it.
    pub fn text(self) -> String {
        match self {
            Self::Large => LARGE_KEY.to_owned(),
            Self::Small => SMALL_KEY.to_owned(),
            Self::Extra(index) => format!("key-extra-{index}"),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationVersion {
    /// Its number.
    pub number: u64,
    /// Place of the service of each route that all versions have.
    reads: [usize; ROUTES],
    writes: [usize; ROUTES],
    /// Whether it has the routes and keys that others lack.
    extra_routes: [bool; EXTRAS],
    extra_keys: [bool; EXTRAS],
    /// Routes that are not used.
    further: u64,
}

impl Default for ConfigurationVersion {
    fn default() -> Self {
        Self {
            number: 1,
            reads: [0; ROUTES],
            writes: [0; ROUTES],
            extra_routes: [true; EXTRAS],
            extra_keys: [true; EXTRAS],
            further: 0,
        }
    }
}

impl ConfigurationVersion {
    /// The next version: one route leads elsewhere, and a route or a key may come or go.
    #[must_use]
    pub fn next(&self, rng: &mut impl Rng) -> Self {
        let mut next = self.clone();
        next.number += 1;
        let routes = match rng.random_bool(0.5) {
            true => &mut next.reads,
            false => &mut next.writes,
        };
        let moved = &mut routes[rng.random_range(0..ROUTES)];
        *moved = 1 - *moved;
        for extras in [&mut next.extra_routes, &mut next.extra_keys] {
            if rng.random_bool(EXTRA_CHANGE_SHARE) {
                let extra = &mut extras[rng.random_range(0..EXTRAS)];
                *extra = !*extra;
            }
        }
        next
    }

    /// This version with more routes that are not used.
    #[must_use]
    pub fn grown(self) -> Self {
        Self {
            further: (self.further + GROWTH).min(MAX_FURTHER),
            ..self
        }
    }

    /// The service to which a route leads, `None` if this version lacks it.
    pub fn service(&self, route: SoakRoute) -> Option<&'static str> {
        match route {
            SoakRoute::Read(index) => Some(SERVICES[self.reads[index]]),
            SoakRoute::Write(index) => Some(SERVICES[self.writes[index]]),
            SoakRoute::Extra(index) => {
                self.extra_routes[index].then_some(SERVICES[index % SERVICES.len()])
            }
        }
    }

    /// Whether a key holds.
    pub fn has_key(&self, key: SoakKey) -> bool {
        match key {
            SoakKey::Large | SoakKey::Small => true,
            SoakKey::Extra(index) => self.extra_keys[index],
        }
    }

    /// The document that the operators publish.
    pub fn document(&self) -> Value {
        let route = |route: SoakRoute| {
            let kind = match route {
                SoakRoute::Write(_) => "non_idempotent",
                SoakRoute::Read(_) | SoakRoute::Extra(_) => "idempotent",
            };
            let service = self.service(route)?;
            Some(operator_config::route(
                &route.prefix(),
                kind,
                false,
                service,
            ))
        };
        let reads = (0..ROUTES).map(SoakRoute::Read);
        let writes = (0..ROUTES).map(SoakRoute::Write);
        let extras = (0..EXTRAS).map(SoakRoute::Extra);
        let mut routes: Vec<Value> = reads
            .chain(writes)
            .chain(extras)
            .filter_map(route)
            .collect();
        routes.extend((0..self.further).map(|index| {
            let name = rendezvous::name_hash(&index.to_le_bytes());
            let prefix = format!("/{name:x}-{index}/");
            operator_config::route(&prefix, "idempotent", true, SERVICES[0])
        }));
        let SoakLimit { rate, burst } = SMALL_LIMIT;
        let mut large = operator_config::customer("large", LARGE_KEY, LARGE_RATE, LARGE_RATE);
        let extra_keys = (0..EXTRAS).map(SoakKey::Extra);
        let keys = [SoakKey::Large].into_iter().chain(extra_keys);
        let keys = keys.filter(|key| self.has_key(*key)).map(SoakKey::text);
        large["api_keys"] = json!(keys.collect::<Vec<_>>());
        let customers = [
            large,
            operator_config::customer("small", SMALL_KEY, rate, burst),
        ];
        operator_config::document(self.number, &routes, &customers, &SERVICES)
    }
}
