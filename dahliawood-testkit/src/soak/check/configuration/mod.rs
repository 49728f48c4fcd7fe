//! Guarantees on the configuration: versions come into force in time and never go back, and no proper
//! request is called wrong.
//!
//! Routes move one by one, so each has a history of its own: what a VM did with one request shows which
//! versions it may have had.

use super::contact::VmContact;
use super::{ChangeKind, GuaranteeViolation, SoakRecords, TargetRun, report};
use crate::soak::caller::{CallerRecord, RequestOutcome};
use crate::soak::configuration::ConfigurationVersion;
use dahliawood_model::FastMap;
use std::time::{Duration, Instant};

/// Bound on the time from the publication of a version until it is in force.
const VERSION_LIMIT: Duration = Duration::from_secs(3);
/// How long after a target saw the effect of a version requests may still be sent that are handled by
/// an older one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// A version with the time of its publication.
#[derive(Clone, Copy, Debug)]
struct PublishedVersion<'a> {
    at: Instant,
    version: &'a ConfigurationVersion,
}

/// What a VM did with a request.
#[derive(Clone, Copy, Debug)]
enum RequestHandling<'a> {
    /// It sent it to a target.
    Run(&'a TargetRun),
    /// It knew no route.
    NoRoute,
    /// It knew no such key.
    NoKey,
}

impl RequestHandling<'_> {
    /// Whether a version allows it.
    fn is_allowed(&self, request: &CallerRecord, version: &ConfigurationVersion) -> bool {
        let service = version.service(request.route);
        match self {
            Self::Run(run) => service == Some(run.service) && version.has_key(request.key),
            Self::NoRoute => service.is_none(),
            Self::NoKey => !version.has_key(request.key),
        }
    }
}

/// A request, what was done with it, and when that was known.
#[derive(Clone, Copy, Debug)]
struct HandledRequest<'a> {
    request: &'a CallerRecord,
    handling: RequestHandling<'a>,
    at: Instant,
}

/// Checks all of them.
pub fn guarantees(records: &SoakRecords) -> Vec<GuaranteeViolation> {
    let versions = versions(records);
    let handled = handled_requests(records);
    let mut violations = Vec::new();
    let mut seen: FastMap<usize, Vec<(Instant, u64)>> = FastMap::default();
    for handled in &handled {
        check_refusal(&versions, handled, &mut violations);
        let oldest = check_in_time(records, &versions, handled, &mut violations);
        if let (RequestHandling::Run(_), Some(oldest)) = (handled.handling, oldest) {
            let at_vm = seen.entry(handled.request.vm).or_default();
            at_vm.push((handled.at, oldest));
        }
    }
    for handled in &handled {
        let seen = seen.get(&handled.request.vm).map_or(&[][..], Vec::as_slice);
        check_order(records, &versions, seen, handled, &mut violations);
    }
    violations
}

/// The requests that VMs in full contact handled, and those that VMs with stretched bounds did.
pub fn judged(records: &SoakRecords) -> [usize; 2] {
    let handled = handled_requests(records);
    let contacts = handled.iter().map(|handled| {
        let request = handled.request;
        records.contact(request.vm, request.sent, handled.at)
    });
    let contacts: Vec<VmContact> = contacts.collect();
    [VmContact::Full, VmContact::Stretched].map(|kind| {
        let of_kind = contacts.iter().filter(|contact| **contact == kind);
        of_kind.count()
    })
}

/// The longest time after the publication of a version at which a VM in full contact still handled a
/// request by an older one.
pub fn longest_delay(records: &SoakRecords) -> Duration {
    let versions = versions(records);
    let handled = handled_requests(records);
    let delays = handled.iter().filter_map(|handled| {
        let request = handled.request;
        let is_published = |version: &&PublishedVersion<'_>| version.at <= handled.at;
        let published = versions.iter().take_while(is_published).count();
        let is_allowed =
            |version: &PublishedVersion<'_>| handled.handling.is_allowed(request, version.version);
        let newest = versions[..published].iter().rposition(is_allowed)?;
        let next = versions[..published].get(newest + 1)?;
        let contact = records.contact(request.vm, request.sent, handled.at);
        (contact == VmContact::Full).then(|| request.sent.saturating_duration_since(next.at))
    });
    delays.max().unwrap_or_default()
}

fn versions(records: &SoakRecords) -> Vec<PublishedVersion<'_>> {
    let changes = records.changes.iter();
    let published = changes.filter_map(|change| match &change.kind {
        ChangeKind::Configuration(version) => Some(PublishedVersion {
            at: change.at,
            version,
        }),
        _ => None,
    });
    published.collect()
}

/// What was done with each request that a VM handled by its configuration, in order of time.
fn handled_requests(records: &SoakRecords) -> Vec<HandledRequest<'_>> {
    let mut handled = Vec::new();
    for (request, runs) in records.requests_with_runs() {
        handled.extend(runs.into_iter().map(|run| HandledRequest {
            request,
            handling: RequestHandling::Run(run),
            at: run.at,
        }));
        let RequestOutcome::Response { status, .. } = request.outcome else {
            continue;
        };
        let handling = match status {
            404 => RequestHandling::NoRoute,
            401 | 403 => RequestHandling::NoKey,
            _ => continue,
        };
        handled.push(HandledRequest {
            request,
            handling,
            at: request.ended,
        });
    }
    handled.sort_by_key(|handled| handled.at);
    handled
}

/// Checks that a refusal is right by some version so far, whether or not the VM is in contact.
fn check_refusal(
    versions: &[PublishedVersion<'_>],
    handled: &HandledRequest<'_>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    if matches!(handled.handling, RequestHandling::Run(_)) {
        return;
    }
    let mut so_far = versions.iter().filter(|version| version.at <= handled.at);
    let is_allowed = |version: &PublishedVersion<'_>| {
        handled
            .handling
            .is_allowed(handled.request, version.version)
    };
    if !so_far.any(is_allowed) {
        report(
            violations,
            "what every version allows is not called wrong",
            handled,
        );
    }
}

/// Checks that a request is handled by a version that may be in force. Returns the oldest version that
/// the VM may have had if it is in contact.
fn check_in_time(
    records: &SoakRecords,
    versions: &[PublishedVersion<'_>],
    handled: &HandledRequest<'_>,
    violations: &mut Vec<GuaranteeViolation>,
) -> Option<u64> {
    let request = handled.request;
    let contact = records.contact(request.vm, request.sent, handled.at);
    let bound = contact.bound(VERSION_LIMIT)?;
    let in_force = |version: &PublishedVersion<'_>| version.at + bound < request.sent;
    let first = versions.iter().rposition(in_force).unwrap_or(0);
    let possible = versions[first..]
        .iter()
        .filter(|version| version.at <= handled.at);
    let mut allowing =
        possible.filter(|version| handled.handling.is_allowed(request, version.version));
    let oldest = allowing.next();
    if oldest.is_none() {
        let since = request.sent.duration_since(versions[first].at);
        let seen = (versions[first].version.number, since, contact, handled);
        report(violations, "versions are in force in time", &seen);
    }
    oldest.map(|oldest| oldest.version.number)
}

/// Checks that a VM whose targets saw the effect of a version does not handle a request by an older one.
fn check_order(
    records: &SoakRecords,
    versions: &[PublishedVersion<'_>],
    seen: &[(Instant, u64)],
    handled: &HandledRequest<'_>,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let request = handled.request;
    let before = seen.iter().filter(|(at, _)| {
        *at + ROLLBACK_SLACK < request.sent && !records.was_restarted(request.vm, *at, handled.at)
    });
    let Some(newest) = before.max_by_key(|(_, version)| *version) else {
        return;
    };
    let is_allowed = |version: &PublishedVersion<'_>| {
        version.version.number >= newest.1
            && version.at <= handled.at
            && handled.handling.is_allowed(request, version.version)
    };
    if !versions.iter().any(is_allowed) {
        report(
            violations,
            "no VM returns to an older version",
            &(newest, handled),
        );
    }
}
