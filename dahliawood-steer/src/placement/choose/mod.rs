//! Chooses the target for one request.

mod candidate;
mod refusal;
mod side;

use crate::placement::balance;
use crate::placement::choose::candidate::Candidate;
use crate::placement::choose::side::SideTargets;
use crate::placement::rank::RequestRank;
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
    /// Whether its region has so many VMs that each sees too few responses to know targets by itself:
    /// targets are then compared by work estimates of routes.
    pub has_many_vms: bool,
}

impl VmLocation {
    /// Location of the VM with a name; it knows of no other VM yet.
    pub fn new(name: &str, domain: &str, region: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            region: region.to_owned(),
            sharers: LimitSharers::new(name),
            fleet_sharers: LimitSharers::new(name),
            has_many_vms: true,
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
    /// Hash of the name of the route.
    pub route: u64,
    /// Hash of the requested object; without one, targets are ranked at random.
    pub object: Option<u64>,
    /// Whether its answer is large, so that targets in this VM's failure domain are preferred.
    pub is_bulk: bool,
    /// Regions that the route and the customer allow; an empty list allows all.
    pub regions: [&'a [String]; 2],
    /// Its rank, `None` where requests for the service do not differ in priority.
    pub rank: Option<RequestRank>,
    /// Targets that were already tried.
    pub tried: &'a [TargetKey],
    /// Maximum time that it may wait for a slot.
    pub max_wait: Duration,
    /// Time until its answer is of no use any more.
    pub time_left: Duration,
    /// Rate limit of a cold target.
    pub cold: ColdLimit,
    /// Whether it may take a slot before requests that wait at this VM.
    pub turn: QueueTurn,
}

/// Relation of a request to those that wait at this VM for a slot of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueTurn {
    /// It arrives, and no request waits that goes before it.
    Arriving,
    /// It arrives, and requests wait that go before it: it gets no slot now.
    Behind,
    /// It has waited, and it is its turn. It was counted and admitted when it arrived.
    Waited,
}

/// Result of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementChoice {
    /// Send the request to this target.
    Target(TargetKey),
    /// No target is expected to start the request within `max_wait` and to end it in the time left.
    Busy {
        /// When a slot may be free.
        retry_after: Duration,
        /// Time until a target is expected to have room for it and to serve it in the time that is left.
        /// `None` if there is none, or if the request is refused to shorten queues.
        room_in: Option<Duration>,
    },
    /// The request is refused to shorten the queues of all targets.
    Shed {
        /// When a request like this is expected to be admitted.
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
    let is_arriving = query.tried.is_empty() && query.turn != QueueTurn::Waited;
    if is_arriving && let Some(refusal) = refusal::shed(table, query, now) {
        return refusal;
    }
    let object = query.object.unwrap_or_else(rand::random);
    balance::init_spillover(table, location, query, now);
    let position = spillover_mut(table, query.service)
        .map_or(object, |spillover| spillover.record_object(object));
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
    let mut sides = Sides::new(table, location, query, &order, position, true, now);
    if sides.is_empty() {
        // None of the kept targets is usable; others may be. Slow ones are better than none.
        let order = ranking::whole_order(table, location, query.service, order_key);
        for skips_slow in [true, false] {
            sides = Sides::new(table, location, query, &order, position, skips_slow, now);
            if !sides.is_empty() {
                break;
            }
        }
    }
    let level = spillover(table, query.service).map_or(0.0, SpilloverLevel::level);
    let is_remote = spills_over(position, level) && allows(query, &location.region);
    let has_local = !sides.local.is_empty();
    let local = candidate::best_in_time(&sides.local, query);
    if let Some(spillover) = spillover_mut(table, query.service)
        && is_arriving
    {
        // A request that is excluded for its work alone is no sign of a busy region.
        let has_start = candidate::best_starting(&sides.local, query).is_some();
        spillover.record_request(has_local && !has_start);
    }
    if query.turn == QueueTurn::Behind {
        return sides.refuse(table, location, query, now);
    }
    let held = sides.first_held(is_remote);
    let dispatch = |table: &mut PlacementTable, key, is_remote| {
        if let Some(held) = held.filter(|held| *held != key) {
            table.record_held(held);
        }
        table.reserve(key, location, now);
        refusal::record_room(table, query, true);
        select(table, query.service, key, is_remote)
    };
    let targets = SideTargets {
        is_remote,
        has_local,
        has_remote: sides.remote.iter().any(|list| !list.is_empty()),
        local,
    };
    let remote = || sides.best_remote(query);
    if let Some((key, is_remote)) = side::choose_side(table, query.service, targets, remote) {
        return dispatch(table, key, is_remote);
    }
    if let Some((candidate, is_remote)) = sides.best_starting(query) {
        let (key, basis) = (candidate.key, candidate.basis);
        if let (Some(pool), Some(basis)) = (table.services.get_mut(query.service), basis) {
            if query.tried.is_empty() && pool.work.take_trial(query.route, basis, now) {
                return dispatch(table, key, is_remote);
            }
            pool.work.record_refusal(query.route, basis);
        }
    }
    sides.refuse(table, location, query, now)
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
        position: u64,
        skips_slow: bool,
        now: TimeStamp,
    ) -> Self {
        let list = |region: &str, targets: &[TargetKey]| match allows(query, region) {
            true => candidate::candidates(table, location, query, targets, skips_slow, now),
            false => Vec::new(),
        };
        let shares = spillover(table, query.service).and_then(SpilloverLevel::shares);
        let remote = match shares {
            Some(shares) => ranking::remote_by_shares(table, order, position, shares, query.tried),
            None => order.remote.iter().collect(),
        };
        Self {
            local: list(&location.region, &order.local),
            remote: remote
                .into_iter()
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

    /// The best candidate that can start the request in time, of this region or else of the most
    /// preferred other one, and whether it is of another one.
    fn best_starting(&self, query: &PlacementQuery<'_>) -> Option<(&Candidate, bool)> {
        let local = candidate::best_starting(&self.local, query);
        let remote = || {
            let mut lists = self.remote.iter().filter(|_| self.local.is_empty());
            lists.find_map(|list| candidate::best_starting(list, query))
        };
        let local = local.map(|candidate| (candidate, false));
        local.or_else(|| remote().map(|candidate| (candidate, true)))
    }

    /// The refusal where no candidate may take the request now.
    fn refuse(
        &self,
        table: &mut PlacementTable,
        location: &VmLocation,
        query: &PlacementQuery<'_>,
        now: TimeStamp,
    ) -> PlacementChoice {
        if self.is_empty() {
            return refusal::refuse_until_open(table, location, query, now);
        }
        let lists = std::iter::once(&self.local).chain(&self.remote);
        let room_in = lists.filter_map(|list| candidate::room_in(list, query));
        refusal::refuse(table, query, self.all(), room_in.min())
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
