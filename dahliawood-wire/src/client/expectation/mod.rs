//! Withholds a request body until the target responds with `100 Continue`.
//!
//! With `Expect: 100-continue` this VM sends only the head until the target asks for the body. If
//! the target fails or the connection becomes unresponsive before that, the request has not run,
//! provided that the target runs nothing before it has read the body. A non-idempotent request can
//! then be retried safely.

use super::error::ExchangeError;
use crate::body;
use async_std::task;
use futures::future;
use futures::io::AsyncRead;
use futures::task::AtomicWaker;
use http_types::headers::EXPECT;
use http_types::{Body, Request};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// What to do if the target does not ask for the body in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectFallback {
    /// Send the body, because the target may not support the expectation.
    SendBody,
    /// Fail the exchange with the verdict "not run".
    Fail,
}

/// How to wait for `100 Continue`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectOptions {
    /// Maximum time for the target to ask for the body.
    pub timeout: Duration,
    /// What to do after that time.
    pub fallback: ExpectFallback,
}

/// How much of a request has been sent.
#[derive(Debug, Default)]
pub(super) struct SendProgress {
    /// Bytes that the connection accepted.
    pub(super) bytes: AtomicU64,
    withheld: AtomicBool,
    waker: AtomicWaker,
}

impl SendProgress {
    /// Bytes sent that may have made the target run the request; zero while the body is withheld.
    pub(super) fn effective_bytes(&self) -> u64 {
        if self.withheld.load(Ordering::SeqCst) {
            return 0;
        }
        self.bytes.load(Ordering::SeqCst)
    }

    /// Allows the body to be sent.
    pub(super) fn release_body(&self) {
        self.withheld.store(false, Ordering::SeqCst);
        self.waker.wake();
    }
}

/// A body that is not readable until it is released.
struct WithheldReader {
    body: Body,
    progress: Arc<SendProgress>,
}

impl AsyncRead for WithheldReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.waker.register(context.waker());
        if self.progress.withheld.load(Ordering::SeqCst) {
            return Poll::Pending;
        }
        Pin::new(&mut self.body).poll_read(context, output)
    }
}

/// Withholds the request's body, if it has one.
pub(super) fn withhold_body(request: &mut Request, progress: &Arc<SendProgress>) {
    if request.is_empty() == Some(true) {
        return;
    }
    progress.withheld.store(true, Ordering::SeqCst);
    request.insert_header(EXPECT, "100-continue");
    body::replace(request, |request| {
        let unread = request.take_body();
        let length = unread.len();
        let reader = WithheldReader {
            body: unread,
            progress: progress.clone(),
        };
        request.set_body(body::buffered(reader, length));
    });
}

/// Releases the body after the timeout; returns only if the exchange is to fail instead.
pub(super) async fn continue_timeout(
    options: Option<ExpectOptions>,
    progress: &SendProgress,
) -> ExchangeError {
    if let Some(options) = options {
        task::sleep(options.timeout).await;
        let withheld = progress.withheld.load(Ordering::SeqCst);
        if withheld && options.fallback == ExpectFallback::Fail {
            return ExchangeError::NoContinue;
        }
        progress.release_body();
    }
    future::pending().await
}
