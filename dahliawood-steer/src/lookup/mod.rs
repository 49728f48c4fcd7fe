//! Which VMs a caller is told to use.
//!
//! The client's address gives a place by longest prefix, the place a region. Among the VMs of that
//! region, the homes of the customer come first, found by rendezvous hash and spread over failure
//! domains; the rest follow as alternatives, the last one from another region. A customer's answer
//! is the same at every VM, so that a small customer's allowance stays in one place; a customer
//! with several homes starts at one of them at random.
//!
//! A table is built anew when the configuration or the membership changes, and is then read only.
//! Loads of single VMs are not considered: spread comes from the hash alone.

mod seats;

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

/// What [`LookupTable::local_weight`] gives a customer of weight 1 with one home.
pub const WEIGHT_UNIT: u32 = 1_000;

/// An entry VM as the membership table knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct VmEntry {
    /// Name, unique among VMs and equal at every process.
    pub name: String,
    /// The failure domain that it is in.
    pub domain: DomainKey,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Whether it may be named.
    pub state: VmState,
}

/// Whether a VM may be named in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// It serves.
    Live,
    /// It did not answer its peers of late; named only where no VM at all is live.
    Suspect,
    /// It stops soon or is gone; never named.
    Leaving,
}

/// What may be set about answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookupOptions {
    /// The most VMs in one answer.
    pub named: usize,
    /// The longest time that an answer may be cached; the shortest is three quarters of it.
    pub ttl: Duration,
    /// Requests a second for which a customer gets one home in each region.
    pub rate_per_home: units::RequestRate,
}

impl Default for LookupOptions {
    fn default() -> Self {
        Self {
            named: 4,
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
    /// The customer, `None` on a route that is open to all.
    pub customer: Option<CustomerKey>,
    /// The service to be called.
    pub service: ServiceKey,
}

/// The answer to one look-up.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupAnswer {
    /// VMs in the order to try them; empty where none may be named.
    pub vms: Vec<VmKey>,
    /// How long the caller may cache it, jitter included.
    pub ttl: Duration,
    /// `now` and `ttl` together.
    pub expires: TimeStamp,
    /// The region that is near the caller.
    pub region: Option<RegionKey>,
}

/// A VM as far as an answer needs it.
#[derive(Clone, Copy, Debug)]
struct VmSeat {
    vm: VmKey,
    hash: u64,
}

/// A VM with its score for one customer.
#[derive(Clone, Copy, Debug)]
struct ScoredSeat {
    vm: VmKey,
    score: u64,
}

impl ScoredSeat {
    /// Sorts the highest score first.
    fn order(&self) -> (Reverse<u64>, VmKey) {
        (Reverse(self.score), self.vm)
    }
}

/// What an answer needs of a customer.
#[derive(Clone, Copy, Debug)]
struct CustomerHome {
    hash: u64,
    homes: usize,
    weight: u32,
}

/// A region: its VMs by failure domain, and the other regions, nearest first.
#[derive(Clone, Debug, Default)]
struct RegionSeats {
    domains: Vec<Vec<VmSeat>>,
    others: Vec<RegionKey>,
}

/// Everything that answers are made from.
#[derive(Clone, Debug, Default)]
pub struct LookupTable {
    options: LookupOptions,
    prefixes: prefix::PrefixTable,
    place_regions: Vec<RegionKey>,
    regions: Vec<RegionSeats>,
    customers: Vec<CustomerHome>,
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
            regions: seats::region_seats(config, vms),
            customers: seats::customer_homes(config, options.rate_per_home),
            serving: serving
                .map(|service| (service, seats::serving_regions(config, service)))
                .collect(),
        }
    }

    /// Bytes that the client blocks take, the part that grows with the deployment.
    pub fn memory_bytes(&self) -> usize {
        self.prefixes.memory_bytes()
    }

    /// A customer's weight in the queue of one VM of a region, in thousandths: its weight divided by
    /// its homes there, so that a customer with many homes gets no more turns in all.
    pub fn local_weight(&self, customer: Option<CustomerKey>, region: RegionKey) -> u32 {
        let known = customer.and_then(|key| self.customers.get(key.index()));
        let (weight, homes) = known.map_or((1, 1), |home| (home.weight, home.homes));
        let vms: usize = self
            .regions
            .get(region.index())
            .map_or(0, |region| region.domains.iter().map(Vec::len).sum());
        let homes = homes.min(vms).max(1) as u32;
        (weight.saturating_mul(WEIGHT_UNIT) / homes).max(1)
    }

    /// The place whose blocks hold `client`, by longest prefix.
    pub fn place_of(&self, client: IpAddr) -> Option<PlaceKey> {
        self.prefixes.place_of(client)
    }

    /// The region near `client`: that of its place, or of one picked by its address where no
    /// block holds it.
    fn region_near(&self, client: IpAddr) -> Option<RegionKey> {
        if let Some(place) = self.prefixes.place_of(client) {
            return self.place_regions.get(place.index()).copied();
        }
        let hash = client_hash(client);
        let count = self.regions.len() as u64;
        (count > 0).then(|| RegionKey::from_index((hash % count) as usize))
    }

    fn customer_home(&self, query: &LookupQuery) -> CustomerHome {
        let known = query
            .customer
            .and_then(|key| self.customers.get(key.index()));
        known.copied().unwrap_or_else(|| CustomerHome {
            hash: client_hash(query.client),
            homes: 1,
            weight: 1,
        })
    }

    /// Other regions, nearest first, those with targets of the service before those without.
    fn fallback_regions(
        &self,
        near: RegionKey,
        service: ServiceKey,
    ) -> impl Iterator<Item = RegionKey> + '_ {
        let serving = self.serving.get(&service).map_or(&[][..], Vec::as_slice);
        let others = &self.regions[near.index()].others;
        let with = others.iter().filter(|region| serving.contains(region));
        let without = others.iter().filter(|region| !serving.contains(region));
        with.chain(without).copied()
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
        vms: near.map_or_else(Vec::new, |near| named_vms(table, &query, near, rng)),
        ttl,
        expires: now.after(ttl),
        region: near,
    }
}

/// The VMs to name, homes first and one of another region last.
fn named_vms(
    table: &LookupTable,
    query: &LookupQuery,
    near: RegionKey,
    rng: &mut impl Rng,
) -> Vec<VmKey> {
    let home = table.customer_home(query);
    let named = table.options.named;
    let fallback = table
        .fallback_regions(near, query.service)
        .find_map(|region| best(&table.regions[region.index()], home.hash));
    let near_count = named - usize::from(fallback.is_some() && named > 1);
    let region = &table.regions[near.index()];
    let mut vms = ranked(region, home.hash, near_count.max(home.homes));
    let homes = home.homes.min(vms.len());
    if homes > 1 {
        vms[..homes].rotate_left(rng.random_range(0..homes));
    }
    vms.truncate(near_count);
    vms.extend(fallback);
    vms
}

/// The first `count` seats for a customer: the highest score among the least used failure domains,
/// again and again. A seat that is not taken has no say in which others are.
fn ranked(region: &RegionSeats, customer: u64, count: usize) -> Vec<VmKey> {
    let rounds = rounds(region, count);
    let domains = region.domains.iter();
    let tops: Vec<Vec<ScoredSeat>> = domains
        .map(|seats| top_seats(seats, customer, rounds))
        .collect();
    let mut vms = Vec::with_capacity(count + tops.len());
    for round in 0..rounds {
        let mut seats: Vec<ScoredSeat> = tops
            .iter()
            .filter_map(|top| top.get(round))
            .copied()
            .collect();
        seats.sort_unstable_by_key(ScoredSeat::order);
        vms.extend(seats.iter().map(|seat| seat.vm));
    }
    vms.truncate(count);
    vms
}

/// How often the failure domains of a region take turns until they have given `count` seats.
fn rounds(region: &RegionSeats, count: usize) -> usize {
    let given = |rounds: usize| -> usize {
        let domains = region.domains.iter();
        domains.map(|seats| seats.len().min(rounds)).sum()
    };
    let largest = region.domains.iter().map(Vec::len).max().unwrap_or(0);
    let enough = (0..=largest).find(|rounds| given(*rounds) >= count);
    enough.unwrap_or(largest)
}

/// The `count` seats of one failure domain with the highest scores, in order.
fn top_seats(seats: &[VmSeat], customer: u64, count: usize) -> Vec<ScoredSeat> {
    let mut top: Vec<ScoredSeat> = Vec::with_capacity(count + 1);
    for seat in seats {
        let seat = ScoredSeat {
            vm: seat.vm,
            score: rendezvous::score(customer, seat.hash),
        };
        let full = top.len() >= count;
        if full && top.last().is_none_or(|last| last.order() <= seat.order()) {
            continue;
        }
        let place = top.partition_point(|other| other.order() < seat.order());
        top.insert(place, seat);
        top.truncate(count);
    }
    top
}

/// The seat of a region with the highest score for a customer.
fn best(region: &RegionSeats, customer: u64) -> Option<VmKey> {
    let best = region
        .domains
        .iter()
        .flatten()
        .max_by_key(|seat| (rendezvous::score(customer, seat.hash), Reverse(seat.vm)));
    best.map(|seat| seat.vm)
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
