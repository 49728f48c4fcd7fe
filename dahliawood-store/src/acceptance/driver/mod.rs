//! Drives a write to its outcome: reads the store, decides the next step, writes the head, and
//! reads again.
//!
//! If the response to a write is lost, the next read resolves it, since the head contains the write
//! id.

use super::decision;
use super::error;
use super::step;
use crate::backoff;
use crate::client;
use crate::content;
use crate::content::transfer;
use crate::head;
use crate::status;
use dahliawood_model::stamp;
use std::time::Duration;

/// Time within which VMs detect that the store was restored and write their statuses again.
const RESTORE_DETECTION_TIME: Duration = Duration::from_secs(1);

/// Time that each required VM adds to the interval between two reads.
const POLL_PER_VM: Duration = Duration::from_millis(1);

/// Applies a file; returns once it is in force on all required VMs or a time limit has passed.
pub async fn apply(
    client: &client::StoreClient,
    options: &super::ApplyOptions,
) -> super::ApplyOutcome {
    let length = options.file_text.len();
    if length > content::FILE_LIMIT_BYTES {
        let limit = content::FILE_LIMIT_BYTES;
        let why = error::ApplyError::TooLarge { length, limit };
        return super::ApplyOutcome::NotApplied { why };
    }
    let run = step::ApplyRun::new(
        options.write_id.clone(),
        Some(content::ContentHash::of(&options.file_text)),
        options.expect,
        options.accept.takeover_after,
    );
    let mut driver = ApplyDriver::new(client, &options.accept, run);
    driver.text = Some(&options.file_text);
    driver.run().await
}

/// Continues a write whose process ended while it was proposed; this may get it accepted.
pub async fn resume(
    client: &client::StoreClient,
    write_id: &head::WriteId,
    options: &super::AcceptOptions,
) -> super::ApplyOutcome {
    let run = step::ApplyRun::new(write_id.clone(), None, None, options.takeover_after);
    let mut driver = ApplyDriver::new(client, options, run);
    driver.record.expected = driver.read_version().await;
    if driver.record.expected.is_none() {
        return driver.unknown();
    }
    driver.run().await
}

/// Determines the outcome of a write whose `apply` has ended.
///
/// The outcome of a write that is still proposed stays [`super::ApplyOutcome::Unknown`] until it is
/// resumed. If the head does not contain the write, this call makes sure that it cannot take effect
/// later, so `NotApplied` is final.
pub async fn resolve(
    client: &client::StoreClient,
    write_id: &head::WriteId,
    options: &super::AcceptOptions,
) -> super::ApplyOutcome {
    let run = step::ApplyRun::new(write_id.clone(), None, None, options.takeover_after);
    let mut driver = ApplyDriver::new(client, options, run);
    driver.keeps_proposal = true;
    driver.record.expected = driver.read_version().await;
    if driver.record.expected.is_none() {
        return driver.unknown();
    }
    let revision = 0;
    driver
        .settle(error::ApplyError::Superseded { revision })
        .await
}

struct ApplyDriver<'a> {
    client: &'a client::StoreClient,
    options: &'a super::AcceptOptions,
    run: step::ApplyRun,
    text: Option<&'a str>,
    record: decision::WriteRecord,
    keeps_proposal: bool,
    has_waited_for_statuses: bool,
    snapshot: step::StoreSnapshot,
    failures: u32,
    last_effect: client::error::WriteEffect,
    last_error: Option<String>,
}

impl<'a> ApplyDriver<'a> {
    fn new(
        client: &'a client::StoreClient,
        options: &'a super::AcceptOptions,
        run: step::ApplyRun,
    ) -> Self {
        Self {
            client,
            options,
            run,
            text: None,
            record: decision::WriteRecord::default(),
            keeps_proposal: false,
            has_waited_for_statuses: false,
            snapshot: step::StoreSnapshot::default(),
            failures: 0,
            last_effect: client::error::WriteEffect::None,
            last_error: None,
        }
    }

    async fn run(&mut self) -> super::ApplyOutcome {
        match self.accept().await {
            step::ApplyStep::Accepted(stamp) => self.applied(&stamp).await,
            step::ApplyStep::NoChange(stamp) => super::ApplyOutcome::NoChange {
                revision: stamp.revision,
                report: self.follow(&stamp).await,
            },
            step::ApplyStep::Fail(why) => self.settle(why).await,
            _ => self.unknown(),
        }
    }

    /// Runs the write until it is accepted, unnecessary or given up.
    async fn accept(&mut self) -> step::ApplyStep {
        let ends_at = self.now().after(self.options.accept_within);
        let mut is_uploaded = self.text.is_none();
        while self.now() < ends_at {
            if !is_uploaded {
                is_uploaded = self.upload().await;
                continue;
            }
            if !self.read_snapshot().await {
                continue;
            }
            let now = self.now();
            let nonce = self.nonce();
            match self.run.step(&self.snapshot, now, nonce) {
                step::ApplyStep::Wait => self.pause().await,
                step::ApplyStep::Propose(head) => {
                    self.write_tracked(&head).await;
                }
                step::ApplyStep::Accept(head, stamp) => {
                    if self.write_tracked(&head).await {
                        return step::ApplyStep::Accepted(stamp);
                    }
                    if self.last_effect == client::error::WriteEffect::Possible {
                        self.record
                            .unconfirmed
                            .extend(self.snapshot.head.trail.first());
                    }
                }
                end => return end,
            }
        }
        step::ApplyStep::Fail(
            self.run
                .timeout_error(self.last_error.clone(), &self.snapshot),
        )
    }

    /// Determines whether a write that was given up has taken effect, and prevents it from doing so
    /// later.
    async fn settle(&mut self, why: error::ApplyError) -> super::ApplyOutcome {
        if self.record.expected.is_none() {
            return super::ApplyOutcome::NotApplied { why };
        }
        let ends_at = self.now().after(self.options.settle_within);
        while self.now() < ends_at {
            if !self.read_snapshot().await {
                continue;
            }
            match self.prove() {
                decision::WriteProof::Accepted(stamp) => return self.applied(&stamp).await,
                decision::WriteProof::Fenced
                    if !self.record.unconfirmed.is_empty() && !self.has_waited_for_statuses =>
                {
                    // VMs may have the revision in force although the store was restored since and
                    // lost it. Wait once for the VMs to detect this and write their statuses again.
                    self.has_waited_for_statuses = true;
                    (self.options.time.sleep)(RESTORE_DETECTION_TIME).await;
                    true
                }
                decision::WriteProof::Fenced => return super::ApplyOutcome::NotApplied { why },
                decision::WriteProof::PossiblyDropped => return self.unknown(),
                decision::WriteProof::Proposed(_) if self.keeps_proposal => return self.unknown(),
                decision::WriteProof::Proposed(_) => {
                    self.write_head(&self.snapshot.head.with_proposal(None, self.nonce()))
                        .await
                }
                decision::WriteProof::Pending => self.write_head(&self.fencing_head()).await,
            };
        }
        self.unknown()
    }

    async fn applied(&mut self, stamp: &head::RevisionStamp) -> super::ApplyOutcome {
        (self.options.on_accepted)(stamp);
        super::ApplyOutcome::Applied {
            revision: stamp.revision,
            report: self.follow(stamp).await,
        }
    }

    /// Waits until a revision is in force on all required VMs, and writes it again if the store
    /// loses it.
    async fn follow(&mut self, stamp: &head::RevisionStamp) -> super::RolloutReport {
        let ends_at = self.now().after(self.options.follow_within);
        let mut report = decision::rollout_report(stamp, &self.snapshot.required, &[]);
        while self.now() < ends_at {
            if !self.read_snapshot().await {
                continue;
            }
            if self.snapshot.head.accepted() < Some(stamp) {
                self.restore_revision(stamp).await;
                continue;
            }
            report =
                decision::rollout_report(stamp, &self.snapshot.required, &self.snapshot.statuses);
            if report.missing.is_empty() {
                break;
            }
            self.pause().await;
        }
        report
    }

    async fn restore_revision(&mut self, stamp: &head::RevisionStamp) {
        if self.text.is_none() || self.upload().await {
            self.write_head(&self.snapshot.head.with_accepted(stamp, self.nonce()))
                .await;
        }
    }

    fn prove(&mut self) -> decision::WriteProof {
        if let Some(stamp) = decision::find_in_force(&self.run.write_id, &self.snapshot.statuses) {
            return decision::WriteProof::Accepted(stamp.clone());
        }
        self.record.revision = self.run.revision;
        decision::prove(
            &self.snapshot.head,
            self.snapshot.version,
            &self.run.write_id,
            &self.record,
        )
    }

    /// The current head with a new nonce. Writing it raises the version, so that a pending
    /// compare-and-swap on an earlier version fails.
    fn fencing_head(&self) -> head::HeadDocument {
        self.snapshot
            .head
            .with_proposal(self.snapshot.head.proposal.clone(), self.nonce())
    }

    fn unknown(&self) -> super::ApplyOutcome {
        super::ApplyOutcome::Unknown {
            write_id: self.run.write_id.clone(),
        }
    }

    async fn upload(&mut self) -> bool {
        let text = self.text.unwrap_or_default();
        let result = transfer::upload(self.client, text).await;
        self.ok_or_back_off(result).await.is_some()
    }

    /// Writes a head with this write's proposal or acceptance, and records the highest version it
    /// was conditional on.
    async fn write_tracked(&mut self, head: &head::HeadDocument) -> bool {
        let before = self.record.expected;
        self.record.expected = before.max(Some(self.snapshot.version));
        let result = self.put_head(head).await;
        self.last_effect = result
            .as_ref()
            .map_or_else(client::error::StoreError::effect, |_| {
                client::error::WriteEffect::None
            });
        if result.is_err() && self.last_effect == client::error::WriteEffect::None {
            self.record.expected = before;
        }
        self.ok_or_back_off(result).await.is_some()
    }

    async fn write_head(&mut self, head: &head::HeadDocument) -> bool {
        let result = self.put_head(head).await;
        self.ok_or_back_off(result).await.is_some()
    }

    async fn put_head(&self, head: &head::HeadDocument) -> Result<u64, client::error::StoreError> {
        (self.client.put)(client::PutCall {
            key: head::HEAD_KEY.to_owned(),
            value: head.encode(),
            expected: Some(self.snapshot.version),
            lease: None,
        })
        .await
    }

    async fn read_snapshot(&mut self) -> bool {
        let result = futures::try_join!(
            (self.client.get)(head::HEAD_KEY.to_owned()),
            (self.client.list)(status::STATUS_PREFIX.to_owned()),
            (self.client.live)(()),
        );
        let Some((entry, list, live)) = self.ok_or_back_off(result).await else {
            return false;
        };
        self.snapshot.statuses = status::parse(&list);
        self.snapshot.required = (self.options.required)(&live);
        self.apply_entry(entry.version, entry.value.as_deref())
            .await
    }

    async fn read_head(&mut self) -> bool {
        let result = (self.client.get)(head::HEAD_KEY.to_owned()).await;
        let Some(entry) = self.ok_or_back_off(result).await else {
            return false;
        };
        self.apply_entry(entry.version, entry.value.as_deref())
            .await
    }

    async fn apply_entry(&mut self, version: u64, value: Option<&str>) -> bool {
        let Some(head) = self.ok_or_back_off(head::HeadDocument::parse(value)).await else {
            return false;
        };
        self.snapshot.head = head;
        self.snapshot.version = version;
        true
    }

    async fn read_version(&mut self) -> Option<u64> {
        let ends_at = self.now().after(self.options.settle_within);
        while self.now() < ends_at {
            if self.read_head().await {
                return Some(self.snapshot.version);
            }
        }
        None
    }

    /// Returns the value of a successful call; after a failure, records the error and backs off.
    async fn ok_or_back_off<T, E: ToString>(&mut self, result: Result<T, E>) -> Option<T> {
        match result {
            Ok(value) => {
                self.failures = 0;
                self.last_error = None;
                Some(value)
            }
            Err(error) => {
                self.failures += 1;
                self.last_error = Some(error.to_string());
                let draw = (self.options.time.jitter)();
                let wait = backoff::BackoffPolicy::default().wait(self.failures, draw);
                (self.options.time.sleep)(wait).await;
                None
            }
        }
    }

    async fn pause(&self) {
        let vms = u32::try_from(self.snapshot.required.len()).unwrap_or(u32::MAX);
        let poll = self.options.poll.max(POLL_PER_VM.saturating_mul(vms));
        (self.options.time.sleep)(poll).await;
    }

    fn nonce(&self) -> head::WriteNonce {
        head::WriteNonce::from_draw((self.options.time.jitter)())
    }

    fn now(&self) -> stamp::TimeStamp {
        (self.options.time.now)()
    }
}
