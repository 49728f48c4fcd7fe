//! When things fail.

use std::time::Duration;

/// Mean time from one death of a VM to the next, anywhere in the fleet.
pub const VM_DEATH_EVERY: Duration = Duration::from_secs(5);
/// How long an address is without a VM.
pub const VM_DOWN: Duration = Duration::from_secs(1);
/// How far the list of VMs lags.
pub const LIST_LAG: Duration = Duration::from_secs(2);
/// Mean time from one death of a target to the next.
pub const TARGET_DEATH_EVERY: Duration = Duration::from_secs(4);
/// How long a target is down.
pub const TARGET_DOWN: Duration = Duration::from_secs(3);
/// Mean time from one loss of connections to the next.
pub const SILENCE_EVERY: Duration = Duration::from_secs(3);
/// Mean time from one outage of the store to the next.
pub const OUTAGE_EVERY: Duration = Duration::from_secs(60);
/// How long an outage lasts.
pub const OUTAGE: Duration = Duration::from_secs(20);
/// Answers of a thousand that come late.
pub const LATE_PER_MILLE: u32 = 10;
/// Store replies of a thousand that are lost after the write took effect.
pub const LOST_PER_MILLE: u32 = 20;

/// What has failed.
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
