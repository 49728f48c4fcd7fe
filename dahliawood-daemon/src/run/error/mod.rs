//! Errors of the start of a daemon.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// An error that prevents the start of a daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The UDP socket for metrics cannot be created.
    #[snafu(display("cannot create the socket for metrics: {source}"))]
    Metrics {
        /// The cause.
        source: io::Error,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
}
