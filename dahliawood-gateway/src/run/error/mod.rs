//! Errors of starting a gateway.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why a gateway cannot be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("{address} cannot be bound: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A metric cannot be registered.
    #[snafu(display("the metrics cannot be registered: {source}"))]
    Metrics {
        /// The cause.
        source: prometheus::Error,
    },
    /// The control thread cannot be started.
    #[snafu(display("the control thread cannot be started: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
}
