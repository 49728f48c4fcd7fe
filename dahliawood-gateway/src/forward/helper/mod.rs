//! Has another VM send a request, while this one reaches no target.

use crate::clock;
use crate::control::vms::VmRecord;
use crate::forward::{Delegation, ForwardAnswer, ForwardRun};
use crate::front::refusal::{FrontResponse, RefusalCause};
use crate::peer_forward::BODY_BYTES;
use crate::peer_forward::outgoing::{ForwardFailure, ForwardJob};
use crate::peer_forward::{decode_fields, encode_fields};
use crate::structured_log::EventClass;
use async_std::future::timeout;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::forward::message::{
    ForwardOutcome, ForwardedRequest, ForwardedResponse, RefusalMessage,
};
use dahliawood_request::verdict::RunVerdict;
use dahliawood_steer::reach::helper::{HelperCandidate, HelperQuery};
use dahliawood_steer::rendezvous;
use dahliawood_wire::raw::head::ResponseHead;
use futures::channel::oneshot;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// VMs that are asked for one request at most.
const MAX_HELPERS: usize = 4;
/// How much earlier than this VM's deadline the other one's is: the way back.
const RETURN_MARGIN: Duration = Duration::from_millis(40);

/// How the attempt to have another VM send a request ended.
pub(super) enum HelperEnd {
    /// A target's response.
    Answered(ForwardAnswer),
    /// A refusal that another VM would not change.
    Refused(RefusalCause),
    /// The call broke off; the request may have run.
    Lost,
    /// No VM can help.
    None,
}

/// The VM that is asked.
struct Helper {
    vm: u64,
    name: String,
    address: SocketAddr,
}

/// Log event for a request that another VM was asked to send.
#[derive(Serialize)]
struct ForwardEvent<'a> {
    id: Option<&'a str>,
    /// Name of the VM that was asked.
    helper: &'a str,
    outcome: String,
    taken_ms: u128,
}

/// Counts a request as being worked on by another VM until it is dropped.
struct HelperGuard<'a, 'b> {
    run: &'a ForwardRun<'b>,
    vm: u64,
}

impl Drop for HelperGuard<'_, '_> {
    fn drop(&mut self) {
        let mut reach = self.run.state.reach();
        reach.helpers.finish(self.vm, clock::now());
    }
}

impl ForwardRun<'_> {
    /// Whether the next try is one of this VM itself.
    pub(super) fn sends_direct(&self) -> bool {
        let draw = rand::random();
        let reach = self.state.reach();
        !self.options.may_ask
            || (!self.is_delegated() && reach.tracker.sends_direct(draw, clock::now()))
    }

    /// Whether other VMs send the request from now on, where this VM has no target left for it: its latest
    /// requests to all targets that it did not try failed. A retry has been granted already if one is
    /// needed.
    pub(super) fn delegates_rest(&mut self) -> bool {
        let regions = [&self.route().regions[..], self.customer_regions()];
        let service = &self.routed.service;
        let reaches_none = self
            .state
            .placement()
            .reaches_none(service, regions, &self.tried);
        if reaches_none {
            self.delegation = self.delegation.max(Delegation::Useful);
        }
        let begins = self.may_delegate() && self.sent_tries() < self.options.max_tries;
        if begins {
            self.delegation = Delegation::Begun;
        }
        begins
    }

    /// Whether other VMs send the request from now on, since this VM could not connect to a target for it and
    /// may try no further one.
    pub(super) fn delegates(&mut self) -> bool {
        if !self.may_delegate() {
            return false;
        }
        // Only tries of which something was sent count from here on.
        self.delegation = Delegation::Begun;
        self.may_retry()
    }

    /// Whether other VMs send the request because this one reaches none of its targets.
    pub(super) fn is_delegated(&self) -> bool {
        self.delegation == Delegation::Begun
    }

    fn may_delegate(&self) -> bool {
        let service = &self.routed.service;
        self.options.may_ask
            && self.delegation == Delegation::Useful
            && !self.state.reach().tracker.is_cut_off()
            && self
                .state
                .reach()
                .delegations
                .may_ask(service, clock::now())
    }

    /// Asks other VMs in turn to send the request, until one has an outcome that no other would change.
    pub(super) async fn ask_helpers(&mut self) -> HelperEnd {
        // The body is copied into a job, and from there into a message.
        let mut copies = self.state.held_bytes.requests.share();
        if copies.grow_to(self.request.body.len() * 2).is_err() {
            return HelperEnd::None;
        }
        while let Some(helper) = self.choose_helper() {
            self.asked.push(helper.vm);
            let started = clock::now();
            self.progress.begin();
            let ended = self.ask(&helper).await;
            self.log_ask(&helper, &ended, started);
            match ended {
                Ok(Ok(response)) => {
                    self.record_delegation(true);
                    return HelperEnd::Answered(self.take_answer(response));
                }
                // One that has another configuration, or too much to do, may help with the next one.
                Ok(Err(RefusalMessage::Unreachable)) => self.pass_over(&helper, true),
                Ok(Err(refusal)) if refusal.is_local() => {}
                Ok(Err(refusal)) => {
                    self.record_delegation(false);
                    return HelperEnd::Refused(self.take_refusal(refusal));
                }
                Err(ForwardFailure::NotSent(_)) => self.pass_over(&helper, false),
                Err(ForwardFailure::Lost(_)) => {
                    self.pass_over(&helper, false);
                    self.verdict = self.verdict.combine(RunVerdict::MayHaveRun);
                    self.sent.set(self.sent.get() + 1);
                    return HelperEnd::Lost;
                }
            }
            self.progress.end(self.verdict);
        }
        HelperEnd::None
    }

    /// Records whether another VM could serve a request of which this one reaches no target.
    fn record_delegation(&self, is_served: bool) {
        if self.is_delegated() {
            let mut reach = self.state.reach();
            let service = &self.routed.service;
            reach.delegations.record(service, is_served, clock::now());
        }
    }

    fn choose_helper(&self) -> Option<Helper> {
        let has_time = self.routed.deadline.since(clock::now()) > RETURN_MARGIN * 2;
        let is_bounded = self.request.body.len() <= BODY_BYTES;
        if self.asked.len() >= MAX_HELPERS || !has_time || !is_bounded {
            return None;
        }
        let settings = &self.state.settings;
        let vms = self.state.vms.load();
        let others: Vec<(&VmRecord, SocketAddr)> = vms
            .iter()
            .filter(|vm| vm.name != settings.name)
            .filter_map(|vm| Some((vm, vm.forward?)))
            .collect();
        let candidates: Vec<HelperCandidate<'_>> = others
            .iter()
            .map(|(vm, _)| HelperCandidate {
                vm: rendezvous::name_hash(vm.name.as_bytes()),
                region: &vm.region,
                weight: f64::from(vm.processor_millis),
            })
            .collect();
        let query = HelperQuery {
            region: &settings.region,
            regions: [&self.route().regions, self.customer_regions()],
            asked: &self.asked,
        };
        let reach = self.state.reach();
        let position = reach
            .helpers
            .choose(&candidates, &query, &mut rand::rng(), clock::now())?;
        let (vm, address) = others[position];
        Some(Helper {
            vm: candidates[position].vm,
            name: vm.name.clone(),
            address,
        })
    }

    /// Asks one VM, until this VM's deadline.
    async fn ask(&self, helper: &Helper) -> Result<ForwardOutcome, ForwardFailure> {
        self.state.reach().helpers.begin(helper.vm);
        let _guard = HelperGuard {
            run: self,
            vm: helper.vm,
        };
        let (reply, replied) = oneshot::channel();
        let job = ForwardJob {
            address: helper.address,
            request: self.forwarded_request(),
            is_idempotent: self.route().kind.is_idempotent(),
            reply,
        };
        if self.state.forward_jobs.0.try_send(job).is_err() {
            return Err(ForwardFailure::NotSent("the VM is stopping".to_owned()));
        }
        let left = self.routed.deadline.since(clock::now());
        match timeout(left, replied).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(_)) => Err(ForwardFailure::Lost("the call was dropped".to_owned())),
            Err(_) => Err(ForwardFailure::Lost("no outcome in time".to_owned())),
        }
    }

    /// The request as another VM gets it, without the caller's API key.
    fn forwarded_request(&self) -> ForwardedRequest {
        let now = clock::now();
        let head = &self.request.head;
        let mut fields = head.fields.clone();
        fields.remove_hop_by_hop();
        for name in ["authorization", "expect", "content-length"] {
            fields.remove(name);
        }
        let customer = self.routed.customer;
        let left = self.routed.deadline.since(now);
        ForwardedRequest {
            from: self.state.settings.name.clone(),
            method: head.method.clone(),
            target: head.target.clone(),
            fields: encode_fields(&fields),
            body: self.request.body.to_vec(),
            version: self.catalog.version,
            service: self.routed.service.clone(),
            customer: customer.map(|key| self.catalog.customers[key].name.clone()),
            spent: now.since(self.routed.started),
            left: left.saturating_sub(RETURN_MARGIN),
            tries_left: self
                .options
                .max_tries
                .saturating_sub(self.sent_tries())
                .max(1),
            is_retry: self.sent_tries() > 0 || self.options.is_retry,
        }
    }

    /// Takes over what the response says of its target: this VM passes it on to the caller.
    fn take_answer(&self, response: ForwardedResponse) -> ForwardAnswer {
        self.record_help();
        let head = ResponseHead {
            status: response.status,
            is_http10: false,
            fields: decode_fields(response.fields),
        };
        let now = clock::now();
        let report = (self.state.codec.read_response)(&head, now).report;
        let mut table = self.state.placement();
        let is_new = table.record_statement(&response.target_id, &report, now);
        drop(table);
        if is_new {
            self.state.log_statement(&response.target_id, &report);
        }
        ForwardAnswer {
            response: FrontResponse {
                status: head.status,
                fields: head.fields,
                body: self.state.held_bytes.responses.hold_anyway(response.body),
            },
            target_id: response.target_id,
        }
    }

    fn take_refusal(&mut self, refusal: RefusalMessage) -> RefusalCause {
        self.record_help();
        if refusal.may_have_run() {
            self.verdict = self.verdict.combine(RunVerdict::MayHaveRun);
        }
        self.progress.end(self.verdict);
        match refusal {
            RefusalMessage::Busy(retry_after) => RefusalCause::Busy(retry_after),
            RefusalMessage::Quarantined => RefusalCause::Quarantined,
            RefusalMessage::TargetFailed => RefusalCause::TargetFailed,
            RefusalMessage::TargetTimeout => RefusalCause::TargetTimeout,
            RefusalMessage::NoTarget
            | RefusalMessage::Unreachable
            | RefusalMessage::Outdated
            | RefusalMessage::Overloaded => RefusalCause::NoTarget,
        }
    }

    /// Records that the VM that was asked last reaches targets.
    fn record_help(&self) {
        if let Some(vm) = self.asked.last() {
            self.state.reach().helpers.record_help(*vm);
        }
    }

    fn pass_over(&self, helper: &Helper, is_answering: bool) {
        let mut reach = self.state.reach();
        let now = clock::now();
        reach.helpers.pass_over(helper.vm, is_answering, now);
    }

    fn log_ask(
        &self,
        helper: &Helper,
        ended: &Result<ForwardOutcome, ForwardFailure>,
        started: TimeStamp,
    ) {
        let (label, class, outcome) = match ended {
            Ok(Ok(_)) => ("answered", EventClass::Routine, "answered".to_owned()),
            Ok(Err(refusal)) => ("refused", EventClass::Notable, refusal.to_string()),
            Err(ForwardFailure::NotSent(detail)) => {
                ("not-sent", EventClass::Notable, detail.clone())
            }
            Err(ForwardFailure::Lost(detail)) => ("lost", EventClass::Notable, detail.clone()),
        };
        self.state.metrics.record_forward("origin", label);
        self.state.log.write(class, "forward", || ForwardEvent {
            id: self.metadata.attempt_id.as_deref(),
            helper: &helper.name,
            outcome,
            taken_ms: clock::now().since(started).as_millis(),
        });
    }
}
