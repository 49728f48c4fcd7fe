//! Ends the connections of a server without losing responses that are on their way.
//!
//! A response that was handed to the RPC system may wait in it until the connection takes more bytes, and
//! after that in the kernel. When a process ends, the former is lost, and the latter too if the caller has
//! sent anything meanwhile, since that resets the connection.

use async_std::channel::{Receiver, Sender, bounded};
use async_std::net::TcpStream;
use async_std::task;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::future::{self, Either};
use futures::io::AsyncWrite;
use futures::{AsyncReadExt, FutureExt};
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// How often a connection that is being ended checks whether its responses were written.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Checks in a row that must find nothing to be written: the RPC system takes several turns from the end of
/// a call to its response.
const QUIET_CHECKS: u32 = 5;

/// Ends the connections of a server; clones share their state.
#[derive(Clone, Debug)]
pub struct ServerDrain {
    open: Arc<AtomicUsize>,
    /// Closed once connections are to end.
    started: (Sender<()>, Receiver<()>),
}

impl Default for ServerDrain {
    fn default() -> Self {
        Self {
            open: Arc::default(),
            started: bounded(1),
        }
    }
}

impl ServerDrain {
    /// Has each connection end once its responses are written and its caller has closed it.
    pub fn start(&self) {
        self.started.0.close();
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Counts a connection until it is dropped.
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn begin(drain: &ServerDrain) -> Self {
        drain.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(&drain.open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The sending side of a connection, which tells whether bytes wait for it.
struct WatchedWriter<W> {
    output: W,
    is_blocked: Rc<Cell<bool>>,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for WatchedWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.output).poll_write(context, bytes);
        // Bytes that were taken only in part are offered again before other tasks run.
        self.is_blocked.set(polled.is_pending());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.output).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.output).poll_close(context)
    }
}

/// Serves one connection until the caller closes it, it fails, or the drain ends it.
pub(super) async fn connection(
    stream: TcpStream,
    client: capnp::capability::Client,
    drain: ServerDrain,
) {
    let _open = OpenGuard::begin(&drain);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a connection of another VM: {error}");
    }
    let is_blocked = Rc::new(Cell::new(false));
    let (reader, output) = stream.clone().split();
    let writer = WatchedWriter {
        output,
        is_blocked: Rc::clone(&is_blocked),
    };
    let network = twoparty::VatNetwork::new(
        reader,
        writer,
        rpc_twoparty_capnp::Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let system = RpcSystem::new(Box::new(network), Some(client)).map(|_| ());
    let written = pin!(async {
        let _closed = drain.started.1.recv().await;
        let mut quiet_checks = 0;
        while quiet_checks < QUIET_CHECKS {
            task::sleep(CHECK_INTERVAL).await;
            quiet_checks = match is_blocked.get() {
                true => 0,
                false => quiet_checks + 1,
            };
        }
    });
    let Either::Right(((), system)) = future::select(system, written).await else {
        return;
    };
    match stream.shutdown(Shutdown::Write) {
        Ok(()) => system.await,
        Err(error) => log::debug!("a connection of another VM had ended: {error}"),
    }
}
