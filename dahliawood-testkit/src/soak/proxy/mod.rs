//! A TCP proxy on loopback in front of one server, which injects faults into its connections.

use crate::link::reset;
use crate::serving;
use crate::soak::plan::LinkFault;
use async_std::net::TcpStream;
use async_std::task;
use futures::future;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Delay added to each chunk by [`LinkFault::Delayed`].
const DELAY: Duration = Duration::from_millis(150);
/// Interval at which a connection checks which fault is set.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the bytes copied at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The direction in which bytes are copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A running proxy; clones share its state.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    server: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<Option<LinkFault>>>,
}

/// Starts a proxy on a free port of loopback.
///
/// # Errors
/// No port can be bound.
pub async fn start(server: SocketAddr) -> io::Result<FaultProxy> {
    let (listener, address) = serving::listen().await?;
    let proxy = FaultProxy {
        address,
        server: Arc::new(Mutex::new(server)),
        fault: Arc::default(),
    };
    let accepting = proxy.clone();
    serving::accept(listener, move |stream| accepting.clone().serve(stream));
    Ok(proxy)
}

impl FaultProxy {
    /// Sets the fault of all connections, `None` for no fault.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        *serving::lock(&self.fault) = fault;
    }

    /// Sets the server that new connections go to.
    pub fn set_server(&self, server: SocketAddr) {
        *serving::lock(&self.server) = server;
    }

    fn server(&self) -> SocketAddr {
        *serving::lock(&self.server)
    }

    fn fault(&self) -> Option<LinkFault> {
        *serving::lock(&self.fault)
    }

    async fn serve(self, client: TcpStream) {
        let server = TcpStream::connect(self.server()).await;
        let (Ok(server), false) = (server, self.fault() == Some(LinkFault::Reset)) else {
            reset(&client);
            return;
        };
        let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
        let to_server = self.copy(client.clone(), server.clone(), Direction::ToServer);
        let to_client = self.copy(server.clone(), client.clone(), Direction::ToClient);
        let reset_fault = self.wait_for_reset_fault();
        futures::pin_mut!(reset_fault);
        let copies = future::join(to_server, to_client);
        futures::pin_mut!(copies);
        if let future::Either::Right(_) = future::select(copies, reset_fault).await {
            reset(&client);
            reset(&server);
        }
    }

    async fn wait_for_reset_fault(&self) {
        while self.fault() != Some(LinkFault::Reset) {
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Copies bytes in one direction until the stream ends or fails.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            if self.fault() == Some(LinkFault::Delayed) {
                task::sleep(DELAY).await;
            }
            while self.is_blocked(direction) {
                task::sleep(POLL_INTERVAL).await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
        }
        // Fails where the other side has closed already, which is fine.
        let _ended = to.shutdown(Shutdown::Write);
    }

    fn is_blocked(&self, direction: Direction) -> bool {
        match self.fault() {
            Some(LinkFault::Silent) => true,
            Some(LinkFault::OneWay) => direction == Direction::ToClient,
            _ => false,
        }
    }
}
