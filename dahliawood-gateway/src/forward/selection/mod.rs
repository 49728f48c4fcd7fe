//! Selects the target of a try.

use crate::clock;
use crate::forward::ForwardRun;
use crate::front::refusal::RefusalCause;
use dahliawood_model::catalog::RequestKind;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::cached::ObjectVisit;
use dahliawood_steer::placement::choose::{self, ColdLimit, PlacementChoice, PlacementQuery};
use dahliawood_steer::placement::ranking::OrderKey;
use dahliawood_steer::rendezvous;
use std::net::SocketAddr;
use std::time::Duration;

/// Fraction of a route's target latency that a request may wait for a slot even if less time than
/// that is left of the target latency.
const MIN_WAIT_FRACTION: f64 = 0.25;

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
}

impl From<RefusalCause> for Unplaced {
    fn from(cause: RefusalCause) -> Self {
        let room_in = None;
        Self { cause, room_in }
    }
}

impl ForwardRun<'_> {
    /// Chooses a target and counts the request as running there.
    pub(super) fn choose_target(&self) -> Result<TryTarget, Unplaced> {
        let now = clock::now();
        let route = self.route();
        let customer_regions = self.customer_regions();
        let object = self.metadata.object.as_ref().filter(|_| route.has_affinity);
        let object = object.map(|name| rendezvous::name_hash(name.as_bytes()));
        let is_bulk = route.kind == RequestKind::Download;
        let mut table = self.state.placement();
        let query = PlacementQuery {
            service: &self.routed.service,
            object,
            is_bulk,
            regions: [&route.regions, customer_regions],
            tried: &self.tried,
            max_wait: self.max_wait(table.cached_service_time(&self.routed.service), now),
            time_left: self.routed.deadline.since(now),
            cold: self.cold_limit(),
            turn: self.queue_turn(),
        };
        let choice = choose::choose(&mut table, &self.state.location(), &query, now);
        match choice {
            PlacementChoice::Target(key) => {
                let visit = object.map(|object| ObjectVisit {
                    object,
                    is_preferred: table.is_preferred(key, OrderKey { object, is_bulk }),
                });
                let target = table.get(key).ok_or(RefusalCause::NoTarget)?;
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
                Ok(chosen)
            }
            PlacementChoice::Busy {
                retry_after,
                room_in,
            } => Err(Unplaced {
                cause: RefusalCause::Busy(retry_after),
                room_in,
            }),
            PlacementChoice::None => Err(RefusalCause::NoTarget.into()),
        }
    }

    /// How long the request may wait for a slot and still meet the route's target latency.
    fn max_wait(&self, service_time: Duration, now: TimeStamp) -> Duration {
        let latency = self.route().target_latency;
        let spent = now.since(self.routed.started);
        let left = latency.saturating_sub(spent).saturating_sub(service_time);
        left.max(latency.mul_f64(MIN_WAIT_FRACTION))
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
