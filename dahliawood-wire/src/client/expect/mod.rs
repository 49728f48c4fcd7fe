//! Asking a target before its body is sent.
//!
//! With `Expect: 100-continue` the body of a request stays here until the target asks for it. A
//! target that dies or a connection that goes silent before that has only the head, so the request
//! has not run, provided that the target runs nothing before it has read a body.

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

/// What is done where a target does not ask for the body in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectFallback {
    /// The body is sent: the target may not know the expectation.
    SendBody,
    /// The exchange fails with the verdict "not run".
    Fail,
}

/// How a target is asked before a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectOptions {
    /// How long the target may take to ask for the body.
    pub timeout: Duration,
    /// What follows then.
    pub fallback: ExpectFallback,
}

/// What of a request may have reached its target.
#[derive(Debug, Default)]
pub(super) struct SendProgress {
    /// Bytes that the connection took.
    pub(super) bytes: AtomicU64,
    withheld: AtomicBool,
    waker: AtomicWaker,
}

impl SendProgress {
    /// Bytes that count: none while the body is withheld.
    pub(super) fn effective_bytes(&self) -> u64 {
        if self.withheld.load(Ordering::SeqCst) {
            return 0;
        }
        self.bytes.load(Ordering::SeqCst)
    }

    /// Lets the body go.
    pub(super) fn release_body(&self) {
        self.withheld.store(false, Ordering::SeqCst);
        self.waker.wake();
    }
}

/// A body that waits to be asked for.
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

/// Withholds the request's body, where it has one.
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

/// Ends only where the target did not ask in time and the exchange is to be given up.
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
