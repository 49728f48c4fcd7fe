//! The VMs that hold shares.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One life of a VM: a restarted VM has a new incarnation at its old address.
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
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Drawn anew at each start; never repeated at one address.
    pub incarnation: u64,
}

/// A VM in the share document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Which life of which VM.
    pub id: HolderId,
    /// The region that it is in, by name.
    pub region: String,
    /// The failure domain that it is in, by name.
    pub domain: String,
    /// Whether it is giving up its shares before a planned stop.
    pub leaving: bool,
    /// Grows each time the VM takes up its shares again after it had to stop using them; the write
    /// makes every older write of the document fail.
    pub epoch: u64,
}
