//! Serves the requests of one keep-alive connection in sequence.

use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::state::SharedState;
use crate::structured_log::EventClass;
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_model::catalog::CallerLimits;
use dahliawood_wire::raw::error::ReadError;
use dahliawood_wire::raw::head::RequestHead;
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::future::{self, Either};
use futures::io::AsyncWriteExt;
use serde::Serialize;
use std::pin::pin;
use std::time::Duration;

/// How long a connection stays open for one more request once the VM is shutting down.
const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the caller may take to receive a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many bytes of further requests are read while one is served.
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
struct InFlightGuard(SharedState);

impl InFlightGuard {
    fn begin(state: &SharedState) -> Self {
        state.metrics.in_flight.inc();
        Self(SharedState::clone(state))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Serves the requests of one connection in order, until the connection ends.
pub async fn serve<F: Future<Output = FrontResponse>>(
    state: SharedState,
    stream: TcpStream,
    respond: impl Fn(CallerRequest) -> F,
) {
    let mut reader = ConnectionReader::new(stream.clone());
    loop {
        let catalog = state.catalog.load();
        let limits = catalog.as_ref().map(|catalog| catalog.limits);
        drop(catalog);
        let limits = limits.unwrap_or_default();
        let request = match next_request(&state, &mut reader, &stream, &limits).await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(cause) => {
                log_refusal(&state, &cause);
                let _closing = write_response(&stream, &cause.response(), false, true).await;
                return;
            }
        };
        // In flight until the response is written, because a shutdown waits for that.
        let _in_flight = InFlightGuard::begin(&state);
        let is_head = request.head.method == "HEAD";
        let wants_close = request.head.wants_close();
        let response = {
            let responding = pin!(respond(request));
            let closed = pin!(reader.wait_for_close(READ_AHEAD_BYTES));
            match future::select(responding, closed).await {
                Either::Left((response, _)) => response,
                // The caller closed the connection: dropping the handler closes the connection to
                // the target.
                Either::Right(((), _)) => return,
            }
        };
        let close = wants_close || state.is_leaving();
        let written = write_response(&stream, &response, is_head, close).await;
        if close || written.is_none() {
            return;
        }
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

/// Reads the next request, `None` if the connection has ended.
async fn next_request(
    state: &SharedState,
    reader: &mut ConnectionReader<TcpStream>,
    stream: &TcpStream,
    limits: &CallerLimits,
) -> Result<Option<CallerRequest>, RefusalCause> {
    let Some(head) = next_head(state, reader, limits).await? else {
        return Ok(None);
    };
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
    match arrived {
        None | Some(Err(ReadError::Truncated | ReadError::Connection { .. })) => Ok(None),
        Some(Ok(head)) => Ok(head),
        Some(Err(error)) => Err(refusal_cause(&error)),
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
