//! The platform's metadata store: keys, revisions, leases and watches (PROTOCOL.md, "The platform's
//! metadata store"). It can lose answers to writes and carry these writes out later.

use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::wire;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long the store keeps its history (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);

/// What becomes of a write call of a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteFate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out so much later, and never answered.
    Late(Duration),
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    create_rev: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// When, revision, key, and the item unless it was removed.
    history: VecDeque<(Instant, u64, String, Option<Item>)>,
    /// The revision up to which the history was discarded.
    discarded: u64,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

type Fate = Box<dyn Fn(&str) -> WriteFate + Send + Sync>;

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    fate: Mutex<Fate>,
    record: Arc<Record>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let create_rev = self.items.get(key).map_or(self.revision, |item| item.create_rev);
        let item = Item { value, revision: self.revision, create_rev, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push_back((Instant::now(), self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) -> bool {
        let is_known = self.items.remove(key).is_some();
        if is_known {
            self.revision += 1;
            self.history.push_back((Instant::now(), self.revision, key.to_owned(), None));
        }
        is_known
    }

    /// Ends a lease, and returns the keys that went with it.
    fn end_lease(&mut self, id: u64) -> Vec<String> {
        self.leases.remove(&id);
        let attached = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
        keys
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, create_rev, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{create_rev},"lease":{lease}}}"#
    )
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = State { revision: 100, discarded: 100, ..State::default() };
        let store = Arc::new(Self {
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
            fate: Mutex::new(Box::new(|_| WriteFate::Answered)),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Decides what becomes of daemons' writes of a key from now on.
    pub fn set_fate(&self, fate: impl Fn(&str) -> WriteFate + Send + Sync + 'static) {
        *self.fate.lock().unwrap_or_else(|error| error.into_inner()) = Box::new(fate);
    }

    /// A write of the operator or of a backend.
    pub fn put(&self, key: &str, text: &str) {
        self.lock().put(key, http::base64(text.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// The keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let over = state.leases.iter().filter(|(_, (_, until))| *until <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        while state.history.front().is_some_and(|(at, ..)| at.elapsed() > HISTORY) {
            if let Some((_, revision, ..)) = state.history.pop_front() {
                state.discarded = revision;
            }
        }
        for id in over {
            let keys = state.end_lease(id);
            self.record.line(format!("store: lease {id} has run out, with its keys {keys:?}"));
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(None) {
            let Some((status, body)) = self.answer(&request) else {
                // The answer is lost, and this connection returns nothing further.
                while connection.read(None).is_ok() {}
                return;
            };
            let fields = [("Content-Type", "application/json".to_owned()), (wire::name("epoch"), "1".to_owned())];
            if !connection.send(&http::response(status, &fields, body.as_bytes())) {
                return;
            }
        }
    }

    /// The answer to a call, `None` if it is lost.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let target = request.target();
        let path = target.split('?').next().unwrap_or_default();
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        let is = |name: &str| path == wire::name(name);
        Some(match request.method() {
            "GET" if is("range") => self.range(target),
            "GET" if is("watch") => self.watch(target),
            "POST" if is("change") => return self.write(&request.text()),
            "POST" if is("grant") => self.grant(&request.text()),
            "POST" if path.starts_with(wire::name("renew")) => self.keep(id(wire::name("renew"))),
            "DELETE" => {
                let keys = self.lock().end_lease(id(wire::name("end")).unwrap_or(0));
                self.record.line(format!("store: a lease is ended, with its keys {keys:?}"));
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        })
    }

    fn range(&self, target: &str) -> (u16, String) {
        let prefix = http::parameter(target, "prefix").unwrap_or_default();
        let state = self.lock();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"more_pages":false,"store_revision":{revision}}}"#))
    }

    fn watch(&self, target: &str) -> (u16, String) {
        let number = |name| http::parameter(target, name).and_then(|text| text.parse::<u64>().ok());
        let prefix = http::parameter(target, "prefix").unwrap_or_default();
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            if after < state.discarded {
                return (410, "{}".to_owned());
            }
            let newer = state.history.iter().filter(|(_, revision, _, _)| *revision > after);
            let newer = newer.filter(|(_, _, key, _)| key.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(_, revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }

    fn write(&self, body: &str) -> Option<(u16, String)> {
        let key = http::json_text(body, "key").unwrap_or_default();
        let value = http::json_text(body, "value").unwrap_or_default();
        let lease = http::json_number(body, "lease").unwrap_or(0.0) as u64;
        let fate = {
            let fate = self.fate.lock().unwrap_or_else(|error| error.into_inner());
            fate(&key)
        };
        if let WriteFate::Late(delay) = fate {
            self.record.line(format!("store: the answer to a write of {key} with lease {lease} is lost"));
            thread::sleep(delay);
            let answer = self.apply(&key, value, lease);
            self.record.line(format!(
                "store: the write of {key} with lease {lease} is carried out {delay:?} late: {}",
                answer.0
            ));
            return None;
        }
        let answer = self.apply(&key, value, lease);
        self.record.line(format!("store: write of {key} with lease {lease}: {}", answer.0));
        Some(answer)
    }

    fn apply(&self, key: &str, value: String, lease: u64) -> (u16, String) {
        let mut state = self.lock();
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        state.put(key, value, lease);
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }

    fn grant(&self, body: &str) -> (u16, String) {
        let ttl = http::json_number(body, "ttl_s_time").unwrap_or(1.0);
        let mut state = self.lock();
        state.last_lease += 1;
        let (id, length) = (state.last_lease, Duration::from_secs_f64(ttl));
        state.leases.insert(id, (length, Instant::now() + length));
        self.record.line(format!("store: lease {id} granted for {ttl} s"));
        (200, format!(r#"{{"lease":{id},"ttl_s_time":{ttl}}}"#))
    }

    fn keep(&self, id: Option<u64>) -> (u16, String) {
        let mut state = self.lock();
        let Some((ttl, until)) = state.leases.get_mut(&id.unwrap_or(0)) else {
            return (404, "{}".to_owned());
        };
        *until = Instant::now() + *ttl;
        (200, format!(r#"{{"ttl_s_time":{}}}"#, ttl.as_secs_f64()))
    }
}
