//! Which requests crash targets: what a request's tries tell of it, and whether it may be sent.

use crate::clock;
use crate::crashes::FleetSighting;
use crate::forward::ForwardRun;
use crate::forward::selection::TryTarget;
use crate::target_call::TargetResponse;
use dahliawood_request::quarantine::identity::{IdentityParts, RequestIdentity};
use dahliawood_request::quarantine::table::{CrashSighting, RequestAdmission};

impl ForwardRun<'_> {
    /// The identity by which a repetition of the request is recognized.
    pub(super) fn identity(&self) -> RequestIdentity {
        *self.identity.get_or_init(|| {
            let customer = self.routed.customer;
            let customer = customer.map(|key| self.catalog.customers[key].name.as_str());
            let head = &self.request.head;
            let body: Vec<&[u8]> = self.request.body.blocks().collect();
            RequestIdentity::new(&IdentityParts {
                customer: customer.unwrap_or_default(),
                method: &head.method,
                host: head.fields.get("host").unwrap_or_default(),
                path: &head.target,
                body: &body,
            })
        })
    }

    /// Whether the request may be sent to a target, as far as crashes tell.
    pub(super) fn admission(&self) -> RequestAdmission {
        if self.state.crashes().quarantine.is_empty() {
            return RequestAdmission::Open;
        }
        let identity = self.identity();
        let is_examiner = || self.state.ranks_first(identity.0 as u64);
        let mut crashes = self.state.crashes();
        crashes
            .quarantine
            .admit(identity, is_examiner, clock::now())
    }

    /// Records that a target's process seems to have ended while the request was in flight there.
    pub(super) fn record_crash(&self, target: &TryTarget) {
        let now = clock::now();
        let process = target.process;
        let crash = CrashSighting {
            identity: self.identity(),
            process,
            sent_at: target.started,
            crashed_at: now,
        };
        self.state.witness(FleetSighting::Crash(crash), now);
        self.state.placement().record_gone(process, now);
        let gone = FleetSighting::ProcessGone { process, at: now };
        self.state.witness(gone, now);
    }

    /// Records that a request completed that had met crashes.
    pub(super) fn clear_suspicion(&self, response: &TargetResponse) {
        let has_run = response.metadata.is_signed && !response.metadata.has_not_run;
        if !has_run || self.state.crashes().quarantine.is_empty() {
            return;
        }
        let identity = self.identity();
        if self.state.crashes().quarantine.is_suspect(identity) {
            let at = clock::now();
            self.state
                .see(FleetSighting::Completion { identity, at }, at);
        }
    }
}
