//! Which VM collects the loads of a region, and how often the others call it.

use crate::rendezvous;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Number of VMs in a region from which on loads are shared; below it, each VM receives enough
/// responses of its own.
pub const MIN_VMS: usize = 12;
/// Shortest time between two calls of a VM to its collector.
pub const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two calls of a collector to the collector of another region.
pub const REGION_INTERVAL: Duration = Duration::from_millis(500);
/// Calls that a collector answers, a second; a collector may have a tenth of a core.
const MAX_CALLS_PER_SECOND: u32 = 100;
/// How long a collector that did not answer is not asked again. A VM that restarts is back or no
/// longer registered by then.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);
/// How long a VM whose build does not collect is not asked again.
const UNIMPLEMENTED_PAUSE: Duration = Duration::from_secs(30);

/// A VM that may collect the loads of its region.
#[derive(Clone, Copy, Debug)]
pub struct CollectorCandidate {
    /// Hash of its name.
    pub name: u64,
    /// When its process started, milliseconds since the Unix epoch.
    pub born_millis: u64,
    /// Processor time that it may use; larger VMs collect with a higher probability.
    pub weight: u32,
}

impl CollectorCandidate {
    /// A process that replaces another one under the same name is not skipped for its failures.
    fn process(&self) -> u64 {
        rendezvous::score(self.name, self.born_millis)
    }
}

/// Why a VM is not asked for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectorFailure {
    /// It did not answer, or is shutting down.
    Unavailable,
    /// Its build does not collect.
    Unimplemented,
}

/// The VMs that are not asked for a while.
#[derive(Clone, Debug, Default)]
pub struct SkippedCollectors {
    until: FastMap<u64, TimeStamp>,
}

impl SkippedCollectors {
    /// Records that a VM failed.
    pub fn record(&mut self, vm: &CollectorCandidate, failure: CollectorFailure, now: TimeStamp) {
        let pause = match failure {
            CollectorFailure::Unavailable => FAILURE_PAUSE,
            CollectorFailure::Unimplemented => UNIMPLEMENTED_PAUSE,
        };
        self.until.retain(|_, until| now < *until);
        self.until.insert(vm.process(), now.after(pause));
    }

    fn contains(&self, vm: &CollectorCandidate, now: TimeStamp) -> bool {
        let until = self.until.get(&vm.process());
        until.is_some_and(|until| now < *until)
    }
}

/// Selects the collector of the region with the hash `region` among its VMs: the first by rendezvous
/// hash that is not skipped. Returns its position in `vms`.
pub fn select(
    region: u64,
    vms: &[CollectorCandidate],
    skipped: &SkippedCollectors,
    now: TimeStamp,
) -> Option<usize> {
    let distance = |vm: &CollectorCandidate| {
        rendezvous::weighted_distance(region, vm.name, f64::from(vm.weight.max(1)))
    };
    let usable = vms.iter().enumerate();
    let usable = usable.filter(|(_, vm)| !skipped.contains(vm, now));
    usable
        .min_by(|(_, one), (_, other)| distance(one).total_cmp(&distance(other)))
        .map(|(position, _)| position)
}

/// Time between two calls of a VM to its collector in a region with `vms` VMs.
pub fn interval(vms: usize) -> Duration {
    let vms = u32::try_from(vms).unwrap_or(u32::MAX);
    let spread = Duration::from_secs(1) / MAX_CALLS_PER_SECOND * vms;
    spread.max(MIN_INTERVAL)
}

/// Delay of the first call of the VM with the hash `name`, so that the calls of VMs that start
/// together are spread over the interval.
pub fn first_delay(name: u64, interval: Duration) -> Duration {
    interval.mul_f64(name as f64 / u64::MAX as f64)
}
