//! Serves HTTP/1.1 requests from one caller connection with keep-alive.

pub mod error;
mod refuse;

use crate::head_end::HeadKind;
use crate::lingering::LingerOptions;
use crate::{body, framer, head, lingering, stream};
use async_std::future as timed;
use async_std::task;
use error::{ConnectionError, ReceiveSnafu};
use futures::future::{self, Either};
use futures::io::AsyncReadExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http_types::{Body, Method, Request, Response, StatusCode};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

/// The longest head that async-h1 accepts, in bytes.
pub const HEAD_BYTES: usize = 8 * 1024 - 1;
/// How often an idle connection checks whether the VM is shutting down.
const CLOSING_POLL: Duration = Duration::from_millis(200);

/// Limits and timeouts of a caller connection.
#[derive(Clone, Debug)]
pub struct ConnectionOptions {
    /// The caller's address, set on each request.
    pub peer: Option<SocketAddr>,
    /// Maximum length of a head, in bytes; at most [`HEAD_BYTES`].
    pub head_bound: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Maximum idle time between requests.
    pub keep_alive: Duration,
    /// Maximum idle time between requests while the VM is shutting down.
    pub closing_keep_alive: Duration,
    /// Maximum time without progress on a body, in either direction.
    pub stall_timeout: Duration,
    /// How much of a request body that the handler left unread is discarded, in bytes.
    pub drain_bytes: u64,
    /// Maximum time for discarding it.
    pub drain_timeout: Duration,
    /// Whether the handler is dropped when the caller disconnects. A handler whose work must not be
    /// cancelled runs it in a separate task.
    pub cancel_on_disconnect: bool,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            peer: None,
            head_bound: HEAD_BYTES,
            head_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_secs(75),
            closing_keep_alive: Duration::from_millis(500),
            stall_timeout: Duration::from_secs(20),
            drain_bytes: 256 * 1024,
            drain_timeout: Duration::from_millis(500),
            cancel_on_disconnect: true,
        }
    }
}

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The caller closed the connection between requests.
    CallerClosed,
    /// The caller closed the connection inside a request or before the response.
    CallerDisconnected,
    /// The connection exceeded its idle timeout.
    Idle,
    /// One side sent `Connection: close`, or the VM is shutting down.
    Closed,
    /// A request was rejected before it reached the handler.
    Refused(StatusCode),
    /// The handler left more of a request body unread than may be discarded.
    Undrained,
}

/// Summary of a finished connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOutcome {
    /// Number of requests whose response from the handler was sent in full.
    pub served: u64,
    /// Why the connection ended.
    pub end: ConnectionEnd,
}

/// Serves requests from one caller connection, in order, until the connection ends.
///
/// `closing` returns whether the VM is shutting down; responses then carry `Connection: close`. The
/// handler receives only requests whose framing is unambiguous. If a response body fails or is
/// shorter than declared, the connection ends without the last chunk or byte, so that the caller
/// detects the truncation.
///
/// # Errors
/// The connection failed, or a response was truncated.
pub async fn connection<IO, H, F, C>(
    stream: IO,
    options: &ConnectionOptions,
    closing: C,
    handler: H,
) -> Result<ConnectionOutcome, ConnectionError>
where
    IO: stream::WireStream,
    H: Fn(Request) -> F,
    F: Future<Output = Response> + Send,
    C: Fn() -> bool,
{
    let framer = framer::MessageFramer::new(stream.clone(), options.stall_timeout);
    let mut caller = CallerConnection {
        stream,
        framer,
        options,
        served: 0,
        written: AtomicU64::new(0),
        poll_timer: poll_timer(options),
    };
    loop {
        let step = caller.serve_one(&closing, &handler).await;
        match step {
            Ok(Step::Next) => {}
            Ok(Step::End(end)) => {
                caller.close().await;
                let served = caller.served;
                return Ok(ConnectionOutcome { served, end });
            }
            Err(error) => return Err(error),
        }
    }
}

enum Step {
    Next,
    End(ConnectionEnd),
}

struct CallerConnection<'a, IO> {
    stream: IO,
    framer: framer::MessageFramer<IO>,
    options: &'a ConnectionOptions,
    served: u64,
    /// Bytes of the current response that the connection accepted and the caller may have received.
    written: AtomicU64,
    /// Kept across requests, because arming a timer wakes the runtime's reactor.
    poll_timer: Pin<Box<dyn Future<Output = ()> + Send>>,
}

/// A timer for the next check of the head timeout, the idle timeout and a shutdown of the VM.
fn poll_timer(options: &ConnectionOptions) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    let span = CLOSING_POLL
        .min(options.head_timeout)
        .min(options.keep_alive);
    Box::pin(task::sleep(span))
}

impl<IO: stream::WireStream> CallerConnection<'_, IO> {
    async fn serve_one<H, F, C>(
        &mut self,
        closing: &C,
        handler: &H,
    ) -> Result<Step, ConnectionError>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response> + Send,
        C: Fn() -> bool,
    {
        let arrival = match self.await_head(closing).await? {
            Ok(arrival) => arrival,
            Err(step) => return Ok(step),
        };
        let request = match arrival {
            framer::HeadArrival::Found => self.decode().await,
            framer::HeadArrival::Refused(error) => Err(error),
            framer::HeadArrival::Ended { partial } => {
                let end = if partial {
                    ConnectionEnd::CallerDisconnected
                } else {
                    ConnectionEnd::CallerClosed
                };
                return Ok(Step::End(end));
            }
        };
        match request {
            Ok(request) => self.respond(request, closing, handler).await,
            Err(error) => self.refuse(error.status(), &error.to_string()).await,
        }
    }

    /// Waits for the next head; returns the step to take if none arrives in time.
    async fn await_head<C: Fn() -> bool>(
        &mut self,
        closing: &C,
    ) -> Result<Result<framer::HeadArrival, Step>, ConnectionError> {
        let idle = Instant::now();
        let mut begun = self.framer.has_buffered_bytes().then_some(idle);
        let framer = self.framer.clone();
        let mut next = Box::pin(framer.next_head(HeadKind::Request, self.options.head_bound));
        loop {
            match future::select(next, &mut self.poll_timer).await {
                Either::Left((arrival, _)) => return arrival.context(ReceiveSnafu).map(Ok),
                Either::Right(((), waiting)) => next = waiting,
            }
            self.poll_timer = poll_timer(self.options);
            if begun.is_none() && self.framer.has_buffered_bytes() {
                begun = Some(Instant::now());
            }
            if begun.unwrap_or(idle).elapsed() >= self.wait_limit(begun.is_some(), closing()) {
                return self.end_wait(begun.is_some(), closing()).await.map(Err);
            }
        }
    }

    /// How long to wait for a head, depending on whether it has begun.
    fn wait_limit(&self, begun: bool, closing: bool) -> Duration {
        match (begun, closing) {
            (true, _) => self.options.head_timeout,
            (false, true) => self.options.closing_keep_alive.min(self.options.keep_alive),
            (false, false) => self.options.keep_alive,
        }
    }

    async fn end_wait(&mut self, begun: bool, closing: bool) -> Result<Step, ConnectionError> {
        match (begun, closing) {
            (true, _) => {
                let status = StatusCode::RequestTimeout;
                self.refuse(status, "the head took too long").await
            }
            (false, true) => Ok(Step::End(ConnectionEnd::Closed)),
            (false, false) => Ok(Step::End(ConnectionEnd::Idle)),
        }
    }

    async fn decode(&mut self) -> Result<Request, head::error::HeadError> {
        let malformed = |reason: String| head::error::HeadError::Malformed { reason };
        let (mut request, _) = Box::pin(async_h1::server::decode(self.framer.reader()))
            .await
            .map_err(|error| malformed(error.to_string()))?
            .ok_or_else(|| malformed("the head is not whole".to_owned()))?;
        let framing = head::request_framing(&request)?;
        self.framer.begin_body(framing, None);
        if let head::BodyFraming::Length(length) = framing {
            let length = usize::try_from(length).ok();
            request.set_body(body::buffered(self.framer.reader(), length));
        }
        if !self.framer.has_content_type() {
            request.remove_header(CONTENT_TYPE);
        }
        if head::expects_continue(&request) && !framing.is_ended() {
            self.framer.queue_continue();
        }
        request.set_peer_addr(self.options.peer);
        Ok(request)
    }

    async fn respond<H, F, C>(
        &mut self,
        request: Request,
        closing: &C,
        handler: &H,
    ) -> Result<Step, ConnectionError>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response> + Send,
        C: Fn() -> bool,
    {
        let method = request.method();
        let caller_closes = head::says_close(request.as_ref());
        let Some(mut response) = self.handle(request, handler).await else {
            return Ok(Step::End(ConnectionEnd::CallerDisconnected));
        };
        let continue_pending = self.framer.has_pending_continue();
        if continue_pending {
            self.framer.abandon_body();
        }
        let close =
            caller_closes || continue_pending || closing() || head::says_close(response.as_ref());
        if close {
            response.insert_header(CONNECTION, "close");
        }
        if let Err(source) = self.write(response, method).await {
            return self.fail_response(source).await;
        }
        self.served += 1;
        if close {
            return Ok(Step::End(ConnectionEnd::Closed));
        }
        if !self.drain_body().await {
            return Ok(Step::End(ConnectionEnd::Undrained));
        }
        Ok(Step::Next)
    }

    /// Runs the handler; `None` if the caller disconnected first and the handler was dropped.
    async fn handle<H, F>(&mut self, request: Request, handler: &H) -> Option<Response>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response> + Send,
    {
        let running = std::pin::pin!(handler(request));
        let disconnected = std::pin::pin!(self.framer.wait_for_close());
        match future::select(running, disconnected).await {
            Either::Left((response, _)) => Some(response),
            Either::Right(((), _)) if self.options.cancel_on_disconnect => None,
            Either::Right(((), running)) => Some(running.await),
        }
    }

    async fn write(
        &mut self,
        response: Response,
        method: Method,
    ) -> Result<(), stream::TransferError> {
        let mut encoder = encoder(response, method);
        let stall = self.options.stall_timeout;
        self.written = AtomicU64::new(0);
        stream::transfer(&mut encoder, &mut self.stream, stall, &self.written).await
    }

    /// Discards the part of the body that the handler did not read; returns whether its end was
    /// reached within the limits.
    async fn drain_body(&mut self) -> bool {
        if self.framer.is_ended() {
            return true;
        }
        let reader = self.framer.reader();
        let mut reader = reader.take(self.options.drain_bytes);
        let mut sink = futures::io::sink();
        let drained = futures::io::copy(&mut reader, &mut sink);
        let drained = timed::timeout(self.options.drain_timeout, drained).await;
        matches!(drained, Ok(Ok(_))) && self.framer.is_ended()
    }

    /// Closes the connection so that a response that was already written arrives.
    async fn close(&mut self) {
        let options = LingerOptions {
            time: self.options.drain_timeout,
            bytes: usize::try_from(self.options.drain_bytes).unwrap_or(usize::MAX),
        };
        let end = lingering::close(&mut self.stream, IO::shutdown_write, options).await;
        log::trace!("a caller's connection was closed: {end}");
    }
}

/// Creates the encoder of a response after making its framing headers agree with its body.
fn encoder(mut response: Response, method: Method) -> async_h1::server::Encoder {
    let length = response
        .remove_header(CONTENT_LENGTH)
        .and_then(|values| values.as_str().parse().ok());
    response.remove_header(TRANSFER_ENCODING);
    let bodiless = head::is_bodiless(response.status(), method);
    let head_only = bodiless && response.status() != StatusCode::NoContent;
    body::replace(&mut response, |response| {
        let unread = response.take_body();
        response.set_body(match (bodiless, head_only) {
            (true, true) => body::head_only(length.or(unread.len().filter(|length| *length > 0))),
            (true, false) => Body::empty(),
            (false, _) => body::with_checked_length(with_length(unread, length)),
        });
    });
    let method = if head_only { Method::Head } else { method };
    async_h1::server::Encoder::new(response, method)
}

fn with_length(body: Body, length: Option<usize>) -> Body {
    match body.len() {
        None => Body::from_reader(body, length),
        Some(_) => body,
    }
}
