//! The callers' side: takes connections and answers requests.

pub mod connection;
pub mod handler;
pub mod refusal;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::time::Duration;

/// How long to wait after a listener failed, for want of descriptors for instance.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes connections until the task is cancelled, each served by a task of this thread.
pub async fn listen<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("a connection cannot be set up: {error}");
                    continue;
                }
                task::spawn_local(serve(stream));
            }
            Err(error) => {
                log::warn!("a connection cannot be taken: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
