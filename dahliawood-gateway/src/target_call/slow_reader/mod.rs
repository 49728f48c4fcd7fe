//! Tells a target that reads a long request slowly from one that is gone.
//!
//! The kernel ends a connection whose bytes stay unacknowledged for the user timeout, and takes a peer whose
//! window stays closed for that long for gone too, although it answers. A short request fits in the window of
//! any target; while a long one is sent, the limit of its connection is lifted, and connections that are
//! opened to the target show whether it is there.

use crate::reach;
use crate::state::{GatewayState, USER_TIMEOUT};
use crate::target_call::{self, CallFailure};
use async_std::net::TcpStream;
use async_std::task;
use dahliawood_steer::health::ResultKind;
use dahliawood_wire::pool::error::CheckoutError;
use futures::future::{self, Either};
use socket2::SockRef;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::time::Duration;

/// Runs an exchange that takes at most `limit`, until it ends or its target accepts no connection.
pub(super) async fn run<T>(
    state: &GatewayState,
    address: SocketAddr,
    stream: &TcpStream,
    limit: Duration,
    exchange: Pin<&mut impl Future<Output = Result<T, CallFailure>>>,
) -> Result<T, CallFailure> {
    set_user_timeout(stream, limit.max(USER_TIMEOUT));
    let unreachable = pin!(until_unreachable(state, address));
    let ended = match future::select(exchange, unreachable).await {
        Either::Left((ended, _)) => ended,
        Either::Right((error, _)) => Err(CallFailure {
            is_broken: true,
            ..target_call::may_have_run(ResultKind::Errored, error.to_string())
        }),
    };
    set_user_timeout(stream, USER_TIMEOUT);
    ended
}

fn set_user_timeout(stream: &TcpStream, limit: Duration) {
    let set = SockRef::from(stream).set_tcp_user_timeout(Some(limit));
    if let Err(error) = set {
        log::debug!("cannot set the user timeout of a connection to a target: {error}");
    }
}

/// Waits until a target accepts no connection.
async fn until_unreachable(state: &GatewayState, address: SocketAddr) -> CheckoutError {
    loop {
        task::sleep(USER_TIMEOUT).await;
        match reach::probe(state, address).await {
            Err(error @ CheckoutError::Connect { .. }) => return error,
            // That all connections are in use says nothing about the target.
            Ok(()) | Err(CheckoutError::Exhausted { .. }) => {}
        }
    }
}
