//! Forwards a routed request to a target and returns the target's response.
//!
//! A request is retried, on another target, only if it is idempotent or has not run, and only
//! within the route's maximum number of attempts and the service's retry budget.

mod attempt;
mod classification;
mod helper;
mod selection;
mod suspicion;
pub mod waiting;

use crate::clock;
use crate::codec::RequestMetadata;
use crate::decisions::{DecisionOutcome, RequestDecision};
use crate::forward::helper::HelperEnd;
use crate::forward::selection::TryTarget;
use crate::forward::waiting::ticket::WaitTicket;
use crate::front::connection::CallerRequest;
use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::state::GatewayState;
use crate::structured_log::EventClass;
use crate::target_call::{self, CallFailure, TargetResponse};
use dahliawood_model::catalog::{CatalogRoute, FleetCatalog};
use dahliawood_model::keys::{CustomerKey, RouteKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_request::quarantine::identity::RequestIdentity;
use dahliawood_request::quarantine::table::RequestAdmission;
use dahliawood_request::retry::RetryBudget;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_steer::health::ResultKind;
use serde::Serialize;
use std::cell::{Cell, OnceCell};
use std::time::Duration;

/// No retry is sent with less time than this until the deadline.
const MIN_TRY_TIME: Duration = Duration::from_millis(30);
/// `Retry-After` when no target ran the request.
const RETRY_NOT_RUN: Duration = Duration::from_millis(200);

/// A request with its route and customer.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The route that matches the request.
    pub route: RouteKey,
    /// The customer whose API key the request has.
    pub customer: Option<CustomerKey>,
    /// Name of the service whose targets serve the request.
    pub service: String,
    /// When the request arrived.
    pub started: TimeStamp,
    /// When the caller must have the final response.
    pub deadline: TimeStamp,
    /// How long it waited at this VM for a slot; set when the wait ends.
    pub waited: Cell<Duration>,
}

/// How a request is forwarded.
#[derive(Clone, Copy, Debug)]
pub struct ForwardOptions {
    /// Most targets to which this VM may send it.
    pub max_tries: u32,
    /// Whether another VM sent it to a target before.
    pub is_retry: bool,
    /// Whether another VM may be asked to send it.
    pub may_ask: bool,
}

impl ForwardOptions {
    /// Options for a request that came from a caller.
    pub fn new(catalog: &FleetCatalog, routed: &RoutedRequest) -> Self {
        Self {
            max_tries: catalog.routes[routed.route].max_attempts,
            is_retry: false,
            may_ask: true,
        }
    }
}

/// Whether a request may have run so far. It is kept outside of the request's future, for the end of
/// a request that is cancelled.
#[derive(Debug)]
pub struct RunProgress(Cell<RunVerdict>);

impl Default for RunProgress {
    fn default() -> Self {
        Self(Cell::new(RunVerdict::NotRun))
    }
}

impl RunProgress {
    /// Whether the request has not run, and does not run if its future is dropped now.
    pub fn has_not_run(&self) -> bool {
        self.0.get() == RunVerdict::NotRun
    }

    /// Records that something is about to be sent, which may run until its end is known.
    fn begin(&self) {
        self.0.set(RunVerdict::MayHaveRun);
    }

    /// Records the verdict on all that was sent.
    fn end(&self, verdict: RunVerdict) {
        self.0.set(verdict);
    }
}

/// The final response to a request.
#[derive(Debug)]
pub struct ForwardAnswer {
    /// The response.
    pub response: FrontResponse,
    /// Id of the target that gave it.
    pub target_id: String,
}

/// Log event for a try at one target.
#[derive(Serialize)]
struct TryEvent<'a> {
    id: Option<&'a str>,
    target: &'a str,
    region: &'a str,
    /// How long the request was expected to wait for a slot at the target, milliseconds.
    wait_ms: u128,
    taken_ms: u128,
    outcome: String,
    detail: &'a str,
    tries: usize,
    /// Identity of a request whose target's process ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    crashed: Option<String>,
}

/// Whether other VMs send a request because this one reaches none of its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Delegation {
    /// All tries so far reached their targets.
    Unneeded,
    /// A connection to a target could not be made.
    Useful,
    /// Other VMs send it.
    Begun,
}

/// State shared by all tries of one request.
struct ForwardRun<'a> {
    state: &'a GatewayState,
    catalog: &'a FleetCatalog,
    request: &'a CallerRequest,
    metadata: &'a RequestMetadata,
    routed: &'a RoutedRequest,
    options: ForwardOptions,
    tried: Vec<TargetKey>,
    /// Tries of which something was sent.
    sent: Cell<u32>,
    /// VMs that were asked to send it, by the hashes of their names.
    asked: Vec<u64>,
    verdict: RunVerdict,
    progress: &'a RunProgress,
    /// The target's response to the last try, if it may have run the request, and the target's id.
    last_response: Option<(TargetResponse, String)>,
    has_timed_out: bool,
    delegation: Delegation,
    /// Computed when needed.
    identity: OnceCell<RequestIdentity>,
    /// Whether this is the one try of a quarantined request.
    is_trial: bool,
    /// Its place among the requests that wait for a slot.
    ticket: Option<WaitTicket<'a>>,
    /// Whether it has waited for a slot.
    has_waited: bool,
}

/// Forwards a request, with retries, until there is a final response. Dropping the future closes
/// the connection to the target.
///
/// # Errors
/// Fails if no target's response can be passed on; the error says why.
pub async fn run(
    state: &GatewayState,
    catalog: &FleetCatalog,
    request: &CallerRequest,
    metadata: &RequestMetadata,
    routed: &RoutedRequest,
    options: ForwardOptions,
    progress: &RunProgress,
) -> Result<ForwardAnswer, RefusalCause> {
    let mut run = ForwardRun {
        state,
        catalog,
        request,
        metadata,
        routed,
        options,
        tried: Vec::new(),
        sent: Cell::new(0),
        asked: Vec::new(),
        verdict: RunVerdict::NotRun,
        progress,
        last_response: None,
        has_timed_out: false,
        delegation: Delegation::Unneeded,
        identity: OnceCell::new(),
        is_trial: false,
        ticket: None,
        has_waited: false,
    };
    match run.admission() {
        RequestAdmission::Open => {}
        RequestAdmission::Trial => run.is_trial = true,
        RequestAdmission::Quarantined => return Err(RefusalCause::Quarantined),
    }
    run.run_tries().await
}

impl ForwardRun<'_> {
    fn route(&self) -> &CatalogRoute {
        &self.catalog.routes[self.routed.route]
    }

    /// Tries of which something was sent to a target.
    fn sent_tries(&self) -> u32 {
        self.sent.get()
    }

    /// Regions that the request's customer allows; empty for all.
    fn customer_regions(&self) -> &[String] {
        let customer = self.routed.customer;
        customer.map_or(&[], |key| &self.catalog.customers[key].regions)
    }

    async fn run_tries(mut self) -> Result<ForwardAnswer, RefusalCause> {
        loop {
            if !self.sends_direct() {
                if let Some(ticket) = self.ticket.take() {
                    ticket.leave_to_helper();
                }
                match self.ask_helpers().await {
                    HelperEnd::Answered(answer) => return Ok(answer),
                    HelperEnd::Refused(cause) => return self.refuse(cause),
                    HelperEnd::Lost if self.may_retry() => continue,
                    HelperEnd::Lost => return self.give_up(),
                    // A try of this VM itself would only use up the time that is left.
                    HelperEnd::None if self.state.reach().tracker.is_cut_off() => {
                        return self.refuse(RefusalCause::NoTarget);
                    }
                    HelperEnd::None if self.is_delegated() && self.tried.is_empty() => {
                        return self.refuse(RefusalCause::NoTarget);
                    }
                    HelperEnd::None if self.is_delegated() => return self.give_up(),
                    // Whether this VM is cut off is not known yet.
                    HelperEnd::None => {}
                }
            }
            let target = match self.choose_target() {
                Ok(target) => target,
                Err(_) if self.delegates_rest() => continue,
                Err(unplaced) if self.tried.is_empty() => {
                    let shed = unplaced.shed;
                    match self.wait_for_turn(unplaced).await {
                        Ok(()) => continue,
                        Err(cause) => {
                            self.record_shed(shed);
                            return self.refuse(cause);
                        }
                    }
                }
                Err(_) => return self.give_up(),
            };
            self.record_start();
            if self.tried.is_empty() && !self.options.is_retry {
                self.state
                    .with_budget(&self.routed.service, RetryBudget::earn);
            }
            self.tried.push(target.key);
            self.record_decision(&target);
            match self.attempt(&target).await {
                Ok(response) if self.is_final(&response) => {
                    self.clear_suspicion(&response);
                    self.log(EventClass::Routine, &target, "answered", "");
                    return Ok(answer(response, target.id));
                }
                Ok(response) => self.handle_refusal(&target, response),
                Err(failure) => self.handle_failure(&target, &failure).await,
            }
            if !self.may_retry() && !self.delegates() {
                return self.give_up();
            }
        }
    }

    /// Records that the request is sent to a target, and by which configuration version.
    fn record_decision(&self, target: &TryTarget) {
        self.state.record_decision(RequestDecision {
            id: self.metadata.attempt_id.clone(),
            version: self.catalog.version,
            route: self.route().name.clone(),
            outcome: DecisionOutcome::Target(target.id.clone()),
        });
    }

    /// Records that the request takes a slot, which ends its wait.
    fn record_start(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            return ticket.start();
        }
        if let Some(rank) = self.rank() {
            let waiting = &self.state.waiting;
            waiting.record_direct_start(&self.routed.service, rank);
        }
    }

    /// Whether a target's response ends the request and is passed on to the caller.
    fn is_final(&self, response: &TargetResponse) -> bool {
        match classification::classify(response) {
            ResultKind::Answered => true,
            ResultKind::Errored => {
                !self.route().kind.is_idempotent() && classification::is_forwardable(response)
            }
            _ => false,
        }
    }

    /// Handles a response that does not end the request.
    fn handle_refusal(&mut self, target: &TryTarget, response: TargetResponse) {
        if response.metadata.is_misdirected {
            self.handle_misdirected(target, &response);
        }
        let verdict = match response.metadata.has_not_run {
            true => RunVerdict::NotRun,
            false => RunVerdict::MayHaveRun,
        };
        let detail = format!("status {}", response.head.status);
        self.record_try(target, verdict, &detail);
        self.last_response =
            (!response.metadata.has_not_run).then(|| (response, target.id.clone()));
    }

    /// A kept connection may still lead to a target that had the address before: new connections
    /// reach the one that has it now. Only on a new one is the target known to be gone.
    fn handle_misdirected(&self, target: &TryTarget, response: &TargetResponse) {
        match response.was_reused {
            true => self.state.pool.close_idle(target.address),
            false => {
                self.state.placement().remove(&target.id, clock::now());
            }
        }
    }

    /// Handles a try that ended without a complete response.
    async fn handle_failure(&mut self, target: &TryTarget, failure: &CallFailure) {
        self.has_timed_out |= failure.kind == ResultKind::TimedOut;
        if matches!(
            failure.kind,
            ResultKind::ConnectFailed | ResultKind::Refused
        ) {
            self.delegation = self.delegation.max(Delegation::Useful);
        }
        self.last_response = None;
        let has_crashed =
            failure.is_broken && target_call::is_gone(self.state, target.address).await;
        if has_crashed {
            self.record_crash(target);
        }
        self.verdict = self.verdict.combine(failure.verdict);
        self.progress.end(self.verdict);
        let outcome = failure.verdict.to_string();
        let crashed = has_crashed.then(|| self.identity().to_string());
        self.log_try(
            EventClass::Notable,
            target,
            &outcome,
            &failure.detail,
            crashed,
        );
    }

    fn record_try(&mut self, target: &TryTarget, verdict: RunVerdict, detail: &str) {
        self.verdict = self.verdict.combine(verdict);
        self.progress.end(self.verdict);
        self.log(EventClass::Notable, target, &verdict.to_string(), detail);
    }

    fn log(&self, class: EventClass, target: &TryTarget, outcome: &str, detail: &str) {
        self.log_try(class, target, outcome, detail, None);
    }

    fn log_try(
        &self,
        class: EventClass,
        target: &TryTarget,
        outcome: &str,
        detail: &str,
        crashed: Option<String>,
    ) {
        self.state.log.write(class, "try", || TryEvent {
            id: self.metadata.attempt_id.as_deref(),
            target: &target.id,
            region: &target.region,
            wait_ms: target.wait.as_millis(),
            taken_ms: clock::now().since(target.started).as_millis(),
            outcome: outcome.to_owned(),
            detail,
            tries: self.tried.len(),
            crashed,
        });
    }

    /// Whether the request may be sent once more; if so, spends one retry of the budget. Where another
    /// VM sends it, tries of which nothing was sent do not count.
    fn may_retry(&self) -> bool {
        let left = self.routed.deadline.since(clock::now());
        let is_idempotent = self.route().kind.is_idempotent();
        let is_allowed = self.verdict == RunVerdict::NotRun || is_idempotent;
        let is_direct = self.sends_direct();
        let tries = match is_direct {
            true => self.tried.len() as u32,
            false => self.sent_tries(),
        };
        is_allowed
            && !self.is_trial
            && self.admission() == RequestAdmission::Open
            && left >= MIN_TRY_TIME
            && tries < self.options.max_tries
            && (!is_direct && self.verdict == RunVerdict::NotRun || self.spend_retry())
    }

    fn spend_retry(&self) -> bool {
        let service = &self.routed.service;
        self.state.with_budget(service, RetryBudget::spend)
    }

    /// The end of a request that is refused: what earlier tries may have done goes first.
    fn refuse(self, cause: RefusalCause) -> Result<ForwardAnswer, RefusalCause> {
        match self.verdict {
            RunVerdict::NotRun => Err(cause),
            RunVerdict::MayHaveRun | RunVerdict::Ran => self.give_up(),
        }
    }

    /// The final response when no try gave one.
    fn give_up(mut self) -> Result<ForwardAnswer, RefusalCause> {
        if self.verdict == RunVerdict::NotRun {
            return Err(RefusalCause::Busy(RETRY_NOT_RUN));
        }
        let last = self.last_response.take();
        if let Some((response, target_id)) =
            last.filter(|(response, _)| classification::is_forwardable(response))
        {
            return Ok(answer(response, target_id));
        }
        match self.has_timed_out {
            true => Err(RefusalCause::TargetTimeout),
            false => Err(RefusalCause::TargetFailed),
        }
    }
}

/// Converts a target's response to the caller's.
fn answer(response: TargetResponse, target_id: String) -> ForwardAnswer {
    let mut fields = response.head.fields;
    fields.remove_hop_by_hop();
    fields.remove("content-length");
    ForwardAnswer {
        response: FrontResponse {
            status: response.head.status,
            fields,
            body: response.body,
        },
        target_id,
    }
}
