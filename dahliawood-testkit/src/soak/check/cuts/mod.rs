//! Guarantees on callers of VMs that lose their links to all targets.

use super::{GuaranteeViolation, InjectedFault, SoakRecords, report};
use crate::soak::caller::CallerRecord;
use crate::soak::plan::SoakEvent;
use std::time::Duration;

/// Time from the start of a cut after which its VM's callers must be served.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Least share of requests served at a VM that is cut off, of the share at the others.
const MIN_SERVED: f64 = 2.0 / 3.0;
/// Requests that may fail all the same: a number, and a share of all.
const FAILED_SLACK: f64 = 10.0;
const FAILED_SHARE: f64 = 1.0 / 50.0;

/// Requests that were sent, and those served.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    sent: usize,
    served: usize,
}

impl ServedCount {
    fn record(&mut self, request: &CallerRecord) {
        self.sent += 1;
        self.served += usize::from(request.is_served());
    }

    fn share(self) -> f64 {
        self.served as f64 / (self.sent as f64).max(1.0)
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }
}

/// Checks all cuts.
pub fn guarantees(records: &SoakRecords) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    for fault in &records.faults {
        if let SoakEvent::VmCutOff(vm, _) = fault.event {
            check_cut(records, fault, vm, &mut violations);
        }
    }
    violations
}

/// Checks one cut by the requests at times at which another VM could help.
fn check_cut(
    records: &SoakRecords,
    fault: &InjectedFault,
    vm: usize,
    violations: &mut Vec<GuaranteeViolation>,
) {
    let span = fault.from + CONTACT_TIME..fault.until;
    let sent = records.requests.iter();
    let sent = sent.filter(|request| span.contains(&request.sent) && request.is_always_allowed());
    let [mut cut_off, mut others] = [ServedCount::default(); 2];
    for request in sent.filter(|request| has_sound_vm(records, request)) {
        if request.vm == vm && records.is_undisturbed(vm, request.sent, request.ended) {
            cut_off.record(request);
        } else if is_sound(records, request, request.vm) {
            others.record(request);
        }
    }
    let tolerated = FAILED_SLACK + FAILED_SHARE * cut_off.sent as f64;
    let is_worse = cut_off.share() < MIN_SERVED * others.share();
    if is_worse && cut_off.failed() as f64 > tolerated {
        report(
            violations,
            "callers of a VM without links to targets are served",
            &(fault, cut_off, others),
        );
    }
}

/// Whether some VM was neither disturbed nor cut off while a request was made.
fn has_sound_vm(records: &SoakRecords, request: &CallerRecord) -> bool {
    let vms = records.requests.iter().map(|request| request.vm).max();
    (0..=vms.unwrap_or(0)).any(|vm| is_sound(records, request, vm))
}

fn is_sound(records: &SoakRecords, request: &CallerRecord, vm: usize) -> bool {
    let is_cut = |event| matches!(event, SoakEvent::VmCutOff(at, _) if at == vm);
    records.is_undisturbed(vm, request.sent, request.ended)
        && !records.had_fault(request.sent, request.ended, is_cut)
}
