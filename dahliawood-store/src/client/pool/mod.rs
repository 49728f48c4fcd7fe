//! Idle connections to one address.

use super::error;
use async_std::future;
use async_std::net::TcpStream;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Connections that wait for their next call.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limit: usize,
    idle: Mutex<Vec<TcpStream>>,
}

/// A connection and whether it served a call before.
#[derive(Debug)]
pub struct PooledStream {
    /// The connection.
    pub stream: TcpStream,
    /// Whether the other end may have closed it meanwhile.
    pub is_reused: bool,
}

impl ConnectionPool {
    /// A pool that keeps at most `limit` idle connections to `address`.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            limit,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    ///
    /// As [`ConnectionPool::open`].
    pub async fn take(&self, deadline: Duration) -> Result<PooledStream, error::StoreError> {
        let idle = self.lock().pop();
        match idle {
            Some(stream) => Ok(PooledStream {
                stream,
                is_reused: true,
            }),
            None => self.open(deadline).await,
        }
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// [`error::StoreError::Connect`] or [`error::StoreError::ConnectTimeout`]; nothing was sent.
    pub async fn open(&self, deadline: Duration) -> Result<PooledStream, error::StoreError> {
        let stream = future::timeout(deadline, TcpStream::connect(self.address))
            .await
            .map_err(|_elapsed| error::StoreError::ConnectTimeout { deadline })?
            .context(error::ConnectSnafu)?;
        // Without it a small request waits for an acknowledgement; a call works either way.
        let _unsupported = stream.set_nodelay(true);
        Ok(PooledStream {
            stream,
            is_reused: false,
        })
    }

    /// Takes back a connection whose last answer was read to its end.
    pub fn give_back(&self, stream: TcpStream) {
        let mut idle = self.lock();
        if idle.len() < self.limit {
            idle.push(stream);
        }
    }

    /// Closes all idle connections: one that broke makes its siblings suspect.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().expect("no holder of the lock panics")
    }
}
