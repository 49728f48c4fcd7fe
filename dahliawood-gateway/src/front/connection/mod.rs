//! Serves the requests of one keep-alive connection, which may send several before the first response.

use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::state::SharedState;
use crate::structured_log::EventClass;
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_model::catalog::CallerLimits;
use dahliawood_wire::raw::error::ReadError;
use dahliawood_wire::raw::head::{BodyFraming, RequestHead};
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::future::{self, Either};
use futures::io::AsyncWriteExt;
use futures::stream::{FuturesOrdered, StreamExt};
use serde::Serialize;
use std::pin::pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a connection stays open for one more request once the VM is shutting down.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the caller may take to receive a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests of one connection that are worked on side by side, the first included.
const MAX_OVERLAPS: usize = 8;
/// Requests of all connections that are worked on beside an earlier one of their connection; bounds
/// the responses that wait for slow ones before them.
const MAX_VM_OVERLAPS: usize = 256;
/// How many bytes of further requests are read while none may start.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Interim response that makes a caller send the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A complete request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request line and header fields.
    pub head: RequestHead,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard(SharedState);

impl InFlightGuard {
    /// Counts one more request.
    pub fn begin(state: &SharedState) -> Self {
        state.metrics.in_flight.inc();
        Self(SharedState::clone(state))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Counts a connection until it is dropped: a request that is still arriving is not in flight yet, and
/// a shutdown waits for it too.
struct ConnectionGuard(SharedState);

impl ConnectionGuard {
    fn begin(state: &SharedState) -> Self {
        state.connections.fetch_add(1, Ordering::Relaxed);
        Self(SharedState::clone(state))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request that is worked on beside an earlier one of its connection.
struct OverlapGuard(SharedState);

impl OverlapGuard {
    /// `None` if the VM works on too many such requests already.
    fn begin(state: &SharedState) -> Option<Self> {
        let before = state.overlapping.fetch_add(1, Ordering::Relaxed);
        let guard = Self(SharedState::clone(state));
        (before < MAX_VM_OVERLAPS).then_some(guard)
    }
}

impl Drop for OverlapGuard {
    fn drop(&mut self) {
        self.0.overlapping.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Allows a request to start.
enum StartPermit {
    /// No earlier request of its connection is being worked on.
    First,
    /// Earlier ones are.
    Beside(#[allow(dead_code, reason = "held until the response is written")] OverlapGuard),
}

/// How requests of a connection are answered.
pub struct RequestHandler<R, O> {
    /// Answers a request.
    pub respond: R,
    /// Whether a request may be worked on while earlier ones of its connection are: only if it is
    /// idempotent.
    pub may_overlap: O,
}

/// A response that is ready to be written, with what is known of its request.
struct ReadyResponse {
    response: FrontResponse,
    is_head: bool,
    // In flight until the response is written, because a shutdown waits for that.
    _in_flight: InFlightGuard,
    _permit: StartPermit,
}

/// A request whose head arrived and that is not started yet.
struct HeldRequest {
    head: RequestHead,
    may_overlap: bool,
}

/// What comes next on a connection.
enum ConnectionStep {
    /// The oldest request has its response.
    Ready(ReadyResponse),
    /// The head of a further request arrived; `None` if the connection has ended.
    Arrived(Result<Option<RequestHead>, RefusalCause>),
}

/// Serves the requests of one connection, until the connection ends. Idempotent requests without a
/// body are worked on beside earlier ones; responses are written in the order of the requests. All
/// other requests start once the earlier ones are answered, and later ones wait for them.
pub async fn serve<F, R, O>(state: SharedState, stream: TcpStream, handler: RequestHandler<R, O>)
where
    F: Future<Output = FrontResponse>,
    R: Fn(CallerRequest) -> F,
    O: Fn(&RequestHead) -> bool,
{
    let _connection = ConnectionGuard::begin(&state);
    let mut reader = ConnectionReader::new(stream.clone());
    let mut pending = FuturesOrdered::new();
    let mut next: Option<HeldRequest> = None;
    // Why what arrived last is refused, once the requests before it are answered.
    let mut refusal: Option<RefusalCause> = None;
    // Whether further requests may be worked on beside the pending ones.
    let mut is_joinable = false;
    // Whether no further request is read.
    let mut is_last = false;
    loop {
        if let Some(permit) = next
            .as_ref()
            .filter(|held| pending.is_empty() || (is_joinable && held.may_overlap))
            .and_then(|_| start_permit(&state, pending.is_empty()))
            && let Some(HeldRequest { head, may_overlap }) = next.take()
        {
            is_joinable = may_overlap;
            let limits = caller_limits(&state);
            let request = match read_body(&mut reader, &stream, &limits, head).await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(cause) => return refuse(&state, &stream, &cause).await,
            };
            is_last |= request.head.wants_close();
            pending.push_back(run(&state, request, permit, &handler.respond));
        }
        if pending.is_empty()
            && let Some(cause) = refusal
        {
            return refuse(&state, &stream, &cause).await;
        }
        let may_read = next.is_none() && !is_last && pending.len() < MAX_OVERLAPS;
        match next_step(&state, &mut reader, &mut pending, may_read).await {
            ConnectionStep::Ready(ready) => {
                is_last |= state.is_leaving();
                let close = is_last && pending.is_empty() && next.is_none() && refusal.is_none();
                let written = write_response(&stream, &ready.response, ready.is_head, close).await;
                if close || written.is_none() {
                    return;
                }
            }
            ConnectionStep::Arrived(Ok(Some(head))) => {
                let may_overlap = is_bodiless(&head) && (handler.may_overlap)(&head);
                next = Some(HeldRequest { head, may_overlap });
            }
            // Dropping the handlers closes their connections to targets.
            ConnectionStep::Arrived(Ok(None)) => return,
            ConnectionStep::Arrived(Err(cause)) => {
                refusal = Some(cause);
                is_last = true;
            }
        }
    }
}

/// The permit of a request that starts now, `None` if it must wait.
fn start_permit(state: &SharedState, is_first: bool) -> Option<StartPermit> {
    match is_first {
        true => Some(StartPermit::First),
        false => OverlapGuard::begin(state).map(StartPermit::Beside),
    }
}

/// Whether a request ends with its head.
fn is_bodiless(head: &RequestHead) -> bool {
    matches!(head.framing(), Ok(BodyFraming::Length(0)))
        && !head.fields.has_token("expect", "100-continue")
}

/// Answers a request, without writing the response.
async fn run<F: Future<Output = FrontResponse>>(
    state: &SharedState,
    request: CallerRequest,
    permit: StartPermit,
    respond: impl Fn(CallerRequest) -> F,
) -> ReadyResponse {
    let in_flight = InFlightGuard::begin(state);
    let is_head = request.head.method == "HEAD";
    ReadyResponse {
        response: respond(request).await,
        is_head,
        _in_flight: in_flight,
        _permit: permit,
    }
}

/// Waits for the response to the oldest request or, if `may_read`, for a further request. Notices
/// the end of the connection in either case.
async fn next_step<F: Future<Output = ReadyResponse>>(
    state: &SharedState,
    reader: &mut ConnectionReader<TcpStream>,
    pending: &mut FuturesOrdered<F>,
    may_read: bool,
) -> ConnectionStep {
    let limits = caller_limits(state);
    if pending.is_empty() {
        return ConnectionStep::Arrived(next_head(state, reader, &limits).await);
    }
    let arriving = pin!(async {
        if may_read {
            return arrived_head(reader.request_head(limits.head_bytes).await);
        }
        reader.wait_for_close(READ_AHEAD_BYTES).await;
        Ok(None)
    });
    match future::select(pending.next(), arriving).await {
        Either::Left((Some(ready), _)) => ConnectionStep::Ready(ready),
        Either::Left((None, arriving)) => ConnectionStep::Arrived(arriving.await),
        Either::Right((arrived, _)) => ConnectionStep::Arrived(arrived),
    }
}

/// What callers may send, by the configuration in force.
fn caller_limits(state: &SharedState) -> CallerLimits {
    let catalog = state.catalog.load();
    let limits = catalog.as_ref().map(|catalog| catalog.limits);
    limits.unwrap_or_default()
}

/// Refuses what arrived, which is not a valid request, and ends the connection.
async fn refuse(state: &SharedState, stream: &TcpStream, cause: &RefusalCause) {
    log_refusal(state, cause);
    let _closing = write_response(stream, &cause.response(), false, true).await;
}

/// Log event for received bytes that are not a valid request.
#[derive(Serialize)]
struct UnreadEvent {
    status: u16,
    cause: String,
}

fn log_refusal(state: &SharedState, cause: &RefusalCause) {
    state.metrics.record_request("unread", Duration::ZERO);
    state
        .log
        .write(EventClass::Notable, "unread", || UnreadEvent {
            status: cause.status(),
            cause: cause.to_string(),
        });
}

/// Reads the body of a request, `None` if the connection has ended.
async fn read_body(
    reader: &mut ConnectionReader<TcpStream>,
    stream: &TcpStream,
    limits: &CallerLimits,
    head: RequestHead,
) -> Result<Option<CallerRequest>, RefusalCause> {
    let framing = head.framing().map_err(|error| refusal_cause(&error))?;
    if head.fields.has_token("expect", "100-continue") {
        let mut output = stream;
        if output.write_all(CONTINUE).await.is_err() {
            return Ok(None);
        }
    }
    let body = timeout(limits.idle_timeout, reader.body(framing, limits.body_bytes)).await;
    match body {
        Ok(Ok(body)) => Ok(Some(CallerRequest { head, body })),
        Ok(Err(ReadError::Truncated | ReadError::Connection { .. })) => Ok(None),
        Ok(Err(error)) => Err(refusal_cause(&error)),
        Err(_) => Err(RefusalCause::RequestTimeout),
    }
}

/// Reads the head of the next request, `None` if the connection has ended.
async fn next_head(
    state: &SharedState,
    reader: &mut ConnectionReader<TcpStream>,
    limits: &CallerLimits,
) -> Result<Option<RequestHead>, RefusalCause> {
    let arriving = timeout(limits.idle_timeout, reader.request_head(limits.head_bytes));
    let arriving = pin!(arriving);
    let arrived = match future::select(arriving, pin!(state.shutdown_started.recv())).await {
        Either::Left((arrived, _)) => arrived.ok(),
        Either::Right((_, arriving)) => timeout(SHUTDOWN_IDLE_TIMEOUT, arriving)
            .await
            .ok()
            .and_then(Result::ok),
    };
    arrived.map_or(Ok(None), arrived_head)
}

/// The head that arrived, `None` if the connection has ended.
fn arrived_head(
    arrived: Result<Option<RequestHead>, ReadError>,
) -> Result<Option<RequestHead>, RefusalCause> {
    match arrived {
        Err(ReadError::Truncated | ReadError::Connection { .. }) => Ok(None),
        Ok(head) => Ok(head),
        Err(error) => Err(refusal_cause(&error)),
    }
}

fn refusal_cause(error: &ReadError) -> RefusalCause {
    match error {
        ReadError::HeadTooLarge { .. } => RefusalCause::HeadTooLong,
        ReadError::BodyTooLarge { .. } => RefusalCause::BodyTooLong,
        error => RefusalCause::Malformed(error.to_string()),
    }
}

/// Writes a response, `None` if the caller does not receive it in time.
async fn write_response(
    stream: &TcpStream,
    response: &FrontResponse,
    is_head: bool,
    close: bool,
) -> Option<()> {
    let mut fields = response.fields.clone();
    if close {
        fields.push("Connection", "close");
    }
    let bytes = write::response(response.status, &fields, &response.body, is_head);
    let mut output = stream;
    let written = timeout(WRITE_TIMEOUT, output.write_all(&bytes)).await;
    matches!(written, Ok(Ok(()))).then_some(())
}
