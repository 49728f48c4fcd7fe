//! The side of the gateway that faces callers: accepts connections and answers their requests.

pub mod connection;
pub mod handler;
pub mod lingering;
pub mod output;
pub mod refusal;

use async_std::channel::Receiver;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{self, Either};
use std::pin::pin;
use std::time::Duration;

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `stopped` is closed; each is served by its own task on this thread. The
/// connections that wait to be accepted at that moment are served too: closing the listener would reset
/// them.
pub async fn listen<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    stopped: Receiver<()>,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        let accepting = pin!(listener.accept());
        match future::select(accepting, pin!(stopped.recv())).await {
            Either::Left((Ok((stream, _)), _)) => start(stream, &serve),
            Either::Left((Err(error), _)) => {
                log::warn!("cannot accept a connection: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
            // Polled after the listener, which has no connection left.
            Either::Right(_) => return,
        }
    }
}

fn start<F: Future<Output = ()> + 'static>(stream: TcpStream, serve: impl Fn(TcpStream) -> F) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a caller's connection: {error}");
        return;
    }
    task::spawn_local(serve(stream));
}
