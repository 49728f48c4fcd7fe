//! Splits a connection's input into messages, so that async-h1 reads exactly one at a time.
//!
//! async-h1 reads through its own buffer and discards that buffer with each message, so bytes of
//! the next message would be lost. The framer keeps the bytes that follow a message, counts the
//! body up to its end, returns an error if the connection ends or stalls before that, and reports
//! when the connection is free for the next message.

mod stall;

use crate::head_end::HeadKind;
use crate::{chunk, head, stream};
use futures::future;
use futures::io::{AsyncRead, AsyncWrite};
use http_types::headers::CONTENT_TYPE;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

/// Capacity of the receive buffer, in bytes; larger than a head or trailers may be.
const BUFFER_BYTES: usize = 8 * 1024;
/// The interim response that makes a caller send its body.
const CONTINUE_BYTES: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Called when the message has been read to its end; `true` if no bytes follow it in the buffer.
pub type EndHook = Box<dyn FnOnce(bool) + Send>;

/// Which part of the current message is read next.
#[derive(Clone, Copy, Debug)]
enum FramerPhase {
    Head { left: usize },
    Body(head::BodyFraming),
}

struct FramerState<IO> {
    connection: IO,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    phase: FramerPhase,
    has_content_type: bool,
    epoch: u64,
    pending_interim: &'static [u8],
    stall_timer: stall::StallTimer,
    hook: Option<EndHook>,
    close_waker: Option<Waker>,
}

impl<IO: stream::WireStream> FramerState<IO> {
    fn received(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.buffer.resize(BUFFER_BYTES, 0);
        self.buffer.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
        if self.end == BUFFER_BYTES {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let room = &mut self.buffer[self.end..];
        let count = ready!(Pin::new(&mut self.connection).poll_read(context, room))?;
        self.end += count;
        Poll::Ready(Ok(count))
    }

    fn take(&mut self, output: &mut [u8], count: usize) {
        output[..count].copy_from_slice(&self.buffer[self.start..self.start + count]);
        self.start += count;
    }

    fn poll_message(
        &mut self,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.phase {
            FramerPhase::Head { left } => {
                let count = left.min(output.len());
                self.take(output, count);
                self.phase = FramerPhase::Head { left: left - count };
                Poll::Ready(Ok(count))
            }
            FramerPhase::Body(framing) if framing.is_ended() => Poll::Ready(Ok(0)),
            FramerPhase::Body(framing) => self.poll_body(context, output, framing),
        }
    }

    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        output: &mut [u8],
        framing: head::BodyFraming,
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending_interim(context))?;
        let polled = match framing {
            head::BodyFraming::Length(left) => self.poll_length(context, output, left),
            head::BodyFraming::Chunked(scanner) => self.poll_chunks(context, output, scanner),
        };
        if polled.is_pending() {
            ready!(self.stall_timer.poll_expired(context));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        self.stall_timer.reset();
        self.notify_if_ended();
        polled
    }

    fn poll_pending_interim(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.pending_interim.is_empty() {
            let count =
                ready!(Pin::new(&mut self.connection).poll_write(context, self.pending_interim))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.pending_interim = &self.pending_interim[count..];
        }
        Poll::Ready(Ok(()))
    }

    fn poll_length(
        &mut self,
        context: &mut Context<'_>,
        output: &mut [u8],
        left: u64,
    ) -> Poll<io::Result<usize>> {
        let max_count = output
            .len()
            .min(usize::try_from(left).unwrap_or(usize::MAX));
        let count = match self.received().len().min(max_count) {
            0 => {
                let connection = Pin::new(&mut self.connection);
                ready!(connection.poll_read(context, &mut output[..max_count]))?
            }
            count => {
                self.take(output, count);
                count
            }
        };
        if count == 0 && max_count > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        self.phase = FramerPhase::Body(head::BodyFraming::Length(left - count as u64));
        Poll::Ready(Ok(count))
    }

    fn poll_chunks(
        &mut self,
        context: &mut Context<'_>,
        output: &mut [u8],
        mut scanner: chunk::ChunkScanner,
    ) -> Poll<io::Result<usize>> {
        loop {
            let count = scanner
                .scan(self.received(), output.len())
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            if count > 0 {
                self.take(output, count);
                self.phase = FramerPhase::Body(head::BodyFraming::Chunked(scanner));
                return Poll::Ready(Ok(count));
            }
            if ready!(self.poll_fill(context))? == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    fn notify_if_ended(&mut self) {
        let FramerPhase::Body(framing) = self.phase else {
            return;
        };
        if !framing.is_ended() {
            return;
        }
        let clean = self.received().is_empty();
        if let Some(hook) = self.hook.take() {
            hook(clean);
        }
        if let Some(close_waker) = self.close_waker.take() {
            close_waker.wake();
        }
    }
}

/// Result of waiting for a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadArrival {
    /// A complete head was received and is what the reader returns next.
    Found,
    /// The connection ended.
    Ended {
        /// Whether part of a head had been received.
        partial: bool,
    },
    /// The received bytes are not an acceptable head.
    Refused(head::error::HeadError),
}

/// The message framer of one connection; clones share its state.
pub struct MessageFramer<IO> {
    state: Arc<Mutex<FramerState<IO>>>,
}

impl<IO> Clone for MessageFramer<IO> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
        }
    }
}

impl<IO: stream::WireStream> MessageFramer<IO> {
    /// Creates a framer for `connection`; body reads fail after `stall` without a byte.
    pub fn new(connection: IO, stall: Duration) -> Self {
        let state = FramerState {
            connection,
            buffer: Vec::new(),
            start: 0,
            end: 0,
            phase: FramerPhase::Body(head::BodyFraming::NONE),
            has_content_type: false,
            epoch: 0,
            pending_interim: &[],
            stall_timer: stall::StallTimer::new(stall),
            hook: None,
            close_waker: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FramerState<IO>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next head of this kind and of at most `bound` bytes; invalidates readers of the last message.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn next_head(&self, kind: HeadKind, bound: usize) -> io::Result<HeadArrival> {
        self.lock().epoch += 1;
        future::poll_fn(|context| {
            let mut state = self.lock();
            loop {
                if kind == HeadKind::Request {
                    state.skip_blank_lines();
                }
                match head::find_end(kind, state.received(), bound) {
                    Err(error) => return Poll::Ready(Ok(HeadArrival::Refused(error))),
                    Ok(Some(end)) => {
                        state.phase = FramerPhase::Head { left: end };
                        state.has_content_type =
                            head::has_header(&state.received()[..end], &CONTENT_TYPE);
                        return Poll::Ready(Ok(HeadArrival::Found));
                    }
                    Ok(None) => {}
                }
                if ready!(state.poll_fill(context))? == 0 {
                    let partial = !state.received().is_empty();
                    return Poll::Ready(Ok(HeadArrival::Ended { partial }));
                }
            }
        })
        .await
    }

    /// Whether the buffer holds bytes that were not read yet.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.lock().received().is_empty()
    }

    /// Whether the connection can carry a message: it has not ended and no bytes are pending.
    pub async fn is_reusable(&self) -> bool {
        future::poll_fn(|context| {
            let mut state = self.lock();
            let reusable = state.received().is_empty() && state.poll_fill(context).is_pending();
            Poll::Ready(reusable)
        })
        .await
    }

    /// Whether the last head has a content type; async-h1 adds one if the message has none.
    pub fn has_content_type(&self) -> bool {
        self.lock().has_content_type
    }

    /// Sets the framing of the body that follows the current head, and the hook for its end.
    pub fn begin_body(&self, framing: head::BodyFraming, hook: Option<EndHook>) {
        let mut state = self.lock();
        state.phase = FramerPhase::Body(framing);
        state.hook = hook;
        state.notify_if_ended();
    }

    /// Makes the first read of the body send `100 Continue` before it.
    pub fn queue_continue(&self) {
        self.lock().pending_interim = CONTINUE_BYTES;
    }

    /// Makes an unread body unreadable and cancels a `100 Continue` that was not sent yet.
    ///
    /// Once the response has begun, sending `100 Continue` would write into the middle of it.
    pub fn abandon_body(&self) {
        let mut state = self.lock();
        state.pending_interim = &[];
        state.epoch += 1;
    }

    /// Whether the body has been read to its end.
    pub fn is_ended(&self) -> bool {
        matches!(self.lock().phase, FramerPhase::Body(framing) if framing.is_ended())
    }

    /// Whether the caller still waits for `100 Continue`.
    pub fn has_pending_continue(&self) -> bool {
        !self.lock().pending_interim.is_empty()
    }

    /// A reader of the current message; its reads fail once [`Self::next_head`] is called.
    pub fn reader(&self) -> MessageReader<IO> {
        MessageReader {
            framer: self.clone(),
            epoch: self.lock().epoch,
        }
    }

    /// Waits until the peer ends the connection; begins once the current message was read in full.
    ///
    /// Bytes of a further message are kept. If they fill the buffer, this never returns.
    pub async fn wait_for_close(&self) {
        future::poll_fn(|context| {
            let mut state = self.lock();
            let ended = matches!(state.phase, FramerPhase::Body(framing) if framing.is_ended());
            if !ended {
                state.close_waker = Some(context.waker().clone());
                return Poll::Pending;
            }
            loop {
                if state.end - state.start == BUFFER_BYTES {
                    return Poll::Pending;
                }
                match ready!(state.poll_fill(context)) {
                    Ok(count) if count > 0 => {}
                    _ => return Poll::Ready(()),
                }
            }
        })
        .await;
    }
}

impl<IO: stream::WireStream> FramerState<IO> {
    fn skip_blank_lines(&mut self) {
        while self.received().starts_with(b"\r\n") {
            self.start += 2;
        }
    }
}

/// Reads one message through the framer.
///
/// Writes are accepted and discarded: async-h1 writes only to send `100 Continue`, which the framer
/// sends itself, so that it is ordered with all other output.
pub struct MessageReader<IO> {
    framer: MessageFramer<IO>,
    epoch: u64,
}

impl<IO> Clone for MessageReader<IO> {
    fn clone(&self) -> Self {
        Self {
            framer: self.framer.clone(),
            epoch: self.epoch,
        }
    }
}

impl<IO: stream::WireStream> AsyncRead for MessageReader<IO> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.framer.lock();
        if state.epoch != self.epoch {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        }
        state.poll_message(context, output)
    }
}

impl<IO: stream::WireStream> AsyncWrite for MessageReader<IO> {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
