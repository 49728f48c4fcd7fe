//! A single HTTP exchange with a target over one connection.

pub mod error;
pub mod expectation;

use crate::head_end::HeadKind;
use crate::{body, framer, head, interim, server, stream};
use async_std::future as timed;
use error::ExchangeError;
use futures::future::{self, Either};
use http_types::headers::{CONTENT_LENGTH, CONTENT_TYPE, DATE, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Limits and timeouts of an exchange.
#[derive(Clone, Debug)]
pub struct ExchangeOptions {
    /// Maximum length of the response head, in bytes; at most [`server::HEAD_BYTES`].
    pub head_bound: usize,
    /// Maximum time from the start of the exchange to the response head.
    pub response_timeout: Duration,
    /// Maximum time without progress on a body, in either direction.
    pub stall_timeout: Duration,
    /// Whether to wait for `100 Continue` before the body is sent; for non-idempotent requests.
    pub expect_continue: Option<expectation::ExpectOptions>,
}

impl Default for ExchangeOptions {
    fn default() -> Self {
        Self {
            head_bound: server::HEAD_BYTES,
            response_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(10),
            expect_continue: None,
        }
    }
}

/// A response whose head was received and whose body is still to be read.
#[derive(Debug)]
pub struct ExchangeOutcome {
    /// The response. Reading its body fails if the body ends early.
    pub response: Response,
    /// Number of request bytes that the connection accepted.
    pub sent: u64,
    /// Number of interim responses that were skipped.
    pub interim: u32,
}

/// Sends `request` over `connection` and waits for the head of the response.
///
/// `on_end` is called once the body has been read to its end; its argument states whether the
/// connection can be reused for another exchange. If `on_end` is dropped without a call, the
/// connection must be closed. Trailers are discarded. The request's headers are sent unchanged
/// except for its framing headers.
///
/// # Errors
/// No usable response was received; [`ExchangeError::verdict`] states whether the request may have
/// run.
pub async fn exchange<IO: stream::WireStream>(
    connection: IO,
    request: Request,
    options: &ExchangeOptions,
    on_end: impl FnOnce(bool) + Send + 'static,
) -> Result<ExchangeOutcome, ExchangeError> {
    let framer = framer::MessageFramer::new(connection.clone(), options.stall_timeout);
    if !framer.is_reusable().await {
        return Err(ExchangeError::Stale);
    }
    exchange_unchecked(connection, framer, request, options, on_end).await
}

/// Like [`exchange`], over a connection that was already checked for pending bytes.
pub(crate) async fn exchange_unchecked<IO: stream::WireStream>(
    connection: IO,
    framer: framer::MessageFramer<IO>,
    mut request: Request,
    options: &ExchangeOptions,
    on_end: impl FnOnce(bool) + Send + 'static,
) -> Result<ExchangeOutcome, ExchangeError> {
    let sent = Arc::new(expectation::SendProgress::default());
    let method = request.method();
    if options.expect_continue.is_some() {
        expectation::withhold_body(&mut request, &sent);
    }
    let exchanged = run(connection, request, &framer, options, &sent);
    let expired = expectation::continue_timeout(options.expect_continue, &sent);
    let exchanged = async {
        match future::select(Box::pin(exchanged), Box::pin(expired)).await {
            Either::Left((received, _)) => received,
            Either::Right((error, _)) => Err(error),
        }
    };
    let received = timed::timeout(options.response_timeout, exchanged).await;
    let sent = sent.effective_bytes();
    let (received, sent_whole) = received.map_err(|_| ExchangeError::Timeout { sent })??;
    let reusable = sent_whole && !head::says_close(received.response.as_ref());
    let hook = Box::new(move |clean| on_end(clean && reusable));
    let response = with_body(received.response, &framer, received.framing, method, hook);
    Ok(ExchangeOutcome {
        response,
        sent,
        interim: received.interim,
    })
}

struct ResponseHead {
    response: Response,
    framing: head::BodyFraming,
    interim: u32,
}

/// The response head, and whether the request had been sent in full before it.
async fn run<IO: stream::WireStream>(
    mut connection: IO,
    request: Request,
    framer: &framer::MessageFramer<IO>,
    options: &ExchangeOptions,
    sent: &expectation::SendProgress,
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
    let receiving = std::pin::pin!(receive(framer, method, options.head_bound, sent));
    match future::select(sending, receiving).await {
        Either::Left((Ok(()), receiving)) => Ok((receiving.await?, true)),
        Either::Left((Err(source), receiving)) => {
            let early = matches!(source, stream::TransferError::Write { .. });
            let sent = sent.effective_bytes();
            let unsent = ExchangeError::Send { sent, source };
            if !early || sent == 0 {
                return Err(unsent);
            }
            match receiving.await {
                Ok(received) => Ok((received, false)),
                Err(_) => Err(unsent),
            }
        }
        Either::Right((received, _)) => Ok((received?, false)),
    }
}

async fn receive<IO: stream::WireStream>(
    framer: &framer::MessageFramer<IO>,
    method: Method,
    bound: usize,
    sent: &expectation::SendProgress,
) -> Result<ResponseHead, ExchangeError> {
    let refused = |source| ExchangeError::InvalidResponse {
        sent: sent.effective_bytes(),
        source,
    };
    for interim in 0..=interim::MAX_RESPONSES {
        let arrival = framer.next_head(HeadKind::Response, bound).await;
        match arrival {
            Ok(framer::HeadArrival::Found) => {}
            Ok(framer::HeadArrival::Ended { .. }) => {
                return Err(ExchangeError::Closed {
                    sent: sent.effective_bytes(),
                });
            }
            Ok(framer::HeadArrival::Refused(error)) => return Err(refused(error)),
            Err(source) => {
                return Err(ExchangeError::Receive {
                    sent: sent.effective_bytes(),
                    source,
                });
            }
        }
        let response = decode(framer).await.map_err(refused)?;
        let announces_body = head::announces_body(response.as_ref());
        let is_skipped = interim::is_skipped(response.status().into(), announces_body);
        let is_skipped = is_skipped.map_err(|reason| refused(malformed(reason)))?;
        if response.status() == StatusCode::Continue {
            sent.release_body();
        }
        if !is_skipped {
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
    framer: &framer::MessageFramer<IO>,
) -> Result<Response, head::error::HeadError> {
    let mut response = Box::pin(async_h1::client::decode(framer.reader()))
        .await
        .map_err(|error| malformed(&error))?;
    // If there is no date, async-h1 adds one that contains a line ending, which would end the head
    // of the forwarded response.
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
    framer: &framer::MessageFramer<IO>,
    framing: head::BodyFraming,
    method: Method,
    hook: framer::EndHook,
) -> Response {
    if head::is_bodiless(response.status(), method) {
        drop(response.take_body());
    } else if let head::BodyFraming::Length(length) = framing {
        response.set_body(body::buffered(
            framer.reader(),
            usize::try_from(length).ok(),
        ));
    }
    if !framer.has_content_type() {
        response.remove_header(CONTENT_TYPE);
    }
    framer.begin_body(framing, Some(hook));
    response
}

/// Creates the encoder of a request; the framing headers are derived from the body.
fn encoder(mut request: Request) -> async_h1::client::Encoder {
    request.remove_header(TRANSFER_ENCODING);
    request.remove_header(CONTENT_LENGTH);
    body::replace(&mut request, |request| {
        let unread = request.take_body();
        request.set_body(body::with_checked_length(unread));
    });
    async_h1::client::Encoder::new(request)
}
