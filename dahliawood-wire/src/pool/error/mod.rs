//! Errors of target connections.

use crate::client::error::ExchangeError;
use dahliawood_fate::verdict;
use std::io;
use std::net::SocketAddr;

/// Why there is no connection to a target. No byte of a request has been sent.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum CheckoutError {
    /// All connections that this VM may have to the target are in use.
    #[snafu(display("all {limit} connections to {address} are in use"))]
    Exhausted {
        /// The target's address.
        address: SocketAddr,
        /// Connections that this VM may have.
        limit: usize,
    },
    /// The target does not take connections.
    #[snafu(display("{address} takes no connection"))]
    Connect {
        /// The target's address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Why an exchange over a pooled connection brought no answer.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum PooledError {
    /// There was no connection.
    #[snafu(display("no connection to the target"))]
    Checkout {
        /// The cause.
        source: CheckoutError,
    },
    /// There was a connection, and no usable answer over it.
    #[snafu(display("no answer from the target"))]
    Exchange {
        /// The cause.
        source: ExchangeError,
    },
}

impl PooledError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> verdict::RunVerdict {
        match self {
            Self::Checkout { .. } => verdict::RunVerdict::NotRun,
            Self::Exchange { source } => source.verdict(),
        }
    }
}
