//! The guarantees of a fleet, checked against the records of callers and targets.
//!
//! Some guarantees hold for each request at any time. Others hold only within a bound of time, and
//! only where no injected fault disturbs the parts involved.

pub mod configuration;
pub mod contact;
pub mod cuts;
pub mod departures;
pub mod statements;

use crate::soak::caller::{CallerRecord, RequestOutcome};
use crate::soak::configuration::{ConfigurationVersion, SoakKey, SoakLimit};
use crate::soak::plan::SoakEvent;
use contact::VmContact;
use dahliawood_model::FastMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that the fleet may need after a fault. Guarantees with a time bound are checked only where
/// no fault was present for this long.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// The window over which a customer's requests are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);
/// Tolerance above a customer's limit, as a share of what the limit allows in a window.
const LIMIT_TOLERANCE: f64 = 0.1;
/// Tolerance above a customer's limit, in requests, added to [`LIMIT_TOLERANCE`].
const LIMIT_SLACK: f64 = 20.0;
/// Upper bound on the violations reported for each guarantee.
const MAX_REPORTS_PER_GUARANTEE: usize = 3;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeViolation {
    /// The guarantee, worded as it should hold.
    pub guarantee: &'static str,
    /// The records that violate the guarantee.
    pub seen: String,
}

/// A request that ran at a target.
#[derive(Clone, Debug)]
pub struct TargetRun {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// When the target had received the request.
    pub at: Instant,
    /// Index of the target's endpoint, which is also the index of its link.
    pub endpoint: usize,
    /// The target's instance id.
    pub target: String,
    /// The target's service.
    pub service: &'static str,
    /// Index of the target's failure domain.
    pub domain: usize,
}

/// A change that the store acknowledged.
#[derive(Clone, Debug)]
pub struct SoakChange {
    /// Time of the change.
    pub at: Instant,
    /// The change.
    pub kind: ChangeKind,
}

/// The kinds of changes.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// The registration of the target with this id was removed.
    TargetDeregistered(String),
    /// A configuration version was published.
    Configuration(Arc<ConfigurationVersion>),
    /// The failure domain of this index was evacuated.
    EvacuationBegun(usize),
    /// It was taken back.
    EvacuationEnded(usize),
    /// The target with this id began to state its leaving.
    TargetLeaving(String),
    /// The target with this id began to state a limit.
    TargetLimited {
        /// The target.
        id: String,
        /// Requests a second.
        limit: f64,
        /// When it ended.
        until: Instant,
    },
    /// The target with this id began to refuse requests and to ask for pauses.
    TargetPausing {
        /// The target.
        id: String,
        /// The pause.
        pause: Duration,
    },
}

/// An event of the plan that was applied, with its times.
#[derive(Clone, Copy, Debug)]
pub struct InjectedFault {
    /// Start.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// The fault or change.
    pub event: SoakEvent,
}

/// All records of a soak run.
#[derive(Clone, Debug)]
pub struct SoakRecords {
    /// The requests that callers sent, with their outcomes.
    pub requests: Vec<CallerRecord>,
    /// The requests that ran at targets.
    pub runs: Vec<TargetRun>,
    /// The requests that targets refused with a pause.
    pub refusals: Vec<TargetRun>,
    /// The changes, in order of time.
    pub changes: Vec<SoakChange>,
    /// The applied events, faults and changes.
    pub faults: Vec<InjectedFault>,
    /// Time from which all requests must be served, except those of the customer with the small
    /// limit.
    pub must_serve_from: Instant,
}

impl SoakRecords {
    /// Each request with its runs at targets, matched by path.
    fn requests_with_runs(&self) -> impl Iterator<Item = (&CallerRecord, Vec<&TargetRun>)> {
        let mut by_path: FastMap<&str, Vec<&TargetRun>> = FastMap::default();
        for run in &self.runs {
            by_path.entry(&run.path).or_default().push(run);
        }
        self.requests.iter().map(move |request| {
            let runs = by_path.get(request.path.as_str());
            (request, runs.cloned().unwrap_or_default())
        })
    }

    /// Whether an event that `is_kind` accepts was applied in a span, or ended less than
    /// [`RECOVERY_TIME`] before it.
    fn had_fault(
        &self,
        from: Instant,
        until: Instant,
        is_kind: impl Fn(SoakEvent) -> bool,
    ) -> bool {
        let overlaps =
            |fault: &&InjectedFault| fault.from <= until && fault.until + RECOVERY_TIME >= from;
        self.faults
            .iter()
            .filter(overlaps)
            .any(|fault| is_kind(fault.event))
    }

    /// Whether a VM's process, its link to the store, and the store had no fault in a span or
    /// shortly before it.
    fn is_undisturbed(&self, vm: usize, from: Instant, until: Instant) -> bool {
        self.contact(vm, from, until) == VmContact::Full
    }

    /// Whether a request was closed since its connection was to an earlier process of the VM: a caller
    /// learns of the end of a process when it uses the connection again.
    fn is_of_ended_process(&self, request: &CallerRecord) -> bool {
        request.outcome == RequestOutcome::Closed
            && request
                .connected
                .is_some_and(|connected| self.was_restarted(request.vm, connected, request.sent))
    }

    /// Whether the process of a VM was paused or killed, or the target at an endpoint or its link
    /// had a fault, in a span or shortly before it. A graceful termination of the VM does not
    /// count.
    fn is_connection_disturbed(
        &self,
        vm: usize,
        endpoint: usize,
        from: Instant,
        until: Instant,
    ) -> bool {
        let affects = |event| match event {
            event if event.interrupts_process(vm) => true,
            SoakEvent::TargetLink(at, _)
            | SoakEvent::TargetFault(at, _)
            | SoakEvent::TargetPausing(at) => at == endpoint,
            _ => false,
        };
        self.had_fault(from, until, affects)
    }
}

/// Checks the guarantees that hold for each request, independent of time.
pub fn request_guarantees(records: &SoakRecords) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    let requests_by_path: FastMap<&str, &CallerRecord> = records
        .requests
        .iter()
        .map(|request| (request.path.as_str(), request))
        .collect();
    for run in &records.runs {
        let was_sent = requests_by_path
            .get(run.path.as_str())
            .is_some_and(|request| {
                let (method, body) = match request.is_write {
                    true => ("POST", request.path.as_bytes()),
                    false => ("GET", b"".as_slice()),
                };
                run.method == method && run.body == body
            });
        if !was_sent {
            report(
                &mut violations,
                "targets run only requests that callers sent",
                run,
            );
        }
    }
    for (request, runs) in records.requests_with_runs() {
        if request.is_write && runs.len() > 1 {
            report(
                &mut violations,
                "a write runs once at most",
                &(request, &runs),
            );
        }
        let RequestOutcome::Response {
            status,
            has_own_body,
        } = request.outcome
        else {
            continue;
        };
        if status == 200 && (!has_own_body || runs.is_empty()) {
            report(
                &mut violations,
                "an answer belongs to its request, which has run",
                request,
            );
        }
        if request.is_write && matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
            report(
                &mut violations,
                "a refused write has not run",
                &(request, &runs),
            );
        }
    }
    violations
}

/// Checks that no window of `LIMIT_WINDOW` has more requests of the customer with the small limit
/// than the limit and its tolerances allow.
///
/// A window counts only requests that were sent within it and also reached a target within it, so
/// that they were certainly admitted in it.
pub fn limit_guarantees(records: &SoakRecords, limit: SoakLimit) -> Vec<GuaranteeViolation> {
    let window = LIMIT_WINDOW.as_secs_f64();
    let allowed = f64::from(limit.rate) * window + f64::from(limit.burst);
    let max_requests = allowed * (1.0 + LIMIT_TOLERANCE) + LIMIT_SLACK;
    let small = records
        .requests_with_runs()
        .filter(|(request, _)| request.key == SoakKey::Small);
    let mut runs: Vec<(Instant, Instant)> = small
        .flat_map(|(request, runs)| runs.into_iter().map(|run| (run.at, request.sent)))
        .collect();
    runs.sort();
    let in_window = |at: Instant| {
        let is_in =
            |(arrived, sent): &&(Instant, Instant)| *arrived <= at && *sent + LIMIT_WINDOW > at;
        runs.iter().filter(is_in).count()
    };
    let max_in_window = runs.iter().map(|(at, _)| in_window(*at)).max();
    let mut violations = Vec::new();
    if max_in_window.unwrap_or(0) as f64 > max_requests {
        let seen = format!("{max_in_window:?} requests in a window, {max_requests} at most");
        report(&mut violations, "a customer stays within its limit", &seen);
    }
    violations
}

/// Checks the guarantees that have a time bound.
pub fn time_bound_guarantees(records: &SoakRecords) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    for (request, runs) in records.requests_with_runs() {
        if request.outcome == RequestOutcome::Closed
            && let Some(run) = runs.first()
            && !records.is_connection_disturbed(
                request.vm,
                run.endpoint,
                request.sent,
                request.ended,
            )
        {
            report(
                &mut violations,
                "a request that reached a target is answered",
                &(request, run),
            );
        }
        let must_be_served = request.sent > records.must_serve_from && request.is_always_allowed();
        if must_be_served && !request.is_served() && !records.is_of_ended_process(request) {
            report(
                &mut violations,
                "all is served once faults are over",
                request,
            );
        }
    }
    violations
}

/// Records a violation, unless the guarantee has enough of them already.
fn report(
    violations: &mut Vec<GuaranteeViolation>,
    guarantee: &'static str,
    seen: &dyn std::fmt::Debug,
) {
    let reported = violations
        .iter()
        .filter(|reported| reported.guarantee == guarantee)
        .count();
    if reported < MAX_REPORTS_PER_GUARANTEE {
        let seen = format!("{seen:?}");
        violations.push(GuaranteeViolation { guarantee, seen });
    }
}
