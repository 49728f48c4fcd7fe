//! The VMs that hold shares, as the share document lists them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies one run of a VM's process: a restarted VM has a new incarnation at its old address.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{address}#{incarnation}")]
pub struct HolderId {
    /// The address at which other VMs reach it.
    pub address: SocketAddr,
    /// Chosen anew at each start; never repeated at one address.
    pub incarnation: u64,
}

/// A VM in the share document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The VM and its incarnation.
    pub id: HolderId,
    /// Name of its region.
    pub region: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Whether it is giving up its shares before a planned stop.
    pub leaving: bool,
    /// Increases each time the VM resumes its shares after its liveness proof had lapsed. The write
    /// with the new epoch makes every write based on an older version fail.
    pub epoch: u64,
}
