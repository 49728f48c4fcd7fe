//! Lingering close (RFC 9112, section 9.6): ends a connection without losing what was written last.
//!
//! Bytes that arrive at a closed socket, or lie unread in it when it is closed, make the kernel reset the
//! connection and drop what it has not sent yet. So the sending side is closed first, and the rest of the
//! input is read and dropped. A peer may send without end and never close: both are bounded.

use async_std::future::timeout;
use async_std::task;
use futures::io::{AsyncRead, AsyncReadExt};
use std::io;
use std::time::Duration;

/// Bytes requested from the connection per read.
const READ_BYTES: usize = 8 * 1024;

/// Bounds of a lingering close.
#[derive(Clone, Copy, Debug)]
pub struct LingerOptions {
    /// How long the peer may take to close its side.
    pub time: Duration,
    /// How many bytes are read and dropped until then.
    pub bytes: usize,
}

/// What ended a lingering close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LingerEnd {
    /// The peer closed its side, and has received everything.
    #[display("closed")]
    PeerClosed,
    /// The peer sent more bytes than are read.
    #[display("too-many-bytes")]
    TooManyBytes,
    /// The peer did not close its side in time.
    #[display("timed-out")]
    TimedOut,
    /// The connection failed.
    #[display("failed")]
    Failed,
}

/// Closes the sending side of a connection by `shutdown` and waits, within the bounds, until the peer
/// closes the other one. Dropping the connection after that closes it.
pub async fn close<S>(
    stream: &mut S,
    shutdown: impl FnOnce(&S) -> io::Result<()>,
    options: LingerOptions,
) -> LingerEnd
where
    S: AsyncRead + Unpin,
{
    let closing = async {
        shutdown(stream)?;
        discard(stream, options.bytes).await
    };
    match timeout(options.time, closing).await {
        Ok(Ok(end)) => end,
        Ok(Err(error)) => {
            log::trace!("a lingering close failed: {error}");
            LingerEnd::Failed
        }
        Err(_) => LingerEnd::TimedOut,
    }
}

/// Reads and drops the input up to its end, at most about `bound` bytes.
async fn discard(input: &mut (impl AsyncRead + Unpin), bound: usize) -> io::Result<LingerEnd> {
    let mut scratch = vec![0; READ_BYTES];
    let mut received = 0;
    while received < bound {
        match input.read(&mut scratch).await? {
            0 => return Ok(LingerEnd::PeerClosed),
            count => received += count,
        }
        // A peer that always has more bytes must not keep other tasks from running.
        task::yield_now().await;
    }
    Ok(LingerEnd::TooManyBytes)
}
