//! The calls of acceptance: look, decide, write, look again.
//!
//! A write whose reply is lost is settled by the next look, since the head shows the write id.

use super::error;
use super::judge;
use super::step;
use crate::backoff;
use crate::client;
use crate::content;
use crate::content::transfer;
use crate::head;
use crate::status;
use dahliawood_model::stamp;
use std::time::Duration;

/// Within this time VMs notice a restored store and write their lines.
const NOTICE_WITHIN: Duration = Duration::from_secs(1);

/// How much longer the time between two looks gets with each required VM.
const POLL_PER_VM: Duration = Duration::from_millis(1);

/// Applies a file; returns once it is in force on all required VMs or the time is over.
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

/// Goes on with a write that its own process left proposed; it may be accepted by this.
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

/// Says what became of a write whose `apply` has ended.
///
/// A write that is still proposed stays [`super::ApplyOutcome::Unknown`] until it is resumed. One
/// that is not there is kept from arriving later, so its `NotApplied` is final.
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
        .settle(error::ApplyError::Overtaken { revision })
        .await
}

struct ApplyDriver<'a> {
    client: &'a client::StoreClient,
    options: &'a super::AcceptOptions,
    run: step::ApplyRun,
    text: Option<&'a str>,
    record: judge::WriteRecord,
    keeps_proposal: bool,
    has_waited: bool,
    look: step::StoreLook,
    failures: u32,
    failed_effect: client::error::WriteEffect,
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
            record: judge::WriteRecord::default(),
            keeps_proposal: false,
            has_waited: false,
            look: step::StoreLook::default(),
            failures: 0,
            failed_effect: client::error::WriteEffect::None,
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

    /// Goes on until the write is accepted, found needless or given up.
    async fn accept(&mut self) -> step::ApplyStep {
        let ends_at = self.now().after(self.options.accept_within);
        let mut is_uploaded = self.text.is_none();
        while self.now() < ends_at {
            if !is_uploaded {
                is_uploaded = self.upload().await;
                continue;
            }
            if !self.take_look().await {
                continue;
            }
            let now = self.now();
            let mark = self.mark();
            match self.run.step(&self.look, now, mark) {
                step::ApplyStep::Wait => self.pause().await,
                step::ApplyStep::Propose(head) => {
                    self.write_own(&head).await;
                }
                step::ApplyStep::Accept(head, stamp) => {
                    if self.write_own(&head).await {
                        return step::ApplyStep::Accepted(stamp);
                    }
                    if self.failed_effect == client::error::WriteEffect::Possible {
                        self.record.unsure.extend(self.look.head.trail.first());
                    }
                }
                end => return end,
            }
        }
        step::ApplyStep::Fail(self.run.late(self.last_error.clone(), &self.look))
    }

    /// Finds out whether a write that is given up has had or can still have an effect.
    async fn settle(&mut self, why: error::ApplyError) -> super::ApplyOutcome {
        if self.record.expected.is_none() {
            return super::ApplyOutcome::NotApplied { why };
        }
        let ends_at = self.now().after(self.options.settle_within);
        while self.now() < ends_at {
            if !self.take_look().await {
                continue;
            }
            match self.prove() {
                judge::WriteProof::Accepted(stamp) => return self.applied(&stamp).await,
                judge::WriteProof::Gone if !self.record.unsure.is_empty() && !self.has_waited => {
                    // VMs may have it in force and the store may have been restored since: they
                    // write their lines anew as soon as they notice.
                    self.has_waited = true;
                    (self.options.time.sleep)(NOTICE_WITHIN).await;
                    true
                }
                judge::WriteProof::Gone => return super::ApplyOutcome::NotApplied { why },
                judge::WriteProof::Forgotten => return self.unknown(),
                judge::WriteProof::Proposed(_) if self.keeps_proposal => return self.unknown(),
                judge::WriteProof::Proposed(_) => {
                    self.write_head(&self.look.head.with_proposal(None, self.mark()))
                        .await
                }
                judge::WriteProof::Pending => self.write_head(&self.renewed_head()).await,
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

    /// Waits until a revision is in force on all required VMs, and puts it back where the store
    /// lost it.
    async fn follow(&mut self, stamp: &head::RevisionStamp) -> super::ForceReport {
        let ends_at = self.now().after(self.options.follow_within);
        let mut report = judge::report(stamp, &self.look.required, &[]);
        while self.now() < ends_at {
            if !self.take_look().await {
                continue;
            }
            if self.look.head.accepted() < Some(stamp) {
                self.put_back(stamp).await;
                continue;
            }
            report = judge::report(stamp, &self.look.required, &self.look.lines);
            if report.missing.is_empty() {
                break;
            }
            self.pause().await;
        }
        report
    }

    async fn put_back(&mut self, stamp: &head::RevisionStamp) {
        if self.text.is_none() || self.upload().await {
            self.write_head(&self.look.head.with_accepted(stamp, self.mark()))
                .await;
        }
    }

    fn prove(&mut self) -> judge::WriteProof {
        if let Some(stamp) = judge::in_force_by(&self.run.write_id, &self.look.lines) {
            return judge::WriteProof::Accepted(stamp.clone());
        }
        self.record.revision = self.run.revision;
        judge::prove(
            &self.look.head,
            self.look.version,
            &self.run.write_id,
            &self.record,
        )
    }

    fn renewed_head(&self) -> head::HeadDocument {
        self.look
            .head
            .with_proposal(self.look.head.proposal.clone(), self.mark())
    }

    fn unknown(&self) -> super::ApplyOutcome {
        super::ApplyOutcome::Unknown {
            write_id: self.run.write_id.clone(),
        }
    }

    async fn upload(&mut self) -> bool {
        let text = self.text.unwrap_or_default();
        let result = transfer::upload(self.client, text).await;
        self.noted(result).await.is_some()
    }

    /// Writes a head that carries this run's proposal.
    async fn write_own(&mut self, head: &head::HeadDocument) -> bool {
        let before = self.record.expected;
        self.record.expected = before.max(Some(self.look.version));
        let result = self.put_head(head).await;
        self.failed_effect = result
            .as_ref()
            .map_or_else(client::error::StoreError::effect, |_| {
                client::error::WriteEffect::None
            });
        if result.is_err() && self.failed_effect == client::error::WriteEffect::None {
            self.record.expected = before;
        }
        self.noted(result).await.is_some()
    }

    async fn write_head(&mut self, head: &head::HeadDocument) -> bool {
        let result = self.put_head(head).await;
        self.noted(result).await.is_some()
    }

    async fn put_head(&self, head: &head::HeadDocument) -> Result<u64, client::error::StoreError> {
        (self.client.put)(client::PutCall {
            key: head::HEAD_KEY.to_owned(),
            value: head.encode(),
            expected: Some(self.look.version),
            lease: None,
        })
        .await
    }

    async fn take_look(&mut self) -> bool {
        let result = futures::try_join!(
            (self.client.get)(head::HEAD_KEY.to_owned()),
            (self.client.list)(status::STATUS_PREFIX.to_owned()),
            (self.client.live)(()),
        );
        let Some((entry, list, live)) = self.noted(result).await else {
            return false;
        };
        self.look.lines = status::parse(&list);
        self.look.required = (self.options.required)(&live);
        self.take_entry(entry.version, entry.value.as_deref()).await
    }

    async fn take_head(&mut self) -> bool {
        let result = (self.client.get)(head::HEAD_KEY.to_owned()).await;
        let Some(entry) = self.noted(result).await else {
            return false;
        };
        self.take_entry(entry.version, entry.value.as_deref()).await
    }

    async fn take_entry(&mut self, version: u64, value: Option<&str>) -> bool {
        let Some(head) = self.noted(head::HeadDocument::parse(value)).await else {
            return false;
        };
        self.look.head = head;
        self.look.version = version;
        true
    }

    async fn read_version(&mut self) -> Option<u64> {
        let ends_at = self.now().after(self.options.settle_within);
        while self.now() < ends_at {
            if self.take_head().await {
                return Some(self.look.version);
            }
        }
        None
    }

    /// Remembers a failure and waits a while after it.
    async fn noted<T, E: ToString>(&mut self, result: Result<T, E>) -> Option<T> {
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
                let wait = backoff::RetryPlan::default().wait(self.failures, draw);
                (self.options.time.sleep)(wait).await;
                None
            }
        }
    }

    async fn pause(&self) {
        let vms = u32::try_from(self.look.required.len()).unwrap_or(u32::MAX);
        let poll = self.options.poll.max(POLL_PER_VM.saturating_mul(vms));
        (self.options.time.sleep)(poll).await;
    }

    fn mark(&self) -> head::WriteMark {
        head::WriteMark::drawn((self.options.time.jitter)())
    }

    fn now(&self) -> stamp::TimeStamp {
        (self.options.time.now)()
    }
}
