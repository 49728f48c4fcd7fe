//! Work of a service's requests by route: how long a target takes to run one, without queueing and
//! without the network.
//!
//! This handles a load pattern in which the routes of one service differ several times in work, in
//! which first visits cost a multiple of later ones, and in which a route's work comes close to its
//! timeout: an average over the service then begins attempts that cannot end in time, and refuses
//! requests that could be served.

pub mod links;

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Most routes of a service that are estimated, so that memory is bounded.
const MAX_ROUTES: usize = 64;
/// Samples kept for one estimate: a few tens of seconds of answers at one VM.
const SAMPLES: usize = 64;
/// Samples from which on an estimate is used.
const MIN_SAMPLES: usize = 4;
/// Samples from which on the quantiles are used: fewer contain too few long runs.
const MIN_QUANTILE_SAMPLES: usize = 16;
/// Answers of queued requests that are kept while there are too few samples.
const ROUGH_SAMPLES: usize = 32;
/// Time-outs count for the high quantile up to one in this many samples, so that requests go on after
/// an outage in which all of them timed out.
const LATE_DIVISOR: usize = 4;
/// The high quantile: an attempt that has to wait for a slot ends in time nine times in ten.
const HIGH_QUANTILE: f64 = 0.9;
/// Time without an answer after which an estimate is unknown again.
const ESTIMATE_EXPIRY: Duration = Duration::from_secs(30);
/// Time without an answer after which a request is sent although its estimate excludes it, so that
/// an estimate that is too high is corrected.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// The same after several trials without an answer. At 60 VMs that is one trial of a route in a
/// quarter of a second.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(16);
/// Time in which the weight of a stated pace decays to zero: targets are slow for some hundred ms.
pub const PACE_VALIDITY: Duration = Duration::from_millis(400);
/// Bounds of a pace, so that a wrong one can neither stop a target nor make it free.
const PACE_BOUNDS: (f64, f64) = (0.1, 10.0);

/// What a target is known to have cached of a request's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VisitKind {
    /// This VM saw the target serve the object, or the request has none.
    Cached,
    /// The target is the object's most preferred one; other VMs may have sent it there before.
    Preferred,
    /// The target has probably not served the object.
    First,
}

impl VisitKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Cached, Self::Preferred, Self::First];

    /// The kind of a visit.
    pub fn new(was_cached: bool, is_preferred: bool) -> Self {
        match (was_cached, is_preferred) {
            (true, _) => Self::Cached,
            (false, true) => Self::Preferred,
            (false, false) => Self::First,
        }
    }

    /// The kinds whose work stands for that of this kind while it is not known, the best first.
    fn bases(self) -> &'static [Self] {
        match self {
            Self::Cached => &[Self::Cached, Self::Preferred, Self::First],
            Self::Preferred => &[Self::Preferred, Self::Cached, Self::First],
            Self::First => &[Self::First, Self::Preferred, Self::Cached],
        }
    }

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Cached => "cached",
            Self::Preferred => "preferred",
            Self::First => "first",
        }
    }
}

/// Expected work of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Its mean.
    pub mean: Duration,
    /// Its median; the mean while there are few samples.
    pub median: Duration,
    /// Its high quantile; the mean while there are few samples.
    pub high: Duration,
}

/// What the end of a request shows of its work.
#[derive(Clone, Copy, Debug)]
pub enum WorkSample {
    /// An answer of a target without a queue.
    Exact(Duration),
    /// An answer of a target with a queue, less the wait that was expected.
    Rough(Duration),
    /// A time-out at a target of which no queue was known: the least work that it can have had.
    Late(Duration),
}

/// What is known of the work of one route, for the metrics.
#[derive(Clone, Copy, Debug)]
pub struct RouteEstimate {
    /// Hash of the route's name.
    pub route: u64,
    /// The kind of visits.
    pub visit: VisitKind,
    /// Their work.
    pub estimate: WorkEstimate,
    /// Requests that were sent although the estimate excluded them.
    pub trials: u64,
    /// Requests that were refused because no target was expected to end them in time.
    pub refusals: u64,
}

/// Work of each route of a service.
#[derive(Clone, Debug, Default)]
pub struct WorkTable {
    routes: FastMap<u64, [WorkRecord; 3]>,
}

impl WorkTable {
    /// The work of a route's requests, `None` if too little is known.
    pub fn estimate(&self, route: u64, visit: VisitKind, now: TimeStamp) -> Option<WorkEstimate> {
        self.record_of(route, visit)?.current(now)
    }

    /// The work in which a request must be able to end, and the kind of visits that it is taken from.
    pub fn basis(
        &self,
        route: u64,
        visit: VisitKind,
        now: TimeStamp,
    ) -> Option<(VisitKind, WorkEstimate)> {
        let bases = visit.bases().iter();
        let known = |kind: &VisitKind| Some((*kind, self.estimate(route, *kind, now)?));
        bases.into_iter().find_map(known)
    }

    /// Records what the end of a request shows of its work.
    pub fn record(&mut self, route: u64, visit: VisitKind, sample: WorkSample, now: TimeStamp) {
        if !self.routes.contains_key(&route) && self.routes.len() >= MAX_ROUTES {
            self.evict();
        }
        let records = self.routes.entry(route).or_default();
        records[visit as usize].record(sample, now);
    }

    /// Whether a request that the estimate excludes is sent all the same; counts it.
    pub fn take_trial(&mut self, route: u64, visit: VisitKind, now: TimeStamp) -> bool {
        let records = self.routes.get_mut(&route);
        records.is_some_and(|records| records[visit as usize].take_trial(now))
    }

    /// Counts a request that is refused because the estimate excludes it.
    pub fn record_refusal(&mut self, route: u64, visit: VisitKind) {
        if let Some(records) = self.routes.get_mut(&route) {
            records[visit as usize].refusals += 1;
        }
    }

    /// All current estimates.
    pub fn all(&self, now: TimeStamp) -> impl Iterator<Item = RouteEstimate> {
        let kinds = |(route, records)| VisitKind::ALL.map(|visit| (route, visit, records));
        let kinds = self.routes.iter().flat_map(kinds);
        kinds.filter_map(
            move |(route, visit, records): (&u64, _, &[WorkRecord; 3])| {
                let record = &records[visit as usize];
                Some(RouteEstimate {
                    route: *route,
                    visit,
                    estimate: record.current(now)?,
                    trials: record.trials,
                    refusals: record.refusals,
                })
            },
        )
    }

    fn record_of(&self, route: u64, visit: VisitKind) -> Option<&WorkRecord> {
        self.routes
            .get(&route)
            .map(|records| &records[visit as usize])
    }

    /// Removes the route that was answered least recently.
    fn evict(&mut self) {
        let answered_at =
            |records: &[WorkRecord; 3]| records.iter().map(|one| one.answered_at).max();
        let oldest = self
            .routes
            .iter()
            .min_by_key(|(_, records)| answered_at(records));
        if let Some(route) = oldest.map(|(route, _)| *route) {
            self.routes.remove(&route);
        }
    }
}

/// Samples of one route and kind of visit.
#[derive(Clone, Debug, Default)]
struct WorkRecord {
    /// The newest samples in microseconds, the oldest first.
    samples: VecDeque<u32>,
    /// The newest answers of queued requests.
    rough: VecDeque<u32>,
    /// The newest time-outs, with the number of samples before each.
    late: VecDeque<(u32, u64)>,
    /// Samples so far.
    count: u64,
    estimate: Option<WorkEstimate>,
    answered_at: TimeStamp,
    tried_at: TimeStamp,
    /// Trials since the last answer.
    unanswered: u32,
    trials: u64,
    refusals: u64,
}

impl WorkRecord {
    fn current(&self, now: TimeStamp) -> Option<WorkEstimate> {
        let is_current = now.since(self.answered_at) < ESTIMATE_EXPIRY;
        self.estimate.filter(|_| is_current)
    }

    fn record(&mut self, sample: WorkSample, now: TimeStamp) {
        if now.since(self.answered_at) >= ESTIMATE_EXPIRY {
            self.samples.clear();
            self.rough.clear();
            self.late.clear();
            self.estimate = None;
        }
        match sample {
            WorkSample::Exact(work) => {
                push(&mut self.samples, micros(work), SAMPLES);
                self.count += 1;
            }
            WorkSample::Rough(work) => push(&mut self.rough, micros(work), ROUGH_SAMPLES),
            WorkSample::Late(work) => {
                let late = (micros(work), self.count);
                push(&mut self.late, late, SAMPLES / LATE_DIVISOR);
            }
        }
        if !matches!(sample, WorkSample::Late(_)) {
            self.answered_at = now;
            self.unanswered = 0;
        }
        let oldest = self.count.saturating_sub(SAMPLES as u64);
        self.late.retain(|(_, count)| *count >= oldest);
        self.estimate = self.summarize();
    }

    fn summarize(&self) -> Option<WorkEstimate> {
        if self.samples.len() >= MIN_SAMPLES {
            let late = self.late.iter().map(|(micros, _)| *micros);
            let late = late.take(self.samples.len() / LATE_DIVISOR);
            return Some(estimate(&self.samples, late));
        }
        let has_rough = self.rough.len() >= MIN_SAMPLES;
        has_rough.then(|| {
            let rough = estimate(&self.rough, std::iter::empty());
            // A few wrong waits move the mean far.
            let mean = rough.median;
            WorkEstimate { mean, ..rough }
        })
    }

    fn take_trial(&mut self, now: TimeStamp) -> bool {
        let interval = MIN_TRIAL_INTERVAL * 2_u32.saturating_pow(self.unanswered.min(8));
        let last = self.answered_at.max(self.tried_at);
        let is_due = now.since(last) >= interval.min(MAX_TRIAL_INTERVAL);
        if is_due {
            self.tried_at = now;
            self.unanswered += 1;
            self.trials += 1;
        }
        is_due
    }
}

fn micros(work: Duration) -> u32 {
    u32::try_from(work.as_micros()).unwrap_or(u32::MAX)
}

/// Adds a sample; the oldest one makes room.
fn push<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    if samples.len() >= most {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// The estimate by samples, of which there is at least one, and by time-outs.
fn estimate(samples: &VecDeque<u32>, late: impl Iterator<Item = u32>) -> WorkEstimate {
    let sum: u64 = samples.iter().map(|micros| u64::from(*micros)).sum();
    let mean = Duration::from_micros(sum / samples.len() as u64);
    let mut sorted: Vec<u32> = samples.iter().copied().collect();
    sorted.sort_unstable();
    let median = quantile(&sorted, 0.5);
    if samples.len() < MIN_QUANTILE_SAMPLES {
        let high = mean.max(median);
        return WorkEstimate { mean, median, high };
    }
    sorted.extend(late);
    sorted.sort_unstable();
    let high = quantile(&sorted, HIGH_QUANTILE);
    WorkEstimate { mean, median, high }
}

/// A quantile of sorted samples, of which there is at least one.
fn quantile(sorted: &[u32], quantile: f64) -> Duration {
    let index = (quantile * sorted.len() as f64).ceil() as usize;
    Duration::from_micros(sorted[index.clamp(1, sorted.len()) - 1].into())
}

/// A stated pace as a factor of work, 1 if none is stated.
pub fn pace_factor(pace: Option<f32>) -> f64 {
    let (least, most) = PACE_BOUNDS;
    pace.map_or(1.0, |pace| f64::from(pace).clamp(least, most))
}

/// The factor of a pace that was stated `age` ago.
pub fn aged_pace(pace: Option<f32>, age: Duration) -> f64 {
    let weight = 1.0 - age.as_secs_f64() / PACE_VALIDITY.as_secs_f64();
    1.0 + (pace_factor(pace) - 1.0) * weight.max(0.0)
}

/// The work of a request that ran for `taken`, on a host that states `pace` at its end. The pace
/// holds for the last part of a long run only.
pub fn normalize(taken: Duration, pace: Option<f32>) -> Duration {
    let recent = taken.min(PACE_VALIDITY);
    taken.saturating_sub(recent) + recent.div_f64(pace_factor(pace))
}
