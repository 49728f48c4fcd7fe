//! Serves the requests of one keep-alive connection, which may send several before the first response.

use crate::count_guard::CountGuard;
use crate::front::lingering::{self, ServingEnd};
use crate::front::output;
use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::held_bytes::{PROGRESS_BYTES, PROGRESS_TIME};
use crate::state::{GatewayState, SharedState};
use crate::structured_log::EventClass;
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_model::catalog::CallerLimits;
use dahliawood_wire::raw::budget::HeldBody;
use dahliawood_wire::raw::error::ReadError;
use dahliawood_wire::raw::head::{BodyFraming, RequestHead};
use dahliawood_wire::raw::reader::ConnectionReader;
use futures::future::{self, Either};
use futures::io::AsyncWriteExt;
use futures::stream::{FuturesOrdered, StreamExt};
use serde::Serialize;
use std::pin::pin;
use std::time::{Duration, Instant};

/// How long a connection stays open for one more request once the VM is shutting down.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
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
#[derive(Debug)]
pub struct CallerRequest {
    /// The request line and header fields.
    pub head: RequestHead,
    /// The whole body.
    pub body: HeldBody,
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

/// Allows a request to start.
enum StartPermit {
    /// No earlier request of its connection is being worked on.
    First,
    /// Earlier ones are.
    Beside(#[allow(dead_code, reason = "held until the response is written")] CountGuard),
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
    /// The head of a further request arrived, or bytes that are none.
    Arrived(Result<RequestHead, RefusalCause>),
    /// No further request comes.
    Ended(ServingEnd),
}

/// Serves the requests of one connection, until the connection ends.
pub async fn serve<F, R, O>(state: SharedState, stream: TcpStream, handler: RequestHandler<R, O>)
where
    F: Future<Output = FrontResponse>,
    R: Fn(CallerRequest) -> F,
    O: Fn(&RequestHead) -> bool,
{
    // A request that is still arriving is not in flight yet, and a shutdown waits for it too.
    let _connection = CountGuard::begin(&state, |state| &state.connections);
    let end = serve_requests(&state, &stream, handler).await;
    lingering::close(&state, stream, end).await;
}

/// Serves requests up to the last one. Idempotent requests without a body are worked on beside earlier
/// ones; responses are written in the order of the requests. All other requests start once the earlier
/// ones are answered, and later ones wait for them.
async fn serve_requests<F, R, O>(
    state: &SharedState,
    stream: &TcpStream,
    handler: RequestHandler<R, O>,
) -> ServingEnd
where
    F: Future<Output = FrontResponse>,
    R: Fn(CallerRequest) -> F,
    O: Fn(&RequestHead) -> bool,
{
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
            .and_then(|_| start_permit(state, pending.is_empty()))
            && let Some(HeldRequest { head, may_overlap }) = next.take()
        {
            is_joinable = may_overlap;
            let limits = caller_limits(state);
            let request = match read_body(state, &mut reader, stream, &limits, head).await {
                Ok(Some(request)) => request,
                Ok(None) => return ServingEnd::Lost,
                Err(cause) => return refuse(state, stream, &cause).await,
            };
            is_last |= request.head.wants_close();
            pending.push_back(run(state, request, permit, &handler.respond));
        }
        if pending.is_empty()
            && let Some(cause) = refusal
        {
            return refuse(state, stream, &cause).await;
        }
        let may_read = next.is_none() && !is_last && pending.len() < MAX_OVERLAPS;
        match next_step(state, &mut reader, &mut pending, may_read).await {
            ConnectionStep::Ready(ready) => {
                is_last |= state.is_leaving();
                let close = is_last && pending.is_empty() && next.is_none() && refusal.is_none();
                let written = write_ready(state, stream, ready, close).await;
                if written.is_none() {
                    return ServingEnd::Lost;
                }
                if close {
                    return ServingEnd::Answered;
                }
            }
            ConnectionStep::Arrived(Ok(head)) => {
                let may_overlap = is_bodiless(&head) && (handler.may_overlap)(&head);
                next = Some(HeldRequest { head, may_overlap });
            }
            ConnectionStep::Arrived(Err(cause)) => {
                refusal = Some(cause);
                is_last = true;
            }
            // Dropping the handlers closes their connections to targets.
            ConnectionStep::Ended(end) => return end,
        }
    }
}

/// The permit of a request that starts now, `None` if it must wait.
fn start_permit(state: &SharedState, is_first: bool) -> Option<StartPermit> {
    match is_first {
        true => Some(StartPermit::First),
        false => CountGuard::begin_within(state, |state| &state.overlapping, MAX_VM_OVERLAPS)
            .map(StartPermit::Beside),
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
        return next_head(state, reader, &limits).await;
    }
    let arriving = pin!(async {
        if may_read {
            return arrived(reader.request_head(limits.head_bytes).await);
        }
        reader.wait_for_close(READ_AHEAD_BYTES).await;
        ConnectionStep::Ended(ServingEnd::Lost)
    });
    match future::select(pending.next(), arriving).await {
        Either::Left((Some(ready), _)) => ConnectionStep::Ready(ready),
        Either::Left((None, arriving)) => arriving.await,
        Either::Right((step, _)) => step,
    }
}

/// What callers may send, by the configuration in force.
fn caller_limits(state: &SharedState) -> CallerLimits {
    let catalog = state.catalog.load();
    let limits = catalog.as_ref().map(|catalog| catalog.limits);
    limits.unwrap_or_default()
}

/// Refuses what arrived, which is not a valid request and the last that is read of the connection.
async fn refuse(state: &SharedState, stream: &TcpStream, cause: &RefusalCause) -> ServingEnd {
    log_refusal(state, cause);
    match output::write_response(state, stream, cause.response(), false, true).await {
        Some(()) => ServingEnd::Answered,
        None => ServingEnd::Lost,
    }
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
    state: &GatewayState,
    reader: &mut ConnectionReader<TcpStream>,
    stream: &TcpStream,
    limits: &CallerLimits,
    head: RequestHead,
) -> Result<Option<CallerRequest>, RefusalCause> {
    let framing = head.framing().map_err(|error| refusal_cause(&error))?;
    let budget = &state.held_bytes.requests;
    // A longer one would be refused however often it comes.
    let bound = limits.body_bytes.min(budget.limit());
    if head.fields.has_token("expect", "100-continue") {
        let mut output = stream;
        if output.write_all(CONTINUE).await.is_err() {
            return Ok(None);
        }
    }
    let short_time = upload_time(&framing);
    let started = Instant::now();
    let mut reading = pin!(reader.body_within(framing, bound, budget));
    let body = loop {
        let left = limits.idle_timeout.saturating_sub(started.elapsed());
        match timeout(PROGRESS_TIME.min(left), reading.as_mut()).await {
            Ok(body) => break body,
            Err(_) if started.elapsed() >= limits.idle_timeout => {
                return Err(RefusalCause::RequestTimeout);
            }
            Err(_) if budget.is_short() && started.elapsed() >= short_time => {
                state.count_memory_refusal("slow-sender");
                return Err(RefusalCause::RequestTimeout);
            }
            Err(_) => {}
        }
    };
    match body {
        Ok(body) => Ok(Some(CallerRequest { head, body })),
        Err(ReadError::Truncated | ReadError::Connection { .. }) => Ok(None),
        Err(ReadError::BudgetExhausted { .. }) => {
            state.count_memory_refusal("request");
            Err(RefusalCause::NoMemory)
        }
        Err(error) => Err(refusal_cause(&error)),
    }
}

/// How long a body may take to arrive while memory is short. One of unknown length is taken for a
/// small one.
fn upload_time(framing: &BodyFraming) -> Duration {
    let length = match framing {
        BodyFraming::Length(length) => *length,
        BodyFraming::Chunked(_) | BodyFraming::UntilClose => 0,
    };
    PROGRESS_TIME + PROGRESS_TIME.mul_f64(length as f64 / PROGRESS_BYTES as f64)
}

/// Reads the head of the next request.
async fn next_head(
    state: &SharedState,
    reader: &mut ConnectionReader<TcpStream>,
    limits: &CallerLimits,
) -> ConnectionStep {
    let arriving = timeout(limits.idle_timeout, reader.request_head(limits.head_bytes));
    let arriving = pin!(arriving);
    let head = match future::select(arriving, pin!(state.shutdown_started.recv())).await {
        Either::Left((head, _)) => head.ok(),
        Either::Right((_, arriving)) => timeout(SHUTDOWN_IDLE_TIMEOUT, arriving)
            .await
            .ok()
            .and_then(Result::ok),
    };
    head.map_or(ConnectionStep::Ended(ServingEnd::Idle), arrived)
}

/// What comes of a read of the next head.
fn arrived(head: Result<Option<RequestHead>, ReadError>) -> ConnectionStep {
    match head {
        Ok(Some(head)) => ConnectionStep::Arrived(Ok(head)),
        Ok(None) | Err(ReadError::Truncated | ReadError::Connection { .. }) => {
            ConnectionStep::Ended(ServingEnd::Lost)
        }
        Err(error) => ConnectionStep::Arrived(Err(refusal_cause(&error))),
    }
}

fn refusal_cause(error: &ReadError) -> RefusalCause {
    match error {
        ReadError::HeadTooLarge { .. } => RefusalCause::HeadTooLong,
        ReadError::BodyTooLarge { .. } => RefusalCause::BodyTooLong,
        error => RefusalCause::Malformed(error.to_string()),
    }
}

/// Writes the response to a request, `None` if the caller does not receive it in time.
async fn write_ready(
    state: &GatewayState,
    stream: &TcpStream,
    ready: ReadyResponse,
    close: bool,
) -> Option<()> {
    let ReadyResponse {
        response,
        is_head,
        _in_flight,
        _permit,
    } = ready;
    output::write_response(state, stream, response, is_head, close).await
}
