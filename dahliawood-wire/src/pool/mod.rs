//! Bounded pools of keep-alive connections to targets.
//!
//! A connection returns to the pool only after the response body was read to its end and no bytes
//! followed it; a timeout, a truncated body or a dropped exchange closes it. A connection may
//! become unresponsive: requests are sent, but neither a response nor a close arrives. All
//! connections that were opened to the target up to then are closed in that case; otherwise each
//! of them would cost another request its full timeout.

pub mod error;
pub mod hedge;

use crate::{client, framer};
use async_std::future as timed;
use async_std::net::TcpStream;
use dahliawood_model::FastMap;
use error::{CheckoutError, CheckoutSnafu, ConnectSnafu, ExchangeSnafu, PooledError};
use http_types::Request;
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limits and timeouts of the connections to each target.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    /// Connections from this VM to one target, unless [`TargetPool::set_limit`] sets another limit.
    pub connections: usize,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
    /// Maximum time for opening a connection.
    pub connect_timeout: Duration,
    /// Idle time before the first TCP keep-alive probe, and the interval between probes.
    pub tcp_keep_alive: Duration,
    /// Maximum time that sent bytes may stay unacknowledged.
    pub tcp_user_timeout: Duration,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            connections: 32,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_millis(500),
            tcp_keep_alive: Duration::from_secs(5),
            tcp_user_timeout: Duration::from_secs(2),
        }
    }
}

/// Which connection an exchange may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Any idle connection; a new one if none is idle.
    Any,
    /// A connection used within this time, because it is unlikely to be unresponsive; otherwise a
    /// new one.
    UsedWithin(Duration),
    /// A new connection; for retries.
    Fresh,
}

/// Identifies a connection by its target and its sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The target's address.
    pub address: SocketAddr,
    /// Number of connections opened to the target up to and including this one.
    pub sequence: u64,
}

struct IdleConnection {
    stream: TcpStream,
    sequence: u64,
    opened: Instant,
    idle_since: Instant,
    /// Maximum idle time of this connection.
    idle_timeout: Duration,
}

#[derive(Default)]
struct TargetState {
    limit: Option<usize>,
    open: usize,
    /// Sequence number of the connection opened last.
    sequence: u64,
    /// Connections up to this sequence number are treated as unresponsive.
    unresponsive_through: u64,
    idle: Vec<IdleConnection>,
}

/// Number of connections to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Open connections, including idle ones.
    pub open: usize,
    /// Idle connections.
    pub idle: usize,
}

/// The connections from this VM to all targets; clones share them.
#[derive(Clone)]
pub struct TargetPool {
    options: PoolOptions,
    targets: Arc<Mutex<FastMap<SocketAddr, TargetState>>>,
}

impl TargetPool {
    /// An empty pool.
    pub fn new(options: PoolOptions) -> Self {
        Self {
            options,
            targets: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, TargetState>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the maximum number of connections to a target; connections in use are not closed.
    pub fn set_limit(&self, address: SocketAddr, limit: usize) {
        self.lock().entry(address).or_default().limit = Some(limit);
    }

    /// The number of connections to a target.
    pub fn count(&self, address: SocketAddr) -> PoolCount {
        let targets = self.lock();
        targets
            .get(&address)
            .map(|target| PoolCount {
                open: target.open,
                idle: target.idle.len(),
            })
            .unwrap_or_default()
    }

    /// Closes connections that exceeded their idle timeout; to be called about once per second.
    pub fn sweep(&self) {
        for target in self.lock().values_mut() {
            target.retain_idle(|idle| idle.idle_since.elapsed() < idle.idle_timeout);
        }
    }

    /// Closes all idle connections to a target; for targets that are leaving.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(target) = self.lock().get_mut(&address) {
            target.retain_idle(|_| false);
        }
    }

    /// The connection to a target that was opened last.
    pub fn newest_id(&self, address: SocketAddr) -> ConnectionId {
        let sequence = self
            .lock()
            .get(&address)
            .map_or(0, |target| target.sequence);
        ConnectionId { address, sequence }
    }

    /// Records that connections up to and including `id` may be unresponsive: idle ones are closed
    /// now, those in use when they are released.
    pub fn report_unresponsive(&self, id: ConnectionId) {
        let mut targets = self.lock();
        let target = targets.entry(id.address).or_default();
        target.unresponsive_through = target.unresponsive_through.max(id.sequence);
        let unresponsive_through = target.unresponsive_through;
        target.retain_idle(|idle| idle.sequence > unresponsive_through);
    }

    /// Opens a connection to check that the target accepts connections, and keeps it in the pool;
    /// returns the time that opening it took.
    ///
    /// # Errors
    /// The limit is reached, or the target does not accept the connection.
    pub async fn probe(&self, address: SocketAddr) -> Result<Duration, CheckoutError> {
        let start = Instant::now();
        let connection = self.checkout(address, ConnectionChoice::Fresh).await?;
        let taken = start.elapsed();
        connection.guard.release(true);
        Ok(taken)
    }

    /// Takes an idle connection from the pool, or opens a new one.
    ///
    /// # Errors
    /// All connections are in use, or the target accepts no new one. Nothing has been sent.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<PooledConnection, CheckoutError> {
        let mut guard = match self.reserve(address, choice)? {
            PoolReservation::Idle(connection) => return Ok(connection),
            PoolReservation::New(guard) => guard,
        };
        let connected = timed::timeout(self.options.connect_timeout, TcpStream::connect(address));
        let stream = connected
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .and_then(|stream| self.prepare(&stream).map(|()| stream))
            .context(ConnectSnafu { address })?;
        guard.stream = Some(stream.clone());
        Ok(PooledConnection {
            stream,
            reused: false,
            guard,
        })
    }

    /// Runs one exchange with a target.
    ///
    /// Connections that turn out to be stale before anything was sent are skipped. After a timeout
    /// on a reused connection, the connections opened so far are reported as unresponsive, see
    /// [`TargetPool::report_unresponsive`].
    ///
    /// # Errors
    /// No connection or no usable response; the verdict states whether the request may have run.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        request: Request,
        options: &client::ExchangeOptions,
    ) -> Result<client::ExchangeOutcome, PooledError> {
        let connection = self
            .checkout_live(address, choice)
            .await
            .context(CheckoutSnafu)?;
        let PooledConnection {
            stream,
            reused,
            guard,
        } = connection;
        let finish = move |reusable| guard.release(reusable);
        let framer = framer::MessageFramer::new(stream.clone(), options.stall_timeout);
        let exchanged = client::exchange_unchecked(stream, framer, request, options, finish).await;
        if let Err(error) = &exchanged
            && reused
            && error.is_unresponsive()
        {
            self.report_unresponsive(self.newest_id(address));
        }
        exchanged.context(ExchangeSnafu)
    }

    /// Like [`TargetPool::checkout`], but skips connections that have ended or hold unsolicited
    /// bytes.
    ///
    /// # Errors
    /// All connections are in use, or the target accepts no new one. Nothing has been sent.
    pub async fn checkout_live(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<PooledConnection, CheckoutError> {
        loop {
            let connection = self.checkout(address, choice).await?;
            if !connection.reused || connection.is_reusable() {
                return Ok(connection);
            }
        }
    }

    fn reserve(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
    ) -> Result<PoolReservation, CheckoutError> {
        let mut targets = self.lock();
        let target = targets.entry(address).or_default();
        let limit = target.limit.unwrap_or(self.options.connections);
        if let Some(idle) = target.take_idle(choice) {
            let mut guard = self.guard(address, idle.sequence, Some(idle.stream.clone()));
            guard.opened = idle.opened;
            return Ok(PoolReservation::Idle(PooledConnection {
                stream: idle.stream,
                reused: true,
                guard,
            }));
        }
        if target.open >= limit && !target.idle.is_empty() {
            target.idle.remove(0);
            target.open -= 1;
        }
        if target.open >= limit {
            return Err(CheckoutError::Exhausted { address, limit });
        }
        target.open += 1;
        target.sequence += 1;
        Ok(PoolReservation::New(self.guard(
            address,
            target.sequence,
            None,
        )))
    }

    fn guard(
        &self,
        address: SocketAddr,
        sequence: u64,
        stream: Option<TcpStream>,
    ) -> ConnectionGuard {
        ConnectionGuard {
            pool: self.clone(),
            id: ConnectionId { address, sequence },
            opened: Instant::now(),
            stream,
        }
    }

    /// Whether an idle connection to a target that is older than `age` is still open, so that the process
    /// at its other end is at least as old.
    pub fn has_lasting(&self, address: SocketAddr, age: Duration) -> bool {
        let targets = self.lock();
        let idle = targets.get(&address).map(|target| &target.idle);
        idle.into_iter()
            .flatten()
            .any(|idle| idle.opened.elapsed() > age && is_reusable(&idle.stream))
    }

    fn prepare(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        let period = self.options.tcp_keep_alive;
        let probes = TcpKeepalive::new().with_time(period).with_interval(period);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(self.options.tcp_user_timeout))
    }
}

impl TargetState {
    fn take_idle(&mut self, choice: ConnectionChoice) -> Option<IdleConnection> {
        let max_idle = match choice {
            ConnectionChoice::Any => Duration::MAX,
            ConnectionChoice::UsedWithin(span) => span,
            ConnectionChoice::Fresh => return None,
        };
        // The connection used last is the least likely to be unresponsive.
        self.idle
            .pop_if(|idle| idle.idle_since.elapsed() < max_idle.min(idle.idle_timeout))
    }

    fn retain_idle(&mut self, keep: impl FnMut(&IdleConnection) -> bool) {
        let mut keep = keep;
        let before = self.idle.len();
        self.idle.retain(|idle| keep(idle));
        self.open -= before - self.idle.len();
    }
}

enum PoolReservation {
    Idle(PooledConnection),
    New(ConnectionGuard),
}

/// Whether the peer has neither closed the connection nor sent unsolicited bytes.
pub fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// A connection taken from a pool.
pub struct PooledConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Whether the connection has carried an exchange before.
    pub reused: bool,
    /// Its slot in the pool.
    pub guard: ConnectionGuard,
}

impl PooledConnection {
    fn is_reusable(&self) -> bool {
        is_reusable(&self.stream)
    }
}

/// A slot in a pool; dropping it closes the connection and frees the slot.
pub struct ConnectionGuard {
    pool: TargetPool,
    id: ConnectionId,
    opened: Instant,
    stream: Option<TcpStream>,
}

impl ConnectionGuard {
    /// Identifies the connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the connection to the pool if it is `reusable`, was not reported as unresponsive and
    /// is within the target's limit; closes it otherwise.
    pub fn release(self, reusable: bool) {
        let idle_timeout = self.pool.options.idle_timeout;
        self.release_with_timeout(reusable, idle_timeout);
    }

    /// Like [`Self::release`], for a connection that the target closes after `idle_timeout`.
    pub fn release_with_timeout(mut self, reusable: bool, idle_timeout: Duration) {
        if !reusable {
            return;
        }
        let idle_timeout = idle_timeout.min(self.pool.options.idle_timeout);
        let pool = self.pool.clone();
        let mut targets = pool.lock();
        let Some(target) = targets.get_mut(&self.id.address) else {
            return;
        };
        let limit = target.limit.unwrap_or(pool.options.connections);
        if self.id.sequence <= target.unresponsive_through || target.open > limit {
            return;
        }
        if let Some(stream) = self.stream.take() {
            target.idle.push(IdleConnection {
                stream,
                sequence: self.id.sequence,
                opened: self.opened,
                idle_since: Instant::now(),
                idle_timeout,
            });
            // The idle connection keeps the slot, which dropping the guard frees.
            target.open += 1;
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.stream = None;
        if let Some(target) = self.pool.lock().get_mut(&self.id.address) {
            target.open -= 1;
        }
    }
}
