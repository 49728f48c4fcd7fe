//! Forwards an admitted request to a target and brings back its answer.
//!
//! A request is tried again only where it is idempotent or cannot have reached a target, on another
//! target, while its body is still at hand, and within the service's retry budget. A small answer of an idempotent request is read
//! whole before its first byte goes out, so that a target that dies while it answers costs another
//! try and not the answer.

mod outgoing;
mod slot;

pub use outgoing::set_body;

use crate::front::flight::{self, TargetFlight};
use crate::front::refusal::RefusalCause;
use crate::front::{pace, target_call};
use crate::{clock, counters, shared, slots, snapshot};
use dahliawood_fate::verdict::RunVerdict;
use dahliawood_fate::{deadline, retry};
use dahliawood_model::keys::{CustomerKey, RouteKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::limit;
use dahliawood_steer::health;
use dahliawood_wire::problem;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The longest answer that is read whole before it goes out, bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// What a request's head is counted as on a link, bytes.
const HEAD_QUOTA_BYTES: u64 = 2 * 1024;
/// When a caller whose request failed at a target may come back.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// A request that may be forwarded.
pub struct AdmittedRequest {
    /// The request as it came.
    pub request: Request,
    /// Its route.
    pub route: RouteKey,
    /// Whose key came with it.
    pub customer: Option<CustomerKey>,
    /// Where it came from.
    pub client: SocketAddr,
    /// Until when it may take.
    pub deadline: TimeStamp,
}

/// What all tries of one request share.
struct ForwardRun {
    shared: Arc<shared::SharedState>,
    snapshot: Arc<snapshot::RouteSnapshot>,
    route: RouteKey,
    customer: Option<CustomerKey>,
    deadline: TimeStamp,
    is_idempotent: bool,
    tried: Vec<TargetKey>,
    /// Second tries that ran beside a first one.
    hedges: usize,
    verdict: RunVerdict,
}

/// How a try ended without an answer.
struct FailedAttempt {
    detail: String,
    kind: retry::TryFailure,
    /// Whether no other target would fare better.
    is_final: bool,
    /// What the target answered, for the caller where there is no other try.
    response: Option<Box<Response>>,
}

/// Forwards a request to its end.
///
/// The handler is dropped where the caller leaves. A non-idempotent request that may be running is
/// not cut short by that: it runs to its end in a task of its own.
///
/// # Errors
/// Refuses a request that has not run.
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
    /// Tries until there is an answer or nothing is left to try.
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

    /// What the choice of a target depends on.
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

    /// One try at one target.
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

    /// The links to a target of another region, `None` for one of this VM's own.
    fn region_links(&self, target: TargetKey) -> Option<pace::RegionLinks> {
        let config = &self.snapshot.state.config;
        let (home, remote) = (self.snapshot.state.home, config.target_region(target));
        (home != remote).then(|| pace::RegionLinks {
            outbound: limit::link_name(config, home, remote),
            inbound: limit::link_name(config, remote, home),
        })
    }

    /// A request that leaves the region no faster than the link's allowance.
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

    /// An answer that is read no faster than the link's allowance.
    fn paced_response(&self, body: Body, target: TargetKey) -> Body {
        match self.region_links(target) {
            Some(links) => pace::pace_body(&self.shared, &links.inbound, body),
            None => body,
        }
    }

    /// A slot and a part of the service's budget for a second try beside the first. A silent
    /// connection and a slow target look alike, so the same target may run both: it takes one more of
    /// its slots, or else one of another target.
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

    /// Sends the first try, with a second one beside it where its connection seems silent; that one
    /// counts as a try and is taken out of the service's budget.
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

    /// Takes the answer's head, and its body too where it is small.
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

    /// Reads a small answer whole.
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

    /// Whether another target may be tried; takes that try out of the service's budget, and notes
    /// whether the request may have run.
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

    /// What the caller gets where there is no other try: the target's own answer, or what is known.
    fn final_response(&self, failed: FailedAttempt) -> Response {
        let Some(response) = failed.response else {
            return self.failure_response(&failed.detail);
        };
        self.shared.counters.count(counters::CounterKind::Answered);
        *response
    }

    /// The answer to a request that was tried and got none: what is known of it, said truly.
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
