//! Order of requests by priority, and how long a request may wait at a target where requests
//! differ in priority.
//!
//! This handles a load pattern in which requests with much work and a late target latency share
//! targets with urgent ones. Each of the former may wait for seconds; if it does so in the queue of
//! a target, urgent requests find no queue that is short enough for them.

use crate::rendezvous;
use dahliawood_model::catalog::CatalogRoute;
use std::time::Duration;

/// Fraction of a route's target latency that a request may wait for a slot even if less time than
/// that is left of the target latency.
const MIN_WAIT_FRACTION: f64 = 0.25;

/// Rank of a request; the least is the most urgent. The customer's priority goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
#[display("{customer}.{route}")]
pub struct RequestRank {
    /// Priority of the customer, 0 is the highest.
    pub customer: u32,
    /// Priority of the route, 0 is the highest.
    pub route: u32,
}

/// Hash of a route's name, by which work is estimated.
pub fn route_hash(route: &CatalogRoute) -> u64 {
    rendezvous::name_hash(route.name.as_bytes())
}

/// How long a request that has spent some time may wait for a slot and still meet its target latency.
pub fn useful_wait(target_latency: Duration, spent: Duration, work: Duration) -> Duration {
    let left = target_latency.saturating_sub(spent).saturating_sub(work);
    left.max(target_latency.mul_f64(MIN_WAIT_FRACTION))
}

/// Maximum time that a request may wait for a slot at a target: its own longest useful wait, and no
/// longer than is useful for requests of the routes that are as urgent or more so.
pub fn wait_limit(own: Duration, urgent: impl Iterator<Item = Duration>) -> Duration {
    urgent.fold(own, Duration::min)
}
