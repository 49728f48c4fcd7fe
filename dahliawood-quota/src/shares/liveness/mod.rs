//! Liveness of the members: whether this VM may use its shares, and whose shares may be reclaimed.
//!
//! A VM uses its shares only while it has recent proof that no other VM may reclaim them: it read
//! itself in the live list, or a majority of the members answered its probe. A member's shares are
//! reclaimed only after the member was absent from the live list *and* silent towards at least half
//! of the members for a longer time, and each of these has probed it without an answer. A VM that
//! has declared a member silent answers none of that member's probes for that time, so the member
//! cannot prove its liveness while others have the proof against it. A member whose proof has
//! lapsed writes the document with a new epoch before it uses its shares again. That write makes
//! every write based on an older version fail, and each VM that reads it starts to wait anew.
//!
//! The live list may lag by less than `reclaim_delay - liveness_timeout`; a longer lag breaks this
//! guarantee.
//!
//! A VM that is cut off knows an old membership and counts its majority in that one. At least half
//! of the members must therefore declare it silent in every membership since one `reclaim_delay`
//! before the VM was last listed, and only a VM that has been reading the document since then can
//! establish this. The limits that follow:
//!
//! - A VM that dies within one `reclaim_delay` of the start of all other VMs is not reclaimed until
//!   it is replaced at its address. The same holds for a VM that no other VM ever read in the live
//!   list.
//! - The guarantee does not cover a VM that is listed but cannot read the document for longer than
//!   one `reclaim_delay` while half of the fleet changes.
//! - If more than half of the members die at once, they cannot be declared silent before they have
//!   been replaced at their addresses.

mod reclaim;

use crate::{member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// [`options::QuotaOptions::liveness_timeout`] divided by this is the interval between two probes
/// and the time after which the answers to a probe are too old to act on.
const PROBES_PER_TIMEOUT: u32 = 4;

/// How long a member has been absent from the live list, in the lists that this VM read.
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

/// A probe that was sent, and the members whose answers support it.
#[derive(Clone, Debug)]
struct OpenProbe {
    serial: u64,
    sent_at: stamp::TimeStamp,
    agreed: Vec<member::HolderId>,
}

/// What one VM knows about the liveness of itself and the other members.
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
    /// When this VM first saw each member in the document, and when it first read a document.
    seen_at: FastMap<member::HolderId, stamp::TimeStamp>,
    read_at: Option<stamp::TimeStamp>,
    /// When members were removed from the document, kept for one `reclaim_delay`: their last
    /// answers to a probe may still count.
    removed_at: FastMap<member::HolderId, stamp::TimeStamp>,
    own_probe: Option<OpenProbe>,
    polls: FastMap<member::HolderId, OpenProbe>,
    last_serial: u64,
}

/// A probe and the VM that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// The receiver.
    pub to: member::HolderId,
    /// The probe.
    pub probe: message::PeerProbe,
}

impl MemberLiveness {
    /// Creates the state of a VM that starts at `now`; the start counts as proof.
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

    /// Whether this VM has recent proof that no other VM may reclaim its shares.
    pub fn is_proven(&self, options: &options::QuotaOptions, now: stamp::TimeStamp) -> bool {
        now < self.proven_at.after(options.liveness_timeout)
    }

    /// How often the proof has lapsed up to `now`.
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

    /// Records the members of a newer document.
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

    /// Records that a message from `from` arrived.
    pub fn record_message(&mut self, from: member::HolderId, now: stamp::TimeStamp) {
        self.heard_at.insert(from, now);
    }

    /// Applies a live list; the read of the list began at `read_at`.
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

    /// Whether this VM may support another VM's proof as a member. A VM that is leaving, or whose
    /// own proof has lapsed, may have been removed from the document.
    fn counts_as_member(
        &mut self,
        is_leaving: bool,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> bool {
        self.epoch(options, now);
        !is_leaving && !self.is_lapsed
    }

    /// Answers a probe. A probe for the sender's own proof gets no answer (`None`) if the sender
    /// was declared silent, or if this VM may not support a proof.
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

    /// Records the answer to a probe that this VM sent.
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

    /// The probes that are due: those that ask for proof of this VM's own liveness, and those that
    /// ask whether absent members have been silent.
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
        let absent = members
            .iter()
            .filter(|member| self.is_absent(member, options));
        let subjects: Vec<_> = absent.map(|member| member.id).collect();
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

/// Whether `count` members are more than half. A single member has no majority by its own answer:
/// it depends on the live list alone, so that its share can be reclaimed without its consent.
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
