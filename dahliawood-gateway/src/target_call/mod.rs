//! One HTTP exchange with a target, and the classification of its failure.

mod slow_reader;

use crate::clock;
use crate::codec::{ResponseMetadata, TargetContext};
use crate::reach;
use crate::state::GatewayState;
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_steer::health::ResultKind;
use dahliawood_wire::pool::error::CheckoutError;
use dahliawood_wire::pool::{ConnectionChoice, PooledConnection};
use dahliawood_wire::raw::budget::HeldBody;
use dahliawood_wire::raw::duplex::{self, WriteProgress};
use dahliawood_wire::raw::error::ReadError;
use dahliawood_wire::raw::head::{BodyFraming, RequestHead, ResponseHead};
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::io::AsyncWriteExt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// The longest head of a response, bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// The longest body of a response, bytes.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// How long the body of a refusal is waited for, so that the connection can be used again.
const REFUSAL_BODY_TIME: Duration = Duration::from_millis(50);
/// How many responses to other requests are skipped before the connection is closed.
const MAX_STRAY_RESPONSES: usize = 3;
/// How recently a connection must have been used to be reused for a non-idempotent request: targets
/// close idle connections, and a request sent while a connection is being closed may have run.
const RECENTLY_USED: Duration = Duration::from_millis(700);
/// How much earlier than the target the gateway closes an idle connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// A request to be sent to a target.
#[derive(Clone, Copy, derive_more::Debug)]
pub struct TargetCall<'a> {
    /// The head of the request as received from the caller.
    pub head: &'a RequestHead,
    /// The whole body of the request.
    pub body: &'a HeldBody,
    /// Id of the try, which the response must echo.
    pub attempt_id: Option<&'a str>,
    /// Address of the target.
    pub address: SocketAddr,
    /// What the gateway adds to the request for the target.
    pub context: TargetContext<'a>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the request was sent to another target before.
    pub is_retry: bool,
    /// How long this try may take.
    pub limit: Duration,
    /// Called when the request is about to be written to the connection.
    #[debug(skip)]
    pub on_write: &'a dyn Fn(),
    /// Called with each head that the target sends, whatever becomes of the exchange.
    #[debug(skip)]
    pub on_head: &'a dyn Fn(&ResponseMetadata),
}

/// A complete response of a target.
#[derive(Debug)]
pub struct TargetResponse {
    /// The status line and header fields.
    pub head: ResponseHead,
    /// Metadata from the head.
    pub metadata: ResponseMetadata,
    /// The whole body.
    pub body: HeldBody,
    /// Whether the connection had carried an exchange before.
    pub was_reused: bool,
    /// Time in which the connection was opened, `None` if it was open before.
    pub connect_time: Option<Duration>,
}

/// Why an exchange ended without a complete response.
#[derive(Clone, Debug)]
pub struct CallFailure {
    /// What the failure says about the target's health.
    pub kind: ResultKind,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Whether the target's process may have ended: the connection did, before the response was
    /// complete.
    pub is_broken: bool,
    /// Description for the log.
    pub detail: String,
}

/// Sends a request and reads the complete response. Dropping the future closes the connection,
/// which tells the target to stop.
///
/// # Errors
/// Fails if no complete response arrives; the error says whether the request may have run.
pub async fn send(
    state: &GatewayState,
    call: &TargetCall<'_>,
) -> Result<TargetResponse, CallFailure> {
    let Some(_sending) = state.held_bytes.send(call.address, call.body.len()) else {
        state.count_memory_refusal("target");
        return Err(not_sent("too many bytes are being sent there".to_owned()));
    };
    let choice = match (call.is_retry, call.is_idempotent) {
        (true, _) => ConnectionChoice::Fresh,
        // Without an id, a late second response to an earlier request can't be told from the right one.
        _ if call.attempt_id.is_none() => ConnectionChoice::Fresh,
        (false, true) => ConnectionChoice::Any,
        (false, false) => ConnectionChoice::UsedWithin(RECENTLY_USED),
    };
    let begun = clock::now();
    let connection = match reach::checkout(state, call.address, choice).await {
        Ok(connection) => connection,
        Err(error) => return Err(not_connected(&error)),
    };
    let is_reused = connection.reused;
    let connect_time = Some(clock::now().since(begun)).filter(|_| !is_reused);
    let id = connection.guard.id();
    let exchanged = timeout(call.limit, exchange(state, call, connection)).await;
    let exchanged = exchanged.unwrap_or_else(|_| {
        if is_reused {
            state.pool.report_unresponsive(id);
        }
        let detail = "no answer in time".to_owned();
        Err(may_have_run(ResultKind::TimedOut, detail))
    });
    exchanged.map(|response| TargetResponse {
        connect_time,
        ..response
    })
}

/// Whether no process listens at a target's address: opens a connection, which is kept for later
/// requests if it is accepted.
pub async fn is_gone(state: &GatewayState, address: SocketAddr) -> bool {
    let probed = reach::probe(state, address).await;
    probed.is_err_and(|error| not_connected(&error).kind == ResultKind::Refused)
}

fn not_connected(error: &CheckoutError) -> CallFailure {
    let kind = match error {
        CheckoutError::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused => {
            ResultKind::Refused
        }
        CheckoutError::Connect { .. } => ResultKind::ConnectFailed,
        // Says nothing about the target's process.
        CheckoutError::Exhausted { .. } => ResultKind::Shed,
    };
    CallFailure {
        kind,
        ..not_sent(error.to_string())
    }
}

/// A failure that says nothing about the target's process.
fn not_sent(detail: String) -> CallFailure {
    CallFailure {
        kind: ResultKind::Shed,
        verdict: RunVerdict::NotRun,
        is_broken: false,
        detail,
    }
}

fn may_have_run(kind: ResultKind, detail: String) -> CallFailure {
    CallFailure {
        kind,
        verdict: RunVerdict::MayHaveRun,
        is_broken: false,
        detail,
    }
}

fn read_failed(error: &ReadError) -> CallFailure {
    let kind = match error {
        // Says nothing about the target: this VM has no memory for its response.
        ReadError::BudgetExhausted { .. } => ResultKind::Cancelled,
        _ => ResultKind::Errored,
    };
    CallFailure {
        is_broken: matches!(error, ReadError::Truncated | ReadError::Connection { .. }),
        ..may_have_run(kind, error.to_string())
    }
}

/// Encodes the request, with the header fields for the target. A long body is not copied, since it is
/// counted once: it is written after the encoded bytes.
fn encode(state: &GatewayState, call: &TargetCall<'_>) -> Vec<u8> {
    let mut fields = call.head.fields.clone();
    (state.codec.prepare_request)(&mut fields, &call.context);
    let length = call.body.len();
    let joined = if call.body.is_small() { length } else { 0 };
    let (method, target) = (&call.head.method, &call.head.target);
    let mut bytes = write::request_head(method, target, &fields, length, joined);
    if call.body.is_small() {
        call.body
            .blocks()
            .for_each(|block| bytes.extend_from_slice(block));
    }
    bytes
}

async fn exchange(
    state: &GatewayState,
    call: &TargetCall<'_>,
    connection: PooledConnection,
) -> Result<TargetResponse, CallFailure> {
    let PooledConnection {
        stream,
        reused,
        guard,
    } = connection;
    let bytes = encode(state, call);
    let mut reader = ConnectionReader::new(stream.clone());
    let progress = WriteProgress::default();
    let input = ResponseInput {
        reader: &mut reader,
        is_reused: reused,
        progress: &progress,
    };
    (call.on_write)();
    let received = {
        let writing = pin!(write_request(&stream, &bytes, call.body));
        let reading = pin!(receive(state, call, input));
        let exchange = pin!(duplex::exchange(&progress, writing, reading));
        match call.body.is_small() {
            true => exchange.await,
            false => slow_reader::run(state, call.address, &stream, call.limit, exchange).await,
        }
    };
    let (mut response, is_clean) = received?;
    response.was_reused = reused;
    // A target that did not get the whole request would take the rest of it for the next one.
    let is_reusable = is_clean
        && progress.is_done()
        && !response.head.says_close()
        && reader.into_inner_if_empty().is_some();
    drop(stream);
    guard.release_with_timeout(is_reusable, idle_limit(&response.head));
    Ok(response)
}

/// Writes the encoded bytes of a request, and its body unless that is small and among them.
async fn write_request(stream: &TcpStream, bytes: &[u8], body: &HeldBody) -> io::Result<()> {
    let mut output = stream;
    output.write_all(bytes).await?;
    for block in body.blocks().filter(|_| !body.is_small()) {
        output.write_all(block).await?;
    }
    Ok(())
}

/// The receiving side of a connection.
struct ResponseInput<'a> {
    reader: &'a mut ConnectionReader<TcpStream>,
    /// Whether the connection had carried an exchange before.
    is_reused: bool,
    /// How far the write of the request has come.
    progress: &'a WriteProgress,
}

/// Reads the response to this try, and skips late responses to other requests. Also returns whether
/// none were skipped and the whole of it was read.
async fn receive(
    state: &GatewayState,
    call: &TargetCall<'_>,
    mut input: ResponseInput<'_>,
) -> Result<(TargetResponse, bool), CallFailure> {
    for strays in 0..=MAX_STRAY_RESPONSES {
        let (response, is_whole) = receive_next(state, call, &mut input).await?;
        let is_match = match (&response.metadata.attempt_id, call.attempt_id) {
            (Some(echoed), Some(sent)) => echoed == sent,
            // An earlier refusal, written once more, looks like one of this request.
            (None, _) if response.metadata.has_not_run => !input.is_reused,
            (None, _) => !response.metadata.is_signed,
            (Some(_), None) => true,
        };
        if is_match {
            return Ok((response, strays == 0 && is_whole));
        }
    }
    Err(may_have_run(
        ResultKind::Errored,
        "responses to other requests arrived".to_owned(),
    ))
}

/// Reads the next response. Also returns whether the whole of it was read.
async fn receive_next(
    state: &GatewayState,
    call: &TargetCall<'_>,
    input: &mut ResponseInput<'_>,
) -> Result<(TargetResponse, bool), CallFailure> {
    let reader = &mut *input.reader;
    let failed = |error: ReadError| {
        if matches!(error, ReadError::BudgetExhausted { .. }) {
            state.count_memory_refusal("response");
        }
        read_failed(&error)
    };
    let head = reader.response_head(HEAD_BYTES).await.map_err(failed)?;
    let head = head.ok_or_else(|| failed(ReadError::Truncated))?;
    let metadata = (state.codec.read_response)(&head, clock::now());
    (call.on_head)(&metadata);
    let framing = head.framing(&call.head.method).map_err(failed)?;
    let ends_at_close = matches!(framing, BodyFraming::UntilClose);
    let budget = &state.held_bytes.responses;
    let body = duplex::response_body(input.progress, reader, framing, BODY_BYTES, budget);
    let (body, is_whole) = match metadata.has_not_run {
        // The head says it all, and nobody gets the body.
        true => match timeout(REFUSAL_BODY_TIME, body).await {
            Ok(Ok(body)) => (body, true),
            Ok(Err(error)) => {
                log::debug!("the body of a refusal was cut: {error}");
                (HeldBody::default(), false)
            }
            Err(_) => (HeldBody::default(), false),
        },
        false => (body.await.map_err(failed)?, true),
    };
    if ends_at_close && !metadata.has_not_run && is_gone(state, call.address).await {
        // The connection may have ended with the process, halfway through the response.
        return Err(failed(ReadError::Truncated));
    }
    let response = TargetResponse {
        head,
        metadata,
        body,
        was_reused: false,
        connect_time: None,
    };
    Ok((response, is_whole))
}

/// How long the connection may be idle: the target's announced keep-alive timeout less a margin.
fn idle_limit(head: &ResponseHead) -> Duration {
    let stated = head
        .fields
        .all("keep-alive")
        .flat_map(|value| value.split(','))
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok());
    stated.map_or(Duration::MAX, |seconds| {
        Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)
    })
}
