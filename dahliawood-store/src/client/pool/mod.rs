//! Pool of idle connections to one address.

use super::error;
use async_std::future;
use async_std::net::TcpStream;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// Idle connections that are kept for later calls.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limit: usize,
    idle: Mutex<Vec<TcpStream>>,
}

/// A connection, and whether it served a call before.
#[derive(Debug)]
pub struct PooledStream {
    /// The connection.
    pub stream: TcpStream,
    /// Whether the connection was idle, so that the service may have closed it meanwhile.
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

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Same as [`ConnectionPool::open`].
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

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// [`error::StoreError::Connect`] or [`error::StoreError::ConnectTimeout`]; nothing was sent.
    pub async fn open(&self, deadline: Duration) -> Result<PooledStream, error::StoreError> {
        let stream = future::timeout(deadline, TcpStream::connect(self.address))
            .await
            .map_err(|_elapsed| error::StoreError::ConnectTimeout { deadline })?
            .context(error::ConnectSnafu)?;
        // Without `TCP_NODELAY` a small request waits for an acknowledgement. A failure to set it
        // is ignored, as calls work either way.
        let _unsupported = stream.set_nodelay(true);
        Ok(PooledStream {
            stream,
            is_reused: false,
        })
    }

    /// Returns a connection to the pool; its last response must have been read to the end.
    pub fn give_back(&self, stream: TcpStream) {
        let mut idle = self.lock();
        if idle.len() < self.limit {
            idle.push(stream);
        }
    }

    /// Closes all idle connections: if one failed, the others may have failed too.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().expect("no holder of the lock panics")
    }
}
