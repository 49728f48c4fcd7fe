//! Selects the target of a try.

pub(super) mod refused;

use crate::clock;
use crate::forward::ForwardRun;
use crate::forward::selection::refused::ShedRecord;
use crate::front::refusal::RefusalCause;
use dahliawood_model::catalog::{CatalogRoute, RequestKind};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose::{self, ColdLimit, PlacementChoice, PlacementQuery};
use dahliawood_steer::placement::rank::{self, RequestRank};
use dahliawood_steer::placement::ranking::OrderKey;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::rendezvous;
use std::net::SocketAddr;
use std::time::Duration;

/// The target of a try.
pub(super) struct TryTarget {
    pub(super) key: TargetKey,
    /// Hash of its process.
    pub(super) process: u64,
    pub(super) id: String,
    pub(super) region: String,
    pub(super) address: SocketAddr,
    /// How long the request is expected to wait for a slot.
    pub(super) wait: Duration,
    pub(super) visit: Option<ObjectVisit>,
    pub(super) started: TimeStamp,
}

/// Why no target was chosen.
pub(super) struct Unplaced {
    pub(super) cause: RefusalCause,
    /// Time until a target is expected to have room, `None` if waiting is of no use.
    pub(super) room_in: Option<Duration>,
    /// The refusal for load of a request that has a rank.
    pub(super) shed: Option<ShedRecord>,
}

impl ForwardRun<'_> {
    /// Chooses a target and counts the request as running there.
    pub(super) fn choose_target(&self) -> Result<TryTarget, Unplaced> {
        let rank = self.rank();
        let (choice, share) = self.choose(rank, clock::now());
        if let Some(rank) = rank {
            self.record_share(rank, share);
        }
        choice.map_err(|refused| {
            let (cause, room_in) = match refused {
                PlacementChoice::Busy {
                    retry_after,
                    room_in,
                } => (RefusalCause::Busy(retry_after), room_in),
                PlacementChoice::Shed { retry_after } => (RefusalCause::Busy(retry_after), None),
                PlacementChoice::Target(_) | PlacementChoice::None => {
                    (RefusalCause::NoTarget, None)
                }
            };
            Unplaced {
                cause,
                room_in,
                shed: rank.and_then(|rank| ShedRecord::new(rank, share, &refused)),
            }
        })
    }

    /// The chosen target, or how the request is refused, and the refused share of its rank.
    fn choose(
        &self,
        rank: Option<RequestRank>,
        now: TimeStamp,
    ) -> (Result<TryTarget, PlacementChoice>, f64) {
        let route = self.route();
        let customer_regions = self.customer_regions();
        let object = self.metadata.object.as_ref().filter(|_| route.has_affinity);
        let object = object.map(|name| rendezvous::name_hash(name.as_bytes()));
        let is_bulk = route.kind == RequestKind::Download;
        let route_hash = self.route_hash();
        let mut table = self.state.placement();
        let query = PlacementQuery {
            service: &self.routed.service,
            route: route_hash,
            object,
            is_bulk,
            regions: [&route.regions, customer_regions],
            rank,
            tried: &self.tried,
            max_wait: self.max_wait(&table, now),
            time_left: self.routed.deadline.since(now),
            cold: self.cold_limit(),
            turn: self.queue_turn(),
        };
        let choice = choose::choose(&mut table, &self.state.location(), &query, now);
        let share = rank.map_or(0.0, |rank| table.refused_share(query.service, rank));
        let PlacementChoice::Target(key) = choice else {
            return (Err(choice), share);
        };
        let visit = object.map(|object| ObjectVisit {
            object,
            is_preferred: table.is_preferred(key, OrderKey { object, is_bulk }),
        });
        let Some(target) = table.get(key) else {
            return (Err(PlacementChoice::None), share);
        };
        let chosen = TryTarget {
            key,
            process: target.process(),
            id: target.entry.id.clone(),
            region: target.region.clone(),
            address: target.entry.address,
            wait: table.expected_wait(target, now),
            visit,
            started: now,
        };
        table.begin(key, now);
        (Ok(chosen), share)
    }

    /// Hash of the route's name.
    pub(super) fn route_hash(&self) -> u64 {
        rank::route_hash(self.route())
    }

    /// The request's rank, `None` if requests for its service do not differ in priority.
    pub(super) fn rank(&self) -> Option<RequestRank> {
        self.catalog.ranked_routes(&self.routed.service)?;
        Some(RequestRank {
            customer: self.catalog.customer_priority(self.routed.customer),
            route: self.route().priority,
        })
    }

    /// How long the request may wait for a slot: as long as its route's target latency can be met, and
    /// no longer than is useful for requests of routes that are as urgent or more so.
    fn max_wait(&self, table: &PlacementTable, now: TimeStamp) -> Duration {
        let spent = now.since(self.routed.started);
        let work = self.route_work(table, self.route(), now);
        let own = rank::useful_wait(self.route().target_latency, spent, work);
        rank::wait_limit(own, self.urgent_waits(table, now))
    }

    /// How long the request could have waited and still have been in time; where requests for its
    /// service differ in priority, also without making requests that are as urgent or more so late.
    pub(super) fn slack(&self, table: &PlacementTable, now: TimeStamp) -> Duration {
        if self.rank().is_some() {
            let own = self.useful_wait(table, self.route(), now);
            return rank::wait_limit(own, self.urgent_waits(table, now));
        }
        let work = self.route_work(table, self.route(), now);
        self.route().target_latency.saturating_sub(work)
    }

    /// The longest useful waits of requests of the other routes of the service that are as urgent or
    /// more so; none if requests for it do not differ in priority.
    fn urgent_waits(
        &self,
        table: &PlacementTable,
        now: TimeStamp,
    ) -> impl Iterator<Item = Duration> {
        let routes = self.catalog.ranked_routes(&self.routed.service);
        let routes = routes.unwrap_or_default().iter();
        let others = routes.filter(|key| **key != self.routed.route);
        let others = others.map(|key| &self.catalog.routes[*key]);
        let urgent = others.take_while(|route| route.priority <= self.route().priority);
        urgent.map(move |route| self.useful_wait(table, route, now))
    }

    /// How long a request of a route may wait on arrival and still meet the route's target latency.
    fn useful_wait(
        &self,
        table: &PlacementTable,
        route: &CatalogRoute,
        now: TimeStamp,
    ) -> Duration {
        let work = self.route_work(table, route, now);
        rank::useful_wait(route.target_latency, Duration::ZERO, work)
    }

    /// Expected work of a request of a route whose object is cached.
    pub(super) fn route_work(
        &self,
        table: &PlacementTable,
        route: &CatalogRoute,
        now: TimeStamp,
    ) -> Duration {
        table.expected_cached_work(&self.routed.service, rank::route_hash(route), now)
    }

    fn cold_limit(&self) -> ColdLimit {
        let bounds = &self.state.settings.bounds;
        let service = self.catalog.services.get(&self.routed.service);
        let rate = service.map_or(0.0, |service| service.cold_rate);
        ColdLimit {
            per_second: rate * bounds.cold_factor + bounds.cold_slack,
            lasts: service.map_or(Duration::ZERO, |service| service.cold_start),
        }
    }
}
