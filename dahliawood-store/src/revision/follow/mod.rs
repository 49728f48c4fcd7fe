//! Keeps a [`shared::SharedTracker`] up to date from the store, and the store from it.
//!
//! One watch waits on the head. After each answer the follower fetches the files that the tracker
//! wants, writes the VM's status line where it has changed, and puts back a revision that a
//! restored store lost. Calls that all VMs make at the same moment are spread over a time that
//! grows with their number, so that a change stays inside the rates of the store.

use super::shared;
use super::tracker;
use crate::backoff;
use crate::client;
use crate::clock;
use crate::content::transfer;
use crate::head;
use crate::protocol;
use crate::status;
use crate::watch;
use dahliawood_model::stamp;
use futures::future::{self, Either};
use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Share of a spread that each VM adds to writes: 250 VMs write in a second.
const WRITE_SPREAD_PER_VM: Duration = Duration::from_millis(4);

/// Share of a spread that each VM adds to reads: 500 VMs read a manifest and a part in a second.
const READ_SPREAD_PER_VM: Duration = Duration::from_millis(2);

/// How often a line is written at most while a proposal is open.
const OPEN_REFRESH: Duration = Duration::from_secs(2);

/// Whether the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum StoreContact {
    /// It does.
    #[display("store back")]
    Back,
    /// It does not.
    #[display("store lost")]
    Lost,
}

/// How the store is followed.
#[derive(Clone)]
pub struct FollowOptions {
    /// What is kept up to date.
    pub tracker: shared::SharedTracker,
    /// The clock and the sleep.
    pub time: clock::TimeSource,
    /// How many VMs follow the store.
    pub live_vms: Arc<dyn Fn() -> usize + Send + Sync>,
    /// Told when the store is lost or back.
    pub on_contact: Arc<dyn Fn(StoreContact) + Send + Sync>,
    /// How long a watch waits.
    pub wait: Duration,
    /// How often the status line is written although it is the same.
    pub refresh: Duration,
}

impl FollowOptions {
    /// Watches of 20 seconds for a fleet of `live_vms`.
    pub fn new(tracker: shared::SharedTracker, time: clock::TimeSource, live_vms: usize) -> Self {
        Self {
            tracker,
            time,
            live_vms: Arc::new(move || live_vms),
            on_contact: Arc::new(|_contact| ()),
            wait: Duration::from_secs(20),
            refresh: Duration::from_secs(60),
        }
    }
}

impl fmt::Debug for FollowOptions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("FollowOptions")
            .field("tracker", &self.tracker)
            .field("wait", &self.wait)
            .field("refresh", &self.refresh)
            .finish_non_exhaustive()
    }
}

/// Follows the store; never returns.
pub async fn follow(client: &client::StoreClient, options: &FollowOptions) {
    let mut follower = Follower::new(client, options);
    loop {
        follower.round().await;
    }
}

struct Follower<'a> {
    client: &'a client::StoreClient,
    options: &'a FollowOptions,
    cursor: watch::WatchCursor,
    head: head::HeadDocument,
    head_version: u64,
    status_version: u64,
    written: Option<(u64, stamp::TimeStamp)>,
    failures: u32,
    contact: Option<StoreContact>,
}

impl<'a> Follower<'a> {
    fn new(client: &'a client::StoreClient, options: &'a FollowOptions) -> Self {
        Self {
            client,
            options,
            cursor: watch::WatchCursor::new(head::HEAD_KEY, (options.time.now)()),
            head: head::HeadDocument::default(),
            head_version: 0,
            status_version: 0,
            written: None,
            failures: 0,
            contact: None,
        }
    }

    async fn round(&mut self) {
        self.watch().await;
        self.fetch().await;
        self.repair().await;
        self.write_status().await;
    }

    async fn watch(&mut self) {
        let tracker = &self.options.tracker;
        let call = self.cursor.next_call(self.watch_wait());
        let sent_at = self.now();
        let answer = {
            let answer = (self.client.watch)(call);
            match future::select(answer, pin!(tracker.changed())).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => return,
            }
        };
        self.note_contact(&answer);
        let Some(entry) = self.noted(answer).await else {
            return;
        };
        let Some(entry) = self.cursor.absorb(entry, sent_at).cloned() else {
            return;
        };
        self.absorb(&entry).await;
    }

    async fn absorb(&mut self, entry: &protocol::KeyEntry) {
        let head = head::HeadDocument::parse(entry.value.as_deref());
        let Some(head) = self.noted(head).await else {
            return;
        };
        let is_backward = entry.version < self.head_version;
        self.head_version = entry.version;
        self.head = head;
        if let Some(stamp) = self.head.accepted() {
            self.options
                .tracker
                .observe_accepted(stamp, tracker::RevisionSource::Store);
        }
        if let Some(stamp) = &self.head.proposal {
            self.options.tracker.observe_proposed(stamp);
        }
        if is_backward {
            // A restored store has lost the line of this VM too. Where it is a stale read, the next
            // may come at once and be as stale.
            self.written = None;
            self.rest().await;
        }
    }

    async fn fetch(&mut self) {
        for hash in self.options.tracker.wanted() {
            self.spread(READ_SPREAD_PER_VM).await;
            if !self.options.tracker.wanted().contains(&hash) {
                continue;
            }
            let known = self.options.tracker.in_force().map(|record| record.text);
            let known: Vec<_> = known.iter().map(|text| &**text).collect();
            let result = transfer::download(self.client, &hash, &known).await;
            let Some(text) = self.noted(result).await else {
                return;
            };
            let supplied = self.options.tracker.add_file(&hash, &text);
            self.noted(supplied).await;
        }
    }

    /// Puts the revision in force back into a store that lost it.
    async fn repair(&mut self) {
        if self.cursor.version() == 0 && self.contact.is_none() {
            return;
        }
        if self
            .options
            .tracker
            .repair(&self.head, self.mark())
            .is_none()
        {
            return;
        }
        self.spread(WRITE_SPREAD_PER_VM).await;
        let entry = (self.client.get)(head::HEAD_KEY.to_owned()).await;
        let Some(entry) = self.noted(entry).await else {
            return;
        };
        self.absorb(&entry).await;
        let Some((head, record)) = self.options.tracker.repair(&self.head, self.mark()) else {
            return;
        };
        let uploaded = transfer::upload(self.client, &record.text).await;
        if self.noted(uploaded).await.is_none() {
            return;
        }
        let result = (self.client.put)(client::PutCall {
            key: head::HEAD_KEY.to_owned(),
            value: head.encode(),
            expected: Some(entry.version),
            lease: None,
        })
        .await;
        if self.noted(result).await.is_some() {
            self.head = head;
        }
    }

    async fn write_status(&mut self) {
        if !self.is_status_due() {
            return;
        }
        self.spread(WRITE_SPREAD_PER_VM).await;
        self.options.tracker.clear_changed();
        let line = self.options.tracker.status();
        let key = status::StatusLine::key(&line.vm);
        let result = (self.client.put)(client::PutCall {
            key: key.clone(),
            value: serde_json::to_string(&line).expect("a line has a JSON form"),
            expected: Some(self.status_version),
            lease: None,
        })
        .await;
        match result {
            Ok(version) => {
                self.status_version = version;
                self.written = Some((line.serial, self.now()));
            }
            Err(client::error::StoreError::Conflict { .. }) => {
                self.compare_status(key, &line).await;
            }
            Err(error) => {
                self.noted::<(), _>(Err(error)).await;
            }
        }
    }

    /// Another writer was first: a lost reply, a peer, or a process that has replaced this one.
    async fn compare_status(&mut self, key: String, line: &status::StatusLine) {
        let entry = (self.client.get)(key).await;
        let Some(entry) = self.noted(entry).await else {
            return;
        };
        self.status_version = entry.version;
        let found = entry
            .value
            .and_then(|value| serde_json::from_str(&value).ok());
        if found.is_some_and(|found: status::StatusLine| !line.is_newer_than(&found)) {
            self.written = Some((line.serial, self.now()));
        }
    }

    fn is_status_due(&self) -> bool {
        let serial = self.options.tracker.status().serial;
        self.written.is_none_or(|(written, at)| {
            written != serial || self.now().since(at) >= self.refresh_after()
        })
    }

    /// While a proposal stays open the line may be missing from a restored store.
    fn refresh_after(&self) -> Duration {
        if self.head.proposal.is_none() {
            return self.options.refresh;
        }
        let spread = WRITE_SPREAD_PER_VM.saturating_mul(self.live_vms());
        OPEN_REFRESH.max(2 * spread).min(self.options.refresh)
    }

    /// A follower with work left looks again soon.
    fn watch_wait(&self) -> Duration {
        let is_behind = !self.options.tracker.wanted().is_empty()
            || self.is_status_due()
            || self
                .options
                .tracker
                .repair(&self.head, self.mark())
                .is_some();
        if is_behind {
            return backoff::RetryPlan::default().base;
        }
        self.options.wait.min(self.refresh_after())
    }

    fn note_contact<T>(&mut self, result: &Result<T, client::error::StoreError>) {
        let contact = match result {
            Err(error) if !error.is_answer() => StoreContact::Lost,
            _ => StoreContact::Back,
        };
        if self.contact != Some(contact) {
            self.contact = Some(contact);
            (self.options.on_contact)(contact);
        }
    }

    async fn noted<T, E>(&mut self, result: Result<T, E>) -> Option<T> {
        let value = result.ok();
        if value.is_some() {
            self.failures = 0;
        } else {
            self.failures += 1;
            self.rest().await;
        }
        value
    }

    async fn rest(&self) {
        let wait =
            backoff::RetryPlan::default().wait(self.failures.max(1), (self.options.time.jitter)());
        (self.options.time.sleep)(wait).await;
    }

    async fn spread(&self, per_vm: Duration) {
        let span = per_vm.saturating_mul(self.live_vms());
        let wait = span.mul_f64((self.options.time.jitter)());
        (self.options.time.sleep)(wait).await;
    }

    fn live_vms(&self) -> u32 {
        u32::try_from((self.options.live_vms)()).unwrap_or(u32::MAX)
    }

    fn mark(&self) -> head::WriteMark {
        head::WriteMark::drawn((self.options.time.jitter)())
    }

    fn now(&self) -> stamp::TimeStamp {
        (self.options.time.now)()
    }
}
