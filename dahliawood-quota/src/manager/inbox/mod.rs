//! What a VM does about messages of its peers.

use crate::manager::{QuotaManager, effect};
use crate::{member, message};
use dahliawood_model::stamp;

impl QuotaManager {
    /// Takes a message of a peer and returns what to do about it.
    pub fn receive(
        &mut self,
        from: member::HolderId,
        message: message::QuotaMessage,
        now: stamp::TimeStamp,
    ) -> Vec<effect::QuotaEffect> {
        self.evidence.hear(from, now);
        self.silent.remove(&from);
        match message {
            message::QuotaMessage::LoanRequest(request) => self.take_ask(from, request, now),
            message::QuotaMessage::LoanGrant(grant) => self.take_grant(from, &grant, now),
            message::QuotaMessage::LoanReport(report) => self.take_report(from, report, now),
            message::QuotaMessage::LeaseRequest(request) => self.take_lease_ask(from, request, now),
            message::QuotaMessage::LeaseGrant(grant) => self.take_lease(from, &grant, now),
            message::QuotaMessage::LeaseReturn(back) => self.take_lease_back(from, back, now),
            message::QuotaMessage::LeaseRecall(recall) => self.take_recall(from, recall, now),
            message::QuotaMessage::Probe(probe) => self.take_probe(from, probe, now),
            message::QuotaMessage::Echo(echo) => self.take_echo(from, echo, now),
        }
        std::mem::take(&mut self.effects)
    }

    pub(super) fn take_ask(
        &mut self,
        from: member::HolderId,
        request: message::LoanRequest,
        now: stamp::TimeStamp,
    ) {
        let Some(key) = self.table.by_tag(request.tag) else {
            return;
        };
        let shared = self.shared(now);
        let context = shared.context(&self.spans, &self.silent, now);
        let grant = self.states[key.index()].lend(from, request, context);
        self.send(from, grant);
    }

    pub(super) fn take_grant(
        &mut self,
        from: member::HolderId,
        grant: &message::LoanGrant,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(grant.tag) {
            self.states[key.index()].take_grant(from, grant, now);
            self.serve(key, now);
            self.report(key, now);
            self.borrow(key, now);
        }
    }

    pub(super) fn take_report(
        &mut self,
        from: member::HolderId,
        report: message::LoanReport,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(report.tag) {
            self.states[key.index()].take_report(from, report, now);
        }
    }

    pub(super) fn take_lease_ask(
        &mut self,
        from: member::HolderId,
        request: message::LeaseRequest,
        now: stamp::TimeStamp,
    ) {
        let Some(key) = self.table.by_tag(request.tag) else {
            return;
        };
        let shared = self.shared(now);
        let context = shared.context(&self.spans, &self.silent, now);
        if let Some(grant) = self.states[key.index()].lend_share(from, request, context) {
            self.send(from, grant);
        }
    }

    pub(super) fn take_lease(
        &mut self,
        from: member::HolderId,
        grant: &message::LeaseGrant,
        now: stamp::TimeStamp,
    ) {
        let Some(key) = self.table.by_tag(grant.tag) else {
            return;
        };
        let shared = self.shared(now);
        let context = shared.context(&self.spans, &self.silent, now);
        self.states[key.index()].take_lease(from, grant, context);
        self.serve(key, now);
    }

    pub(super) fn take_lease_back(
        &mut self,
        from: member::HolderId,
        back: message::LeaseReturn,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(back.tag) {
            self.states[key.index()].take_lease_back(from, back, now);
            self.serve(key, now);
        }
    }

    pub(super) fn take_recall(
        &mut self,
        from: member::HolderId,
        recall: message::LeaseRecall,
        now: stamp::TimeStamp,
    ) {
        if let Some(key) = self.table.by_tag(recall.tag) {
            let due = self.states[key.index()].take_recall(from, now);
            self.send_leases(due);
        }
    }

    pub(super) fn take_probe(
        &mut self,
        from: member::HolderId,
        probe: message::PeerProbe,
        now: stamp::TimeStamp,
    ) {
        let due = probe
            .subject
            .and_then(|subject| self.evidence.ask_subject(subject, now));
        if let Some(due) = due {
            self.send(due.to, due.probe);
        }
        let is_leaving = self.holder.me().leaving;
        let echo = self
            .evidence
            .answer(from, probe, is_leaving, &self.spans, now);
        if let Some(echo) = echo {
            self.send(from, echo);
        }
    }

    pub(super) fn take_echo(
        &mut self,
        from: member::HolderId,
        echo: message::PeerEcho,
        now: stamp::TimeStamp,
    ) {
        let members = &self.holder.document().members;
        self.evidence
            .take_echo(from, echo, members, &self.spans, now);
    }
}
