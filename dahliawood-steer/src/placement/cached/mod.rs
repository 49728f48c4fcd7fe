//! Which objects targets have cached, as far as this VM's answers show, and the service time that a
//! cached object saves, over all routes of a service; estimates by route are in
//! [`work`](crate::placement::work).
//!
//! This handles a load pattern in which the first request for an object costs a target several
//! times as much as later ones: a request that moves to another target for a free slot may take
//! longer there than it would have waited, and takes that slot from others.

use dahliawood_model::FastMap;
use dahliawood_model::keys::TargetKey;
use std::time::Duration;

/// Number of objects per generation; at most two generations are kept.
const GENERATION_OBJECTS: usize = 4_096;
/// Number of targets remembered per object.
const OBJECT_TARGETS: usize = 4;
/// Weight of the newest answer in the moving averages.
const EWMA_WEIGHT: f64 = 0.05;
/// Assumed ratio of the service times of an object's first request and of later ones, until both
/// were seen.
const ASSUMED_RATIO: f64 = 2.0;
/// How many times as long as later ones a first visit takes without its target being slow; a cached
/// object saves targets 0.7 of the work.
const FIRST_VISIT_RATIO: f64 = 3.3;

/// The longest usual work of a first visit, by the expected work of visits without and with a cached
/// object. That of objects that this VM did not see at the target is lower, because other VMs had some
/// of them cached.
pub fn longest_first_visit(uncached: Duration, cached: Duration) -> Duration {
    uncached.max(cached.mul_f64(FIRST_VISIT_RATIO))
}

/// A request for an object, as the target that serves it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObjectVisit {
    /// Hash of the object.
    pub object: u64,
    /// Whether the target is the object's most preferred one.
    pub is_preferred: bool,
}

/// The targets that served each object, by this VM's own answers; the oldest objects are forgotten.
#[derive(Clone, Debug, Default)]
pub struct CachedObjects {
    recent: FastMap<u64, Vec<TargetKey>>,
    older: FastMap<u64, Vec<TargetKey>>,
}

impl CachedObjects {
    /// Whether a target served an object.
    pub fn contains(&self, object: u64, key: TargetKey) -> bool {
        let is_listed = |targets: Option<&Vec<TargetKey>>| {
            targets.is_some_and(|targets| targets.contains(&key))
        };
        is_listed(self.recent.get(&object)) || is_listed(self.older.get(&object))
    }

    /// Records that a target served an object.
    pub fn record(&mut self, object: u64, key: TargetKey) {
        if !self.recent.contains_key(&object) {
            if self.recent.len() >= GENERATION_OBJECTS {
                self.older = std::mem::take(&mut self.recent);
            }
            let targets = self.older.remove(&object).unwrap_or_default();
            self.recent.insert(object, targets);
        }
        if let Some(targets) = self.recent.get_mut(&object)
            && !targets.contains(&key)
        {
            targets.truncate(OBJECT_TARGETS - 1);
            targets.insert(0, key);
        }
    }
}

/// Moving averages of a service's times, without queueing, for cached and other objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimes {
    cached: Option<Duration>,
    uncached: Option<Duration>,
}

impl ServiceTimes {
    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Duration, was_cached: bool) {
        let average = match was_cached {
            true => &mut self.cached,
            false => &mut self.uncached,
        };
        *average = Some(average.map_or(latency, |average| {
            average.mul_f64(1.0 - EWMA_WEIGHT) + latency.mul_f64(EWMA_WEIGHT)
        }));
    }

    /// Expected time of a request whose object is cached; `service_average` is that of all requests.
    pub fn cached(&self, service_average: Duration) -> Duration {
        self.cached.unwrap_or(service_average)
    }

    /// Expected time of a request whose object is not cached.
    pub fn uncached(&self, service_average: Duration) -> Duration {
        let cached = self.cached(service_average);
        let uncached = self.uncached.unwrap_or(cached.mul_f64(ASSUMED_RATIO));
        uncached.max(cached)
    }

    /// Ratio of the times of an object's first request and of later ones, at least 1.
    pub fn ratio(&self) -> f64 {
        match (self.cached, self.uncached) {
            (Some(cached), Some(uncached)) if !cached.is_zero() => {
                uncached.div_duration_f64(cached).max(1.0)
            }
            _ => ASSUMED_RATIO,
        }
    }
}
