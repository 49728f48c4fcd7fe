//! The records under which VMs register in the key space, and the choice of VMs for look-ups.

use crate::clock;
use crate::settings::GatewaySettings;
use dahliawood_steer::rendezvous;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of the keys of registered VMs.
pub const VMS_PREFIX: &str = "dahliawood/vms/";

/// The record of one VM; its JSON form is stored in the key space.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name.
    pub name: String,
    /// Address for callers' requests.
    pub front: SocketAddr,
    /// Address for the calls of other VMs.
    pub peer: SocketAddr,
    /// Address for requests that other VMs forward, `None` if it takes none.
    #[serde(default)]
    pub forward: Option<SocketAddr>,
    /// The VM's failure domain.
    pub domain: String,
    /// The VM's region.
    pub region: String,
    /// Processor time that the VM may use a second, in thousandths of a core.
    #[serde(default = "default_processor")]
    pub processor_millis: u32,
    /// When the process started, milliseconds since the Unix epoch.
    pub born_millis: u64,
}

/// A whole core, for records without the field.
fn default_processor() -> u32 {
    1_000
}

impl VmRecord {
    /// Builds the record of this VM, with the current time as its start.
    pub fn from_settings(settings: &GatewaySettings) -> Self {
        Self {
            name: settings.name.clone(),
            front: settings.front,
            peer: settings.peer,
            forward: Some(settings.forward),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            processor_millis: settings.processor_millis,
            born_millis: clock::wall_millis(),
        }
    }

    /// The key of the record.
    pub fn key(&self) -> String {
        format!("{VMS_PREFIX}{}", self.name)
    }
}

/// Maximum number of addresses in a look-up answer.
const MAX_ADDRESSES: usize = 64;

/// The addresses that a caller in a failure domain and region should use: the VMs of its domain, if
/// there are none those of its region, else all. Rendezvous hashing of the domain orders them, so
/// that callers of different domains spread over the VMs.
pub fn nearest_addresses(vms: &[&VmRecord], domain: &str, region: &str) -> Vec<SocketAddr> {
    let select = |is_near: &dyn Fn(&VmRecord) -> bool| -> Vec<&VmRecord> {
        vms.iter().copied().filter(|vm| is_near(vm)).collect()
    };
    let mut near = select(&|vm| vm.domain == domain);
    if near.is_empty() {
        near = select(&|vm| vm.region == region);
    }
    if near.is_empty() {
        near = select(&|_| true);
    }
    let caller = rendezvous::name_hash(domain.as_bytes());
    near.sort_by_key(|vm| rendezvous::score(caller, rendezvous::name_hash(vm.name.as_bytes())));
    near.iter().take(MAX_ADDRESSES).map(|vm| vm.front).collect()
}
