//! Proof that a VM is alive or gone.
//!
//! A VM uses its shares only while it has fresh proof that nobody may take them: it read itself in
//! the live list, or a majority of the members answered its probe. A member is reclaimed only
//! after it was absent from the live list *and* silent at half of them for a longer time, each of
//! which has asked it in vain. A VM that declared a member silent answers none of its probes for
//! that time, so that both proofs cannot be had at once. A member whose proof has lapsed writes the
//! document with a new epoch before it uses its shares again; that write makes every older one
//! fail, and whoever reads it starts to wait anew.
//!
//! The live list may lag by less than `reclaim_delay - liveness_timeout`; a longer lag breaks the
//! proof.
//!
//! A VM that is cut off knows an old membership. At least half therefore has to be against it in
//! every membership since a hold time before it was last listed, and that counts only at a VM that
//! has read the document since then. So a VM that dies within a hold time of the start of all
//! others is not reclaimed until it is replaced at its address, nor is one that none of them ever
//! read in the live list; and a VM that is listed but cannot read the document for longer than
//! that, while the fleet changes by half, is not covered.
//!
//! Where more than half of the members die at once, they cannot be declared silent before they were
//! replaced at their addresses.

mod reclaim;

use crate::{member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// Parts of [`options::QuotaOptions::liveness_timeout`] between two probes, and after which the
/// answers to a probe are too old to act on.
const PROBES_PER_TIMEOUT: u32 = 4;

/// How long a member has been absent from the live list, by this VM's readings.
#[derive(Clone, Copy, Debug)]
struct AbsenceSpan {
    first: stamp::TimeStamp,
    last: stamp::TimeStamp,
    epoch: u64,
}

impl AbsenceSpan {
    fn is_continued(
        &self,
        member: &member::MemberEntry,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> bool {
        self.epoch == member.epoch && now < self.last.after(options.liveness_timeout)
    }

    fn is_long_enough(
        &self,
        member: &member::MemberEntry,
        options: &options::QuotaOptions,
    ) -> bool {
        self.epoch == member.epoch && options.reclaim_delay <= self.last.since(self.first)
    }
}

/// A probe that is out.
#[derive(Clone, Debug)]
struct OpenProbe {
    serial: u64,
    sent_at: stamp::TimeStamp,
    agreed: Vec<member::HolderId>,
}

/// What one VM knows about who is alive.
#[derive(Clone, Debug)]
pub struct MemberLiveness {
    me: member::HolderId,
    started_at: stamp::TimeStamp,
    proven_at: stamp::TimeStamp,
    is_lapsed: bool,
    epoch: u64,
    absences: FastMap<member::HolderId, AbsenceSpan>,
    /// When this VM last read each member in the live list.
    listed_at: FastMap<member::HolderId, stamp::TimeStamp>,
    heard_at: FastMap<member::HolderId, stamp::TimeStamp>,
    probed_at: FastMap<member::HolderId, stamp::TimeStamp>,
    declared_silent_until: FastMap<member::HolderId, stamp::TimeStamp>,
    /// When this VM first saw each member in the document, and when it first read one.
    seen_at: FastMap<member::HolderId, stamp::TimeStamp>,
    read_at: Option<stamp::TimeStamp>,
    /// When members left the document, for one hold time: their last answers may still count.
    removed_at: FastMap<member::HolderId, stamp::TimeStamp>,
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

impl MemberLiveness {
    /// The evidence of a VM that starts at `now`.
    pub fn new(me: member::HolderId, now: stamp::TimeStamp) -> Self {
        Self {
            me,
            started_at: now,
            proven_at: now,
            is_lapsed: false,
            epoch: 0,
            absences: FastMap::default(),
            listed_at: FastMap::default(),
            probed_at: FastMap::default(),
            heard_at: FastMap::default(),
            declared_silent_until: FastMap::default(),
            seen_at: FastMap::default(),
            read_at: None,
            removed_at: FastMap::default(),
            own_probe: None,
            polls: FastMap::default(),
            last_serial: 0,
        }
    }

    /// Whether there is fresh proof that nobody may take this VM's shares.
    pub fn is_proven(&self, options: &options::QuotaOptions, now: stamp::TimeStamp) -> bool {
        now < self.proven_at.after(options.liveness_timeout)
    }

    /// The number of times that the proof has lapsed up to `now`.
    pub fn epoch(&mut self, options: &options::QuotaOptions, now: stamp::TimeStamp) -> u64 {
        if !self.is_lapsed && !self.is_proven(options, now) {
            self.is_lapsed = true;
            self.epoch += 1;
        }
        self.epoch
    }

    fn extend_proof(
        &mut self,
        at: stamp::TimeStamp,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        self.epoch(options, now);
        self.proven_at = self.proven_at.max(at);
        self.is_lapsed &= !self.is_proven(options, now);
    }

    /// Notes the members of a newer document.
    pub fn update_members(&mut self, members: &[member::MemberEntry], now: stamp::TimeStamp) {
        self.read_at.get_or_insert(now);
        let is_member = |id: &member::HolderId| members.iter().any(|member| member.id == *id);
        let removed = self.seen_at.keys().copied().filter(|id| !is_member(id));
        self.removed_at.extend(removed.map(|id| (id, now)));
        self.removed_at.retain(|id, _| !is_member(id));
        self.seen_at.retain(|id, _| is_member(id));
        for member in members {
            self.seen_at.entry(member.id).or_insert(now);
        }
    }

    /// Notes that a message from `from` arrived.
    pub fn record_message(&mut self, from: member::HolderId, now: stamp::TimeStamp) {
        self.heard_at.insert(from, now);
    }

    /// Takes a live list whose reading began at `read_at`.
    pub fn apply_live_list(
        &mut self,
        list: &[member::HolderId],
        members: &[member::MemberEntry],
        options: &options::QuotaOptions,
        read_at: stamp::TimeStamp,
        now: stamp::TimeStamp,
    ) {
        if list.contains(&self.me) {
            self.extend_proof(read_at, options, now);
        }
        let listed = members.iter().filter(|member| list.contains(&member.id));
        self.listed_at.extend(listed.map(|member| (member.id, now)));
        let mut absences = FastMap::default();
        for member in members.iter().filter(|member| !list.contains(&member.id)) {
            let known = self.absences.get(&member.id).copied();
            let known = known.filter(|span| span.is_continued(member, options, now));
            let first = known.map_or(now, |span| span.first);
            absences.insert(
                member.id,
                AbsenceSpan {
                    first,
                    last: now,
                    epoch: member.epoch,
                },
            );
        }
        self.absences = absences;
    }

    /// Whether this VM may count as a member for another: one that leaves, or whose own proof has
    /// lapsed, may have been taken out of the document.
    fn counts_as_member(
        &mut self,
        is_leaving: bool,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> bool {
        self.epoch(options, now);
        !is_leaving && !self.is_lapsed
    }

    /// Answers a probe; `None` where its sender was declared silent or this VM may not vouch.
    pub fn answer(
        &mut self,
        from: member::HolderId,
        probe: message::PeerProbe,
        is_leaving: bool,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Option<message::PeerEcho> {
        let silent_for = match probe.subject {
            None if self.is_declared_silent(from, now) => return None,
            None if !self.counts_as_member(is_leaving, options, now) => return None,
            None => Duration::ZERO,
            Some(subject) => self.declare_silence(subject, options, now),
        };
        Some(message::PeerEcho {
            serial: probe.serial,
            subject: probe.subject,
            silent_for,
        })
    }

    fn is_declared_silent(&self, id: member::HolderId, now: stamp::TimeStamp) -> bool {
        self.declared_silent_until
            .get(&id)
            .is_some_and(|until| now < *until)
    }

    /// Takes the answer to a probe of this VM.
    pub fn handle_echo(
        &mut self,
        from: member::HolderId,
        echo: message::PeerEcho,
        members: &[member::MemberEntry],
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) {
        let probe = match echo.subject {
            None => self.own_probe.as_mut(),
            Some(subject) => self.polls.get_mut(&subject),
        };
        let Some(probe) = probe.filter(|probe| probe.serial == echo.serial) else {
            return;
        };
        let agrees = echo.subject.is_none() || options.reclaim_delay <= echo.silent_for;
        let is_member = members.iter().any(|member| member.id == from);
        if agrees && is_member && !probe.agreed.contains(&from) {
            probe.agreed.push(from);
        }
        let sent_at = probe.sent_at;
        if echo.subject.is_none() && is_majority(probe.agreed.len() + 1, members) {
            self.extend_proof(sent_at, options, now);
        }
    }

    /// The probes that are due: to be heard, and to learn whether absent members were.
    pub fn due_probes(
        &mut self,
        members: &[member::MemberEntry],
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Vec<DueProbe> {
        let mut due = Vec::new();
        if self.proven_at.after(options.liveness_timeout / 2) <= now {
            self.probe_for_proof(members, options, &mut due, now);
        }
        let ripe = members
            .iter()
            .filter(|member| self.is_absent(member, options));
        let subjects: Vec<_> = ripe.map(|member| member.id).collect();
        for subject in subjects {
            self.poll_subject(subject, members, options, &mut due, now);
        }
        due
    }

    fn probe_for_proof(
        &mut self,
        members: &[member::MemberEntry],
        options: &options::QuotaOptions,
        due: &mut Vec<DueProbe>,
        now: stamp::TimeStamp,
    ) {
        if is_majority(1, members) {
            self.extend_proof(now, options, now);
            return;
        }
        let every = options.liveness_timeout / PROBES_PER_TIMEOUT;
        let is_open = |probe: &OpenProbe| now < probe.sent_at.after(every);
        if self.own_probe.as_ref().is_some_and(is_open) {
            return;
        }
        let probe = self.next_probe(None);
        self.own_probe = Some(open_probe(probe, now));
        due.extend(probe_members(members, self.me, probe));
    }

    fn next_probe(&mut self, subject: Option<member::HolderId>) -> message::PeerProbe {
        self.last_serial += 1;
        message::PeerProbe {
            serial: self.last_serial,
            subject,
        }
    }
}

fn is_fresh(poll: &OpenProbe, options: &options::QuotaOptions, now: stamp::TimeStamp) -> bool {
    now < poll
        .sent_at
        .after(options.liveness_timeout / PROBES_PER_TIMEOUT)
}

/// Whether `count` members outweigh the others. The only member proves nothing by its own answer:
/// it goes by the live list alone, so that its share can be reclaimed without its consent.
fn is_majority(count: usize, members: &[member::MemberEntry]) -> bool {
    members.len() > 1 && members.len() < count * 2
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
