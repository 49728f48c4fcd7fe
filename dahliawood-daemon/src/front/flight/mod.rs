//! A request that occupies a slot of a target, from the choice until its answer has been read.

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

/// What an answer that breaks off tells of its target.
const FAILED: health::ResultKind = health::ResultKind::Errored;

/// Holds the slot; gives it back when it is dropped.
#[derive(derive_more::Debug)]
#[debug("TargetFlight({target})")]
pub struct TargetFlight {
    shared: Arc<shared::SharedState>,
    key: target::FlightKey,
    /// The target.
    pub target: TargetKey,
    service: ServiceKey,
    started: TimeStamp,
    report: health::ResultReport,
    permit: Option<effect::QuotaPermit>,
    hedge: Option<Box<HedgeGuard>>,
}

/// What the second of two tries side by side occupies.
pub enum HedgeGuard {
    /// One more slot of the same target.
    Slot(HedgeSlot),
    /// A slot of another one.
    Flight(TargetFlight),
}

/// One more slot of a target; given back when it is dropped.
pub struct HedgeSlot {
    /// State of the daemon.
    pub shared: Arc<shared::SharedState>,
    /// The slot.
    pub permit: effect::QuotaPermit,
}

impl Drop for HedgeSlot {
    fn drop(&mut self) {
        self.shared.quota.release(self.permit, clock::now());
    }
}

impl TargetFlight {
    /// A flight that was just begun.
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

    /// Until when the slot may be used: without end where it is this VM's own.
    pub fn usable_until(&self) -> TimeStamp {
        let loan = self.permit.filter(is_loan);
        loan.map_or(TimeStamp::MAX, |permit| permit.usable_until)
    }

    /// Keeps what a second try occupies for as long as this flight: either may be the one that
    /// answers.
    pub fn attach_hedge(&mut self, guard: HedgeGuard) {
        self.hedge = Some(Box::new(guard));
    }

    /// Notes what became of it; the latency is that up to now.
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

/// The body of an answer, which keeps its slot until it has been read or dropped. A slot that is on
/// loan goes back to its lender when the loan ends, so an answer that is not over by then is cut.
struct FlightBody {
    body: Body,
    flight: Option<TargetFlight>,
    loan_end: Option<Mutex<BoxFuture<'static, ()>>>,
}

/// Whether a slot is on loan.
fn is_loan(permit: &effect::QuotaPermit) -> bool {
    matches!(permit.source, effect::PermitSource::Loan(_))
}

/// Resolves when the loan of a permit ends, `None` for a slot of this VM's own.
fn loan_end(permit: Option<effect::QuotaPermit>) -> Option<Mutex<BoxFuture<'static, ()>>> {
    let loan = permit.filter(is_loan)?;
    let remaining = loan.usable_until.since(clock::now());
    Some(Mutex::new(Box::pin(task::sleep(remaining))))
}

/// Ties a body to the flight that it belongs to.
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
    /// The error that cuts the answer, once the slot's loan is over.
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

    /// The answer broke off.
    fn mark_failed(&mut self) {
        if let Some(mut flight) = self.flight.take() {
            flight.set_result(FAILED);
        }
    }
}

/// A body that keeps something until it is dropped, which is after its last byte was written.
struct GuardedBody<T> {
    body: Body,
    _guard: T,
}

/// Keeps `guard` for as long as a body is being sent.
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
