//! A stand-in for the users' metadata store, by its published protocol, with faults.

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
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often a waiting call looks for changes.
const WAIT_POLL: Duration = Duration::from_millis(10);
/// Where leases are renewed.
const KEEP_PATH: &str = "/api/kv-keep/";
/// The longest message, bytes.
const MESSAGE_BYTES: usize = 1 << 20;

/// How the store treats its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehavior {
    /// It answers.
    #[default]
    Normal,
    /// It refuses every call with 503.
    Unavailable,
    /// It takes calls and never answers.
    Silent,
}

#[derive(Clone, Debug)]
struct StoredItem {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, StoredItem>,
    /// Each change in order: key, revision, and whether it was a removal.
    history: Vec<(String, u64, bool)>,
    /// The revision up to which the history was dropped.
    dropped: u64,
    revision: u64,
    /// Leases by id: how long they last, and when they lapse.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    calls: u64,
}

/// The store; clones share it.
#[derive(Clone, Debug)]
pub struct KeyspaceStore {
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    behavior: Arc<Mutex<StoreBehavior>>,
}

/// Starts a store on a free port of loopback.
///
/// # Errors
/// No port can be bound.
pub async fn start() -> io::Result<KeyspaceStore> {
    open(Arc::default()).await
}

/// Serves a state at a free port, with a behavior of its own.
async fn open(state: Arc<Mutex<StoreState>>) -> io::Result<KeyspaceStore> {
    let (listener, address) = serving::listen().await?;
    let store = KeyspaceStore {
        address,
        state,
        behavior: Arc::default(),
    };
    let served = store.clone();
    serving::accept(listener, move |stream| served.clone().serve(stream));
    Ok(store)
}

impl KeyspaceStore {
    /// The state, without the keys of leases that are over.
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        let mut state = serving::lock(&self.state);
        state.expire();
        state
    }

    /// The same store at another address, for callers that it treats in another way.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn second_address(&self) -> io::Result<Self> {
        open(Arc::clone(&self.state)).await
    }

    /// Sets how callers at this address are treated.
    pub fn set_behavior(&self, behavior: StoreBehavior) {
        *serving::lock(&self.behavior) = behavior;
    }

    fn behavior(&self) -> StoreBehavior {
        *serving::lock(&self.behavior)
    }

    /// Calls that came, refused ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes a key as the operator or a target does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// The same with any bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.lock().put(key, STANDARD.encode(value), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    /// Removes all keys under a prefix, as leases that lapse do.
    pub fn expire_keys(&self, prefix: &str) {
        let mut state = self.lock();
        let keys: Vec<String> = state.items.keys().cloned().collect();
        for key in keys.iter().filter(|key| key.starts_with(prefix)) {
            state.remove(key);
        }
    }

    /// Drops the history, so that waiting calls have to read anew.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.dropped = state.revision;
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    async fn serve(self, stream: TcpStream) {
        let mut reader = ConnectionReader::new(stream.clone());
        let mut output = stream;
        while let Ok(Some(head)) = reader.request_head(MESSAGE_BYTES).await {
            let Ok(framing) = head.framing() else { return };
            let Ok(body) = reader.body(framing, MESSAGE_BYTES).await else {
                return;
            };
            let (status, answer) = self.answer(&head, &body).await;
            let bytes = write::response(status, &FieldList::default(), answer.as_bytes(), false);
            if output.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, head: &RequestHead, body: &[u8]) -> (u16, String) {
        self.lock().calls += 1;
        match self.behavior() {
            StoreBehavior::Normal => {}
            StoreBehavior::Unavailable => return (503, String::new()),
            StoreBehavior::Silent => return futures::future::pending().await,
        }
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let argument = |name: &str| {
            url::form_urlencoded::parse(query.as_bytes())
                .find(|(key, _)| key == name)
                .map(|(_, value)| value.into_owned())
                .unwrap_or_default()
        };
        match (head.method.as_str(), path) {
            ("GET", "/api/kv-range") => (200, self.lock().range(&argument("prefix")).to_string()),
            ("GET", "/api/kv-watch") => {
                let after = argument("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(argument("wait_ms").parse().unwrap_or(0));
                self.watch(&argument("prefix"), after, wait).await
            }
            ("POST", "/api/kv-txn") => self.change(body),
            ("POST", "/api/kv-lease") => self.grant(body),
            ("POST", path) if path.starts_with(KEEP_PATH) => {
                let id = path.strip_prefix(KEEP_PATH).and_then(|id| id.parse().ok());
                match self.lock().keep(id.unwrap_or(0)) {
                    true => (200, "{}".to_owned()),
                    false => (404, String::new()),
                }
            }
            ("DELETE", path) => match path.strip_prefix("/api/kv-lease-end/") {
                Some(id) => self.end_lease(id.parse().unwrap_or(0)),
                None => (404, String::new()),
            },
            _ => (404, String::new()),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let started = Instant::now();
        loop {
            {
                let state = self.lock();
                if after < state.dropped {
                    return (410, String::new());
                }
                let events = state.events(prefix, after);
                if self.behavior() != StoreBehavior::Normal {
                    return (503, String::new());
                }
                if !events.is_empty() || started.elapsed() >= wait {
                    let revision = state.revision;
                    let answer = json!({"events": events, "store_revision": revision});
                    return (200, answer.to_string());
                }
            }
            task::sleep(WAIT_POLL).await;
        }
    }

    /// A change without conditions; the product makes no others.
    fn change(&self, body: &[u8]) -> (u16, String) {
        let Ok(change) = serde_json::from_slice::<Value>(body) else {
            return (400, String::new());
        };
        let mut state = self.lock();
        for put in change["put_ops"].as_array().into_iter().flatten() {
            let text = |name: &str| put[name].as_str().unwrap_or_default().to_owned();
            let lease = put["lease"].as_u64().unwrap_or(0);
            state.put(&text("key"), text("value"), lease);
        }
        (200, json!({"revision": state.revision}).to_string())
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let asked: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(length) = asked["ttl_s_time"].as_f64() else {
            return (400, String::new());
        };
        let id = self.lock().grant(Duration::from_secs_f64(length));
        let answer = json!({"lease": id, "ttl_s_time": length});
        (200, answer.to_string())
    }

    fn end_lease(&self, lease: u64) -> (u16, String) {
        self.lock().end(lease);
        (200, "{}".to_owned())
    }
}

impl StoreState {
    fn grant(&mut self, length: Duration) -> u64 {
        self.last_lease += 1;
        let lease = (length, Instant::now() + length);
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; false where there is none.
    fn keep(&mut self, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.is_some_and(|(length, until)| {
            *until = Instant::now() + *length;
            true
        })
    }

    /// Ends a lease with all its keys.
    fn end(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Ends the leases that nobody renewed.
    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end(id));
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = StoredItem {
            value,
            revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((key.to_owned(), revision, false));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((key.to_owned(), self.revision, true));
        }
    }

    fn range(&self, prefix: &str) -> Value {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<Value> = items.map(|(key, item)| item_body(key, item)).collect();
        json!({"items": items, "more_pages": false, "store_revision": self.revision})
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let news = self
            .history
            .iter()
            .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix));
        let event = |(key, revision, is_gone): &(String, u64, bool)| match self.items.get(key) {
            Some(item) if !is_gone && item.revision == *revision => Some(item_body(key, item)),
            _ if *is_gone => Some(json!({"key": key, "revision": revision, "tombstone": true})),
            _ => None,
        };
        news.filter_map(event).collect()
    }
}

fn item_body(key: &str, item: &StoredItem) -> Value {
    let (revision, lease) = (item.revision, item.lease);
    json!({
        "key": key, "value": item.value, "revision": revision,
        "create_rev": revision, "lease": lease,
    })
}
