//! One exchange with a target over a pooled connection; classifies failures for the target's
//! health.

use crate::shared;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_steer::health;
use dahliawood_wire::{client, pool};
use http_types::{Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// Options of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The address of the target.
    pub address: SocketAddr,
    /// Whether the request was attempted before; a retry uses a new connection.
    pub is_retry: bool,
    /// Whether the request may run more than once. If not, only a connection that was used
    /// recently, and so has had little time to become unresponsive, is reused.
    pub is_idempotent: bool,
    /// The time that remains for the response.
    pub remaining: Duration,
}

/// The longest idle time of a reused connection for a non-idempotent request.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// How long the first attempt of an idempotent request may wait for the response head before a
/// hedge starts on a new connection.
const HEDGE_AFTER: Duration = Duration::from_millis(100);

/// The reason why an exchange got no response.
#[derive(Clone, Debug)]
pub struct CallFailure {
    /// The result for the target's health.
    pub kind: health::ResultKind,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Whether reading the request's body failed; another target would not help then.
    pub is_body_failure: bool,
    /// Description of the failure.
    pub detail: String,
}

/// Sends a request and waits for the response head.
///
/// # Errors
/// Fails if no usable response arrives; the error contains the result for the target's health and
/// whether the request may have run.
pub async fn send(
    shared: &shared::SharedState,
    request: Request,
    call: CallOptions,
) -> Result<Response, CallFailure> {
    let choice = match (call.is_retry, call.is_idempotent) {
        (true, _) => pool::ConnectionChoice::Fresh,
        (false, true) => pool::ConnectionChoice::Any,
        (false, false) => pool::ConnectionChoice::UsedWithin(MAX_IDLE_NON_IDEMPOTENT),
    };
    let options = exchange_options(call);
    let exchanged = shared
        .pool
        .exchange(call.address, choice, request, &options)
        .await;
    exchanged
        .map(|outcome| outcome.response)
        .map_err(|error| failure(&error))
}

/// Sends the first attempt of an idempotent request. If a reused connection has not delivered the
/// response head after 100 ms, sends a hedge (a second, concurrent attempt) on a new connection to
/// the address that `hedge_address` returns, or none if that returns `None`.
///
/// At that time, a slow target cannot be distinguished from an unresponsive connection. A slow
/// target may therefore run both attempts for a while, and its other idle connections are closed if
/// the hedge is answered first. This function takes no slot for the hedge: `hedge_address` has to
/// take one and so bound the number of hedges.
///
/// # Errors
/// Fails if neither attempt gets a usable response, with the same information as [`send`].
pub async fn send_hedged(
    shared: &shared::SharedState,
    request: impl Fn(SocketAddr) -> Request,
    call: CallOptions,
    hedge_address: impl FnOnce() -> Option<SocketAddr>,
) -> Result<Response, CallFailure> {
    let options = exchange_options(call);
    let hedge = pool::hedge::HedgeOptions { after: HEDGE_AFTER };
    let exchanged = shared
        .pool
        .exchange_hedged(call.address, request, &options, hedge, hedge_address)
        .await;
    exchanged
        .map(|outcome| outcome.response)
        .map_err(|error| failure(&error))
}

/// The timeouts of one exchange.
fn exchange_options(call: CallOptions) -> client::ExchangeOptions {
    client::ExchangeOptions {
        response_timeout: call.remaining,
        ..client::ExchangeOptions::default()
    }
}

/// Classifies an error of the connection pool.
fn failure(error: &pool::error::PooledError) -> CallFailure {
    let (kind, is_body_failure) = match error {
        pool::error::PooledError::Checkout {
            source: pool::error::CheckoutError::Exhausted { .. },
        } => (health::ResultKind::Cancelled, false),
        pool::error::PooledError::Checkout { .. } => (health::ResultKind::ConnectFailed, false),
        pool::error::PooledError::Exchange { source } if source.is_request_body_error() => {
            (health::ResultKind::Cancelled, true)
        }
        pool::error::PooledError::Exchange { source } if source.is_unresponsive() => {
            (health::ResultKind::TimedOut, false)
        }
        pool::error::PooledError::Exchange { .. } => (health::ResultKind::Errored, false),
    };
    CallFailure {
        kind,
        verdict: error.verdict(),
        is_body_failure,
        detail: error_chain(error),
    }
}

/// Formats an error with its causes in one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
