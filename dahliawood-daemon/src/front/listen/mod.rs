//! Accepts connections from callers.

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

/// Idle time after which the kernel sends TCP keep-alive probes on a caller's connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// Pause after a failed accept, for instance when the process has run out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is cancelled; cancelling also aborts the accepted
/// connections.
pub async fn run(listener: TcpListener, shared: Arc<shared::SharedState>) {
    // When this future is dropped, the sender is dropped too, which ends all accepted connections.
    let (_running, stopped) = channel::bounded(1);
    loop {
        match listener.accept().await {
            Ok((stream, client)) => {
                let served = serve_connection(stream, client, Arc::clone(&shared));
                task::spawn(run_until_stopped(stopped.clone(), served));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                task::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until it ends or the listener stops.
async fn run_until_stopped(stopped: channel::Receiver<()>, served: impl Future<Output = ()>) {
    future::select(pin!(stopped.recv()), pin!(served)).await;
}

/// Serves one connection until it ends.
async fn serve_connection(stream: TcpStream, client: SocketAddr, shared: Arc<shared::SharedState>) {
    shared.counters.count(counters::CounterKind::Connections);
    if let Err(error) = configure_socket(&stream) {
        log::debug!("cannot set the options of a caller's connection: {error}");
    }
    let options = server::ConnectionOptions {
        peer: Some(client),
        ..server::ConnectionOptions::default()
    };
    let is_closing = || shared.phase() == shared::DaemonPhase::Leaving;
    let handler = |request| handler::handle_request(Arc::clone(&shared), request, client);
    let ended = server::connection(stream, &options, is_closing, handler).await;
    if let Err(error) = ended {
        log::debug!("a caller's connection failed: {error}");
    }
}

/// Sets `TCP_NODELAY` and keep-alive on a caller's socket.
fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))
}
