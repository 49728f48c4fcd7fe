//! Frequency and duration of the injected faults.

use std::time::Duration;

/// Mean time between two VM deaths in the whole fleet.
pub const VM_DEATH_INTERVAL: Duration = Duration::from_secs(5);
/// Time from the death of a VM until a new incarnation starts at its address.
pub const VM_DOWN: Duration = Duration::from_secs(1);
/// How far the live list of VMs lags.
pub const LIST_LAG: Duration = Duration::from_secs(2);
/// Mean time between two target deaths.
pub const TARGET_DEATH_INTERVAL: Duration = Duration::from_secs(4);
/// How long a target is down.
pub const TARGET_DOWN: Duration = Duration::from_secs(3);
/// Mean time between two losses of all pooled connections to a target.
pub const SILENCE_INTERVAL: Duration = Duration::from_secs(3);
/// Mean time between two outages of the store.
pub const OUTAGE_INTERVAL: Duration = Duration::from_secs(60);
/// Duration of a store outage.
pub const OUTAGE_DURATION: Duration = Duration::from_secs(20);
/// Answers in a thousand that arrive late.
pub const LATE_ANSWERS_PER_MILLE: u32 = 10;
/// Store replies in a thousand that are lost after the write took effect.
pub const LOST_REPLIES_PER_MILLE: u32 = 20;

/// Number of faults injected so far.
#[derive(Debug, Default)]
pub struct FaultCount {
    /// VMs that died.
    pub vm_deaths: usize,
    /// Targets that died.
    pub target_deaths: usize,
    /// Times that all connections to a target went silent.
    pub silences: usize,
    /// Outages of the store.
    pub outages: usize,
}
