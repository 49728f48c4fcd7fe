//! One exchange with a target over a pooled connection, and what its failure tells of the target.

use crate::shared;
use dahliawood_fate::verdict::RunVerdict;
use dahliawood_steer::health;
use dahliawood_wire::{client, pool};
use http_types::{Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// How one exchange is made.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// The target.
    pub address: SocketAddr,
    /// Whether the request was tried before: a retry takes a new connection.
    pub is_retry: bool,
    /// Whether the request may run more than once; one that may not takes a connection that has had
    /// little chance to go silent.
    pub is_idempotent: bool,
    /// How long the answer may take.
    pub remaining: Duration,
}

/// How long ago a connection may have been used to carry a non-idempotent request.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// How long the first try of an idempotent request may go without the head of an answer before a
/// second one starts on a new connection.
const HEDGE_AFTER: Duration = Duration::from_millis(100);

/// Why an exchange brought no answer.
#[derive(Clone, Debug)]
pub struct CallFailure {
    /// What it tells of the target's health.
    pub kind: health::ResultKind,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Whether the request's own body failed, so that no other target would fare better.
    pub is_body_failure: bool,
    /// What happened.
    pub detail: String,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
/// No usable answer, with what that tells.
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

/// Sends the first try of an idempotent request, and a second one on a new connection to the same
/// target where a reused connection stays without an answer for 100 ms and `may_hedge` allows it.
///
/// A target that is slow is not told from a connection that is silent until then: such a target
/// runs both for a while under one slot, and its siblings' idle connections are closed where the
/// second answers first. `may_hedge` has to bound that.
///
/// # Errors
/// No usable answer by either, with what that tells.
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

/// The bounds of one exchange.
fn exchange_options(call: CallOptions) -> client::ExchangeOptions {
    client::ExchangeOptions {
        response_timeout: call.remaining,
        ..client::ExchangeOptions::default()
    }
}

/// What an error tells.
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

/// An error with its causes, in one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
