//! Exchanges that tell a silent connection from a slow target.

use super::error::{CheckoutSnafu, ExchangeSnafu, PooledError};
use super::{ConnectionChoice, PooledConnection, TargetPool};
use crate::{client, framer};
use async_std::task;
use futures::future::{self, Either};
use http_types::Request;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// When a second try starts.
#[derive(Clone, Copy, Debug)]
pub struct HedgeOptions {
    /// How long the first try may go without the head of an answer.
    pub after: Duration,
}

impl TargetPool {
    /// Runs one exchange of an idempotent request, with a second try over a fresh connection where
    /// a reused one stays without an answer.
    ///
    /// Whichever answers first is taken and the other cancelled. Where it is the second, the first
    /// connection is held to be silent and its siblings are closed, see
    /// [`TargetPool::report_unresponsive`]. `request` is called once for each try, with its
    /// target; `second` is asked once where a second try is due, and is where a budget is spent.
    ///
    /// # Errors
    /// Neither try brought a usable answer: the error of the one that came further.
    pub async fn exchange_hedged(
        &self,
        first: SocketAddr,
        request: impl Fn(SocketAddr) -> Request,
        options: &client::ExchangeOptions,
        hedge: HedgeOptions,
        second: impl FnOnce() -> Option<SocketAddr>,
    ) -> Result<client::ExchangeOutcome, PooledError> {
        let connection = self.checkout_live(first, ConnectionChoice::Any).await;
        let PooledConnection {
            stream,
            reused,
            guard,
        } = connection.context(CheckoutSnafu)?;
        let finish = move |reusable| guard.release(reusable);
        let framer = framer::MessageFramer::new(stream.clone(), options.stall_timeout);
        let first_try = Box::pin(client::exchange_unchecked(
            stream,
            framer,
            request(first),
            options,
            finish,
        ));
        if !reused {
            return first_try.await.context(ExchangeSnafu);
        }
        let delay = Box::pin(task::sleep(hedge.after));
        let first_try = match future::select(first_try, delay).await {
            Either::Left((exchanged, _)) => return exchanged.context(ExchangeSnafu),
            Either::Right(((), first_try)) => first_try,
        };
        // Connections that the second try opens are younger than this.
        let id = self.newest_id(first);
        let Some(second) = second() else {
            let exchanged = first_try.await;
            if let Err(error) = &exchanged
                && error.is_unresponsive()
            {
                self.report_unresponsive(id);
            }
            return exchanged.context(ExchangeSnafu);
        };
        let second_try = self.exchange(second, ConnectionChoice::Fresh, request(second), options);
        match future::select(first_try, Box::pin(second_try)).await {
            Either::Left((Ok(outcome), _)) => Ok(outcome),
            Either::Left((Err(error), second_try)) => {
                let error = PooledError::Exchange { source: error };
                second_try
                    .await
                    .map_err(|second| higher_verdict(error, second))
            }
            Either::Right((Ok(outcome), _)) => {
                self.report_unresponsive(id);
                Ok(outcome)
            }
            Either::Right((Err(error), first_try)) => {
                let exchanged = first_try.await.context(ExchangeSnafu);
                exchanged.map_err(|first| higher_verdict(first, error))
            }
        }
    }
}

fn higher_verdict(first: PooledError, second: PooledError) -> PooledError {
    if second.verdict() > first.verdict() {
        second
    } else {
        first
    }
}
