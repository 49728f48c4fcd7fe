//! Interface to a platform's message formats: functions that decode and encode its messages, and
//! the types that they return and take.

use dahliawood_model::catalog::{FleetCatalog, TargetEntry, TargetReport};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::keyspace::record::OrderOf;
use dahliawood_store::keyspace::view::IsLeaving;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::head::{RequestHead, ResponseHead};
use std::net::SocketAddr;
use std::time::Duration;

/// The decoding and encoding functions of one platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformCodec {
    /// Decodes the head of a caller's request.
    pub read_request: fn(&RequestHead) -> RequestMetadata,
    /// Changes the header fields of a caller's request to those that a target gets.
    pub prepare_request: fn(&mut FieldList, &TargetContext<'_>),
    /// Decodes the head of a target's response.
    pub read_response: fn(&ResponseHead, TimeStamp) -> ResponseMetadata,
    /// Decodes a call that the VM answers itself.
    pub read_call: fn(&RequestHead) -> LocalCall,
    /// Encodes the answer to a look-up from the addresses and how long they may be used.
    pub write_lookup: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Extracts the id of a target from its key in the key space, `None` for other keys.
    pub target_id: for<'a> fn(&'a str) -> Option<&'a str>,
    /// How old a value of a key is by what it says.
    pub order_of: OrderOf,
    /// Whether a value of a key says that its writer leaves.
    pub is_leaving: IsLeaving,
    /// Decodes an item of the key space; `None` if the key is not one of the platform's.
    pub read_item: fn(&str, &[u8]) -> Option<KeyspaceRecord>,
}

/// Metadata from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller gave to this try; the target's response echoes it.
    pub attempt_id: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Name of the object that the request concerns, for session affinity.
    pub object: Option<String>,
    /// The API key that the caller presents.
    pub api_key: Option<String>,
}

/// What the gateway adds to a request that it sends to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetContext<'a> {
    /// Id of the target that the request is meant for.
    pub target_id: &'a str,
    /// Time that is left until the request's deadline.
    pub left: Duration,
    /// Name of the customer whose API key the request has.
    pub customer: Option<&'a str>,
}

/// Metadata from the head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the try that the response belongs to.
    pub attempt_id: Option<String>,
    /// Whether the response carries the target's signature, so that the target itself produced it.
    pub is_signed: bool,
    /// Whether the target has not run the request and never will.
    pub has_not_run: bool,
    /// Whether the address now belongs to a target other than the one that the request named.
    pub is_misdirected: bool,
    /// What the target says of itself.
    pub report: TargetReport,
}

/// A call that the VM answers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCall {
    /// Asks whether the VM is ready to serve requests.
    Ready,
    /// Asks which VMs a caller should use.
    Lookup(LookupQuery),
    /// Not a known call.
    Unknown,
}

/// A look-up: the caller's location, and the host that it wants to call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host that the caller wants to call.
    pub host: String,
    /// The caller's region.
    pub region: String,
    /// The caller's failure domain.
    pub domain: String,
}

/// A decoded item of the key space.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyspaceRecord {
    /// The operators' configuration document.
    Catalog(FleetCatalog),
    /// The entry of a target.
    Target(TargetEntry),
    /// An evacuated failure domain, whose targets get no requests.
    Evacuated(String),
    /// A value that cannot be decoded.
    Unreadable {
        /// Why the value cannot be decoded.
        reason: String,
    },
}
