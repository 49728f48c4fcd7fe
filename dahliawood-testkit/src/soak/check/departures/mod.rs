//! Guarantees on targets that get no more requests: those whose registration was removed, and those of
//! evacuated failure domains.

use super::contact::VmContact;
use super::{ChangeKind, GuaranteeViolation, SoakChange, SoakRecords, TargetRun, report};
use crate::soak::caller::CallerRecord;
use std::time::{Duration, Instant};

/// Bound on the time from the removal of a target's registration until no new request reaches the
/// target.
const DEREGISTRATION_LIMIT: Duration = Duration::from_secs(3);
/// Bound on the time from the evacuation of a failure domain until no request reaches its targets.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// A span in which a failure domain is evacuated.
#[derive(Clone, Copy, Debug)]
struct EvacuationSpan {
    domain: usize,
    from: Instant,
    until: Option<Instant>,
}

/// Checks all of them.
pub fn guarantees(records: &SoakRecords) -> Vec<GuaranteeViolation> {
    let evacuations = evacuations(records);
    let mut violations = Vec::new();
    for (request, runs) in records.requests_with_runs() {
        for run in runs {
            check_deregistered(records, request, run, &mut violations);
            for evacuation in &evacuations {
                check_evacuated(records, request, run, *evacuation, &mut violations);
            }
        }
    }
    violations
}

/// The longest time after a target began to leave at which a VM in full contact still took a request that
/// it sent to the target.
pub fn longest_delay(records: &SoakRecords) -> Duration {
    let delays = records.requests_with_runs().flat_map(|(request, runs)| {
        runs.into_iter().filter_map(move |run| {
            let deregistered = deregistration(records, run)?;
            let contact = records.contact(request.vm, request.sent, run.at);
            let delay = request.sent.saturating_duration_since(deregistered.at);
            (contact == VmContact::Full).then_some(delay)
        })
    });
    delays.max().unwrap_or_default()
}

/// When the target of a run began to leave.
fn deregistration<'a>(records: &'a SoakRecords, run: &TargetRun) -> Option<&'a SoakChange> {
    let mut changes = records.changes.iter();
    changes.find(
        |change| matches!(&change.kind, ChangeKind::TargetDeregistered(id) if *id == run.target),
    )
}

/// Checks that a run is not the run of a request sent too long after the target's registration was
/// removed.
fn check_deregistered(
    records: &SoakRecords,
    request: &CallerRecord,
    run: &TargetRun,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let Some(deregistered) = deregistration(records, run) else {
        return;
    };
    let is_late = request.sent > deregistered.at + DEREGISTRATION_LIMIT;
    if is_late && records.contact(request.vm, request.sent, run.at) == VmContact::Full {
        let after = request.sent.duration_since(deregistered.at);
        report(
            violations,
            "a target that left gets nothing",
            &(after, request, run, deregistered),
        );
    }
}

fn evacuations(records: &SoakRecords) -> Vec<EvacuationSpan> {
    let mut spans: Vec<EvacuationSpan> = Vec::new();
    for change in &records.changes {
        match change.kind {
            ChangeKind::EvacuationBegun(domain) => spans.push(EvacuationSpan {
                domain,
                from: change.at,
                until: None,
            }),
            ChangeKind::EvacuationEnded(domain) => {
                let mut open = spans.iter_mut().rev();
                if let Some(span) = open.find(|span| span.domain == domain) {
                    span.until = Some(change.at);
                }
            }
            _ => {}
        }
    }
    spans
}

/// Checks that a run is not in a failure domain that was evacuated too long before.
fn check_evacuated(
    records: &SoakRecords,
    request: &CallerRecord,
    run: &TargetRun,
    span: EvacuationSpan,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let contact = records.contact(request.vm, request.sent, run.at);
    let Some(bound) = contact.bound(EVACUATION_LIMIT) else {
        return;
    };
    let is_ended = span.until.is_some_and(|until| run.at >= until);
    if run.domain == span.domain && run.at > span.from + bound && !is_ended {
        let after = run.at.duration_since(span.from);
        report(
            violations,
            "an evacuated failure domain gets nothing",
            &(after, contact, request, run),
        );
    }
}
