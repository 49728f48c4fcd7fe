//! Takes callers' connections.

use crate::front::handler;
use crate::{counters, shared};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_wire::server;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Idle time after which a caller's connection is probed by the kernel.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// How long to wait after the listener failed, for want of descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes connections until the task is cancelled.
pub async fn run(listener: TcpListener, shared: Arc<shared::SharedState>) {
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                task::spawn(connection(stream, client, Arc::clone(&shared)));
            }
            Err(error) => {
                log::warn!("a connection could not be taken: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection to its end.
async fn connection(stream: TcpStream, client: SocketAddr, shared: Arc<shared::SharedState>) {
    shared.counters.count(counters::CounterKind::Connections);
    if let Err(error) = prepare(&stream) {
        log::debug!("a caller's connection could not be set up: {error}");
    }
    let options = server::ConnectionOptions {
        peer: Some(client),
        ..server::ConnectionOptions::default()
    };
    let closing = || shared.phase() == shared::DaemonPhase::Leaving;
    let handler = |request| handler::answer(Arc::clone(&shared), request, client);
    let ended = server::connection(stream, &options, closing, handler).await;
    if let Err(error) = ended {
        log::debug!("a caller's connection failed: {error}");
    }
}

/// Sets the options of a caller's socket.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))
}
