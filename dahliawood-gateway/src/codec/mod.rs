//! What a platform's messages say, and the functions that read and write them.

use dahliawood_model::catalog::{FleetCatalog, TargetEntry, TargetLoad};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::head::{RequestHead, ResponseHead};
use std::net::SocketAddr;
use std::time::Duration;

/// The translations of one platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformCodec {
    /// Reads a caller's head.
    pub read_request: fn(&RequestHead) -> RequestMetadata,
    /// Makes a caller's fields fit for a target.
    pub prepare_request: fn(&mut FieldList, &TargetContext<'_>),
    /// Reads a target's head.
    pub read_answer: fn(&ResponseHead, TimeStamp) -> AnswerMetadata,
    /// Reads a call on the VM itself.
    pub read_call: fn(&RequestHead) -> LocalCall,
    /// Writes the answer to a look-up: addresses, and how long they may be used.
    pub write_lookup: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// The id of the target that a key belongs to.
    pub target_id: for<'a> fn(&'a str) -> Option<&'a str>,
    /// Reads an item of the key space; `None` where the key is none of the platform's.
    pub read_item: fn(&str, &[u8]) -> Option<SpaceRecord>,
}

/// What a caller's head says to the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Names this try of the caller; the target's answer repeats it.
    pub attempt_id: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Names the object that the request concerns.
    pub object: Option<String>,
    /// The key that the caller shows.
    pub key: Option<String>,
}

/// What a target is told with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetContext<'a> {
    /// Id of the target that the request is meant for.
    pub target_id: &'a str,
    /// How long the answer is still of use.
    pub left: Duration,
    /// Name of the customer whose key came with the request.
    pub customer: Option<&'a str>,
}

/// What a target's head says to the system.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Names the try that it answers.
    pub attempt_id: Option<String>,
    /// Whether the target made the answer itself.
    pub is_signed: bool,
    /// Whether the request has not run and never will.
    pub has_not_run: bool,
    /// Whether another target has the address.
    pub is_misdirected: bool,
    /// The target's work.
    pub load: Option<TargetLoad>,
    /// How much longer the target stays cold.
    pub cold_for: Option<Duration>,
}

/// A call on the VM itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCall {
    /// Whether the VM takes work.
    Ready,
    /// Which VMs a caller should use.
    Lookup(LookupQuery),
    /// None that is known.
    Unknown,
}

/// Who asks which VMs to use, and for which host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host that it wants to call.
    pub host: String,
    /// The caller's region.
    pub region: String,
    /// The caller's failure domain.
    pub domain: String,
}

/// An item of the key space.
#[derive(Clone, Debug, PartialEq)]
pub enum SpaceRecord {
    /// What the operators declare.
    Catalog(FleetCatalog),
    /// A target.
    Target(TargetEntry),
    /// A failure domain whose targets get nothing.
    Evacuated(String),
    /// Bytes that mean nothing.
    Unreadable {
        /// What is wrong with them.
        reason: String,
    },
}
