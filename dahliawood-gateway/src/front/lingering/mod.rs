//! Ends callers' connections so that what was written to them arrives.
//!
//! This handles a load pattern in which callers receive slowly, go on sending, or never close: each
//! connection that lingers has a bound of time and of bytes, and the VM one of such connections.

use crate::count_guard::CountGuard;
use crate::front::output::RECEIVE_TIMEOUT;
use crate::state::SharedState;
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_wire::lingering::{self, LingerEnd, LingerOptions};
use dahliawood_wire::stream::WireStream;
use std::future;
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

/// Ends a connection, once what was written to it has arrived or took too long.
pub async fn close(state: &SharedState, stream: TcpStream, end: ServingEnd) {
    if end == ServingEnd::Lost {
        return;
    }
    let guard = CountGuard::begin_within(state, |state| &state.lingering, MAX_LINGERING);
    let outcome = match guard {
        None => "refused".to_owned(),
        Some(_lingering) if end == ServingEnd::Idle => wait_for_close(&stream).await.to_string(),
        Some(_lingering) => read_on(stream).await.to_string(),
    };
    let closes = &state.metrics.lingering;
    closes.with_label_values(&[outcome.as_str()]).inc();
}

/// Closes the sending side and reads on until the caller closes the other one.
async fn read_on(mut stream: TcpStream) -> LingerEnd {
    let options = LingerOptions {
        // A VM that shuts down ends it with its grace time.
        time: RECEIVE_TIMEOUT,
        bytes: DISCARDED_BYTES,
    };
    lingering::close(&mut stream, WireStream::shutdown_write, options).await
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
