//! The side of the gateway that faces callers: accepts connections and answers their requests.

pub mod connection;
pub mod handler;
pub mod refusal;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::time::Duration;

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the task is cancelled; each is served by its own task on this thread.
pub async fn listen<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("cannot set TCP_NODELAY on a caller's connection: {error}");
                    continue;
                }
                task::spawn_local(serve(stream));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
