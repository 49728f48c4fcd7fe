//! Proof that a VM is alive or gone.
//!
//! A VM uses its shares only while it has fresh proof that nobody may take them: it read itself in
//! the live list, or a majority of the members answered its probe. A member is reclaimed only
//! after it was absent from the live list *and* silent at a majority for a longer time. A VM that
//! declared a member silent answers none of its probes for that time, so that both proofs cannot
//! be had at once. The live list may lag by less than `absence_hold - blind_stop`.
//!
//! Where half of the members die at once, no majority can declare them silent until other VMs
//! have joined or the dead were replaced at their addresses.

use crate::{member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// How long the answers to a probe are collected before it is sent again.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// A probe that is out.
#[derive(Clone, Debug)]
struct OpenProbe {
    serial: u64,
    sent_at: stamp::TimeStamp,
    agreed: Vec<member::HolderId>,
}

/// What one VM knows about who is alive.
#[derive(Clone, Debug)]
pub struct LiveEvidence {
    me: member::HolderId,
    started_at: stamp::TimeStamp,
    proven_at: stamp::TimeStamp,
    is_lapsed: bool,
    epoch: u64,
    absent_since: FastMap<member::HolderId, stamp::TimeStamp>,
    heard_at: FastMap<member::HolderId, stamp::TimeStamp>,
    declared_until: FastMap<member::HolderId, stamp::TimeStamp>,
    own_probe: Option<OpenProbe>,
    polls: FastMap<member::HolderId, OpenProbe>,
    last_serial: u64,
}

/// A probe and who it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// Who is asked.
    pub to: member::HolderId,
    /// The probe.
    pub probe: message::PeerProbe,
}

impl LiveEvidence {
    /// The evidence of a VM that starts at `now`.
    pub fn new(me: member::HolderId, now: stamp::TimeStamp) -> Self {
        Self {
            me,
            started_at: now,
            proven_at: now,
            is_lapsed: false,
            epoch: 0,
            absent_since: FastMap::default(),
            heard_at: FastMap::default(),
            declared_until: FastMap::default(),
            own_probe: None,
            polls: FastMap::default(),
            last_serial: 0,
        }
    }

    /// Whether there is fresh proof that nobody may take this VM's shares.
    pub fn is_proven(&self, spans: &options::QuotaOptions, now: stamp::TimeStamp) -> bool {
        now < self.proven_at.after(spans.blind_stop)
    }

    /// The number of times that the proof has lapsed up to `now`.
    pub fn epoch(&mut self, spans: &options::QuotaOptions, now: stamp::TimeStamp) -> u64 {
        if !self.is_lapsed && !self.is_proven(spans, now) {
            self.is_lapsed = true;
            self.epoch += 1;
        }
        self.epoch
    }

    fn prove(
        &mut self,
        at: stamp::TimeStamp,
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        self.epoch(spans, now);
        self.proven_at = self.proven_at.max(at);
        self.is_lapsed &= !self.is_proven(spans, now);
    }

    /// Notes that a message from `from` arrived.
    pub fn hear(&mut self, from: member::HolderId, now: stamp::TimeStamp) {
        self.heard_at.insert(from, now);
    }

    /// Takes a live list whose reading began at `read_at`.
    pub fn read_live_list(
        &mut self,
        list: &[member::HolderId],
        members: &[member::MemberEntry],
        spans: &options::QuotaOptions,
        read_at: stamp::TimeStamp,
        now: stamp::TimeStamp,
    ) {
        if list.contains(&self.me) {
            self.prove(read_at, spans, now);
        }
        self.absent_since.retain(|id, _| !list.contains(id));
        let absent = members.iter().filter(|member| !list.contains(&member.id));
        for member in absent {
            self.absent_since.entry(member.id).or_insert(now);
        }
    }

    /// Answers a probe; `None` where its sender was declared silent.
    pub fn answer(
        &mut self,
        from: member::HolderId,
        probe: message::PeerProbe,
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Option<message::PeerEcho> {
        let silent_for = match probe.subject {
            None if self.is_declared(from, now) => return None,
            None => Duration::ZERO,
            Some(subject) => self.declare_silence(subject, spans, now),
        };
        Some(message::PeerEcho {
            serial: probe.serial,
            subject: probe.subject,
            silent_for,
        })
    }

    fn is_declared(&self, id: member::HolderId, now: stamp::TimeStamp) -> bool {
        self.declared_until
            .get(&id)
            .is_some_and(|until| now < *until)
    }

    fn declare_silence(
        &mut self,
        subject: member::HolderId,
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Duration {
        let heard_at = self.heard_at.get(&subject).copied().unwrap_or_default();
        let silent_for = now.since(heard_at.max(self.started_at));
        if subject == self.me {
            return Duration::ZERO;
        }
        if spans.absence_hold <= silent_for {
            self.declared_until
                .insert(subject, now.after(spans.absence_hold));
        }
        silent_for
    }

    /// Takes the answer to a probe of this VM.
    pub fn take_echo(
        &mut self,
        from: member::HolderId,
        echo: message::PeerEcho,
        members: &[member::MemberEntry],
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        let probe = match echo.subject {
            None => self.own_probe.as_mut(),
            Some(subject) => self.polls.get_mut(&subject),
        };
        let Some(probe) = probe.filter(|probe| probe.serial == echo.serial) else {
            return;
        };
        let agrees = echo.subject.is_none() || spans.absence_hold <= echo.silent_for;
        let is_member = members.iter().any(|member| member.id == from);
        if agrees && is_member && !probe.agreed.contains(&from) {
            probe.agreed.push(from);
        }
        let sent_at = probe.sent_at;
        if echo.subject.is_none() && is_majority(probe.agreed.len() + 1, members) {
            self.prove(sent_at, spans, now);
        }
    }

    /// The probes that are due: to be heard, and to learn whether absent members were.
    pub fn due_probes(
        &mut self,
        members: &[member::MemberEntry],
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<DueProbe> {
        let mut due = Vec::new();
        if self.proven_at.after(spans.blind_stop / 2) <= now {
            self.probe_self(members, spans, &mut due, now);
        }
        let hold = spans.absence_hold;
        let ripe = self
            .absent_since
            .iter()
            .filter(|(_, since)| since.after(hold) <= now);
        let subjects: Vec<_> = ripe.map(|(id, _)| *id).collect();
        for subject in subjects {
            self.poll_subject(subject, members, spans, &mut due, now);
        }
        due
    }

    fn probe_self(
        &mut self,
        members: &[member::MemberEntry],
        spans: &options::QuotaOptions,
        due: &mut Vec<DueProbe>,
        now: stamp::TimeStamp,
    ) {
        if is_majority(1, members) {
            self.prove(now, spans, now);
            return;
        }
        if self
            .own_probe
            .as_ref()
            .is_some_and(|probe| now < probe.sent_at.after(PROBE_EVERY))
        {
            return;
        }
        let probe = self.next_probe(None);
        self.own_probe = Some(open_probe(probe, now));
        due.extend(probe_members(members, self.me, probe));
    }

    fn poll_subject(
        &mut self,
        subject: member::HolderId,
        members: &[member::MemberEntry],
        spans: &options::QuotaOptions,
        due: &mut Vec<DueProbe>,
        now: stamp::TimeStamp,
    ) {
        let is_open = |probe: &OpenProbe| now < probe.sent_at.after(PROBE_EVERY);
        let is_member = members.iter().any(|member| member.id == subject);
        if !is_member || self.polls.get(&subject).is_some_and(is_open) {
            return;
        }
        let probe = self.next_probe(Some(subject));
        let mut open = open_probe(probe, now);
        if spans.absence_hold <= self.declare_silence(subject, spans, now) {
            open.agreed.push(self.me);
        }
        self.polls.insert(subject, open);
        due.extend(probe_members(members, self.me, probe));
    }

    fn next_probe(&mut self, subject: Option<member::HolderId>) -> message::PeerProbe {
        self.last_serial += 1;
        message::PeerProbe {
            serial: self.last_serial,
            subject,
        }
    }

    /// Members whose shares may be reclaimed at `now`.
    pub fn gone(
        &self,
        members: &[member::MemberEntry],
        spans: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<member::HolderId> {
        let is_gone = |id: &member::HolderId| {
            let absent = self.absent_since.get(id);
            let absent = absent.is_some_and(|since| since.after(spans.absence_hold) <= now);
            let poll = self.polls.get(id);
            absent && poll.is_some_and(|poll| is_agreed(poll, members, now))
        };
        let replaced_at = self.started_at.after(spans.longest_loan);
        let is_replaced = |id: &member::HolderId| {
            id.address == self.me.address && *id != self.me && replaced_at <= now
        };
        let ids = members.iter().map(|member| member.id);
        ids.filter(|id| is_gone(id) || is_replaced(id)).collect()
    }
}

fn is_agreed(poll: &OpenProbe, members: &[member::MemberEntry], now: stamp::TimeStamp) -> bool {
    now < poll.sent_at.after(PROBE_EVERY) && is_majority(poll.agreed.len(), members)
}

fn is_majority(count: usize, members: &[member::MemberEntry]) -> bool {
    members.len() < count * 2
}

fn open_probe(probe: message::PeerProbe, now: stamp::TimeStamp) -> OpenProbe {
    OpenProbe {
        serial: probe.serial,
        sent_at: now,
        agreed: Vec::new(),
    }
}

fn probe_members(
    members: &[member::MemberEntry],
    me: member::HolderId,
    probe: message::PeerProbe,
) -> impl Iterator<Item = DueProbe> {
    let others = members
        .iter()
        .map(|member| member.id)
        .filter(move |id| *id != me);
    others
        .filter(move |id| Some(*id) != probe.subject)
        .map(move |to| DueProbe { to, probe })
}
