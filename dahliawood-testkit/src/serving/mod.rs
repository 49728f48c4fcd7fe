//! What the stand-ins share: a listener on loopback whose connections are served side by side.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Listens on a free port of loopback.
///
/// # Errors
/// No port can be bound.
pub async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves each connection by a task of its own, until the listener fails.
pub fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F + Send + 'static,
) {
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve(stream));
        }
    });
}

/// Locks; a task that panicked while it held the lock left the state whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
