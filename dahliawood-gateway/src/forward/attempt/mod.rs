//! One try at a target: sends the request and records what comes of it.

use crate::clock;
use crate::codec::{ResponseMetadata, TargetContext};
use crate::forward::ForwardRun;
use crate::forward::classification;
use crate::forward::selection::TryTarget;
use crate::state::GatewayState;
use crate::target_call::{self, CallFailure, TargetCall, TargetResponse};
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::table::TargetResult;
use std::time::Duration;

/// Records the end of a try in the placement table, also if the try is cancelled because the caller
/// closed its connection.
struct TryGuard<'a> {
    state: &'a GatewayState,
    service: &'a str,
    key: TargetKey,
    started: TimeStamp,
    result: TargetResult,
}

impl Drop for TryGuard<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        self.result.latency = now.since(self.started);
        self.state.placement().finish(self.key, self.result, now);
        if frees_slot(self.result.kind) {
            self.state.waiting.record_end(self.service, now);
        }
    }
}

/// Whether a request with this result had a slot at its target, which is free now.
fn frees_slot(kind: ResultKind) -> bool {
    match kind {
        ResultKind::Answered
        | ResultKind::Errored
        | ResultKind::TimedOut
        | ResultKind::Cancelled => true,
        ResultKind::Shed | ResultKind::ConnectFailed | ResultKind::Refused => false,
    }
}

impl ForwardRun<'_> {
    /// Sends the request to a target.
    pub(super) async fn attempt(&self, target: &TryTarget) -> Result<TargetResponse, CallFailure> {
        let now = clock::now();
        let slack = self.slack(&self.state.placement(), now);
        let mut guard = TryGuard {
            state: self.state,
            service: &self.routed.service,
            key: target.key,
            started: now,
            result: TargetResult {
                kind: ResultKind::Cancelled,
                latency: Duration::ZERO,
                report: None,
                expected_wait: target.wait,
                connect_time: None,
                route: self.route_hash(),
                visit: target.visit,
                slack,
            },
        };
        let left = self.routed.deadline.since(now);
        let customer = self.routed.customer;
        let on_write = || {
            self.sent.set(self.sent.get() + 1);
            self.progress.begin();
            let mut table = self.state.placement();
            table.record_written(target.key, target.started, clock::now());
        };
        let on_head = |metadata: &ResponseMetadata| self.record_statement(target, metadata);
        let call = TargetCall {
            head: &self.request.head,
            body: &self.request.body,
            attempt_id: self.metadata.attempt_id.as_deref(),
            address: target.address,
            context: TargetContext {
                target_id: &target.id,
                left,
                customer: customer.map(|key| self.catalog.customers[key].name.as_str()),
            },
            is_idempotent: self.route().kind.is_idempotent(),
            is_retry: self.tried.len() > 1 || self.options.is_retry,
            limit: left,
            on_write: &on_write,
            on_head: &on_head,
        };
        let result = target_call::send(self.state, &call).await;
        guard.result.kind = match &result {
            Ok(response) => {
                guard.result.report = classification::own_report(&response.metadata);
                guard.result.connect_time = response.connect_time;
                classification::classify(response)
            }
            Err(failure) => failure.kind,
        };
        self.state
            .metrics
            .record_send(classification::label(guard.result.kind));
        result
    }

    /// Takes over what a target says of itself, as soon as it says so.
    fn record_statement(&self, target: &TryTarget, metadata: &ResponseMetadata) {
        let Some(report) = classification::own_report(metadata) else {
            return;
        };
        let now = clock::now();
        let mut table = self.state.placement();
        let is_new = table.record_process_statement(target.process, &report, now);
        drop(table);
        if is_new {
            self.state.log_statement(&target.id, &report);
        }
    }
}
