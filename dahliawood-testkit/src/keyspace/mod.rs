//! A stand-in for the users' metadata store: keys with revisions, leases and watches over the
//! store's published HTTP protocol, with faults.

mod state;

use crate::serving;
use async_std::net::TcpStream;
use async_std::task;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::head::RequestHead;
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::io::AsyncWriteExt;
use serde_json::{Value, json};
use state::StoreState;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Interval at which a waiting watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Path prefix of lease renewals; the lease id follows.
const RENEW_PATH: &str = "/api/kv-keep/";
/// Prefix of the keys that operators write.
const OPERATORS_PREFIX: &str = "op/";
/// Bytes of a response that are written at a time.
const WRITE_BYTES: usize = 8 * 1024;
/// Upper bound on the head and on the body of a request, bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The fault of the store, which changes how calls are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault: handles each call.
    #[default]
    Off,
    /// Refuses each call with 503.
    Unavailable,
    /// Reads each call and never responds.
    Silent,
    /// Responds to each call but those that wait for changes, which get nothing.
    Stalled,
}

/// Which reads that may be stale come from an old replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OldReads {
    /// None.
    #[default]
    None,
    /// Those that continue a list.
    LaterPages,
    /// All.
    All,
}

/// A running store; clones share its state.
#[derive(Clone, Debug)]
pub struct KeyspaceStore {
    /// Address that the store listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    fault: Arc<Mutex<StoreFault>>,
    substitutes: Arc<Mutex<Vec<(String, String)>>>,
    late_writes: Arc<Mutex<VecDeque<Duration>>>,
    /// Bytes a second of each response, zero for no bound.
    rate: Arc<AtomicUsize>,
    /// The most items of a page.
    page_items: Arc<AtomicUsize>,
    /// Which stale reads are answered from the last copy.
    old_reads: Arc<Mutex<OldReads>>,
}

/// Starts a store on a free port of loopback.
///
/// # Errors
/// No port can be bound.
pub async fn start() -> io::Result<KeyspaceStore> {
    listen(Arc::default()).await
}

/// Serves `state` on a free port, with faults that are set separately for that port.
async fn listen(state: Arc<Mutex<StoreState>>) -> io::Result<KeyspaceStore> {
    let (listener, address) = serving::listen().await?;
    let store = KeyspaceStore {
        address,
        state,
        fault: Arc::default(),
        substitutes: Arc::default(),
        late_writes: Arc::default(),
        rate: Arc::default(),
        page_items: Arc::new(AtomicUsize::new(usize::MAX)),
        old_reads: Arc::default(),
    };
    let served = store.clone();
    serving::accept(listener, move |stream| served.clone().serve(stream));
    Ok(store)
}

impl KeyspaceStore {
    /// Locks the state, after removing expired leases and their keys.
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        let mut state = serving::lock(&self.state);
        state.expire();
        state
    }

    /// Serves the same state at another address whose fault is set separately, so that some
    /// callers can meet faults that others don't.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn second_address(&self) -> io::Result<Self> {
        listen(Arc::clone(&self.state)).await
    }

    /// Sets the fault that calls to this address meet.
    pub fn set_fault(&self, fault: StoreFault) {
        *serving::lock(&self.fault) = fault;
    }

    /// Replaces texts in all values that callers at this address read, such as the addresses of
    /// targets by those of links to them.
    pub fn set_substitutes(&self, substitutes: Vec<(String, String)>) {
        *serving::lock(&self.substitutes) = substitutes;
    }

    /// Sends responses at this address at `rate` bytes a second, as over a slow link.
    pub fn set_rate(&self, rate: usize) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Ends each page at this address after `items` items.
    pub fn set_page_items(&self, items: usize) {
        self.page_items.store(items, Ordering::Relaxed);
    }

    /// Answers some stale reads at this address from the last copy, as a replica does that is behind.
    pub fn set_old_reads(&self, old_reads: OldReads) {
        *serving::lock(&self.old_reads) = old_reads;
    }

    /// A page of a list, as the replica has it that answers.
    fn page(&self, after: &str, prefix: &str, may_be_stale: bool) -> Value {
        let state = self.lock();
        let is_old = may_be_stale
            && match *serving::lock(&self.old_reads) {
                OldReads::None => false,
                OldReads::LaterPages => !after.is_empty(),
                OldReads::All => true,
            };
        let replica = state.copy.as_deref().filter(|_| is_old);
        let most = self.page_items.load(Ordering::Relaxed);
        let read_value = |key: &str, stored: &str| self.read_value(key, stored);
        replica
            .unwrap_or(&state)
            .range(prefix, after, most, &read_value)
    }

    /// The next write gets no answer, and is carried out after `delay` if its condition and its lease
    /// hold then. Several delays apply to as many writes, in turn.
    pub fn delay_write(&self, delay: Duration) {
        serving::lock(&self.late_writes).push_back(delay);
    }

    /// The stored form of a key's value as callers at this address read it. What operators write names no
    /// addresses, and may be long.
    fn read_value(&self, key: &str, stored: &str) -> String {
        if key.starts_with(OPERATORS_PREFIX) {
            return stored.to_owned();
        }
        let substitutes = serving::lock(&self.substitutes);
        let decoded = STANDARD.decode(stored).ok();
        let text = decoded.and_then(|bytes| String::from_utf8(bytes).ok());
        let (Some(text), false) = (text, substitutes.is_empty()) else {
            return stored.to_owned();
        };
        let replaced = substitutes
            .iter()
            .fold(text, |text, (from, to)| text.replace(from, to));
        STANDARD.encode(replaced)
    }

    fn fault(&self) -> StoreFault {
        *serving::lock(&self.fault)
    }

    /// Number of calls received, refused ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes a key without a lease, in place of an operator or a target.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes a key like [`Self::put`], with a value that need not be JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.lock().put(key, STANDARD.encode(value), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    /// Removes all keys under a prefix, as the expiry of their leases does.
    pub fn expire_keys(&self, prefix: &str) {
        let mut state = self.lock();
        let keys: Vec<String> = state.items.keys().cloned().collect();
        for key in keys.iter().filter(|key| key.starts_with(prefix)) {
            state.remove(key);
        }
    }

    /// Drops the history, so that watches from an older revision fail with 410 and their callers
    /// have to read all keys again.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted_revision = state.revision;
    }

    /// Copies the store as it is now.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = None;
        state.copy = Some(Box::new(state.clone()));
    }

    /// Returns to the last copy, in a new epoch: what was written since is gone, leases too, and
    /// revisions are given out again.
    ///
    /// # Panics
    /// Panics without a copy.
    pub fn restore(&self) {
        let mut state = self.lock();
        let copy = state.copy.clone().expect("a copy was made");
        let (epoch, last_lease) = (state.epoch + 1, state.last_lease);
        *state = StoreState {
            last_lease,
            epoch,
            ..*copy
        };
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let stored = self.lock().items.get(key).map(|item| item.value.clone())?;
        STANDARD.decode(stored).ok()
    }

    async fn serve(self, stream: TcpStream) {
        let mut reader = ConnectionReader::new(stream.clone());
        let mut output = stream;
        while let Ok(Some(head)) = reader.request_head(MAX_MESSAGE_BYTES).await {
            let Ok(framing) = head.framing() else { return };
            let Ok(body) = reader.body(framing, MAX_MESSAGE_BYTES).await else {
                return;
            };
            let (status, response) = self.respond(&head, &body).await;
            let mut fields = FieldList::default();
            fields.push("Store-Era", self.lock().epoch.to_string());
            let bytes = write::response(status, &fields, response.as_bytes(), false);
            let rate = self.rate.load(Ordering::Relaxed);
            for part in bytes.chunks(WRITE_BYTES) {
                if output.write_all(part).await.is_err() {
                    return;
                }
                if rate > 0 {
                    task::sleep(Duration::from_secs_f64(part.len() as f64 / rate as f64)).await;
                }
            }
        }
    }

    async fn respond(&self, head: &RequestHead, body: &[u8]) -> (u16, String) {
        self.lock().calls += 1;
        match self.fault() {
            StoreFault::Off | StoreFault::Stalled => {}
            StoreFault::Unavailable => return (503, String::new()),
            StoreFault::Silent => return futures::future::pending().await,
        }
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let parameter = |name: &str| {
            url::form_urlencoded::parse(query.as_bytes())
                .find(|(key, _)| key == name)
                .map(|(_, value)| value.into_owned())
                .unwrap_or_default()
        };
        match (head.method.as_str(), path) {
            ("GET", "/api/kv-range") => {
                let may_be_stale = parameter("serializable") == "1";
                let page = self.page(&parameter("after"), &parameter("prefix"), may_be_stale);
                (200, page.to_string())
            }
            ("GET", "/api/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(&parameter("prefix"), after, wait).await
            }
            ("POST", "/api/kv-txn") => {
                let delay = serving::lock(&self.late_writes).pop_front();
                if let Some(delay) = delay {
                    task::sleep(delay).await;
                    self.transaction(body);
                    return futures::future::pending().await;
                }
                self.transaction(body)
            }
            ("POST", "/api/kv-lease") => self.grant(body),
            ("POST", path) if path.starts_with(RENEW_PATH) => {
                let id = path.strip_prefix(RENEW_PATH).and_then(|id| id.parse().ok());
                match self.lock().renew(id.unwrap_or(0)) {
                    true => (200, "{}".to_owned()),
                    false => (404, String::new()),
                }
            }
            ("DELETE", path) => match path.strip_prefix("/api/kv-lease-end/") {
                Some(id) => self.revoke_lease(id.parse().unwrap_or(0)),
                None => (404, String::new()),
            },
            _ => (404, String::new()),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let started = Instant::now();
        loop {
            match self.fault() {
                StoreFault::Off => {}
                StoreFault::Stalled => return futures::future::pending().await,
                StoreFault::Unavailable | StoreFault::Silent => return (503, String::new()),
            }
            {
                let state = self.lock();
                if after < state.compacted_revision || after > state.revision {
                    return (410, String::new());
                }
                let events =
                    state.events(prefix, after, &|key, stored| self.read_value(key, stored));
                if !events.is_empty() || started.elapsed() >= wait {
                    let revision = state.revision;
                    let response = json!({"events": events, "store_revision": revision});
                    return (200, response.to_string());
                }
            }
            task::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    /// Applies the puts of a transaction if its preconditions and leases hold.
    fn transaction(&self, body: &[u8]) -> (u16, String) {
        let Ok(transaction) = serde_json::from_slice::<Value>(body) else {
            return (400, String::new());
        };
        let mut state = self.lock();
        let conditions = transaction["precondition"].as_array().into_iter().flatten();
        let found = conditions.map(|condition| {
            let key = condition["key"].as_str().unwrap_or_default();
            let item = state.items.get(key);
            let is_met = item.map_or(0, |item| item.revision) == condition["revision"];
            (
                is_met,
                item.map(|item| state::item_body(key, item, &|_, stored| stored.to_owned())),
            )
        });
        let found: Vec<(bool, Option<Value>)> = found.collect();
        if found.iter().any(|(is_met, _)| !is_met) {
            let items: Vec<&Value> = found.iter().filter_map(|(_, item)| item.as_ref()).collect();
            return (412, json!({ "items": items }).to_string());
        }
        let puts = transaction["put_ops"].as_array().into_iter().flatten();
        let puts: Vec<(&str, &str, u64)> = puts
            .map(|put| {
                let text = |name: &str| put[name].as_str().unwrap_or_default();
                (
                    text("key"),
                    text("value"),
                    put["lease"].as_u64().unwrap_or(0),
                )
            })
            .collect();
        let is_gone = |lease: u64| lease != 0 && !state.leases.contains_key(&lease);
        if puts.iter().any(|(_, _, lease)| is_gone(*lease)) {
            return (404, String::new());
        }
        for (key, value, lease) in puts {
            state.put(key, value.to_owned(), lease);
        }
        (200, json!({"revision": state.revision}).to_string())
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let request: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(ttl) = request["ttl_s_time"].as_f64() else {
            return (400, String::new());
        };
        let id = self.lock().grant(Duration::from_secs_f64(ttl));
        let response = json!({"lease": id, "ttl_s_time": ttl});
        (200, response.to_string())
    }

    fn revoke_lease(&self, lease: u64) -> (u16, String) {
        self.lock().revoke(lease);
        (200, "{}".to_owned())
    }
}
