//! A loopback proxy in front of one server, whose connections can be made to misbehave.

use crate::serving;
use crate::soak::plan::LinkFault;
use async_std::net::TcpStream;
use async_std::task;
use futures::future;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How late bytes come.
const DELAY: Duration = Duration::from_millis(150);
/// How often a connection looks whether its fault is over.
const POLL: Duration = Duration::from_millis(20);
/// Bytes copied at once.
const CHUNK: usize = 16 * 1024;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

/// The proxy; clones share it.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// Where it listens.
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
    /// Sets how connections misbehave, `None` for not at all.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        *serving::lock(&self.fault) = fault;
    }

    /// Sets which server new connections go to.
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
        let up = self.copy(client.clone(), server.clone(), Way::ToServer);
        let down = self.copy(server.clone(), client.clone(), Way::ToClient);
        let watch = self.until_reset();
        futures::pin_mut!(watch);
        let copies = future::join(up, down);
        futures::pin_mut!(copies);
        if let future::Either::Right(_) = future::select(copies, watch).await {
            reset(&client);
            reset(&server);
        }
    }

    async fn until_reset(&self) {
        while self.fault() != Some(LinkFault::Reset) {
            task::sleep(POLL).await;
        }
    }

    /// Copies one way until the end of the stream.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        let mut buffer = vec![0; CHUNK];
        while let Ok(count) = from.read(&mut buffer).await {
            if self.fault() == Some(LinkFault::Delayed) {
                task::sleep(DELAY).await;
            }
            while self.is_stuck(way) {
                task::sleep(POLL).await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
        }
        // The other side may have gone already.
        let _ended = to.shutdown(Shutdown::Write);
    }

    fn is_stuck(&self, way: Way) -> bool {
        match self.fault() {
            Some(LinkFault::Silent) => true,
            Some(LinkFault::OneWay) => way == Way::ToClient,
            _ => false,
        }
    }
}

/// Ends a connection so that the other side sees a reset.
fn reset(stream: &TcpStream) {
    // Without it the connection ends in the ordinary way.
    let _linger = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ended = stream.shutdown(Shutdown::Both);
}
