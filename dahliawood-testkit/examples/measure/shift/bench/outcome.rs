//! What was seen in a run.

use super::ShiftBench;
use crate::shift::case::{FAULT_US, RETURN_US};
use crate::steer::load::{COLOMBIA, CUSTOMERS, LARGE_CUSTOMERS, target_region};
use hdrhistogram::Histogram;

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct ShiftOutcome {
    pub sent_in_fault: u64,
    pub failed: u64,
    /// Of requests of the region that were sent while it was lost or drained.
    pub refused: u64,
    /// Of all others: of other regions, before and after.
    pub refused_outside: u64,
    pub small_refused: f64,
    pub large_refused: f64,
    pub last_failed_try_ms: f64,
    pub returned_ms: f64,
    pub return_p99_ms: f64,
    pub before_p99_ms: f64,
    pub fault_p99_ms: f64,
    pub drained_ms: f64,
    pub longest_ms: f64,
    pub peak_link: f64,
    pub peak_region: f64,
}

impl ShiftBench {
    pub(super) fn refuse(&mut self, index: usize) {
        let request = self.requests[index];
        if self.caller_region(index) != 0 || !self.case.in_fault(request.arrival_us) {
            self.outcome.refused_outside += 1;
            return;
        }
        self.outcome.refused += 1;
        self.refused[request.customer] += 1;
    }

    pub(super) fn note_latency(&mut self, now_us: u64, index: usize, target: usize) {
        if self.caller_region(index) != 0 {
            return;
        }
        let back_us = self.states[index]
            .handed
            .map_or(0, |_| COLOMBIA.between_regions_us);
        let latency_us = now_us + back_us - self.requests[index].arrival_us;
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
            if let Some(answers) = self.near_answers.get_mut(second) {
                *answers += 1;
            }
            if now_us > FAULT_US {
                self.outcome.drained_ms = (now_us - FAULT_US) as f64 / 1e3;
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
            returned_ms: self.returned_ms(),
            peak_link: links.map(|link| link.peak).fold(0.0, f64::max),
            ..self.outcome
        }
    }

    /// From the return until the region answers nine tenths of what it answered before.
    pub(super) fn returned_ms(&self) -> f64 {
        let before = &self.near_answers[5..(FAULT_US / 1_000_000) as usize];
        let usual = f64::from(before.iter().sum::<u32>()) / before.len() as f64;
        let first = (RETURN_US / 1_000_000) as usize;
        let back = self.near_answers[first..].iter();
        let seconds = back.take_while(|answers| f64::from(**answers) < 0.9 * usual);
        seconds.count() as f64 * 1e3
    }
}
