//! Chooses the target for one request.

mod candidate;
mod refusal;

use crate::placement::balance;
use crate::placement::choose::candidate::Candidate;
use crate::placement::ranking::{self, OrderKey, TargetOrder};
use crate::placement::sharers::LimitSharers;
use crate::placement::spillover::SpilloverLevel;
use crate::placement::table::PlacementTable;
use crate::region;
use crate::rendezvous;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use std::sync::Arc;
use std::time::Duration;

/// Location of this VM.
#[derive(Clone, Debug)]
pub struct VmLocation {
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// The VMs of its region, which divide the limits of its cold targets.
    pub sharers: LimitSharers,
    /// The VMs of the fleet, which divide limits that hold everywhere.
    pub fleet_sharers: LimitSharers,
}

impl VmLocation {
    /// Location of the VM with a name; it knows of no other VM yet.
    pub fn new(name: &str, domain: &str, region: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            region: region.to_owned(),
            sharers: LimitSharers::new(name),
            fleet_sharers: LimitSharers::new(name),
        }
    }
}

/// Rate that a cold target can take from all VMs together, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests per second.
    pub per_second: f64,
    /// How long a target is cold after its start.
    pub lasts: Duration,
}

/// One request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Hash of the requested object; without one, targets are ranked at random.
    pub object: Option<u64>,
    /// Whether its answer is large, so that targets in this VM's failure domain are preferred.
    pub is_bulk: bool,
    /// Regions that the route and the customer allow; an empty list allows all.
    pub regions: [&'a [String]; 2],
    /// Targets that were already tried.
    pub tried: &'a [TargetKey],
    /// Maximum time that it may wait for a slot.
    pub max_wait: Duration,
    /// Time until its answer is of no use any more.
    pub time_left: Duration,
    /// Rate limit of a cold target.
    pub cold: ColdLimit,
}

/// Result of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementChoice {
    /// Send the request to this target.
    Target(TargetKey),
    /// No target is expected to start the request within `max_wait`.
    Busy {
        /// When a slot may be free.
        retry_after: Duration,
    },
    /// No usable target may serve the request.
    None,
}

/// Chooses a target, and counts the request within the limit that the target states.
///
/// A request whose object spills over goes to another region, any other stays in the own region. A
/// limited share of requests runs on the other side where their own side has no slot in time.
pub fn choose(
    table: &mut PlacementTable,
    location: &VmLocation,
    query: &PlacementQuery<'_>,
    now: TimeStamp,
) -> PlacementChoice {
    if query.tried.is_empty()
        && let Some(refusal) = refusal::shed(table, query.service, now)
    {
        return refusal;
    }
    let object = query.object.unwrap_or_else(rand::random);
    balance::init_spillover(table, location, query);
    let order_key = OrderKey {
        object,
        is_bulk: query.is_bulk,
    };
    let order = match query.object {
        Some(_) => ranking::kept_order(table, location, query.service, order_key),
        None => Arc::new(ranking::whole_order(
            table,
            location,
            query.service,
            order_key,
        )),
    };
    let mut sides = Sides::new(table, location, query, &order, true, now);
    if sides.is_empty() {
        // None of the kept targets is usable; others may be. Slow ones are better than none.
        let order = ranking::whole_order(table, location, query.service, order_key);
        for skips_slow in [true, false] {
            sides = Sides::new(table, location, query, &order, skips_slow, now);
            if !sides.is_empty() {
                break;
            }
        }
    }
    let level = spillover(table, query.service).map_or(0.0, SpilloverLevel::level);
    let is_remote = spills_over(object, level) && allows(query, &location.region);
    let has_local = !sides.local.is_empty();
    let local = candidate::best_in_time(&sides.local, query);
    if let Some(spillover) = spillover_mut(table, query.service)
        && query.tried.is_empty()
    {
        spillover.record_request(has_local && local.is_none());
    }
    let held = sides.first_held(is_remote);
    let dispatch = |table: &mut PlacementTable, key, is_remote| {
        if let Some(held) = held.filter(|held| *held != key) {
            table.record_held(held);
        }
        table.reserve(key, location, now);
        select(table, query.service, key, is_remote)
    };
    if !is_remote && let Some(key) = local {
        return dispatch(table, key, false);
    }
    let remote_key = sides.best_remote(query);
    if let Some(key) = remote_key {
        let may_run_remote = !has_local || (is_remote && allows_side(table, query.service, true));
        if may_run_remote || allow_diverted(table, query.service, true) {
            return dispatch(table, key, true);
        }
    }
    if let Some(key) = local
        && (remote_key.is_some() || allow_diverted(table, query.service, false))
    {
        return dispatch(table, key, false);
    }
    if sides.is_empty() {
        return refusal::refuse_until_open(table, location, query, now);
    }
    refusal::refuse(sides.all(), query.max_wait)
}

/// Candidates of this region, and of each other region.
struct Sides {
    local: Vec<Candidate>,
    remote: Vec<Vec<Candidate>>,
}

impl Sides {
    fn new(
        table: &PlacementTable,
        location: &VmLocation,
        query: &PlacementQuery<'_>,
        order: &TargetOrder,
        skips_slow: bool,
        now: TimeStamp,
    ) -> Self {
        let list = |region: &str, targets: &[TargetKey]| match allows(query, region) {
            true => candidate::candidates(table, location, query, targets, skips_slow, now),
            false => Vec::new(),
        };
        let remote = order.remote.iter();
        Self {
            local: list(&location.region, &order.local),
            remote: remote
                .map(|region| list(&region.region, &region.targets))
                .collect(),
        }
    }

    fn is_empty(&self) -> bool {
        self.all().next().is_none()
    }

    fn all(&self) -> impl Iterator<Item = &Candidate> {
        self.local.iter().chain(self.remote.iter().flatten())
    }

    /// The preferred candidate of the side on which the request belongs, if it is held back.
    fn first_held(&self, is_remote: bool) -> Option<TargetKey> {
        let list = match is_remote {
            true => self.remote.first(),
            false => Some(&self.local),
        };
        let first = list?.first()?;
        first.is_held.then_some(first.key)
    }

    /// The candidate of the most preferred other region that can serve the request in time.
    fn best_remote(&self, query: &PlacementQuery<'_>) -> Option<TargetKey> {
        self.remote
            .iter()
            .find_map(|list| candidate::best_in_time(list, query))
    }
}

/// Whether both the route and the customer allow a region.
fn allows(query: &PlacementQuery<'_>, region: &str) -> bool {
    region::is_allowed(region, query.regions)
}

/// Whether an object belongs to the share that goes to other regions.
fn spills_over(object: u64, level: f64) -> bool {
    let position = rendezvous::score(object, 0) as f64 / u64::MAX as f64;
    position < level
}

fn spillover<'a>(table: &'a PlacementTable, service: &str) -> Option<&'a SpilloverLevel> {
    table.services.get(service).map(|pool| &pool.spillover)
}

fn spillover_mut<'a>(
    table: &'a mut PlacementTable,
    service: &str,
) -> Option<&'a mut SpilloverLevel> {
    table
        .services
        .get_mut(service)
        .map(|pool| &mut pool.spillover)
}

fn allows_side(table: &PlacementTable, service: &str, is_remote: bool) -> bool {
    spillover(table, service).is_none_or(|spillover| spillover.allows_side(is_remote))
}

fn allow_diverted(table: &mut PlacementTable, service: &str, is_remote: bool) -> bool {
    spillover_mut(table, service).is_some_and(|spillover| spillover.allow_diverted(is_remote))
}

/// Selects a target and records on which side the request runs.
fn select(
    table: &mut PlacementTable,
    service: &str,
    key: TargetKey,
    is_remote: bool,
) -> PlacementChoice {
    if let Some(spillover) = spillover_mut(table, service) {
        spillover.record_dispatch(is_remote);
    }
    PlacementChoice::Target(key)
}
