//! The targets of one service, with what is known of all of them together.

use crate::health::ResultKind;
use crate::placement::cached::{self, CachedObjects, ServiceTimes};
use crate::placement::ranking::KeptOrders;
use crate::placement::shedding::ShedShare;
use crate::placement::shedding::by_rank::RankShares;
use crate::placement::spillover::SpilloverLevel;
use crate::placement::table::TargetResult;
use crate::placement::warmup::PeerLoad;
use crate::placement::work::{self, VisitKind, WorkSample, WorkTable};
use dahliawood_model::FastMap;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Service time that is assumed before the first answer.
pub(super) const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(300);
/// Least slack by which queueing delays are divided.
const MIN_SLACK: Duration = Duration::from_millis(20);
/// Weight of the newest answer in a service's moving average.
const EWMA_WEIGHT: f64 = 0.02;

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct ServicePool {
    /// Keys of the targets.
    pub targets: Vec<TargetKey>,
    /// Share of objects that this region sends to other regions.
    pub spillover: SpilloverLevel,
    /// Moving average of the service time over all targets.
    pub average_service_time: Duration,
    /// Service times of cached and of other objects.
    pub service_times: ServiceTimes,
    /// The targets that served each object.
    pub cached_objects: CachedObjects,
    /// Preference orders of targets.
    pub kept_orders: KeptOrders,
    /// Share of requests that are refused because queues are too long.
    pub shed_share: ShedShare,
    /// Load of the targets of each region that are not warming up.
    pub peer_loads: FastMap<String, PeerLoad>,
    /// Work of each route.
    pub work: WorkTable,
    /// Part of that share by rank, where requests differ in priority.
    pub rank_shares: RankShares,
}

impl Default for ServicePool {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            spillover: SpilloverLevel::default(),
            average_service_time: ASSUMED_SERVICE_TIME,
            service_times: ServiceTimes::default(),
            cached_objects: CachedObjects::default(),
            kept_orders: KeptOrders::default(),
            shed_share: ShedShare::default(),
            peer_loads: FastMap::default(),
            work: WorkTable::default(),
            rank_shares: RankShares::default(),
        }
    }
}

impl ServicePool {
    /// Whether the service's targets of a region report their load.
    pub fn is_load_reported(&self, region: &str, now: TimeStamp) -> bool {
        let peers = self.peer_loads.get(region);
        peers.is_some_and(|peers| peers.is_reported(now))
    }

    /// Work of a response as a multiple of what a first visit of its route takes, `None` if it shows
    /// nothing. What is known to be cached may be gone where a target returns.
    pub(super) fn slowness(
        &self,
        result: &TargetResult,
        taken: Duration,
        now: TimeStamp,
    ) -> Option<f64> {
        let load = result.load();
        let has_queued = load.is_some_and(|load| load.waiting > 0);
        if result.kind != ResultKind::Answered || has_queued {
            return None;
        }
        let expected = |visit| self.expected_work(result.route, visit, now);
        let cached = expected(VisitKind::Cached);
        let expected = match result.visit {
            Some(_) => cached::longest_first_visit(expected(VisitKind::First), cached),
            None => cached,
        };
        let run = work::normalize(taken, load.and_then(|load| load.pace));
        Some(run.as_secs_f64() / expected.as_secs_f64().max(0.001))
    }

    /// Expected work of a request at a target. While the route has too few samples, it is derived from
    /// its other visits, and otherwise from the averages of the service.
    pub fn expected_work(&self, route: u64, visit: VisitKind, now: TimeStamp) -> Duration {
        let mean = |visit| {
            let estimate = self.work.estimate(route, visit, now);
            estimate.map(|estimate| estimate.mean)
        };
        if let Some(mean) = mean(visit) {
            return mean;
        }
        let ratio = self.service_times.ratio();
        let average = self.average_service_time;
        if visit == VisitKind::First {
            let cached = mean(VisitKind::Cached);
            let first = cached.map(|cached| cached.mul_f64(ratio));
            return first.unwrap_or(self.service_times.uncached(average));
        }
        let first = || mean(VisitKind::First).map(|first| first.div_f64(ratio));
        let cached = mean(VisitKind::Cached).or_else(first);
        cached.unwrap_or(self.service_times.cached(average))
    }

    /// The kind of a visit, as this VM knew it before the answer.
    pub(super) fn visit_kind(&self, key: TargetKey, result: &TargetResult) -> VisitKind {
        result.visit.map_or(VisitKind::Cached, |visit| {
            let was_cached = self.cached_objects.contains(visit.object, key);
            VisitKind::new(was_cached, visit.is_preferred)
        })
    }

    /// What an average request would have taken where this one took `taken`: a target is not slow
    /// because it serves a route with much work.
    pub(super) fn average_latency(
        &self,
        key: TargetKey,
        result: &TargetResult,
        taken: Duration,
        now: TimeStamp,
    ) -> Duration {
        let visit = self.visit_kind(key, result);
        match self.work.estimate(result.route, visit, now) {
            Some(estimate) if !estimate.mean.is_zero() => {
                let factor = taken.div_duration_f64(estimate.mean);
                self.average_service_time.mul_f64(factor)
            }
            _ => taken,
        }
    }

    /// Mean work of the mix by a queued request: it took as long as those ahead of it and itself, each
    /// of which took the mean on average. Without this, the mean would never be known while all
    /// targets have queues, as from the first second of an overload.
    fn mixed_work(&self, taken: Duration, wait: Duration) -> Duration {
        let average = self.average_service_time.max(MIN_SLACK);
        taken.div_f64(1.0 + wait.div_duration_f64(average))
    }

    /// How long a request has probably waited: as was expected, or as long as the queue at its end
    /// takes, of which this VM may not have known before.
    fn likely_wait(&self, result: &TargetResult) -> Duration {
        let queue = result.load().map_or(0.0, |load| {
            f64::from(load.waiting) / f64::from(load.slots.max(1))
        });
        let wait = self.average_service_time.mul_f64(queue);
        wait.max(result.expected_wait)
    }

    /// Records an answer of one of the service's targets, `taken` after the request reached it.
    pub(super) fn record_answer(
        &mut self,
        key: TargetKey,
        result: TargetResult,
        taken: Duration,
        now: TimeStamp,
    ) {
        if let Some(load) = result.load() {
            let ahead = f64::from(load.running) + f64::from(load.waiting) + 1.0;
            let ahead = ahead / f64::from(load.slots.max(1));
            let delay = self.average_service_time.mul_f64((ahead - 1.0).max(0.0));
            let slack = result.slack.max(MIN_SLACK);
            self.shed_share
                .record_delay(delay.as_secs_f64() / slack.as_secs_f64());
        }
        let pace = result.load().and_then(|load| load.pace);
        let has_queued = result.load().is_some_and(|load| load.waiting > 0);
        let wait = self.likely_wait(&result);
        let run = work::normalize(taken.saturating_sub(wait), pace);
        let has_waited = has_queued || !result.expected_wait.is_zero();
        let (sample, mixed) = match has_waited {
            true => (WorkSample::Rough(run), self.mixed_work(taken, wait)),
            false => (WorkSample::Exact(run), run),
        };
        self.average_service_time =
            self.average_service_time.mul_f64(1.0 - EWMA_WEIGHT) + mixed.mul_f64(EWMA_WEIGHT);
        let kind = self.visit_kind(key, &result);
        self.work.record(result.route, kind, sample, now);
        let Some(visit) = result.visit else {
            return;
        };
        // Another VM may have requested the object at its preferred target before.
        if !has_queued && kind != VisitKind::Preferred {
            self.service_times.record(run, kind == VisitKind::Cached);
        }
        self.cached_objects.record(visit.object, key);
    }
}
