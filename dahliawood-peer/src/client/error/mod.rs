//! Errors of calls to another VM.

use snafu::Snafu;
use std::net::SocketAddr;

/// Why a call got no response. The other VM may have processed the call, except after
/// [`CallError::Connect`], where nothing was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("cannot connect to the VM at {address}: {source}"))]
    Connect {
        /// The address of the VM.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The other VM returned an error, or the connection failed.
    #[snafu(display("the call failed: {source}"))]
    Call {
        /// The cause.
        source: capnp::Error,
    },
    /// No connection or no response within the deadline.
    #[snafu(display("no response within the deadline"))]
    Deadline,
}

impl CallError {
    /// Whether the build of the other VM does not have the call; the connection remains usable.
    pub fn is_unimplemented(&self) -> bool {
        matches!(self, Self::Call { source } if source.kind == capnp::ErrorKind::Unimplemented)
    }
}
