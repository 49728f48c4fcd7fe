//! Errors of the connection pools.

use crate::client::error::ExchangeError;
use dahliawood_request::verdict;
use std::io;
use std::net::SocketAddr;

/// Why no connection to a target is available. No byte of a request has been sent.
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
    /// The connection to the target could not be opened.
    #[snafu(display("{address} takes no connection"))]
    Connect {
        /// The target's address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Why an exchange over a pooled connection returned no response.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum PooledError {
    /// No connection was available.
    #[snafu(display("no connection to the target"))]
    Checkout {
        /// The cause.
        source: CheckoutError,
    },
    /// The exchange over the connection returned no usable response.
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
