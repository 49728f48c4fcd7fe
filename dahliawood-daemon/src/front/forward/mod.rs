//! Forwards an admitted request to a target and returns the target's response.
//!
//! A request is retried only if it is idempotent or cannot have reached a target, its body can be
//! sent again, and the service's retry budget allows it; a retry goes to another target. A small
//! response to an idempotent request is buffered completely before its first byte is sent to the
//! caller. If a target fails while it sends such a response, the request can still be retried.

mod outgoing;
mod slot;

pub use outgoing::set_body;

use crate::front::flight::{self, TargetFlight};
use crate::front::refusal::RefusalCause;
use crate::front::{pace, target_call};
use crate::{clock, counters, shared, slots, snapshot};
use dahliawood_model::keys::{CustomerKey, RouteKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::limit;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_request::{deadline, retry};
use dahliawood_steer::health;
use dahliawood_wire::problem;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The largest response that is buffered before it is sent to the caller, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The quota of a link that is taken for a request's head, in bytes.
const HEAD_QUOTA_BYTES: u64 = 2 * 1024;
/// `Retry-After` delay for a request that failed at a target.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// A request that passed authorization and admission.
pub struct AdmittedRequest {
    /// The request as received.
    pub request: Request,
    /// The route of the request.
    pub route: RouteKey,
    /// The customer of the request's key, `None` on an open route.
    pub customer: Option<CustomerKey>,
    /// The address of the caller.
    pub client: SocketAddr,
    /// The deadline of the request.
    pub deadline: TimeStamp,
}

/// State that all attempts of one request share.
struct ForwardRun {
    shared: Arc<shared::SharedState>,
    snapshot: Arc<snapshot::RouteSnapshot>,
    route: RouteKey,
    customer: Option<CustomerKey>,
    deadline: TimeStamp,
    is_idempotent: bool,
    tried: Vec<TargetKey>,
    /// Number of hedges: second attempts that ran concurrently with a first one.
    hedges: usize,
    verdict: RunVerdict,
}

/// An attempt that brought no response for the caller.
struct FailedAttempt {
    detail: String,
    kind: retry::TryFailure,
    /// Whether a retry at another target would not help.
    is_final: bool,
    /// The target's response, which the caller gets if there is no further attempt.
    response: Option<Box<Response>>,
}

/// Forwards a request and returns the response.
///
/// The handler's future is dropped if the caller disconnects. A non-idempotent request runs in a
/// task of its own, so that it is not aborted while it may be running at a target.
///
/// # Errors
/// Fails if the request is refused without having run.
pub async fn run(
    shared: Arc<shared::SharedState>,
    snapshot: Arc<snapshot::RouteSnapshot>,
    admitted: AdmittedRequest,
) -> Result<Response, RefusalCause> {
    let is_idempotent = snapshot.state.config.routes[admitted.route].idempotent;
    let run = ForwardRun {
        shared,
        snapshot,
        route: admitted.route,
        customer: admitted.customer,
        deadline: admitted.deadline,
        is_idempotent,
        tried: Vec::new(),
        hedges: 0,
        verdict: RunVerdict::NotRun,
    };
    let outgoing = outgoing::prepare(admitted.request, admitted.client, is_idempotent).await?;
    if is_idempotent {
        return run.run_attempts(outgoing).await;
    }
    async_std::task::spawn(run.run_attempts(outgoing)).await
}

impl ForwardRun {
    /// Makes attempts until one brings a response or no retry is allowed.
    async fn run_attempts(
        mut self,
        mut outgoing: outgoing::OutgoingRequest,
    ) -> Result<Response, RefusalCause> {
        loop {
            let flight = match slot::acquire(&self.shared, &self.attempt_query()).await {
                Ok(flight) => flight,
                Err(cause) if self.verdict == RunVerdict::NotRun => return Err(cause),
                Err(_) => return Ok(self.failure_response("no other target could be tried")),
            };
            self.tried.push(flight.target);
            match self.tried.len() {
                1 => self.budget(retry::RetryBudget::earn),
                _ => self.shared.counters.count(counters::CounterKind::Retries),
            }
            match self.attempt(&mut outgoing, flight).await {
                Ok(response) => {
                    self.shared.counters.count(counters::CounterKind::Answered);
                    return Ok(response);
                }
                Err(failed) if self.may_retry(&failed, &outgoing) => {}
                Err(failed) => return Ok(self.final_response(failed)),
            }
        }
    }

    /// The service of the request's route.
    fn service(&self) -> ServiceKey {
        self.snapshot.state.config.routes[self.route].service
    }

    /// Runs `change` on the service's retry budget.
    fn budget<T>(&self, change: impl FnOnce(&mut retry::RetryBudget) -> T) -> T {
        let service = self.service();
        let percent = self.snapshot.state.config.services[service].retry_percent;
        self.shared.budgets.with(service, percent, change)
    }

    /// The properties of the request on which the choice of a target depends.
    fn attempt_query(&self) -> slot::AttemptQuery<'_> {
        slot::AttemptQuery {
            config: &self.snapshot.state.config,
            service: self.service(),
            customer: self.customer,
            is_idempotent: self.is_idempotent,
            tried: &self.tried,
            deadline: self.deadline,
        }
    }

    /// Makes one attempt at one target.
    async fn attempt(
        &mut self,
        outgoing: &mut outgoing::OutgoingRequest,
        mut flight: TargetFlight,
    ) -> Result<Response, FailedAttempt> {
        let address = self.snapshot.state.config.targets[flight.target].address;
        let remaining = self.deadline.min(flight.usable_until()).since(clock::now());
        let method = outgoing.method();
        let is_remote = self.region_links(flight.target).is_some();
        let call = target_call::CallOptions {
            address,
            is_retry: self.tried.len() > 1,
            is_idempotent: self.is_idempotent,
            remaining,
        };
        let is_hedgeable =
            self.is_idempotent && !call.is_retry && !is_remote && outgoing.is_buffered();
        let sent = if is_hedgeable {
            self.send_hedged(outgoing, call, &mut flight).await
        } else {
            let request = outgoing.request(address, remaining);
            let request = self.paced_request(request, flight.target).await;
            target_call::send(&self.shared, request, call).await
        };
        let response = match sent {
            Ok(response) => response,
            Err(failure) => {
                flight.set_result(failure.kind);
                return Err(FailedAttempt {
                    detail: failure.detail,
                    kind: retry::TryFailure::Broken(failure.verdict),
                    is_final: failure.is_body_failure,
                    response: None,
                });
            }
        };
        self.handle_response(response, method, flight, outgoing)
            .await
    }

    /// The links to and from a target of another region, `None` for a target of this VM's region.
    fn region_links(&self, target: TargetKey) -> Option<pace::RegionLinks> {
        let config = &self.snapshot.state.config;
        let (home, remote) = (self.snapshot.state.home, config.target_region(target));
        (home != remote).then(|| pace::RegionLinks {
            outbound: limit::link_name(config, home, remote),
            inbound: limit::link_name(config, remote, home),
        })
    }

    /// Paces a request to a target of another region by the quota of the outbound link.
    async fn paced_request(&self, mut request: Request, target: TargetKey) -> Request {
        let Some(links) = self.region_links(target) else {
            return request;
        };
        pace::wait_for_quota(&self.shared, &links.outbound, HEAD_QUOTA_BYTES).await;
        let body = request.take_body();
        let body = pace::pace_body(&self.shared, &links.outbound, body);
        outgoing::set_request_body(&mut request, body);
        request
    }

    /// Paces the body of a response from another region by the quota of the inbound link.
    fn paced_response(&self, body: Body, target: TargetKey) -> Body {
        match self.region_links(target) {
            Some(links) => pace::pace_body(&self.shared, &links.inbound, body),
            None => body,
        }
    }

    /// Takes a slot and one retry of the service's budget for a hedge. A slow target cannot be
    /// distinguished from an unresponsive connection, so the target may run both attempts; the
    /// hedge therefore takes another slot of the same target, or a slot of another target if there
    /// is none.
    fn hedge_guard(&self, target: TargetKey) -> Option<flight::HedgeGuard> {
        let config = &self.snapshot.state.config;
        let name = limit::slots_name(&config.targets[target]);
        let permit = self
            .shared
            .quota
            .try_admit(&name, self.deadline, clock::now());
        let guard = match permit {
            Some(permit) => {
                let shared = Arc::clone(&self.shared);
                flight::HedgeGuard::Slot(flight::HedgeSlot { shared, permit })
            }
            None => match slots::acquire(&self.shared, config, self.attempt_query().slot_query()) {
                Ok(slots::SlotOutcome::Acquired(other))
                    if self.region_links(other.target).is_none() =>
                {
                    flight::HedgeGuard::Flight(other)
                }
                _ => return None,
            },
        };
        self.budget(retry::RetryBudget::spend).then_some(guard)
    }

    /// Sends the first attempt, and a hedge if the connection seems unresponsive. The hedge counts
    /// as an attempt and is taken out of the service's retry budget.
    async fn send_hedged(
        &mut self,
        outgoing: &outgoing::OutgoingRequest,
        call: target_call::CallOptions,
        flight: &mut TargetFlight,
    ) -> Result<Response, target_call::CallFailure> {
        let hedged = Mutex::new(None);
        let hedge_address = || {
            let guard = self.hedge_guard(flight.target)?;
            let address = match &guard {
                flight::HedgeGuard::Slot(_) => call.address,
                flight::HedgeGuard::Flight(other) => {
                    self.snapshot.state.config.targets[other.target].address
                }
            };
            *hedged.lock().unwrap_or_else(PoisonError::into_inner) = Some(guard);
            Some(address)
        };
        let request = |at| outgoing.build_copy(at, self.deadline.since(clock::now()));
        let sent = target_call::send_hedged(&self.shared, request, call, hedge_address).await;
        let hedged = hedged.into_inner().unwrap_or_else(PoisonError::into_inner);
        if let Some(guard) = hedged {
            flight.attach_hedge(guard);
            self.hedges += 1;
            self.shared.counters.count(counters::CounterKind::Retries);
        }
        sent
    }

    /// Reports the response's status to the target's health, and prepares the response for the
    /// caller: buffers a small body of an idempotent request, streams any other.
    async fn handle_response(
        &mut self,
        mut response: Response,
        method: Method,
        mut flight: TargetFlight,
        outgoing: &outgoing::OutgoingRequest,
    ) -> Result<Response, FailedAttempt> {
        let is_shed = response.status() == StatusCode::ServiceUnavailable;
        if is_shed {
            flight.set_result(health::ResultKind::Shed);
        } else if response.status().is_server_error() {
            flight.set_result(health::ResultKind::Errored);
        } else {
            flight.set_result(health::ResultKind::Answered);
        }
        outgoing.clean_response(&mut response);
        let body = self.paced_response(response.take_body(), flight.target);
        let is_small = body
            .len()
            .is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        if is_shed {
            outgoing::set_body(&mut response, flight::with_flight(body, flight));
            return Err(FailedAttempt {
                detail: "a target shed it".to_owned(),
                kind: retry::TryFailure::Shed,
                is_final: false,
                response: Some(Box::new(response)),
            });
        }
        if !self.is_idempotent || !is_small || method == Method::Head {
            outgoing::set_body(&mut response, flight::with_flight(body, flight));
            return Ok(response);
        }
        self.buffer_response(response, body, flight).await
    }

    /// Buffers a small response completely.
    async fn buffer_response(
        &mut self,
        mut response: Response,
        body: Body,
        mut flight: TargetFlight,
    ) -> Result<Response, FailedAttempt> {
        let mime = body.mime().clone();
        let remaining = self.deadline.since(clock::now());
        let read = async_std::future::timeout(remaining, body.into_bytes()).await;
        match read {
            Ok(Ok(bytes)) => {
                let mut body = Body::from_bytes(bytes);
                body.set_mime(mime);
                outgoing::set_body(&mut response, body);
                Ok(response)
            }
            Ok(Err(error)) => {
                flight.set_result(health::ResultKind::Errored);
                Err(FailedAttempt {
                    kind: retry::TryFailure::Broken(RunVerdict::Ran),
                    response: None,
                    detail: format!("the answer broke off: {error}"),
                    is_final: false,
                })
            }
            Err(_) => {
                flight.set_result(health::ResultKind::TimedOut);
                Err(FailedAttempt {
                    kind: retry::TryFailure::Broken(RunVerdict::Ran),
                    response: None,
                    detail: "the answer came too slowly".to_owned(),
                    is_final: true,
                })
            }
        }
    }

    /// Whether the request may be retried. If so, takes the retry out of the service's budget.
    /// Records in any case whether the request may have run.
    fn may_retry(&mut self, failed: &FailedAttempt, outgoing: &outgoing::OutgoingRequest) -> bool {
        let earlier = self.verdict;
        self.verdict = earlier.combine(failed.kind.verdict());
        if failed.is_final {
            return false;
        }
        let context = retry::RetryContext {
            idempotent: self.is_idempotent,
            tries: u32::try_from(self.tried.len() + self.hedges).unwrap_or(u32::MAX),
            failure: failed.kind,
            earlier,
            answer_begun: false,
            body_replayable: outgoing.is_replayable(),
            deadline: deadline::RequestDeadline { at: self.deadline },
        };
        let options = retry::RetryOptions::default();
        let decided = self.budget(|budget| retry::decide(&context, &options, budget, clock::now()));
        matches!(decided, retry::RetryDecision::Retry { .. })
    }

    /// The response after the last attempt: the target's own response if there is one, otherwise a
    /// problem document.
    fn final_response(&self, failed: FailedAttempt) -> Response {
        let Some(response) = failed.response else {
            return self.failure_response(&failed.detail);
        };
        self.shared.counters.count(counters::CounterKind::Answered);
        *response
    }

    /// The problem document for a request whose attempts got no response; it states whether the
    /// request may have run.
    fn failure_response(&self, detail: &str) -> Response {
        self.shared.counters.count(counters::CounterKind::Failed);
        let is_late = clock::now() >= self.deadline;
        let (status, name, title) = match (is_late, self.verdict) {
            (true, _) => (StatusCode::GatewayTimeout, "timeout", "No answer in time"),
            (false, RunVerdict::NotRun) => (
                StatusCode::ServiceUnavailable,
                "unreachable",
                "No target could be reached",
            ),
            (false, _) => (StatusCode::BadGateway, "target-failed", "The target failed"),
        };
        let retry_after = (self.verdict == RunVerdict::NotRun || self.is_idempotent)
            .then_some(RETRY_AFTER_FAILURE);
        let detail = detail.to_owned();
        let ran = self.verdict;
        problem::ProblemDocument {
            name,
            status,
            title,
            detail,
            ran,
            retry_after,
        }
        .into_response()
    }
}
