//! The state machine with which a VM joins the share document, changes it and leaves it.

use crate::shares::{document, liveness, plan};
use crate::{home, limit, member, options};
use dahliawood_model::stamp;
use std::time::Duration;

/// The least time between two writes of one VM.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// The wait after a write conflict is at most this many microseconds times the number of members
/// plus one.
const CONFLICT_BACKOFF_MICROS: u64 = 10_000;
/// The time after which a decrease that has to wait for loans to end is planned again.
const PLAN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How old the store's last answer may be when a write is sent; if it is older, a read goes first.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(2);

/// The store call that is due.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareIntent {
    /// Read the document.
    Read,
    /// Write the document if the store still has version `base`.
    Write(ShareWrite),
}

/// A compare-and-swap of the document.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareWrite {
    /// Identifies the write when its outcome is reported.
    pub serial: u64,
    /// The version to replace; `None` if the store must have no document.
    pub base: Option<document::ShareVersion>,
    /// The new content.
    pub document: document::ShareDocument,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store applied the write as this version.
    Applied(document::ShareVersion),
    /// The store rejected the write: another write came first.
    Conflict,
    /// The write may have been applied, or may still be.
    Unknown,
}

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
struct OpenWrite {
    write: ShareWrite,
    sent_at: stamp::TimeStamp,
}

/// One VM's view of the share document.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    me: member::MemberEntry,
    document: document::ShareDocument,
    version: Option<document::ShareVersion>,
    has_read: bool,
    open_write: Option<OpenWrite>,
    has_written: bool,
    written_base: Option<document::ShareVersion>,
    last_serial: u64,
    read_sent_at: Option<stamp::TimeStamp>,
    answered_at: Option<stamp::TimeStamp>,
    next_write_at: stamp::TimeStamp,
    conflicts: u64,
    needs_read: bool,
    last_plan: Option<PlanInputs>,
    next_plan_at: stamp::TimeStamp,
}

/// The inputs of a plan; equal inputs give an equal plan.
#[derive(Clone, Debug, PartialEq)]
struct PlanInputs {
    version: Option<document::ShareVersion>,
    revision: u64,
    me: member::MemberEntry,
    gone: Vec<member::HolderId>,
}

/// The inputs of [`ShareHolder::tick`].
#[derive(Clone, Copy, Debug)]
pub struct HolderInput<'a> {
    /// Revision of `specs`.
    pub revision: u64,
    /// Limits of that revision.
    pub specs: &'a [limit::LimitSpec],
    /// Timeouts and intervals.
    pub options: &'a options::QuotaOptions,
}

impl ShareHolder {
    /// The state of a VM that has not read the document yet.
    pub fn new(me: member::MemberEntry) -> Self {
        Self {
            me,
            document: document::ShareDocument::default(),
            version: None,
            has_read: false,
            open_write: None,
            has_written: false,
            written_base: None,
            last_serial: 0,
            read_sent_at: None,
            answered_at: None,
            next_write_at: stamp::TimeStamp::ZERO,
            conflicts: 0,
            needs_read: true,
            last_plan: None,
            next_plan_at: stamp::TimeStamp::ZERO,
        }
    }

    /// This VM's member entry.
    pub fn me(&self) -> &member::MemberEntry {
        &self.me
    }

    /// The newest document that this VM has read or written.
    pub fn document(&self) -> &document::ShareDocument {
        &self.document
    }

    /// Whether the store has answered a read.
    pub fn has_read(&self) -> bool {
        self.has_read
    }

    /// Sets how often the liveness proof of this VM has lapsed. A new epoch must be confirmed by a
    /// write.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.me.epoch = epoch;
    }

    /// Begins a planned stop: the VM gives up its shares, then leaves the document.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Whether this VM has given up all shares in a planned stop, and no earlier write of this VM
    /// that would add it as a member again can still take effect.
    pub fn is_released(&self) -> bool {
        let is_removed = self.has_read && self.document.member(self.me.id).is_none();
        self.me.leaving && is_removed && self.may_raise()
    }

    /// Whether this VM is a member in the newest document with its present epoch.
    pub fn is_confirmed(&self) -> bool {
        let entry = self.document.member(self.me.id);
        entry.is_some_and(|entry| entry.epoch == self.me.epoch)
    }

    /// Whether this VM may raise its use to the grants of the newest document: no earlier write of
    /// this VM that would lower them can still take effect.
    pub fn may_raise(&self) -> bool {
        !self.has_written || self.written_base < self.version
    }

    /// Applies a read; `None` means that the store has no document. Returns whether the document is
    /// newer than the known one, or the first one read.
    pub fn apply_read(
        &mut self,
        document: Option<document::ShareDocument>,
        version: document::ShareVersion,
        now: stamp::TimeStamp,
    ) -> bool {
        self.answered_at = Some(now);
        self.needs_read = false;
        let version = document.is_some().then_some(version);
        let is_newer = self.version < version;
        if is_newer {
            self.document = document.unwrap_or_default();
            self.version = version;
        }
        let is_first = !self.has_read;
        self.has_read = true;
        self.close_write(is_newer, now);
        is_newer || is_first
    }

    fn close_write(&mut self, is_newer: bool, now: stamp::TimeStamp) {
        let stale = |open: &OpenWrite| is_newer || open.sent_at.after(MIN_WRITE_INTERVAL) <= now;
        if self.open_write.as_ref().is_some_and(stale) {
            self.open_write = None;
        }
    }

    /// Applies the outcome of a write. Returns whether the document has changed.
    pub fn apply_outcome(
        &mut self,
        serial: u64,
        outcome: WriteOutcome,
        now: stamp::TimeStamp,
    ) -> bool {
        let Some(open) = self.open_write.take_if(|open| open.write.serial == serial) else {
            self.needs_read = true;
            return false;
        };
        match outcome {
            WriteOutcome::Applied(version) if self.version < Some(version) => {
                self.answered_at = Some(now);
                self.conflicts = 0;
                self.document = open.write.document;
                self.version = Some(version);
                return true;
            }
            WriteOutcome::Applied(_) => {}
            WriteOutcome::Conflict => self.back_off(now),
            WriteOutcome::Unknown => self.needs_read = true,
        }
        false
    }

    fn back_off(&mut self, now: stamp::TimeStamp) {
        self.conflicts += 1;
        self.answered_at = Some(now);
        self.needs_read = true;
        let seed = home::name_hash(&self.me.id.to_string()) ^ self.conflicts;
        let max_wait = CONFLICT_BACKOFF_MICROS * (self.document.members.len() as u64 + 1);
        let wait = Duration::from_micros(home::mix(seed) % max_wait);
        self.next_write_at = now.after(wait);
    }

    /// Advances the state to `now` and returns the store call that is due.
    ///
    /// `lower` is as in [`plan::next_document`]; it is called only for a write that is sent.
    pub fn tick(
        &mut self,
        liveness: &mut liveness::MemberLiveness,
        input: HolderInput<'_>,
        lower: impl FnMut(&str, plan::ShareSize) -> plan::LoweredShare,
        now: stamp::TimeStamp,
    ) -> Option<ShareIntent> {
        self.me.epoch = liveness.epoch(input.options, now);
        self.expire_write(input.options, now);
        if self.is_read_due(input.options, now) {
            self.read_sent_at = Some(now);
            return Some(ShareIntent::Read);
        }
        if !self.may_write(liveness, input.options, now) {
            return None;
        }
        self.plan_write(liveness, input, lower, now)
    }

    fn expire_write(&mut self, options: &options::QuotaOptions, now: stamp::TimeStamp) {
        let is_late = |open: &OpenWrite| open.sent_at.after(options.write_timeout) <= now;
        if self.open_write.as_ref().is_some_and(is_late) {
            self.needs_read = true;
        }
    }

    fn is_read_due(&self, options: &options::QuotaOptions, now: stamp::TimeStamp) -> bool {
        let waited = |span: Duration| self.read_sent_at.is_none_or(|sent| sent.after(span) <= now);
        let retry = self.needs_read && waited(options.write_timeout / 4);
        retry || waited(options.read_interval)
    }

    fn may_write(
        &self,
        liveness: &liveness::MemberLiveness,
        options: &options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> bool {
        let is_idle = self.has_read && !self.needs_read && self.open_write.is_none();
        let is_proven = liveness.is_proven(options, now) || self.me.leaving;
        is_idle && is_proven && self.next_write_at <= now && !self.is_released()
    }

    fn plan_write(
        &mut self,
        liveness: &liveness::MemberLiveness,
        input: HolderInput<'_>,
        lower: impl FnMut(&str, plan::ShareSize) -> plan::LoweredShare,
        now: stamp::TimeStamp,
    ) -> Option<ShareIntent> {
        let gone = liveness.reclaimable_members(&self.document, input.options, now);
        let plan = plan::PlanOptions {
            me: &self.me,
            revision: input.revision,
            specs: input.specs,
            gone: &gone,
        };
        let inputs = PlanInputs {
            version: self.version,
            revision: input.revision,
            me: self.me.clone(),
            gone: gone.clone(),
        };
        if now < self.next_plan_at && self.last_plan.as_ref() == Some(&inputs) {
            return None;
        }
        let is_due = plan::is_due(&self.document, plan);
        self.next_plan_at = if is_due { now } else { stamp::TimeStamp::MAX };
        self.last_plan = Some(inputs);
        if !is_due {
            return None;
        }
        let fresh = self
            .answered_at
            .is_some_and(|at| now < at.after(MAX_ANSWER_AGE));
        if !fresh {
            self.needs_read = true;
            return None;
        }
        let document = plan::next_document(&self.document, plan, lower);
        self.next_plan_at = now.after(PLAN_RETRY_INTERVAL);
        if document == self.document {
            return None;
        }
        Some(self.start_write(document, now))
    }

    fn start_write(
        &mut self,
        document: document::ShareDocument,
        now: stamp::TimeStamp,
    ) -> ShareIntent {
        self.has_written = true;
        self.written_base = self.version;
        self.last_serial += 1;
        let write = ShareWrite {
            serial: self.last_serial,
            base: self.version,
            document,
        };
        self.next_write_at = now.after(MIN_WRITE_INTERVAL);
        self.open_write = Some(OpenWrite {
            write: write.clone(),
            sent_at: now,
        });
        ShareIntent::Write(write)
    }
}
