//! Guarantees on what targets state of themselves in their responses: leaving, limits, pauses.
//!
//! A VM is bound by a statement from the first response that told it. A restart or a pause of its
//! process since then excuses it.

use super::{ChangeKind, GuaranteeViolation, SoakChange, SoakRecords, TargetRun, report};
use crate::soak::caller::CallerRecord;
use dahliawood_model::FastMap;
use std::time::{Duration, Instant};

/// Bound on the time from a response that states a target's leaving until no new request of that VM
/// reaches the target.
const LEAVING_LIMIT: Duration = Duration::from_millis(2_500);
/// Time from a response that tells a VM of a statement until the VM is bound by it.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// The window of a stated limit, and how long after the first statement the limit is binding.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Tolerance above a stated limit: a factor, and requests.
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Requests that a target may get from one VM in a pause that it asked that VM for.
const MAX_IN_PAUSE: usize = 2;

/// A request that reached a target, with the caller's record of it.
#[derive(Clone, Copy, Debug)]
struct Arrival<'a> {
    request: &'a CallerRecord,
    run: &'a TargetRun,
}

/// Checks all statements.
pub fn guarantees(records: &SoakRecords) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    let arrivals = by_target(records, &records.runs);
    let refusals = by_target(records, &records.refusals);
    for change in &records.changes {
        match &change.kind {
            ChangeKind::TargetLeaving(id) => {
                check_leaving(records, change, at(&arrivals, id), &mut violations);
            }
            ChangeKind::TargetLimited { id, limit, until } => {
                let arrivals = at(&arrivals, id);
                let limit = StatedSpan {
                    limit: *limit,
                    from: change.at,
                    until: *until,
                };
                check_limit(records, limit, arrivals, &mut violations);
            }
            ChangeKind::TargetPausing { id, pause } => {
                let (arrivals, refusals) = (at(&arrivals, id), at(&refusals, id));
                check_pause(records, *pause, arrivals, refusals, &mut violations);
            }
            ChangeKind::TargetDeregistered(_)
            | ChangeKind::Configuration(_)
            | ChangeKind::EvacuationBegun(_)
            | ChangeKind::EvacuationEnded(_) => {}
        }
    }
    violations
}

/// The span in which a target states a limit.
#[derive(Clone, Copy, Debug)]
struct StatedSpan {
    /// Requests a second.
    limit: f64,
    from: Instant,
    until: Instant,
}

/// The arrivals at one target.
fn at<'a, 'b>(all: &'b FastMap<&str, Vec<Arrival<'a>>>, id: &str) -> &'b [Arrival<'a>] {
    all.get(id).map_or(&[], Vec::as_slice)
}

/// The arrivals at each target, in order of time.
fn by_target<'a>(
    records: &'a SoakRecords,
    runs: &'a [TargetRun],
) -> FastMap<&'a str, Vec<Arrival<'a>>> {
    let requests: FastMap<&str, &CallerRecord> = records
        .requests
        .iter()
        .map(|request| (request.path.as_str(), request))
        .collect();
    let mut arrivals: FastMap<&str, Vec<Arrival<'_>>> = FastMap::default();
    for run in runs {
        if let Some(request) = requests.get(run.path.as_str()) {
            let at_target = arrivals.entry(&run.target).or_default();
            at_target.push(Arrival { request, run });
        }
    }
    for at_target in arrivals.values_mut() {
        at_target.sort_by_key(|arrival| arrival.run.at);
    }
    arrivals
}

/// When each VM had the first response that the target gave after `since`.
fn told_at(arrivals: &[Arrival<'_>], since: Instant) -> FastMap<usize, Instant> {
    let mut told: FastMap<usize, Instant> = FastMap::default();
    let after = arrivals
        .iter()
        .filter(|arrival| arrival.run.at >= since && arrival.request.is_served());
    for Arrival { request, .. } in after {
        let at = told.entry(request.vm).or_insert(request.ended);
        *at = request.ended.min(*at);
    }
    told
}

/// Whether the process of a VM was restarted or paused in a span.
fn is_excused(records: &SoakRecords, vm: usize, from: Instant, until: Instant) -> bool {
    records.had_fault(from, until, |event| event.disturbs_process(vm))
}

fn check_leaving(
    records: &SoakRecords,
    change: &SoakChange,
    arrivals: &[Arrival<'_>],
    violations: &mut Vec<GuaranteeViolation>,
) {
    let told = told_at(arrivals, change.at);
    for arrival in arrivals {
        let (vm, sent) = (arrival.request.vm, arrival.request.sent);
        let Some(told) = told.get(&vm) else { continue };
        if sent > *told + LEAVING_LIMIT && !is_excused(records, vm, *told, sent) {
            report(
                violations,
                "a target that states its leaving gets nothing",
                arrival,
            );
        }
    }
}

fn check_limit(
    records: &SoakRecords,
    span: StatedSpan,
    arrivals: &[Arrival<'_>],
    violations: &mut Vec<GuaranteeViolation>,
) {
    let told = told_at(arrivals, span.from);
    let is_counted = |arrival: &&Arrival<'_>| {
        let (vm, at) = (arrival.request.vm, arrival.run.at);
        let told = told.get(&vm).filter(|told| at >= **told + TOLD_DELAY);
        at < span.until && told.is_some_and(|told| !is_excused(records, vm, *told, at))
    };
    let counted = arrivals.iter().filter(is_counted);
    let counted: Vec<Instant> = counted.map(|arrival| arrival.run.at).collect();
    let allowed = LIMIT_FACTOR * span.limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    let binding = counted
        .iter()
        .filter(|end| **end >= span.from + LIMIT_WINDOW);
    for end in binding {
        let is_within = |at: &&Instant| **at <= *end && **at + LIMIT_WINDOW > *end;
        let count = counted.iter().filter(is_within).count();
        if count as f64 > allowed {
            let seen = (span, count, allowed);
            report(
                violations,
                "a target gets no more than the limit that it states",
                &seen,
            );
        }
    }
}

fn check_pause(
    records: &SoakRecords,
    pause: Duration,
    arrivals: &[Arrival<'_>],
    refusals: &[Arrival<'_>],
    violations: &mut Vec<GuaranteeViolation>,
) {
    for first in refusals {
        let vm = first.request.vm;
        let (from, until) = (first.run.at + TOLD_DELAY, first.run.at + pause);
        let is_within = |arrival: &&Arrival<'_>| {
            arrival.request.vm == vm && (from..until).contains(&arrival.run.at)
        };
        let all = arrivals.iter().chain(refusals);
        let count = all.filter(is_within).count();
        if count > MAX_IN_PAUSE && !is_excused(records, vm, first.run.at, until) {
            let seen = (first, count);
            report(violations, "a target that asks for a pause gets one", &seen);
        }
    }
}
