//! Requests in flight at a target, which occupy a slot until their response has been read.

use crate::{clock, shared, slots};
use async_std::task;
use dahliawood_model::keys::{ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::manager::effect;
use dahliawood_steer::{choice, health, target};
use futures::future::BoxFuture;
use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Body;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

/// The result that is reported to the target's health if its response body fails.
const FAILED: health::ResultKind = health::ResultKind::Errored;

/// Holds a slot of a target for one attempt. When dropped, reports the result, releases the slot
/// and dispatches the queue of the service.
#[derive(derive_more::Debug)]
#[debug("TargetFlight({target})")]
pub struct TargetFlight {
    shared: Arc<shared::SharedState>,
    key: target::FlightKey,
    /// The target of the attempt.
    pub target: TargetKey,
    service: ServiceKey,
    started: TimeStamp,
    report: health::ResultReport,
    permit: Option<effect::QuotaPermit>,
    hedge: Option<Box<HedgeGuard>>,
}

/// The slot that a hedge (a second, concurrent attempt) occupies.
pub enum HedgeGuard {
    /// Another slot of the same target.
    Slot(HedgeSlot),
    /// A slot of another target.
    Flight(TargetFlight),
}

/// Another slot of a target; released when dropped.
pub struct HedgeSlot {
    /// State of the daemon.
    pub shared: Arc<shared::SharedState>,
    /// The permit for the slot.
    pub permit: effect::QuotaPermit,
}

impl Drop for HedgeSlot {
    fn drop(&mut self) {
        self.shared.quota.release(self.permit, clock::now());
    }
}

impl TargetFlight {
    /// Creates a flight that starts now; until a result is set, it counts as cancelled.
    pub fn new(
        shared: Arc<shared::SharedState>,
        key: target::FlightKey,
        target: TargetKey,
        service: ServiceKey,
        permit: effect::QuotaPermit,
    ) -> Self {
        let kind = health::ResultKind::Cancelled;
        let report = health::ResultReport {
            kind,
            latency: std::time::Duration::ZERO,
        };
        Self {
            shared,
            key,
            target,
            service,
            started: clock::now(),
            report,
            permit: Some(permit),
            hedge: None,
        }
    }

    /// The end of the slot's loan; without limit if the slot is this VM's own.
    pub fn usable_until(&self) -> TimeStamp {
        let loan = self.permit.filter(is_loan);
        loan.map_or(TimeStamp::MAX, |permit| permit.usable_until)
    }

    /// Keeps the slot of a hedge for as long as this flight, because either attempt may be the one
    /// whose response is read.
    pub fn attach_hedge(&mut self, guard: HedgeGuard) {
        self.hedge = Some(Box::new(guard));
    }

    /// Sets the result of the attempt; the latency is the time since the attempt started.
    pub fn set_result(&mut self, kind: health::ResultKind) {
        let latency = clock::now().since(self.started);
        self.report = health::ResultReport { kind, latency };
    }
}

impl Drop for TargetFlight {
    fn drop(&mut self) {
        self.hedge = None;
        if let Some(table) = self.shared.targets().as_mut() {
            choice::finish(table, self.key, self.report, clock::now());
        }
        if let Some(permit) = self.permit.take() {
            self.shared.quota.release(permit, clock::now());
        }
        slots::dispatch(&self.shared, self.service);
    }
}

/// A response body that keeps its slot until the body has been read or dropped. A borrowed slot
/// returns to its lender when the loan ends, so reading fails if the body has not ended by then.
struct FlightBody {
    body: Body,
    flight: Option<TargetFlight>,
    loan_end: Option<Mutex<BoxFuture<'static, ()>>>,
}

/// Whether a slot is borrowed from another VM.
fn is_loan(permit: &effect::QuotaPermit) -> bool {
    matches!(permit.source, effect::PermitSource::Loan(_))
}

/// A future that resolves when the loan of a permit ends, `None` for this VM's own slot.
fn loan_end(permit: Option<effect::QuotaPermit>) -> Option<Mutex<BoxFuture<'static, ()>>> {
    let loan = permit.filter(is_loan)?;
    let remaining = loan.usable_until.since(clock::now());
    Some(Mutex::new(Box::pin(task::sleep(remaining))))
}

/// Wraps a response body so that its flight ends when the body has been read or dropped.
pub fn with_flight(body: Body, flight: TargetFlight) -> Body {
    let length = body.len();
    let mime = body.mime().clone();
    let loan_end = loan_end(flight.permit);
    let flight = Some(flight);
    let tracked = FlightBody {
        body,
        flight,
        loan_end,
    };
    let mut tracked = Body::from_reader(tracked, length);
    tracked.set_mime(mime);
    tracked
}

impl AsyncRead for FlightBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(cut) = self.poll_loan_end(context) {
            return Poll::Ready(Err(cut));
        }
        let read = Pin::new(&mut self.body).poll_read(context, buffer);
        if matches!(read, Poll::Ready(Ok(0))) && !buffer.is_empty() {
            self.flight = None;
        }
        if matches!(read, Poll::Ready(Err(_))) {
            self.mark_failed();
        }
        read
    }
}

impl AsyncBufRead for FlightBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if let Some(cut) = this.poll_loan_end(context) {
            return Poll::Ready(Err(cut));
        }
        let filled = Pin::new(&mut this.body).poll_fill_buf(context);
        match &filled {
            Poll::Ready(Ok([])) => this.flight = None,
            Poll::Ready(Err(_)) => {
                let flight = this.flight.take();
                flight
                    .into_iter()
                    .for_each(|mut flight| flight.set_result(FAILED));
            }
            _ => {}
        }
        filled
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
    }
}

impl FlightBody {
    /// Returns the error that ends the body once the slot's loan has ended.
    fn poll_loan_end(&mut self, context: &mut Context<'_>) -> Option<io::Error> {
        let loan_end = self.loan_end.as_mut()?;
        let loan_end = loan_end.get_mut().unwrap_or_else(PoisonError::into_inner);
        if loan_end.as_mut().poll(context).is_pending() {
            return None;
        }
        self.flight = None;
        self.loan_end = None;
        self.body = Body::empty();
        Some(io::Error::new(
            io::ErrorKind::TimedOut,
            "the slot's loan is over",
        ))
    }

    /// Reports that the response body failed.
    fn mark_failed(&mut self) {
        if let Some(mut flight) = self.flight.take() {
            flight.set_result(FAILED);
        }
    }
}

/// A body that holds a guard until the body is dropped, which happens after its last byte was
/// written.
struct GuardedBody<T> {
    body: Body,
    _guard: T,
}

/// Wraps a body so that `guard` is dropped only when the body has been sent.
pub fn with_guard<T: Send + Sync + Unpin + 'static>(body: Body, guard: T) -> Body {
    let length = body.len();
    let mime = body.mime().clone();
    let mut guarded = Body::from_reader(
        GuardedBody {
            body,
            _guard: guard,
        },
        length,
    );
    guarded.set_mime(mime);
    guarded
}

impl<T: Unpin> AsyncRead for GuardedBody<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.body).poll_read(context, buffer)
    }
}

impl<T: Unpin> AsyncBufRead for GuardedBody<T> {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().body).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.body).consume(amount);
    }
}
