//! What a call to another VM fails with.

use snafu::Snafu;
use std::net::SocketAddr;

/// Why a call has no answer. Whether the other VM acted on it is not known, except that a failed
/// connection carried nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection.
    #[snafu(display("no connection to the VM at {address}: {source}"))]
    Connect {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The call failed.
    #[snafu(display("the call failed: {source}"))]
    Call {
        /// Why.
        source: capnp::Error,
    },
    /// No answer within the deadline.
    #[snafu(display("no answer within the deadline"))]
    Deadline,
}
