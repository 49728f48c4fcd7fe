//! Recording of outcomes and latencies during a simulation.

use super::ShiftSimulation;
use crate::shift::case::{FAULT_US, RETURN_US};
use crate::steer::load::{COLOMBIA, CUSTOMERS, LARGE_CUSTOMERS, target_region};
use hdrhistogram::Histogram;

/// Counts, latencies and peaks of one simulation.
#[derive(Clone, Debug, Default)]
pub struct ShiftOutcome {
    /// Requests from callers of the first region that arrived while it was lost or drained.
    pub sent_in_fault: u64,
    pub failed: u64,
    /// Refused requests among those counted in `sent_in_fault`.
    pub refused: u64,
    /// Refused requests from callers of other regions, or from before or after the fault.
    pub refused_outside: u64,
    pub small_refused: f64,
    pub large_refused: f64,
    pub last_failed_try_ms: f64,
    pub recovery_ms: f64,
    pub return_p99_ms: f64,
    pub before_p99_ms: f64,
    pub fault_p99_ms: f64,
    pub last_region_answer_ms: f64,
    pub longest_ms: f64,
    pub peak_link: f64,
    pub peak_region: f64,
}

impl ShiftSimulation {
    pub(super) fn refuse(&mut self, index: usize) {
        let request = self.requests[index];
        if self.caller_region(index) != 0 || !self.case.in_fault(request.arrival_us) {
            self.outcome.refused_outside += 1;
            return;
        }
        self.outcome.refused += 1;
        self.refused[request.customer] += 1;
    }

    pub(super) fn record_latency(&mut self, now_us: u64, index: usize, target: usize) {
        if self.caller_region(index) != 0 {
            return;
        }
        let return_us = self.states[index]
            .handed_to
            .map_or(0, |_| COLOMBIA.between_regions_us);
        let latency_us = now_us + return_us - self.requests[index].arrival_us;
        let latencies = match now_us {
            before if before < FAULT_US => &mut self.before,
            during if self.case.in_fault(during) => &mut self.during,
            _ => &mut self.after,
        };
        latencies.saturating_record(latency_us);
        let longest_ms = self.outcome.longest_ms;
        self.outcome.longest_ms = longest_ms.max(latency_us as f64 / 1e3);
        if target_region(target) == 0 {
            let second = (now_us / 1_000_000) as usize;
            if let Some(answers) = self.local_answers.get_mut(second) {
                *answers += 1;
            }
            if now_us > FAULT_US {
                self.outcome.last_region_answer_ms = (now_us - FAULT_US) as f64 / 1e3;
            }
        }
    }

    pub(super) fn into_outcome(self) -> ShiftOutcome {
        let p99_ms = |latencies: &Histogram<u64>| latencies.value_at_quantile(0.99) as f64 / 1e3;
        let share = |customers: std::ops::Range<usize>| {
            let refused: u64 = self.refused[customers.clone()].iter().sum();
            let sent: u64 = self.sent[customers].iter().sum();
            refused as f64 / sent.max(1) as f64
        };
        let links = self.regions.iter().flat_map(|vms| &vms.links);
        ShiftOutcome {
            small_refused: share(LARGE_CUSTOMERS..CUSTOMERS),
            large_refused: share(0..LARGE_CUSTOMERS),
            before_p99_ms: p99_ms(&self.before),
            fault_p99_ms: p99_ms(&self.during),
            return_p99_ms: p99_ms(&self.after),
            recovery_ms: self.recovery_ms(),
            peak_link: links.map(|link| link.peak).fold(0.0, f64::max),
            ..self.outcome
        }
    }

    /// Time from the region's return until it gives nine tenths of its answers per second before
    /// the fault, milliseconds.
    pub(super) fn recovery_ms(&self) -> f64 {
        let before_fault = &self.local_answers[5..(FAULT_US / 1_000_000) as usize];
        let usual_rate = f64::from(before_fault.iter().sum::<u32>()) / before_fault.len() as f64;
        let first = (RETURN_US / 1_000_000) as usize;
        let after_return = self.local_answers[first..].iter();
        let seconds = after_return.take_while(|answers| f64::from(**answers) < 0.9 * usual_rate);
        seconds.count() as f64 * 1e3
    }
}
