//! Takes callers' connections.

use crate::front::handler;
use crate::{counters, shared};
use async_std::net::{TcpListener, TcpStream};
use async_std::{channel, task};
use dahliawood_wire::server;
use futures::future;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Idle time after which a caller's connection is probed by the kernel.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// How long to wait after the listener failed, for want of descriptors for instance.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Takes connections until the task is cancelled; that cuts those that it has taken.
pub async fn run(listener: TcpListener, shared: Arc<shared::SharedState>) {
    // Dropped with this future, which ends every connection that waits for it.
    let (_running, stopped) = channel::bounded(1);
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let served = serve_connection(stream, client, Arc::clone(&shared));
                task::spawn(run_until_stopped(stopped.clone(), served));
            }
            Err(error) => {
                log::warn!("a connection could not be taken: {error}");
                task::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Runs a connection until it ends or the listener is stopped.
async fn run_until_stopped(stopped: channel::Receiver<()>, served: impl Future<Output = ()>) {
    future::select(pin!(stopped.recv()), pin!(served)).await;
}

/// Serves one connection to its end.
async fn serve_connection(stream: TcpStream, client: SocketAddr, shared: Arc<shared::SharedState>) {
    shared.counters.count(counters::CounterKind::Connections);
    if let Err(error) = configure_socket(&stream) {
        log::debug!("a caller's connection could not be set up: {error}");
    }
    let options = server::ConnectionOptions {
        peer: Some(client),
        ..server::ConnectionOptions::default()
    };
    let is_closing = || shared.phase() == shared::DaemonPhase::Leaving;
    let handler = |request| handler::answer(Arc::clone(&shared), request, client);
    let ended = server::connection(stream, &options, is_closing, handler).await;
    if let Err(error) = ended {
        log::debug!("a caller's connection failed: {error}");
    }
}

/// Sets the options of a caller's socket.
fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))
}
