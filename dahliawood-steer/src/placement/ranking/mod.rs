//! Preference order of a service's open targets for one object, the same at all VMs of a region.
//!
//! Rendezvous hashing orders the targets of a region. The other regions are ordered by a weighted
//! rendezvous hash: one with more slots beyond its own even part of the demand takes more of the
//! objects that other regions send away, so that all regions end up equally utilized. Orders are
//! kept between requests, so that the work of a request does not grow with the number of targets.

use crate::placement::choose::VmLocation;
use crate::placement::spillover::shares::RegionShares;
use crate::placement::table::PlacementTable;
use crate::rendezvous;
use dahliawood_model::FastMap;
use dahliawood_model::keys::TargetKey;
use std::cmp::Reverse;
use std::sync::Arc;

/// Number of targets of a region that a kept order has; enough that some are usable at most times.
const KEPT_TARGETS: usize = 8;
/// Number of orders that are kept per service.
const MAX_ORDERS: usize = 8_192;
/// Slots that every region counts as having to spare, so that none is left out.
const MIN_SPARE_SLOTS: f64 = 0.25;

/// Targets by preference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetOrder {
    /// Targets of this VM's region.
    pub local: Vec<TargetKey>,
    /// Targets of each other region; regions by preference.
    pub remote: Vec<RegionOrder>,
}

/// The targets of one region by preference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionOrder {
    /// The region.
    pub region: String,
    /// Its targets.
    pub targets: Vec<TargetKey>,
}

/// What an order depends on, for one service and one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OrderKey {
    /// Hash of the object.
    pub object: u64,
    /// Whether the answer is large, so that targets in the VM's own failure domain come first.
    pub is_bulk: bool,
}

/// The orders of one service that are kept, as of one generation of the table.
#[derive(Clone, Debug, Default)]
pub struct KeptOrders {
    generation: u64,
    orders: FastMap<OrderKey, Arc<TargetOrder>>,
}

impl KeptOrders {
    /// Whether a target is the first of its region in a kept order.
    pub fn is_preferred(&self, key: TargetKey, order: OrderKey) -> bool {
        self.orders.get(&order).is_some_and(|order| {
            let remote = order.remote.iter().map(|region| &region.targets);
            remote
                .chain([&order.local])
                .any(|targets| targets.first() == Some(&key))
        })
    }
}

/// The first targets of each region for an object, from the kept orders if possible.
pub fn kept_order(
    table: &mut PlacementTable,
    location: &VmLocation,
    service: &str,
    key: OrderKey,
) -> Arc<TargetOrder> {
    let generation = table.generation();
    if let Some(pool) = table.services.get_mut(service) {
        let kept = &mut pool.kept_orders;
        if kept.generation != generation || kept.orders.len() >= MAX_ORDERS {
            kept.orders.clear();
            kept.generation = generation;
        }
        if let Some(order) = kept.orders.get(&key) {
            return Arc::clone(order);
        }
    }
    let mut order = whole_order(table, location, service, key);
    order.local.truncate(KEPT_TARGETS);
    for region in &mut order.remote {
        region.targets.truncate(KEPT_TARGETS);
    }
    let order = Arc::new(order);
    if let Some(pool) = table.services.get_mut(service) {
        pool.kept_orders.orders.insert(key, Arc::clone(&order));
    }
    order
}

/// Smallest weight of a region, so that one with share 0 comes last but is not left out.
const MIN_WEIGHT: f64 = 1e-6;

/// The other regions of an order, ordered for a hash by their shares instead of by their slots. A share
/// that grows attracts objects, and moves none between two other regions. Regions with a target that was
/// `tried` and is gone come last: the region may be lost.
pub fn remote_by_shares<'a>(
    table: &PlacementTable,
    order: &'a TargetOrder,
    position: u64,
    shares: &RegionShares,
    tried: &[TargetKey],
) -> Vec<&'a RegionOrder> {
    let has_failed = |region: &RegionOrder| {
        let targets = tried.iter().filter_map(|key| table.get(*key));
        let mut gone = targets.filter(|target| target.breaker.is_down());
        gone.any(|target| target.region == region.region)
    };
    let distance = |region: &RegionOrder| {
        let hash = rendezvous::name_hash(region.region.as_bytes());
        let weight = shares.share(&region.region).max(MIN_WEIGHT);
        rendezvous::weighted_distance(position, hash, weight)
    };
    let mut remote: Vec<&RegionOrder> = order.remote.iter().collect();
    remote.sort_by(|a, b| {
        let by_failure = has_failed(a).cmp(&has_failed(b));
        by_failure.then(distance(a).total_cmp(&distance(b)))
    });
    remote
}

/// All open targets of a service by preference.
pub fn whole_order(
    table: &PlacementTable,
    location: &VmLocation,
    service: &str,
    key: OrderKey,
) -> TargetOrder {
    let mut regions: Vec<RegionTargets<'_>> = Vec::new();
    for (target_key, target) in table.keyed_targets(service) {
        if !table.is_open(target) {
            continue;
        }
        let known = regions
            .iter()
            .position(|known| known.region == target.region);
        let index = known.unwrap_or_else(|| {
            regions.push(RegionTargets::new(&target.region));
            regions.len() - 1
        });
        let is_far = key.is_bulk && target.entry.domain != location.domain;
        let score = rendezvous::score(key.object, target.hash);
        regions[index].slots += f64::from(target.entry.slots);
        regions[index]
            .ranked
            .push((is_far, Reverse(score), target_key));
    }
    let even_slots = regions.iter().map(|region| region.slots).sum::<f64>() / regions.len() as f64;
    let mut order = TargetOrder::default();
    let mut remote = Vec::new();
    for region in regions {
        if region.region == location.region {
            order.local = region.into_targets();
            continue;
        }
        let spare = (region.slots - even_slots).max(MIN_SPARE_SLOTS);
        let hash = rendezvous::name_hash(region.region.as_bytes());
        let distance = rendezvous::weighted_distance(key.object, hash, spare);
        remote.push((distance, region));
    }
    remote.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    order.remote = remote
        .into_iter()
        .map(|(_, region)| RegionOrder {
            region: region.region.to_owned(),
            targets: region.into_targets(),
        })
        .collect();
    order
}

/// The targets of one region while an order is built.
struct RegionTargets<'a> {
    region: &'a str,
    slots: f64,
    ranked: Vec<(bool, Reverse<u64>, TargetKey)>,
}

impl<'a> RegionTargets<'a> {
    fn new(region: &'a str) -> Self {
        Self {
            region,
            slots: 0.0,
            ranked: Vec::new(),
        }
    }

    fn into_targets(mut self) -> Vec<TargetKey> {
        self.ranked
            .sort_by_key(|(is_far, score, _)| (*is_far, *score));
        self.ranked.into_iter().map(|(_, _, key)| key).collect()
    }
}
