//! Handles messages from other VMs.

use crate::manager::{QuotaManager, effect};
use crate::{member, message};
use dahliawood_model::stamp;

impl QuotaManager {
    /// Handles a message from another VM and returns the effects to carry out.
    pub fn receive(
        &mut self,
        from: member::HolderId,
        message: message::QuotaMessage,
        now: stamp::TimeStamp,
    ) -> Vec<effect::QuotaEffect> {
        self.liveness.record_message(from, now);
        self.unresponsive.remove(&from);
        match message {
            message::QuotaMessage::LoanRequest(request) => self.on_loan_request(from, request, now),
            message::QuotaMessage::LoanGrant(grant) => self.on_loan_grant(from, &grant, now),
            message::QuotaMessage::LoanReport(report) => self.on_loan_report(from, report, now),
            message::QuotaMessage::LeaseRequest(lease) => self.on_lease_request(from, lease, now),
            message::QuotaMessage::LeaseGrant(grant) => self.on_lease_grant(from, &grant, now),
            message::QuotaMessage::LeaseReturn(lease) => self.on_lease_return(from, lease, now),
            message::QuotaMessage::LeaseRecall(recall) => self.on_lease_recall(from, recall, now),
            message::QuotaMessage::Probe(probe) => self.on_probe(from, probe, now),
            message::QuotaMessage::Echo(echo) => self.on_echo(from, echo, now),
        }
        std::mem::take(&mut self.effects)
    }

    pub(super) fn on_loan_request(
        &mut self,
        from: member::HolderId,
        request: message::LoanRequest,
        now: stamp::TimeStamp,
    ) {
        let Some(key) = self.table.by_tag(request.tag) else {
            return;
        };
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        let grant = self.states[key.index()].lend(from, request, context);
        self.send(from, grant);
    }

    pub(super) fn on_loan_grant(
        &mut self,
        from: member::HolderId,
        grant: &message::LoanGrant,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(grant.tag) {
            self.states[key.index()].accept_grant(from, grant, now);
            self.serve_waiting(key, now);
            self.report_loans(key, now);
            self.borrow(key, now);
        }
    }

    pub(super) fn on_loan_report(
        &mut self,
        from: member::HolderId,
        report: message::LoanReport,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(report.tag) {
            self.states[key.index()].record_report(from, report, now);
        }
    }

    pub(super) fn on_lease_request(
        &mut self,
        from: member::HolderId,
        request: message::LeaseRequest,
        now: stamp::TimeStamp,
    ) {
        let Some(key) = self.table.by_tag(request.tag) else {
            return;
        };
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        if let Some(grant) = self.states[key.index()].lend_share(from, request, context) {
            self.send(from, grant);
        }
    }

    pub(super) fn on_lease_grant(
        &mut self,
        from: member::HolderId,
        grant: &message::LeaseGrant,
        now: stamp::TimeStamp,
    ) {
        let Some(key) = self.table.by_tag(grant.tag) else {
            return;
        };
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        self.states[key.index()].accept_lease(from, grant, context);
        self.serve_waiting(key, now);
    }

    pub(super) fn on_lease_return(
        &mut self,
        from: member::HolderId,
        returned: message::LeaseReturn,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(returned.tag) {
            self.states[key.index()].accept_lease_return(from, returned, now);
            self.serve_waiting(key, now);
        }
    }

    pub(super) fn on_lease_recall(
        &mut self,
        from: member::HolderId,
        recall: message::LeaseRecall,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(recall.tag) {
            let due = self.states[key.index()].handle_recall(from, now);
            self.send_leases(due);
        }
    }

    pub(super) fn on_probe(
        &mut self,
        from: member::HolderId,
        probe: message::PeerProbe,
        now: stamp::TimeStamp,
    ) {
        let due = probe
            .subject
            .and_then(|subject| self.liveness.probe_subject(subject, now));
        if let Some(due) = due {
            self.send(due.to, due.probe);
        }
        let is_leaving = self.holder.me().leaving;
        let echo = self
            .liveness
            .answer(from, probe, is_leaving, &self.options, now);
        if let Some(echo) = echo {
            self.send(from, echo);
        }
    }

    pub(super) fn on_echo(
        &mut self,
        from: member::HolderId,
        echo: message::PeerEcho,
        now: stamp::TimeStamp,
    ) {
        let members = &self.holder.document().members;
        self.liveness
            .handle_echo(from, echo, members, &self.options, now);
    }
}
