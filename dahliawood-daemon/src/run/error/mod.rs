//! Why a daemon does not start.

use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// Why a daemon does not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen at {address}: {source}"))]
    Bind {
        /// Which.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// No socket for metrics.
    #[snafu(display("no socket for metrics: {source}"))]
    Metrics {
        /// Why.
        source: io::Error,
    },
    /// No control thread.
    #[snafu(display("the control thread cannot be started: {source}"))]
    Thread {
        /// Why.
        source: io::Error,
    },
}
