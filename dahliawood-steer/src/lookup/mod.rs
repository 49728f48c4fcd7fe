//! Look-up answers: the list of VMs that a caller should use.
//!
//! Longest prefix match on the client's address gives a place, and the place a region. A customer's
//! home VMs are the VMs of a region that its callers should use first; rendezvous hashing selects
//! them and spreads them over failure domains. The answer starts with the home VMs; further VMs
//! follow as alternatives, the last one from another region. Every VM computes the same home VMs
//! for a customer, so that a small customer's allowance stays at one VM; a customer with several
//! home VMs gets a random one of them first.
//!
//! The table is rebuilt when the configuration or the membership changes, and is read-only in
//! between. Loads of single VMs are not considered: only the hash spreads customers over VMs.

mod build;

use crate::prefix;
use crate::rendezvous;
use dahliawood_model::keys::{
    ArenaKey, CustomerKey, DomainKey, PlaceKey, RegionKey, ServiceKey, VmKey,
};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables::FleetConfig;
use dahliawood_model::{FastMap, units};
use rand::Rng;
use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Result of [`LookupTable::local_weight`] for a customer of weight 1 with one home VM.
pub const WEIGHT_UNIT: u32 = 1_000;

/// An entry VM as the membership table knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct VmEntry {
    /// Name, unique among VMs and the same in every process.
    pub name: String,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Address at which callers reach it.
    pub http: SocketAddr,
    /// Whether it may be part of an answer.
    pub state: VmState,
}

/// Whether a VM may be part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// Serving.
    Live,
    /// It recently failed to answer its peers; used only if no VM at all is live.
    Suspect,
    /// It is stopping or gone; never part of an answer.
    Leaving,
}

/// Settings of look-up answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookupOptions {
    /// Maximum number of VMs in one answer.
    pub max_vms: usize,
    /// Maximum time that an answer may be cached; with jitter, the minimum is three quarters of it.
    pub ttl: Duration,
    /// A customer gets one home VM in each region per this many requests per second, rounded up.
    pub rate_per_home: units::RequestRate,
}

impl Default for LookupOptions {
    fn default() -> Self {
        Self {
            max_vms: 4,
            ttl: Duration::from_secs(20),
            rate_per_home: units::RequestRate::from_whole(100),
        }
    }
}

/// One look-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookupQuery {
    /// The caller's address.
    pub client: IpAddr,
    /// The customer, `None` on a route that needs no key.
    pub customer: Option<CustomerKey>,
    /// The service to be called.
    pub service: ServiceKey,
}

/// The answer to one look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupAnswer {
    /// VMs in the order in which to try them; empty if there is none to use.
    pub vms: Vec<VmKey>,
    /// How long the caller may cache the answer, including jitter.
    pub ttl: Duration,
    /// `now` plus `ttl`.
    pub expires: TimeStamp,
    /// The region nearest to the caller.
    pub region: Option<RegionKey>,
}

/// A VM with the hash of its name.
#[derive(Clone, Copy, Debug)]
struct HashedVm {
    vm: VmKey,
    hash: u64,
}

/// A VM with its rendezvous score for one customer.
#[derive(Clone, Copy, Debug)]
struct ScoredVm {
    vm: VmKey,
    score: u64,
}

impl ScoredVm {
    /// Sort key that puts the highest score first.
    fn order(&self) -> (Reverse<u64>, VmKey) {
        (Reverse(self.score), self.vm)
    }
}

/// The properties of a customer that answers depend on.
#[derive(Clone, Copy, Debug)]
struct CustomerProfile {
    hash: u64,
    home_count: usize,
    weight: u32,
}

/// A region's usable VMs by failure domain, and the other regions, nearest first.
#[derive(Clone, Debug, Default)]
struct RegionVms {
    domains: Vec<Vec<HashedVm>>,
    others: Vec<RegionKey>,
}

/// Precomputed data for look-up answers.
#[derive(Clone, Debug, Default)]
pub struct LookupTable {
    options: LookupOptions,
    prefixes: prefix::PrefixTable,
    place_regions: Vec<RegionKey>,
    regions: Vec<RegionVms>,
    customers: Vec<CustomerProfile>,
    serving: FastMap<ServiceKey, Vec<RegionKey>>,
}

impl LookupTable {
    /// Builds the table with default options; the key of a VM is its position in `vms`.
    pub fn build(config: &FleetConfig, vms: &[VmEntry]) -> Self {
        Self::build_with(config, vms, LookupOptions::default())
    }

    /// Builds the table with `options`.
    pub fn build_with(config: &FleetConfig, vms: &[VmEntry], options: LookupOptions) -> Self {
        let blocks = config.places.iter().flat_map(|(place, spec)| {
            let blocks = spec.blocks.iter();
            blocks.map(move |block| (*block, place))
        });
        let serving = config.services.keys();
        Self {
            options,
            prefixes: prefix::PrefixTable::build(blocks),
            place_regions: config.places.values().map(|place| place.region).collect(),
            regions: build::region_vms(config, vms),
            customers: build::customer_profiles(config, options.rate_per_home),
            serving: serving
                .map(|service| (service, build::serving_regions(config, service)))
                .collect(),
        }
    }

    /// Memory used by the client blocks, bytes; this part grows with the deployment.
    pub fn memory_bytes(&self) -> usize {
        self.prefixes.memory_bytes()
    }

    /// A customer's weight in the queue of one VM of a region, in thousandths: its weight divided
    /// by the number of its home VMs there, so that more home VMs give no larger total share.
    pub fn local_weight(&self, customer: Option<CustomerKey>, region: RegionKey) -> u32 {
        let known = customer.and_then(|key| self.customers.get(key.index()));
        let (weight, home_count) =
            known.map_or((1, 1), |profile| (profile.weight, profile.home_count));
        let vms: usize = self
            .regions
            .get(region.index())
            .map_or(0, |region| region.domains.iter().map(Vec::len).sum());
        let home_count = home_count.min(vms).max(1) as u32;
        (weight.saturating_mul(WEIGHT_UNIT) / home_count).max(1)
    }

    /// The place of `client` by longest prefix match.
    pub fn place_of(&self, client: IpAddr) -> Option<PlaceKey> {
        self.prefixes.place_of(client)
    }

    /// The region nearest to `client`: that of its place, or one chosen by the hash of its address
    /// if no block contains it.
    fn region_near(&self, client: IpAddr) -> Option<RegionKey> {
        if let Some(place) = self.prefixes.place_of(client) {
            return self.place_regions.get(place.index()).copied();
        }
        let hash = client_hash(client);
        let count = self.regions.len() as u64;
        (count > 0).then(|| RegionKey::from_index((hash % count) as usize))
    }

    fn customer_profile(&self, query: &LookupQuery) -> CustomerProfile {
        let known = query
            .customer
            .and_then(|key| self.customers.get(key.index()));
        known.copied().unwrap_or_else(|| CustomerProfile {
            hash: client_hash(query.client),
            home_count: 1,
            weight: 1,
        })
    }

    /// Other regions: those with targets of the service first, each group nearest first.
    fn fallback_regions(
        &self,
        near: RegionKey,
        service: ServiceKey,
    ) -> impl Iterator<Item = RegionKey> + '_ {
        let serving = self.serving.get(&service).map_or(&[][..], Vec::as_slice);
        let others = &self.regions[near.index()].others;
        let serving_others = others.iter().filter(|region| serving.contains(region));
        let non_serving_others = others.iter().filter(|region| !serving.contains(region));
        serving_others.chain(non_serving_others).copied()
    }
}

/// Answers one look-up.
pub fn answer(
    table: &LookupTable,
    query: LookupQuery,
    now: TimeStamp,
    rng: &mut impl Rng,
) -> LookupAnswer {
    let near = table.region_near(query.client);
    let ttl = jittered(table.options.ttl, rng);
    LookupAnswer {
        vms: near.map_or_else(Vec::new, |near| select_vms(table, &query, near, rng)),
        ttl,
        expires: now.after(ttl),
        region: near,
    }
}

/// The VMs of an answer: home VMs first, one VM of another region last.
fn select_vms(
    table: &LookupTable,
    query: &LookupQuery,
    near: RegionKey,
    rng: &mut impl Rng,
) -> Vec<VmKey> {
    let profile = table.customer_profile(query);
    let max_vms = table.options.max_vms;
    let fallback = table
        .fallback_regions(near, query.service)
        .find_map(|region| best_vm(&table.regions[region.index()], profile.hash));
    let near_count = max_vms - usize::from(fallback.is_some() && max_vms > 1);
    let region = &table.regions[near.index()];
    let mut vms = ranked(region, profile.hash, near_count.max(profile.home_count));
    let home_count = profile.home_count.min(vms.len());
    if home_count > 1 {
        vms[..home_count].rotate_left(rng.random_range(0..home_count));
    }
    vms.truncate(near_count);
    vms.extend(fallback);
    vms
}

/// The first `count` VMs for a customer: in each round every failure domain gives its next best VM,
/// ordered by score. VMs that are not selected don't influence which others are.
fn ranked(region: &RegionVms, customer: u64, count: usize) -> Vec<VmKey> {
    let rounds = rounds(region, count);
    let domains = region.domains.iter();
    let top_lists: Vec<Vec<ScoredVm>> = domains
        .map(|candidates| top_vms(candidates, customer, rounds))
        .collect();
    let mut vms = Vec::with_capacity(count + top_lists.len());
    for round in 0..rounds {
        let mut candidates: Vec<ScoredVm> = top_lists
            .iter()
            .filter_map(|top| top.get(round))
            .copied()
            .collect();
        candidates.sort_unstable_by_key(ScoredVm::order);
        vms.extend(candidates.iter().map(|candidate| candidate.vm));
    }
    vms.truncate(count);
    vms
}

/// Number of rounds after which a region's failure domains have given `count` VMs in total.
fn rounds(region: &RegionVms, count: usize) -> usize {
    let available = |rounds: usize| -> usize {
        let domains = region.domains.iter();
        domains.map(|candidates| candidates.len().min(rounds)).sum()
    };
    let largest = region.domains.iter().map(Vec::len).max().unwrap_or(0);
    let enough = (0..=largest).find(|rounds| available(*rounds) >= count);
    enough.unwrap_or(largest)
}

/// The `count` VMs of one failure domain with the highest scores, best first.
fn top_vms(candidates: &[HashedVm], customer: u64, count: usize) -> Vec<ScoredVm> {
    let mut top: Vec<ScoredVm> = Vec::with_capacity(count + 1);
    for candidate in candidates {
        let candidate = ScoredVm {
            vm: candidate.vm,
            score: rendezvous::score(customer, candidate.hash),
        };
        let full = top.len() >= count;
        if full
            && top
                .last()
                .is_none_or(|last| last.order() <= candidate.order())
        {
            continue;
        }
        let position = top.partition_point(|other| other.order() < candidate.order());
        top.insert(position, candidate);
        top.truncate(count);
    }
    top
}

/// The VM of a region with the highest score for a customer.
fn best_vm(region: &RegionVms, customer: u64) -> Option<VmKey> {
    let best = region
        .domains
        .iter()
        .flatten()
        .max_by_key(|hashed| (rendezvous::score(customer, hashed.hash), Reverse(hashed.vm)));
    best.map(|hashed| hashed.vm)
}

/// A time to live between three quarters of `ttl` and the whole.
fn jittered(ttl: Duration, rng: &mut impl Rng) -> Duration {
    ttl.mul_f64(rng.random_range(0.75..=1.0))
}

fn client_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(address) => rendezvous::name_hash(&address.octets()),
        IpAddr::V6(address) => rendezvous::name_hash(&address.octets()),
    }
}
