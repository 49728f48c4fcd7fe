//! The trait of a connection, and writing a complete message to one.

use async_std::future as timed;
use async_std::net::TcpStream;
use futures::future;
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;

/// Size of the first write, in bytes; fits a head and a small body.
const FIRST_BATCH_BYTES: usize = 4 * 1024;
/// Size of later writes, in bytes; large, so that a large body needs few of them.
const BATCH_BYTES: usize = 64 * 1024;
/// Minimum free space in the buffer for each read from the chunk encoder of async-h1, in bytes.
const MIN_ENCODE_BYTES: usize = 256;

/// A connection whose clones share one socket.
pub trait WireStream: AsyncRead + AsyncWrite + Clone + Send + Sync + Unpin + 'static {
    /// Closes the sending side, also while clones exist. Closing it as an [`AsyncWrite`] does not on a
    /// TCP connection of async-std, which only flushes.
    ///
    /// # Errors
    /// The connection has ended.
    fn shutdown_write(&self) -> io::Result<()>;
}

impl WireStream for TcpStream {
    fn shutdown_write(&self) -> io::Result<()> {
        self.shutdown(Shutdown::Write)
    }
}

/// Why a message was not written in full.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum TransferError {
    /// The body of the message failed or was shorter than declared.
    #[snafu(display("the body could not be read to its end"))]
    Body {
        /// The cause.
        source: io::Error,
    },
    /// Writing to the connection failed.
    #[snafu(display("the connection took no more bytes"))]
    Write {
        /// The cause.
        source: io::Error,
    },
}

/// Writes everything that `message` yields, in batches, and flushes the connection at the end.
///
/// A batch is written when it is full or when `message` has no more bytes ready. `written` counts
/// the bytes that the connection accepted, including when this future is dropped before its end. A
/// write that makes no progress for `stall` fails.
///
/// # Errors
/// Reading the message failed, or writing to the connection failed.
pub async fn transfer<M, W>(
    message: &mut M,
    output: &mut W,
    stall: Duration,
    written: &AtomicU64,
) -> Result<(), TransferError>
where
    M: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut batch = vec![0; FIRST_BATCH_BYTES];
    loop {
        let filled = fill(message, &mut batch)
            .await
            .map_err(|source| TransferError::Body { source })?;
        if filled == 0 {
            break;
        }
        write_counted(output, &batch[..filled], stall, written)
            .await
            .map_err(|source| TransferError::Write { source })?;
        if filled + MIN_ENCODE_BYTES > batch.len() {
            batch.resize(BATCH_BYTES, 0);
        }
    }
    output
        .flush()
        .await
        .map_err(|source| TransferError::Write { source })
}

async fn fill<M: AsyncRead + Unpin>(message: &mut M, batch: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    future::poll_fn(|context| {
        while filled + MIN_ENCODE_BYTES <= batch.len() {
            match Pin::new(&mut *message).poll_read(context, &mut batch[filled..]) {
                Poll::Ready(Ok(0)) => break,
                Poll::Ready(Ok(count)) => filled += count,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending if filled > 0 => break,
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(filled))
    })
    .await
}

async fn write_counted<W: AsyncWrite + Unpin>(
    output: &mut W,
    mut bytes: &[u8],
    stall: Duration,
    written: &AtomicU64,
) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = timed::timeout(stall, output.write(bytes))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        written.fetch_add(count as u64, Ordering::Relaxed);
        bytes = &bytes[count..];
    }
    Ok(())
}
