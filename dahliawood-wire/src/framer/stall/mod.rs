//! Timeout of a read that makes no progress.

use async_std::task;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Measures how long a read has been pending.
pub(super) struct StallTimer {
    limit: Duration,
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl StallTimer {
    pub(super) fn new(limit: Duration) -> Self {
        Self {
            limit,
            waiting_since: None,
            timer: None,
        }
    }

    /// Restarts the measurement, after bytes were received.
    pub(super) fn reset(&mut self) {
        self.waiting_since = None;
    }

    /// Ready once no byte was received for the limit; called whenever a read is pending.
    pub(super) fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let started = *self.waiting_since.get_or_insert_with(Instant::now);
        loop {
            let left = self.limit.saturating_sub(started.elapsed());
            if left.is_zero() {
                return Poll::Ready(());
            }
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(task::sleep(left)));
            ready!(timer.as_mut().poll(context));
            self.timer = None;
        }
    }
}
