//! Ends callers' connections so that what was written to them arrives.
//!
//! This handles a load pattern in which callers receive slowly, go on sending, or never close: each
//! connection that lingers has a bound of time and of bytes, and the VM one of such connections.

use crate::front::output::RECEIVE_TIMEOUT;
use crate::state::{GatewayState, SharedState};
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_wire::lingering::{self, LingerEnd, LingerOptions};
use dahliawood_wire::stream::WireStream;
use std::future;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a connection on which no request came is kept: its last response was written before that.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Bytes that are read after the last response: what a caller on a fast link sends before it can have seen
/// that response.
const DISCARDED_BYTES: usize = 1 << 20;
/// Connections of the VM that linger at a time; further ones are closed at once.
const MAX_LINGERING: usize = 256;

/// How the serving of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingEnd {
    /// The last response was written. What the caller sends after it counts as not read.
    Answered,
    /// No further request came in time.
    Idle,
    /// The caller has left, or does not receive: nothing more reaches it.
    Lost,
}

/// Counts a connection that lingers until it is dropped.
struct LingerGuard(SharedState);

impl LingerGuard {
    /// `None` if too many connections linger already.
    fn begin(state: &SharedState) -> Option<Self> {
        let before = state.lingering.fetch_add(1, Ordering::Relaxed);
        let guard = Self(SharedState::clone(state));
        (before < MAX_LINGERING).then_some(guard)
    }
}

impl Drop for LingerGuard {
    fn drop(&mut self) {
        self.0.lingering.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Ends a connection, once what was written to it has arrived or took too long.
pub async fn close(state: &SharedState, mut stream: TcpStream, end: ServingEnd) {
    if end == ServingEnd::Lost {
        return;
    }
    let Some(_lingering) = LingerGuard::begin(state) else {
        record(state, "refused");
        return;
    };
    let ended = match end {
        ServingEnd::Lost => return,
        ServingEnd::Answered => {
            let options = LingerOptions {
                // A VM that shuts down ends it with its grace time.
                time: RECEIVE_TIMEOUT,
                bytes: DISCARDED_BYTES,
            };
            lingering::close(&mut stream, WireStream::shutdown_write, options).await
        }
        ServingEnd::Idle => wait_for_close(&stream).await,
    };
    record(state, &ended.to_string());
}

/// Closes the sending side and waits until the caller closes the other one. A request that crosses the
/// close is left unread: its caller may send it again elsewhere.
async fn wait_for_close(stream: &TcpStream) -> LingerEnd {
    if stream.shutdown_write().is_err() {
        return LingerEnd::Failed;
    }
    let closed = timeout(IDLE_TIME, async {
        match stream.peek(&mut [0]).await {
            Ok(0) => LingerEnd::PeerClosed,
            // A later end cannot be seen behind unread bytes.
            Ok(_) => future::pending().await,
            Err(_) => LingerEnd::Failed,
        }
    });
    closed.await.unwrap_or(LingerEnd::TimedOut)
}

fn record(state: &GatewayState, outcome: &str) {
    state.metrics.lingering.with_label_values(&[outcome]).inc();
}
