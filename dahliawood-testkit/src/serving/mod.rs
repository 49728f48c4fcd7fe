//! The TCP listener of the stand-ins: a free port of loopback, with one task for each connection.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Pause after a connection could not be accepted, as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens on a free port of loopback and returns the listener with its address.
///
/// # Errors
/// Fails where no port can be bound.
pub async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Spawns a task that accepts connections, and runs `serve` for each of them in a task of its own.
pub fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) {
    task::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    task::spawn(serve(stream));
                }
                Err(error) => {
                    log::warn!("a connection cannot be accepted: {error}");
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

/// Locks a mutex and ignores poisoning: a task that panicked while it held the lock left the state
/// consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
