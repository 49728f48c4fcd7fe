//! The promises of a fleet, checked from what callers and targets saw.

use crate::soak::caller::{CallerEnd, CallerRecord};
use crate::soak::plan::SoakEvent;
use dahliawood_model::FastMap;
use std::time::{Duration, Instant};

/// Targets get nothing this long after they left.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Routes are in force this long after they were declared.
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Bounds hold for a VM once it and the store were sound for so long.
const SOUND_TIME: Duration = Duration::from_secs(4);
/// The window of customers' limits.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);
/// The share of a limit, and the requests beside it, by which it may be passed.
const LIMIT_SHARE: f64 = 0.1;
const LIMIT_SLACK: f64 = 20.0;
/// Promises that are told of, of each kind.
const TOLD: usize = 3;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPromise {
    /// Which one.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// A request that ran at a target.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// When it came.
    pub at: Instant,
    /// The target's place among all, which its link has as well.
    pub place: usize,
    /// The target's id.
    pub target: String,
    /// Its service.
    pub service: &'static str,
}

/// A change that the store acknowledged.
#[derive(Clone, Debug)]
pub struct SoakChange {
    /// When.
    pub at: Instant,
    /// What.
    pub kind: ChangeKind,
}

/// What was changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// A target left.
    TargetLeft(String),
    /// Routes go to a service.
    Routes(&'static str),
}

/// A fault that was played.
#[derive(Clone, Copy, Debug)]
pub struct PlayedFault {
    /// From when.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
    /// What.
    pub event: SoakEvent,
}

/// All that was seen.
#[derive(Clone, Debug)]
pub struct SoakRecords {
    /// Callers' requests.
    pub requests: Vec<CallerRecord>,
    /// What ran at targets.
    pub runs: Vec<TargetRun>,
    /// What was changed, in order.
    pub changes: Vec<SoakChange>,
    /// What was played.
    pub faults: Vec<PlayedFault>,
    /// From when on all requests are to be served.
    pub calm_from: Instant,
}

/// A limit of a customer.
#[derive(Clone, Copy, Debug)]
pub struct SoakLimit {
    /// Requests a second.
    pub rate: u32,
    /// Requests at once beside that.
    pub burst: u32,
}

impl SoakRecords {
    /// Requests with what ran of them.
    fn with_runs(&self) -> impl Iterator<Item = (&CallerRecord, Vec<&TargetRun>)> {
        let mut by_path: FastMap<&str, Vec<&TargetRun>> = FastMap::default();
        for run in &self.runs {
            by_path.entry(&run.path).or_default().push(run);
        }
        self.requests.iter().map(move |request| {
            let runs = by_path.get(request.path.as_str());
            (request, runs.cloned().unwrap_or_default())
        })
    }

    /// Whether any fault of some kind was played in a span, or shortly before it.
    fn had(&self, from: Instant, until: Instant, is_kind: impl Fn(SoakEvent) -> bool) -> bool {
        let overlaps =
            |fault: &&PlayedFault| fault.from <= until && fault.until + SOUND_TIME >= from;
        self.faults
            .iter()
            .filter(overlaps)
            .any(|fault| is_kind(fault.event))
    }

    /// Whether a VM, its link to the store and the store were sound in a span and shortly before it.
    fn is_sound(&self, vm: usize, from: Instant, until: Instant) -> bool {
        let harms = |event| match event {
            SoakEvent::StoreLink(at, _)
            | SoakEvent::VmPaused(at)
            | SoakEvent::VmKilled(at)
            | SoakEvent::VmTerminated(at) => at == vm,
            SoakEvent::StoreUnavailable | SoakEvent::StoreCompacted => true,
            _ => false,
        };
        !self.had(from, until, harms)
    }

    /// Whether a VM's process and a target's link were harmed, beside a graceful end.
    fn is_harmed(&self, vm: usize, place: usize, from: Instant, until: Instant) -> bool {
        let harms = |event| match event {
            SoakEvent::VmPaused(at) | SoakEvent::VmKilled(at) => at == vm,
            SoakEvent::TargetLink(at, _) | SoakEvent::TargetBehavior(at, _) => at == place,
            _ => false,
        };
        self.had(from, until, harms)
    }
}

/// What holds of each request, however long anything takes.
pub fn requests(records: &SoakRecords) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    let known: FastMap<&str, &CallerRecord> = records
        .requests
        .iter()
        .map(|request| (request.path.as_str(), request))
        .collect();
    for run in &records.runs {
        let is_asked = known.get(run.path.as_str()).is_some_and(|request| {
            let (method, body) = match request.is_write {
                true => ("POST", request.path.as_bytes()),
                false => ("GET", b"".as_slice()),
            };
            run.method == method && run.body == body
        });
        if !is_asked {
            tell(&mut broken, "nothing runs that nobody asked for", run);
        }
    }
    for (request, runs) in records.with_runs() {
        if request.is_write && runs.len() > 1 {
            tell(&mut broken, "a write runs once at most", &(request, &runs));
        }
        let CallerEnd::Answer { status, is_own } = request.end else {
            continue;
        };
        if status == 200 && (!is_own || runs.is_empty()) {
            tell(&mut broken, "an answer is the request's own", request);
        }
        if request.is_write && matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
            tell(
                &mut broken,
                "a refused write has not run",
                &(request, &runs),
            );
        }
    }
    broken
}

/// No window takes more of a customer than its limit tolerates.
pub fn limits(records: &SoakRecords, limit: SoakLimit) -> Vec<BrokenPromise> {
    let window = LIMIT_WINDOW.as_secs_f64();
    let whole = f64::from(limit.rate) * window + f64::from(limit.burst);
    let most = whole * (1.0 + LIMIT_SHARE) + LIMIT_SLACK;
    let small = records.with_runs().filter(|(request, _)| request.is_small);
    let mut runs: Vec<(Instant, Instant)> = small
        .flat_map(|(request, runs)| runs.into_iter().map(|run| (run.at, request.sent)))
        .collect();
    runs.sort();
    let in_window = |at: Instant| {
        let is_in = |(came, sent): &&(Instant, Instant)| *came <= at && *sent + LIMIT_WINDOW > at;
        runs.iter().filter(is_in).count()
    };
    let worst = runs.iter().map(|(at, _)| in_window(*at)).max();
    let mut broken = Vec::new();
    if worst.unwrap_or(0) as f64 > most {
        let seen = format!("{worst:?} requests in a window, {most} at most");
        tell(&mut broken, "a customer stays within its limit", &seen);
    }
    broken
}

/// What holds within bounds of time.
pub fn bounds(records: &SoakRecords) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    for (request, runs) in records.with_runs() {
        for run in &runs {
            check_left(records, request, run, &mut broken);
            check_routes(records, request, run, &mut broken);
        }
        if request.end == CallerEnd::Closed
            && let Some(run) = runs.first()
            && !records.is_harmed(request.vm, run.place, request.sent, request.ended)
        {
            tell(
                &mut broken,
                "a request that was passed on is answered",
                &(request, run),
            );
        }
        let is_calm = request.sent > records.calm_from && !request.is_small;
        if is_calm && !request.is_served() {
            tell(&mut broken, "all is served once faults are over", request);
        }
    }
    broken
}

fn check_left(
    records: &SoakRecords,
    request: &CallerRecord,
    run: &TargetRun,
    broken: &mut Vec<BrokenPromise>,
) {
    let is_left = |change: &&SoakChange| change.kind == ChangeKind::TargetLeft(run.target.clone());
    let Some(left) = records.changes.iter().find(is_left) else {
        return;
    };
    let is_late = request.sent > left.at + DRAIN_BOUND;
    if is_late && records.is_sound(request.vm, request.sent, run.at) {
        tell(
            broken,
            "a target that left gets nothing",
            &(request, run, left),
        );
    }
}

fn check_routes(
    records: &SoakRecords,
    request: &CallerRecord,
    run: &TargetRun,
    broken: &mut Vec<BrokenPromise>,
) {
    let routes = records
        .changes
        .iter()
        .filter_map(|change| match change.kind {
            ChangeKind::Routes(service) => Some((change.at, service)),
            ChangeKind::TargetLeft(_) => None,
        });
    let is_in_force = |(at, _): &(Instant, &str)| *at + APPLY_BOUND < request.sent;
    let Some((since, service)) = routes.clone().rev().find(is_in_force) else {
        return;
    };
    let is_later = |(at, later): &(Instant, &str)| *at > since && *later == run.service;
    let is_allowed = run.service == service || routes.clone().any(|change| is_later(&change));
    if !is_allowed && records.is_sound(request.vm, request.sent, run.at) {
        tell(broken, "routes are in force in time", &(request, run));
    }
}

fn tell(broken: &mut Vec<BrokenPromise>, promise: &'static str, seen: &dyn std::fmt::Debug) {
    let told = broken.iter().filter(|told| told.promise == promise).count();
    if told < TOLD {
        let seen = format!("{seen:?}");
        broken.push(BrokenPromise { promise, seen });
    }
}
