//! One exchange with a target over one connection.

pub mod ask;
pub mod error;

use crate::{body, gate, head, server, stream};
use async_std::future as timed;
use error::ExchangeError;
use futures::future::{self, Either};
use http_types::headers::{CONTENT_LENGTH, CONTENT_TYPE, DATE, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Interim answers that are skipped before the target is held to be broken.
const MOST_INTERIM: u32 = 16;

/// Bounds of an exchange.
#[derive(Clone, Debug)]
pub struct ExchangeOptions {
    /// The longest answer head, bytes; at most [`server::HEAD_BYTES`].
    pub head_bound: usize,
    /// How long the target may take from now to the head of its answer.
    pub response_timeout: Duration,
    /// How long the body may go without a byte, in either direction.
    pub stall_timeout: Duration,
    /// Whether the target is asked before the body is sent: for non-idempotent requests.
    pub ask_first: Option<ask::AskOptions>,
}

impl Default for ExchangeOptions {
    fn default() -> Self {
        Self {
            head_bound: server::HEAD_BYTES,
            response_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(10),
            ask_first: None,
        }
    }
}

/// An answer whose head is there and whose body is still to be read.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// The answer. Reading its body fails where it ends before it is whole.
    pub response: Response,
    /// Bytes of the request that were sent.
    pub sent: u64,
    /// Interim answers that were skipped.
    pub interim: u32,
}

/// Sends `request` over `connection` and waits for the head of the answer.
///
/// `on_end` is called once the body has been read to its end, with whether the connection may
/// serve another exchange; where it is dropped uncalled the connection must be closed. Trailers are
/// dropped. The request's headers are sent as they are but for its framing.
///
/// # Errors
/// No usable answer; [`ExchangeError::verdict`] says whether the request may have run.
pub async fn exchange<IO: stream::WireStream>(
    connection: IO,
    request: Request,
    options: &ExchangeOptions,
    on_end: impl FnOnce(bool) + Send + 'static,
) -> Result<ExchangeOutcome, ExchangeError> {
    let gate = gate::MessageGate::new(connection.clone(), options.stall_timeout);
    if !gate.is_quiet().await {
        return Err(ExchangeError::Stale);
    }
    exchange_quiet(connection, gate, request, options, on_end).await
}

/// The same over a connection that is known to be quiet.
pub(crate) async fn exchange_quiet<IO: stream::WireStream>(
    connection: IO,
    gate: gate::MessageGate<IO>,
    mut request: Request,
    options: &ExchangeOptions,
    on_end: impl FnOnce(bool) + Send + 'static,
) -> Result<ExchangeOutcome, ExchangeError> {
    let sent = Arc::new(ask::SentCount::default());
    let method = request.method();
    if options.ask_first.is_some() {
        ask::withhold(&mut request, &sent);
    }
    let talked = run(connection, request, &gate, options, &sent);
    let patience = ask::patience(options.ask_first, &sent);
    let talked = async {
        match future::select(Box::pin(talked), Box::pin(patience)).await {
            Either::Left((answered, _)) => answered,
            Either::Right((error, _)) => Err(error),
        }
    };
    let answered = timed::timeout(options.response_timeout, talked).await;
    let sent = sent.counted();
    let (answer, whole) = answered.map_err(|_| ExchangeError::Timeout { sent })??;
    let reusable = whole && !head::says_close(answer.response.as_ref());
    let hook = Box::new(move |clean| on_end(clean && reusable));
    let response = with_body(answer.response, &gate, answer.framing, method, hook);
    Ok(ExchangeOutcome {
        response,
        sent,
        interim: answer.interim,
    })
}

struct ResponseHead {
    response: Response,
    framing: head::BodyFraming,
    interim: u32,
}

/// The answer's head, and whether the request had been sent whole before it.
async fn run<IO: stream::WireStream>(
    mut connection: IO,
    request: Request,
    gate: &gate::MessageGate<IO>,
    options: &ExchangeOptions,
    sent: &ask::SentCount,
) -> Result<(ResponseHead, bool), ExchangeError> {
    let method = request.method();
    let mut encoder = encoder(request);
    let sending = stream::transfer(
        &mut encoder,
        &mut connection,
        options.stall_timeout,
        &sent.bytes,
    );
    let sending = std::pin::pin!(sending);
    let receiving = std::pin::pin!(receive(gate, method, options.head_bound, sent));
    match future::select(sending, receiving).await {
        Either::Left((Ok(()), receiving)) => Ok((receiving.await?, true)),
        Either::Left((Err(source), receiving)) => {
            let early = matches!(source, stream::TransferError::Accept { .. });
            let sent = sent.counted();
            let unsent = ExchangeError::Send { sent, source };
            if !early || sent == 0 {
                return Err(unsent);
            }
            match receiving.await {
                Ok(answer) => Ok((answer, false)),
                Err(_) => Err(unsent),
            }
        }
        Either::Right((answer, _)) => Ok((answer?, false)),
    }
}

async fn receive<IO: stream::WireStream>(
    gate: &gate::MessageGate<IO>,
    method: Method,
    bound: usize,
    sent: &ask::SentCount,
) -> Result<ResponseHead, ExchangeError> {
    let refused = |source| ExchangeError::Answer {
        sent: sent.counted(),
        source,
    };
    for interim in 0..=MOST_INTERIM {
        let arrival = gate.next_head(bound).await;
        match arrival {
            Ok(gate::HeadArrival::Found) => {}
            Ok(gate::HeadArrival::Ended { .. }) => {
                return Err(ExchangeError::Closed {
                    sent: sent.counted(),
                });
            }
            Ok(gate::HeadArrival::Refused(error)) => return Err(refused(error)),
            Err(source) => {
                return Err(ExchangeError::Receive {
                    sent: sent.counted(),
                    source,
                });
            }
        }
        let response = decode(gate).await.map_err(refused)?;
        if response.status() == StatusCode::SwitchingProtocols {
            return Err(refused(malformed("an upgrade that was not asked for")));
        }
        if response.status() == StatusCode::Continue {
            sent.release();
        }
        if !response.status().is_informational() {
            let framing = head::response_framing(&response, method).map_err(refused)?;
            return Ok(ResponseHead {
                response,
                framing,
                interim,
            });
        }
    }
    Err(refused(malformed("interim answers without end")))
}

fn malformed(reason: &(impl ToString + ?Sized)) -> head::error::HeadError {
    head::error::HeadError::Malformed {
        reason: reason.to_string(),
    }
}

async fn decode<IO: stream::WireStream>(
    gate: &gate::MessageGate<IO>,
) -> Result<Response, head::error::HeadError> {
    let mut response = Box::pin(async_h1::client::decode(gate.reader()))
        .await
        .map_err(|error| malformed(&error))?;
    // Where there is no date async-h1 adds one with a line end inside, which would end the head of
    // a forwarded answer.
    if response
        .header(DATE)
        .is_some_and(|values| values.as_str().ends_with('\n'))
    {
        response.remove_header(DATE);
    }
    Ok(response)
}

fn with_body<IO: stream::WireStream>(
    mut response: Response,
    gate: &gate::MessageGate<IO>,
    framing: head::BodyFraming,
    method: Method,
    hook: gate::EndHook,
) -> Response {
    if head::is_bodiless(response.status(), method) {
        drop(response.take_body());
    } else if let head::BodyFraming::Length(length) = framing {
        response.set_body(body::buffered(gate.reader(), usize::try_from(length).ok()));
    }
    if !gate.is_typed() {
        response.remove_header(CONTENT_TYPE);
    }
    gate.begin_body(framing, Some(hook));
    response
}

/// The encoder of a request, whose framing headers are left to its body.
fn encoder(mut request: Request) -> async_h1::client::Encoder {
    request.remove_header(TRANSFER_ENCODING);
    request.remove_header(CONTENT_LENGTH);
    body::replace(&mut request, |request| {
        let unread = request.take_body();
        request.set_body(body::counted(unread));
    });
    async_h1::client::Encoder::new(request)
}
