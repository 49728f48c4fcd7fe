//! Choice of the VM that serves a request for one that reaches no target.
//!
//! VMs of the same region are preferred, and of two drawn at random the one that has fewer of this VM's
//! requests for its processor time. Where most VMs of a failure domain are cut off at once, this spreads
//! their requests evenly over those that are left, without messages.

use crate::region;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use rand::Rng;
use std::time::Duration;

/// How long a VM that could not help is passed over at first; doubled each time in a row, as a whole
/// failure domain may be cut off.
const FIRST_PASS_OVER: Duration = Duration::from_secs(1);
/// The longest time for which a VM is passed over.
const LONGEST_PASS_OVER: Duration = Duration::from_secs(8);
/// How long after that a VM counts as one that could not help.
const PASS_OVER_MEMORY: Duration = Duration::from_secs(8);

/// Another VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HelperCandidate<'a> {
    /// Hash of its name.
    pub vm: u64,
    /// Its region.
    pub region: &'a str,
    /// Its processor time, relative to that of the others.
    pub weight: f64,
}

/// A request that needs a helper.
#[derive(Clone, Copy, Debug)]
pub struct HelperQuery<'a> {
    /// This VM's region.
    pub region: &'a str,
    /// Regions that the route and the customer allow; an empty list allows all.
    pub regions: [&'a [String]; 2],
    /// VMs that were asked already, by the hash of their names.
    pub asked: &'a [u64],
}

#[derive(Clone, Copy, Debug, Default)]
struct HelperRecord {
    /// Requests of this VM that it serves.
    in_flight: u32,
    /// Times in a row that it could not help.
    failures: u32,
    passed_over_until: TimeStamp,
    /// Whether it said itself that it could not help, the last time.
    is_answering: bool,
}

/// What this VM knows of the VMs that it asked for help.
#[derive(Clone, Debug, Default)]
pub struct HelperTable {
    records: FastMap<u64, HelperRecord>,
}

impl HelperTable {
    /// Chooses the position of the VM to ask among `candidates`, `None` if no VM may help.
    pub fn choose(
        &self,
        candidates: &[HelperCandidate<'_>],
        query: &HelperQuery<'_>,
        rng: &mut impl Rng,
        now: TimeStamp,
    ) -> Option<usize> {
        let open = candidates.iter().enumerate().filter(|(_, candidate)| {
            !query.asked.contains(&candidate.vm)
                && region::is_allowed(candidate.region, query.regions)
        });
        let (usable, passed_over): (Vec<_>, Vec<_>) =
            open.partition(|(_, candidate)| now >= self.record(candidate.vm).passed_over_until);
        let (near, far): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|(_, candidate)| candidate.region == query.region);
        // One that says at once that it can't help may be able to by now.
        let answering = passed_over
            .into_iter()
            .filter(|(_, candidate)| self.record(candidate.vm).is_answering);
        let usable = [near, far, answering.collect()];
        let usable = usable.into_iter().find(|list| !list.is_empty())?;
        let drawn = [0, 1].map(|_| usable[rng.random_range(0..usable.len())]);
        let least = drawn
            .iter()
            .min_by(|a, b| self.load(a.1).total_cmp(&self.load(b.1)));
        least.map(|(position, _)| *position)
    }

    fn record(&self, vm: u64) -> HelperRecord {
        self.records.get(&vm).copied().unwrap_or_default()
    }

    fn load(&self, candidate: &HelperCandidate<'_>) -> f64 {
        f64::from(self.record(candidate.vm).in_flight) / candidate.weight.max(f64::MIN_POSITIVE)
    }

    /// Records that a request is sent to a VM.
    pub fn begin(&mut self, vm: u64) {
        self.records.entry(vm).or_default().in_flight += 1;
    }

    /// Records that a VM has served a request, or refused it for another reason than that it reaches
    /// no target.
    pub fn record_help(&mut self, vm: u64) {
        if let Some(record) = self.records.get_mut(&vm) {
            record.failures = 0;
        }
    }

    /// Records that a VM could not help: it said that it reaches no target either, or it was not reached
    /// if it is not `is_answering`.
    pub fn pass_over(&mut self, vm: u64, is_answering: bool, now: TimeStamp) {
        let record = self.records.entry(vm).or_default();
        let span = FIRST_PASS_OVER.saturating_mul(2_u32.saturating_pow(record.failures));
        record.failures = record.failures.saturating_add(1);
        record.is_answering = is_answering;
        record.passed_over_until = now.after(span.min(LONGEST_PASS_OVER));
    }

    /// Records that a request at a VM has ended. Forgets VMs of which nothing is to be remembered.
    pub fn finish(&mut self, vm: u64, now: TimeStamp) {
        if let Some(record) = self.records.get_mut(&vm) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        self.records.retain(|_, record| {
            let is_remembered =
                record.failures > 0 && now < record.passed_over_until.after(PASS_OVER_MEMORY);
            record.in_flight > 0 || is_remembered
        });
    }
}
