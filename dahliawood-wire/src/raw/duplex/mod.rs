//! Writes a request while the response to it is read.
//!
//! The error of a connection is reported once, to whoever uses the connection next. If that is the write of
//! the request, reading ends as if the peer had closed the connection in order. A body that ends with its
//! connection is whole only if no error was reported to the write before that.

use crate::raw::budget::{ByteBudget, HeldBody};
use crate::raw::error::ReadError;
use crate::raw::head::BodyFraming;
use crate::raw::reader::ConnectionReader;
use futures::future::{self, Either};
use futures::io::AsyncRead;
use std::cell::Cell;
use std::io;
use std::pin::Pin;

/// How far the write of a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteState {
    #[default]
    InProgress,
    Done,
    Failed,
}

/// Tells the reader of a response how far the write of the request has come.
#[derive(Debug, Default)]
pub struct WriteProgress(Cell<WriteState>);

impl WriteProgress {
    /// Whether the whole request was written.
    pub fn is_done(&self) -> bool {
        self.0.get() == WriteState::Done
    }

    /// Whether writing failed: the connection has ended by an error, which reading may not see.
    pub fn has_failed(&self) -> bool {
        self.0.get() == WriteState::Failed
    }

    fn record(&self, written: &io::Result<()>) {
        self.0.set(match written {
            Ok(()) => WriteState::Done,
            Err(error) => {
                log::debug!("a request could not be written: {error}");
                WriteState::Failed
            }
        });
    }
}

/// Runs the write of a request and the read of its response at the same time, until the read ends. The
/// write is given up then if it still waits. Both are pinned by the caller, as moving them in would double
/// the size of the future.
pub async fn exchange<T>(
    progress: &WriteProgress,
    writing: Pin<&mut impl Future<Output = io::Result<()>>>,
    reading: Pin<&mut impl Future<Output = T>>,
) -> T {
    match future::select(writing, reading).await {
        Either::Left((written, reading)) => {
            progress.record(&written);
            reading.await
        }
        Either::Right((read, _)) => read,
    }
}

/// Reads the body of a response, as [`ConnectionReader::body_within`], while its request is written.
///
/// # Errors
/// As there, and if the body ends with the connection and the request could not be written.
pub async fn response_body<R: AsyncRead + Unpin>(
    progress: &WriteProgress,
    reader: &mut ConnectionReader<R>,
    framing: BodyFraming,
    bound: usize,
    budget: &ByteBudget,
) -> Result<HeldBody, ReadError> {
    let body = reader.body_within(framing, bound, budget).await?;
    let ends_at_close = matches!(framing, BodyFraming::UntilClose);
    match ends_at_close && progress.has_failed() {
        true => Err(ReadError::Truncated),
        false => Ok(body),
    }
}
