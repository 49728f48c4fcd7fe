//! Hedged exchanges, which distinguish an unresponsive connection from a slow target.

use super::error::{CheckoutSnafu, ExchangeSnafu, PooledError};
use super::{ConnectionChoice, PooledConnection, TargetPool};
use crate::{client, framer};
use async_std::task;
use futures::future::{self, Either};
use http_types::Request;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// When the second try starts.
#[derive(Clone, Copy, Debug)]
pub struct HedgeOptions {
    /// How long to wait for the response head of the first try.
    pub after: Duration,
}

impl TargetPool {
    /// Runs one exchange of an idempotent request. If a reused connection returns no response in
    /// time, a second try is sent over a new connection.
    ///
    /// The first response is used and the other try is cancelled. If the second try responds first,
    /// the first connection is treated as unresponsive, and so are the other connections opened to
    /// that target before the second try, see [`TargetPool::report_unresponsive`]. `request` is
    /// called once per try, with the address of the try's target. `second` is called once when a
    /// second try is due; it returns the target of that try, or `None` if the try is not permitted,
    /// and is responsible for spending a retry budget.
    ///
    /// # Errors
    /// Neither try returned a usable response; returns the error with the higher verdict, that is,
    /// of a try that may have run rather than of one that has not.
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
        // The second try opens a connection with a higher sequence number than this.
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
