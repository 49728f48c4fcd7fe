//! Which VMs are in contact: the guarantees with time bounds hold for these.
//!
//! A VM is in contact at a moment if its process ran, it had its links to the store, and the store was
//! there, for the whole time of recovery before. If the store refuses some VMs meanwhile, or drops its
//! history, the bounds of the configuration and of evacuations are stretched for the VMs concerned.

use super::{InjectedFault, RECOVERY_TIME, SoakRecords};
use crate::soak::plan::SoakEvent;
use std::time::{Duration, Instant};

/// By how much the bounds are stretched.
const STRETCH_TIME: Duration = Duration::from_secs(5);

/// Whether a VM is in contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmContact {
    /// It is not.
    Lost,
    /// It is, and the store is in part disturbed.
    Stretched,
    /// It is.
    Full,
}

/// What a fault means for one VM.
fn contact_beside(event: SoakEvent, vm: usize) -> VmContact {
    match event {
        SoakEvent::StoreLink(at, _) | SoakEvent::VmPaused(at) if at == vm => VmContact::Lost,
        SoakEvent::VmKilled(at) | SoakEvent::VmTerminated(at) if at == vm => VmContact::Lost,
        SoakEvent::GroupStoreLink(group, _)
        | SoakEvent::GroupPaused(group)
        | SoakEvent::GroupKilled(group)
            if group.contains(vm) =>
        {
            VmContact::Lost
        }
        SoakEvent::StoreUnavailable | SoakEvent::StoreRestored => VmContact::Lost,
        SoakEvent::StoreStalled(at) if at == vm => VmContact::Stretched,
        SoakEvent::GroupRefused(group, _) if group.contains(vm) => VmContact::Stretched,
        SoakEvent::StoreCompacted => VmContact::Stretched,
        _ => VmContact::Full,
    }
}

impl VmContact {
    /// The bound on the time until a change is in force, `None` where none holds.
    pub fn bound(self, bound: Duration) -> Option<Duration> {
        match self {
            Self::Lost => None,
            Self::Stretched => Some(bound + STRETCH_TIME),
            Self::Full => Some(bound),
        }
    }
}

impl SoakRecords {
    /// Whether a VM was in contact in a whole span.
    pub fn contact(&self, vm: usize, from: Instant, until: Instant) -> VmContact {
        let overlaps =
            |fault: &&InjectedFault| fault.from <= until && fault.until + RECOVERY_TIME >= from;
        let faults = self.faults.iter().filter(overlaps);
        let contacts = faults.map(|fault| contact_beside(fault.event, vm));
        contacts.min().unwrap_or(VmContact::Full)
    }

    /// Whether the process of a VM was started between two moments.
    pub fn was_restarted(&self, vm: usize, from: Instant, until: Instant) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| {
            fault.event.stops_process(vm) && fault.from <= until && fault.until >= from
        })
    }
}
