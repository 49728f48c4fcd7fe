//! Keeps a [`shared::SharedTracker`] up to date from the store, and writes this VM's status to the
//! store.
//!
//! The follower watches the head key. After each response it fetches the files that the tracker
//! needs, writes the VM's status if it changed, and writes back a revision that was lost when the
//! store was restored from a backup. Calls that all VMs would make at the same moment are spread at
//! random over a time proportional to the number of VMs, so that a change does not exceed the
//! store's rate limits.

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

/// Time per VM over which writes are spread: the fleet makes 250 writes per second.
const WRITE_SPREAD_PER_VM: Duration = Duration::from_millis(4);

/// Time per VM over which reads are spread: 500 VMs per second read a manifest and a part.
const READ_SPREAD_PER_VM: Duration = Duration::from_millis(2);

/// Shortest time between two writes of an unchanged status while a proposal is open.
const PROPOSAL_REFRESH: Duration = Duration::from_secs(2);

/// Whether the store responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum StoreContact {
    /// The store responds.
    #[display("store back")]
    Back,
    /// The store does not respond.
    #[display("store lost")]
    Lost,
}

/// Options of [`follow`].
#[derive(Clone)]
pub struct FollowOptions {
    /// The tracker to keep up to date.
    pub tracker: shared::SharedTracker,
    /// Clock, sleep and jitter.
    pub time: clock::TimeSource,
    /// Returns the number of VMs that follow the store.
    pub live_vms: Arc<dyn Fn() -> usize + Send + Sync>,
    /// Called when the store stops responding and when it responds again.
    pub on_contact: Arc<dyn Fn(StoreContact) + Send + Sync>,
    /// Longest time that a watch call waits for a change.
    pub wait: Duration,
    /// Time after which an unchanged status is written again.
    pub refresh: Duration,
}

impl FollowOptions {
    /// Options with a watch time of 20 seconds, for a fleet of `live_vms` VMs.
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
        follower.run_round().await;
    }
}

struct Follower<'a> {
    client: &'a client::StoreClient,
    options: &'a FollowOptions,
    cursor: watch::WatchCursor,
    head: head::HeadDocument,
    head_version: u64,
    status_version: u64,
    last_written: Option<(u64, stamp::TimeStamp)>,
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
            last_written: None,
            failures: 0,
            contact: None,
        }
    }

    async fn run_round(&mut self) {
        self.watch().await;
        self.fetch().await;
        self.repair().await;
        self.write_status().await;
    }

    async fn watch(&mut self) {
        let tracker = &self.options.tracker;
        let call = self.cursor.next_call(self.watch_wait());
        let sent_at = self.now();
        let response = {
            let response = (self.client.watch)(call);
            match future::select(response, pin!(tracker.changed())).await {
                Either::Left((response, _)) => response,
                Either::Right(_) => return,
            }
        };
        self.update_contact(&response);
        let Some(entry) = self.ok_or_back_off(response).await else {
            return;
        };
        let Some(entry) = self.cursor.update(entry, sent_at).cloned() else {
            return;
        };
        self.apply_head(&entry).await;
    }

    async fn apply_head(&mut self, entry: &protocol::KeyEntry) {
        let head = head::HeadDocument::parse(entry.value.as_deref());
        let Some(head) = self.ok_or_back_off(head).await else {
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
            // A lower version means that the store was restored and has lost this VM's status too,
            // or that the read was stale. After a stale read the next response may come at once and
            // be as stale.
            self.last_written = None;
            self.back_off().await;
        }
    }

    async fn fetch(&mut self) {
        for hash in self.options.tracker.hashes_to_fetch() {
            self.wait_spread(READ_SPREAD_PER_VM).await;
            if !self.options.tracker.hashes_to_fetch().contains(&hash) {
                continue;
            }
            let known = self.options.tracker.in_force().map(|record| record.text);
            let known: Vec<_> = known.iter().map(|text| &**text).collect();
            let result = transfer::download(self.client, &hash, &known).await;
            let Some(text) = self.ok_or_back_off(result).await else {
                return;
            };
            let added = self.options.tracker.add_file(&hash, &text);
            self.ok_or_back_off(added).await;
        }
    }

    /// Writes the revision in force back into a store that lost it.
    async fn repair(&mut self) {
        if self.cursor.version() == 0 && self.contact.is_none() {
            return;
        }
        if self
            .options
            .tracker
            .repair(&self.head, self.nonce())
            .is_none()
        {
            return;
        }
        self.wait_spread(WRITE_SPREAD_PER_VM).await;
        let entry = (self.client.get)(head::HEAD_KEY.to_owned()).await;
        let Some(entry) = self.ok_or_back_off(entry).await else {
            return;
        };
        self.apply_head(&entry).await;
        let Some((head, record)) = self.options.tracker.repair(&self.head, self.nonce()) else {
            return;
        };
        let uploaded = transfer::upload(self.client, &record.text).await;
        if self.ok_or_back_off(uploaded).await.is_none() {
            return;
        }
        let result = (self.client.put)(client::PutCall {
            key: head::HEAD_KEY.to_owned(),
            value: head.encode(),
            expected: Some(entry.version),
            lease: None,
        })
        .await;
        if self.ok_or_back_off(result).await.is_some() {
            self.head = head;
        }
    }

    async fn write_status(&mut self) {
        if !self.is_status_due() {
            return;
        }
        self.wait_spread(WRITE_SPREAD_PER_VM).await;
        self.options.tracker.clear_changed();
        let status = self.options.tracker.status();
        let key = status::VmStatus::key(&status.vm);
        let result = (self.client.put)(client::PutCall {
            key: key.clone(),
            value: serde_json::to_string(&status).expect("a status serializes to JSON"),
            expected: Some(self.status_version),
            lease: None,
        })
        .await;
        match result {
            Ok(version) => {
                self.status_version = version;
                self.last_written = Some((status.serial, self.now()));
            }
            Err(client::error::StoreError::Conflict { .. }) => {
                self.resolve_status_conflict(key, &status).await;
            }
            Err(error) => {
                self.ok_or_back_off::<(), _>(Err(error)).await;
            }
        }
    }

    /// Resolves a version conflict: the status was written before, by this VM with the response
    /// lost, by a peer, or by a process that replaced this one.
    async fn resolve_status_conflict(&mut self, key: String, status: &status::VmStatus) {
        let entry = (self.client.get)(key).await;
        let Some(entry) = self.ok_or_back_off(entry).await else {
            return;
        };
        self.status_version = entry.version;
        let found = entry
            .value
            .and_then(|value| serde_json::from_str(&value).ok());
        if found.is_some_and(|found: status::VmStatus| !status.is_newer_than(&found)) {
            self.last_written = Some((status.serial, self.now()));
        }
    }

    fn is_status_due(&self) -> bool {
        let serial = self.options.tracker.status().serial;
        self.last_written.is_none_or(|(written, at)| {
            written != serial || self.now().since(at) >= self.refresh_after()
        })
    }

    /// Time after which the status is written again; shorter while a proposal is open, as a
    /// restored store may have lost the status that the proposal waits for.
    fn refresh_after(&self) -> Duration {
        if self.head.proposal.is_none() {
            return self.options.refresh;
        }
        let spread = WRITE_SPREAD_PER_VM.saturating_mul(self.live_vms());
        PROPOSAL_REFRESH.max(2 * spread).min(self.options.refresh)
    }

    /// How long the next watch call waits: only briefly while work is left to retry.
    fn watch_wait(&self) -> Duration {
        let has_pending_work = !self.options.tracker.hashes_to_fetch().is_empty()
            || self.is_status_due()
            || self
                .options
                .tracker
                .repair(&self.head, self.nonce())
                .is_some();
        if has_pending_work {
            return backoff::BackoffPolicy::default().base;
        }
        self.options.wait.min(self.refresh_after())
    }

    fn update_contact<T>(&mut self, result: &Result<T, client::error::StoreError>) {
        let contact = match result {
            Err(error) if !error.is_answer() => StoreContact::Lost,
            _ => StoreContact::Back,
        };
        if self.contact != Some(contact) {
            self.contact = Some(contact);
            (self.options.on_contact)(contact);
        }
    }

    async fn ok_or_back_off<T, E>(&mut self, result: Result<T, E>) -> Option<T> {
        let value = result.ok();
        if value.is_some() {
            self.failures = 0;
        } else {
            self.failures += 1;
            self.back_off().await;
        }
        value
    }

    async fn back_off(&self) {
        let wait = backoff::BackoffPolicy::default()
            .wait(self.failures.max(1), (self.options.time.jitter)());
        (self.options.time.sleep)(wait).await;
    }

    async fn wait_spread(&self, per_vm: Duration) {
        let span = per_vm.saturating_mul(self.live_vms());
        let wait = span.mul_f64((self.options.time.jitter)());
        (self.options.time.sleep)(wait).await;
    }

    fn live_vms(&self) -> u32 {
        u32::try_from((self.options.live_vms)()).unwrap_or(u32::MAX)
    }

    fn nonce(&self) -> head::WriteNonce {
        head::WriteNonce::from_draw((self.options.time.jitter)())
    }

    fn now(&self) -> stamp::TimeStamp {
        (self.options.time.now)()
    }
}
