//! The platform's store: keys with revisions, leases and watches, as PROTOCOL.md describes them.

use crate::http::{self, Head};
use crate::json::Json;
use crate::names;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change: the revision, the key, and the item unless the key was removed.
type Change = (u64, String, Option<Item>);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port of loopback.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a backend does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(&names::fill(key), encode_base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended = state
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id);
        let ended: Vec<u64> = ended.collect();
        ended.into_iter().for_each(|lease| state.end_lease(lease));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut input) {
            let Ok(body) = http::read_body(&mut input, head.length().unwrap_or(0)) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let response = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if output.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.target();
        let path = target.split('?').next().unwrap_or_default();
        let body = Json::parse(body).unwrap_or(Json::Null);
        let lease = || {
            path.rsplit('/')
                .next()
                .and_then(|id| id.parse().ok())
                .unwrap_or(0_u64)
        };
        match (head.method(), names::shorten(path).as_str()) {
            ("GET", "@key") => self.key(target),
            ("GET", "@range") => self.range(target),
            ("GET", "@watch") => self.watch(target),
            ("POST", "@change") => self.change(&body),
            ("POST", "@grant") => self.grant(&body),
            ("POST", path) if path.starts_with("@renew/") => self.keep(lease()),
            ("DELETE", path) if path.starts_with("@end/") => {
                self.state.0.lock().unwrap().end_lease(lease());
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, target: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = http::parameter(target, "key").unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let text = item_text(&key, Some(item), item.revision);
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{},\"store_revision\":{revision}}}",
                        text.trim_end_matches('}')
                    ),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, target: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let prefix = http::parameter(target, "prefix").unwrap_or_default();
        let after = http::parameter(target, "after").unwrap_or_default();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items
            .map(|(key, item)| item_text(key, Some(item), item.revision))
            .collect();
        let items = items.join(",");
        let revision = state.revision;
        (
            200,
            format!("{{\"items\":[{items}],\"more_pages\":false,\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, target: &str) -> (u16, String) {
        let number = |name| http::parameter(target, name).and_then(|text| text.parse().ok());
        let prefix = http::parameter(target, "prefix").unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes =
                changes.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let changes: Vec<String> = changes
                .map(|(revision, key, item)| item_text(key, item.as_ref(), *revision))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (changes, revision) = (changes.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{changes}],\"store_revision\":{revision}}}"),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let list = |name| body.get(name).map_or(&[][..], Json::items);
        let text = |row: &Json, name| {
            row.get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let number = |row: &Json, name| row.get(name).and_then(Json::number).unwrap_or(0.0) as u64;
        let mut state = self.state.0.lock().unwrap();
        let current =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let is_met = list("precondition")
            .iter()
            .all(|row| current(&state, &text(row, "key")) == number(row, "revision"));
        if !is_met {
            let keys = list("precondition").iter().map(|row| text(row, "key"));
            let items = keys.filter_map(|key| {
                let item = state.items.get(&key)?;
                Some(item_text(&key, Some(item), item.revision))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let leases = list("put_ops").iter().map(|row| number(row, "lease"));
        if leases
            .filter(|lease| *lease != 0)
            .any(|lease| !state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if list("put_ops")
            .iter()
            .any(|row| is_reserved(&text(row, "key")))
        {
            return (403, "{}".to_owned());
        }
        state.revision += 1;
        for row in list("put_ops") {
            state.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
        }
        for key in list("delete_keys") {
            state.remove(key.text().unwrap_or_default());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let seconds = body
            .get("ttl_s_time")
            .and_then(Json::number)
            .unwrap_or(1.0)
            .clamp(1.0, 600.0);
        let length = Duration::from_secs_f64(seconds);
        let mut state = self.state.0.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        state
            .leases
            .insert(lease, (length, Instant::now() + length));
        (
            200,
            format!("{{\"lease\":{lease},\"ttl_s_time\":{seconds}}}"),
        )
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((length, end)) => {
                *end = Instant::now() + *length;
                (200, format!("{{\"ttl_s_time\":{}}}", length.as_secs_f64()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

fn item_text(key: &str, item: Option<&Item>, revision: u64) -> String {
    match item {
        Some(item) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"create_rev\":{},\"lease\":{}}}",
            item.value, item.created, item.lease
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

/// Encodes bytes as standard base64 with padding.
fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char;
            let _ = write!(text, "{}", if place <= group.len() { digit } else { '=' });
        }
    }
    text
}
