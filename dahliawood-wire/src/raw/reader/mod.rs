//! Reads messages from one connection, without consuming bytes after their end.
//!
//! A peer may send faster than bytes are read, and without end: a reader lets other tasks run after a
//! number of reads, so that timeouts are kept, and takes the bytes of a body from a budget.

use crate::chunk::ChunkScanner;
use crate::head_end::{self, HeadKind};
use crate::interim;
use crate::raw::budget::{ByteBudget, HeldBody};
use crate::raw::error::{ChunksSnafu, ConnectionSnafu, ReadError};
use crate::raw::head::{self, BodyFraming, RequestHead, ResponseHead};
use async_std::task;
use futures::io::{AsyncRead, AsyncReadExt};
use snafu::ResultExt;

/// Bytes requested from the connection per read.
const READ_BYTES: usize = 8 * 1024;
/// Bytes requested from the connection per read of a body that ends at the close.
const BODY_READ_BYTES: usize = 64 * 1024;
/// Bytes of memory for received bytes that a connection keeps between messages.
const KEPT_BYTES: usize = 2 * READ_BYTES;
/// Reads after which other tasks run, if the connection always has more bytes.
const READS_PER_TURN: u32 = 8;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";

/// A connection and a buffer of bytes that were received but not consumed yet.
#[derive(Debug)]
pub struct ConnectionReader<R> {
    input: R,
    buffer: Vec<u8>,
    start: usize,
    /// Destination of each read, so that a read that is dropped does not change the buffer.
    scratch: Vec<u8>,
    /// Reads since other tasks last ran.
    reads: u32,
}

impl<R: AsyncRead + Unpin> ConnectionReader<R> {
    /// Creates a reader for a new connection.
    pub fn new(input: R) -> Self {
        Self {
            input,
            buffer: Vec::new(),
            start: 0,
            scratch: Vec::new(),
            reads: 0,
        }
    }

    /// The bytes that were received but not consumed yet.
    pub fn received(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// The connection if the buffer is empty, otherwise `None`.
    pub fn into_inner_if_empty(self) -> Option<R> {
        (self.start == self.buffer.len()).then_some(self.input)
    }

    /// Receives at most `max_bytes` bytes; returns their number, zero if the connection has ended.
    async fn fill(&mut self, max_bytes: usize) -> Result<usize, ReadError> {
        self.release_consumed(max_bytes);
        self.scratch.resize(max_bytes, 0);
        self.reads += 1;
        if self.reads.is_multiple_of(READS_PER_TURN) {
            task::yield_now().await;
        }
        let read = self.input.read(&mut self.scratch).await;
        let count = read.context(ConnectionSnafu)?;
        self.buffer.extend_from_slice(&self.scratch[..count]);
        Ok(count)
    }

    /// Releases what is consumed, once it is at least as much as what is not: so a connection that always
    /// has a further message waiting does not keep all that it ever received, and each byte is moved once
    /// on average. Before a short read, as of a head, also the memory that a long body took.
    fn release_consumed(&mut self, next_bytes: usize) {
        if self.start >= self.received().len() {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if next_bytes <= READ_BYTES && self.buffer.is_empty() {
            self.buffer.shrink_to(KEPT_BYTES);
            if self.scratch.capacity() > KEPT_BYTES {
                self.scratch = Vec::new();
            }
        }
    }

    /// Bytes of memory that the reader holds.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity() + self.scratch.capacity()
    }

    /// Consumes `count` received bytes.
    fn take(&mut self, count: usize) -> Vec<u8> {
        let taken = self.buffer[self.start..self.start + count].to_vec();
        self.start += count;
        taken
    }

    /// The bytes of the next head; `None` if the connection ended before its first byte.
    ///
    /// Empty lines before a request are skipped (RFC 9112, section 2.2), as part of the bound.
    async fn head_bytes(
        &mut self,
        kind: HeadKind,
        bound: usize,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let mut scanned = 0;
        let mut skipped = 0;
        loop {
            while kind == HeadKind::Request
                && scanned < LINE_END.len()
                && self.received().starts_with(LINE_END)
            {
                self.start += LINE_END.len();
                skipped += LINE_END.len();
                scanned = 0;
            }
            let received = self.received();
            let end = head_end::find(kind, received, scanned);
            match end.map_err(|error| ReadError::malformed(&error))? {
                Some(end) if end + skipped <= bound => return Ok(Some(self.take(end))),
                None if received.len() + skipped < bound => {}
                _ => return Err(ReadError::HeadTooLarge { bound }),
            }
            scanned = received.len();
            if self.fill(READ_BYTES).await? == 0 {
                return match self.received().is_empty() {
                    true => Ok(None),
                    false => Err(ReadError::Truncated),
                };
            }
        }
    }

    /// Reads the next request head of at most `bound` bytes; `None` if the connection ended.
    ///
    /// # Errors
    /// The connection failed, or the received bytes are not a valid request head.
    pub async fn request_head(&mut self, bound: usize) -> Result<Option<RequestHead>, ReadError> {
        let bytes = self.head_bytes(HeadKind::Request, bound).await?;
        bytes.map(|bytes| head::parse_request(&bytes)).transpose()
    }

    /// Reads the next head of a final response, of at most `bound` bytes, and skips informational
    /// responses before it; `None` if the connection ended before the first of them.
    ///
    /// # Errors
    /// The connection failed, or the received bytes are not valid response heads.
    pub async fn response_head(&mut self, bound: usize) -> Result<Option<ResponseHead>, ReadError> {
        for skipped in 0..=interim::MAX_RESPONSES {
            let Some(head) = self.next_response_head(bound).await? else {
                return match skipped {
                    0 => Ok(None),
                    _ => Err(ReadError::Truncated),
                };
            };
            let is_skipped = interim::is_skipped(head.status, head.announces_body());
            if !is_skipped.map_err(ReadError::malformed)? {
                return Ok(Some(head));
            }
        }
        Err(ReadError::malformed("informational responses without end"))
    }

    async fn next_response_head(
        &mut self,
        bound: usize,
    ) -> Result<Option<ResponseHead>, ReadError> {
        let bytes = self.head_bytes(HeadKind::Response, bound).await?;
        bytes.map(|bytes| head::parse_response(&bytes)).transpose()
    }

    /// Reads a complete body of at most `bound` bytes.
    ///
    /// # Errors
    /// The body is longer or malformed, or the connection failed or ended before the end of the
    /// body.
    pub async fn body(&mut self, framing: BodyFraming, bound: usize) -> Result<Vec<u8>, ReadError> {
        let budget = ByteBudget::new(usize::MAX);
        let body = self.body_within(framing, bound, &budget).await;
        body.map(HeldBody::into_bytes)
    }

    /// Reads a complete body of at most `bound` bytes, which are taken from `budget` as they arrive
    /// and are given back once the body is dropped.
    ///
    /// # Errors
    /// As [`Self::body`], and if the budget is used up.
    pub async fn body_within(
        &mut self,
        framing: BodyFraming,
        bound: usize,
        budget: &ByteBudget,
    ) -> Result<HeldBody, ReadError> {
        let mut body = budget.body();
        match framing {
            BodyFraming::Length(length) if length > bound => {
                return Err(ReadError::BodyTooLarge { bound });
            }
            BodyFraming::Length(length) => self.sized_body(length, &mut body).await?,
            BodyFraming::Chunked(scanner) => self.chunked_body(scanner, bound, &mut body).await?,
            BodyFraming::UntilClose => self.body_until_close(bound, &mut body).await?,
        }
        Ok(body)
    }

    async fn sized_body(&mut self, length: usize, body: &mut HeldBody) -> Result<(), ReadError> {
        loop {
            let count = self.received().len().min(length - body.len());
            body.append(&self.buffer[self.start..self.start + count])?;
            self.start += count;
            if body.len() == length {
                return Ok(());
            }
            let missing = length - body.len();
            if self.fill(missing.min(BODY_READ_BYTES)).await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    async fn chunked_body(
        &mut self,
        mut scanner: ChunkScanner,
        bound: usize,
        body: &mut HeldBody,
    ) -> Result<(), ReadError> {
        loop {
            let received = &self.buffer[self.start..];
            let (count, is_content) = scanner.scan_content(received).context(ChunksSnafu)?;
            if is_content {
                body.append(&self.buffer[self.start..self.start + count])?;
            }
            self.start += count;
            if scanner.is_done() {
                return Ok(());
            }
            if body.len() > bound {
                return Err(ReadError::BodyTooLarge { bound });
            }
            if count == 0 && self.fill(READ_BYTES).await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    async fn body_until_close(
        &mut self,
        bound: usize,
        body: &mut HeldBody,
    ) -> Result<(), ReadError> {
        loop {
            body.append(&self.buffer[self.start..])?;
            self.start = self.buffer.len();
            if body.len() > bound {
                return Err(ReadError::BodyTooLarge { bound });
            }
            if self.fill(BODY_READ_BYTES).await? == 0 {
                return Ok(());
            }
        }
    }

    /// Waits until the peer ends the connection; bytes received in the meantime are kept.
    ///
    /// If `bound` bytes are buffered, this never returns.
    pub async fn wait_for_close(&mut self, bound: usize) {
        loop {
            if self.received().len() >= bound {
                return futures::future::pending().await;
            }
            if !matches!(self.fill(READ_BYTES).await, Ok(count) if count > 0) {
                return;
            }
        }
    }
}
