//! How the time within which a change must be in force is divided among the delays on its way.

use crate::settings::FleetBounds;
use std::time::Duration;

/// Part of the time for a change after which a VM no longer relies on its source; the rest is left for
/// asking the store, a second time if need be, and for applying the answer.
const MAX_AGE_PART: f64 = 0.55;
/// Part of the time for a change up to which the knowledge of a VM that others follow may age.
const RELAY_AGE_PART: f64 = 0.35;
/// Part of the time for a change that changes may accumulate in the store.
const BATCH_PART: f64 = 0.26;
/// Part of the time for a change within which the store must answer a VM whose knowledge is too old,
/// so that a second call can be made.
const OVERDUE_ANSWER_PART: f64 = 0.22;
/// Part of a VM's time for recovery that a call of a VM that nobody follows waits for changes.
const WATCH_PART: f64 = 0.5;
/// Part of a VM's time for recovery within which the store must answer once that wait is over.
const ANSWER_PART: f64 = 0.3;
/// Part of it within which the call after one that hung must be answered.
const SECOND_ANSWER_PART: f64 = 0.15;
/// Time in which changes accumulate in a small fleet.
const SHORTEST_BATCH: Duration = Duration::from_millis(350);
/// Number of VMs above which that time grows in proportion to the number of VMs.
const SMALL_FLEET_VMS: f64 = 16.0;

/// Longest times of the parts of a change's way from the store to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBudget {
    /// Age of a VM's knowledge from which it asks the store itself.
    pub max_age: Duration,
    /// Age up to which a VM that others follow lets its knowledge get before it asks again.
    pub relay_age: Duration,
    /// The same for a VM that follows the store and that nobody follows: the time for a call to hang
    /// unnoticed.
    pub watch_wait: Duration,
    /// How long the store may take to answer once the wait of a call is over.
    pub answer_time: Duration,
    /// How long it may take to answer a VM whose knowledge is too old.
    pub overdue_answer_time: Duration,
    /// Longest time that changes accumulate in the store between two calls.
    pub longest_batch: Duration,
}

impl FreshnessBudget {
    /// Divides the times of `bounds`.
    pub fn new(bounds: &FleetBounds) -> Self {
        let change = bounds.change_time();
        let recovery = bounds.recovery_time;
        Self {
            max_age: change.mul_f64(MAX_AGE_PART),
            relay_age: change.mul_f64(RELAY_AGE_PART),
            watch_wait: recovery.mul_f64(WATCH_PART),
            answer_time: recovery.mul_f64(ANSWER_PART),
            overdue_answer_time: change
                .mul_f64(OVERDUE_ANSWER_PART)
                .min(recovery.mul_f64(SECOND_ANSWER_PART)),
            longest_batch: change.mul_f64(BATCH_PART),
        }
    }

    /// Shortest time between the starts of two calls to the store of a VM in a fleet of `vms` VMs, if
    /// the first one returned changes: each change would otherwise cost a call.
    pub fn batch_interval(&self, vms: usize) -> Duration {
        let interval = SHORTEST_BATCH.mul_f64((vms as f64 / SMALL_FLEET_VMS).max(1.0));
        interval.min(self.longest_batch)
    }
}
