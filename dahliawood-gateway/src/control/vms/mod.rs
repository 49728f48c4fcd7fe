//! The VMs of the fleet, as they register in the key space.

use crate::clock;
use crate::settings::GatewaySettings;
use dahliawood_steer::rendezvous;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Under which VMs register.
pub const VMS_PREFIX: &str = "dahliawood/vms/";

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its name.
    pub name: String,
    /// Where it answers callers.
    pub front: SocketAddr,
    /// Where it answers other VMs.
    pub peer: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// When it started, milliseconds since the Unix epoch.
    pub born_millis: u64,
}

impl VmRecord {
    /// The record of this VM, which starts now.
    pub fn own(settings: &GatewaySettings) -> Self {
        Self {
            name: settings.name.clone(),
            front: settings.front,
            peer: settings.peer,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            born_millis: clock::wall_millis(),
        }
    }

    /// The key that it registers under.
    pub fn key(&self) -> String {
        format!("{VMS_PREFIX}{}", self.name)
    }
}

/// The most VMs that one look-up names.
const MOST_NAMED: usize = 64;

/// The VMs that a caller of a failure domain and region should use: those of its domain, else of
/// its region, else all.
pub fn named(vms: &[&VmRecord], domain: &str, region: &str) -> Vec<SocketAddr> {
    let pick = |is_near: &dyn Fn(&VmRecord) -> bool| -> Vec<&VmRecord> {
        vms.iter().copied().filter(|vm| is_near(vm)).collect()
    };
    let mut near = pick(&|vm| vm.domain == domain);
    if near.is_empty() {
        near = pick(&|vm| vm.region == region);
    }
    if near.is_empty() {
        near = pick(&|_| true);
    }
    let caller = rendezvous::name_hash(domain.as_bytes());
    near.sort_by_key(|vm| rendezvous::score(caller, rendezvous::name_hash(vm.name.as_bytes())));
    near.iter().take(MOST_NAMED).map(|vm| vm.front).collect()
}
