//! A backend: registers itself in the store and runs requests (PROTOCOL.md, "Backends", "Service
//! discovery").

use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::store::Store;
use crate::wire;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often a backend writes its entry (`heartbeat_s`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Slots of a backend.
const SLOTS: usize = 9;

/// A request that a backend ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub target: String,
    pub method: String,
}

pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    work: Duration,
    born: u128,
    running: AtomicUsize,
    beats: AtomicU64,
    is_draining: AtomicBool,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

/// The body of the answer to an attempt.
pub fn body_of(attempt: &str) -> Vec<u8> {
    format!("the answer to {attempt}\n").into_bytes()
}

impl Backend {
    pub fn start(
        record: &Arc<Record>,
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis());
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().map_err(|error| error.to_string())?,
            work,
            born,
            running: AtomicUsize::new(0),
            beats: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = Arc::clone(&accepting);
                thread::spawn(move || backend.serve(Connection::new(stream)));
            }
        });
        let (beating, store) = (Arc::clone(&backend), Arc::clone(store));
        thread::spawn(move || {
            loop {
                store.put(&beating.key(), &beating.entry());
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(backend)
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Reports that the backend is leaving; it goes on serving.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::Relaxed);
        store.put(&self.key(), &self.entry());
    }

    /// The entry of the next heartbeat.
    pub fn entry(&self) -> String {
        let state = match self.is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        let Self { address, service, zone, born, .. } = self;
        format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{SLOTS}}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_s":0}}}}"#
        )
    }

    /// Heartbeats written so far.
    pub fn beats(&self) -> u64 {
        self.beats.load(Ordering::Relaxed)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|error| error.into_inner()).clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(None) {
            let bytes = self.respond(&request);
            if !connection.send(&bytes) {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let field = |name: &str| request.field(name).unwrap_or_default().to_owned();
        let attempt = field(wire::name("attempt-id"));
        let mut fields = vec![(wire::name("attempt-id"), attempt.clone())];
        let expected = request.field(wire::name("expected-instance"));
        if expected.is_some_and(|expected| expected != self.id) {
            fields.push((wire::name("instance-id"), self.id.clone()));
            return http::response(421, &fields, b"");
        }
        if attempt.is_empty() {
            fields.push((wire::name("not-executed"), "1".to_owned()));
            return http::response(400, &fields, b"");
        }
        let at = self.record.now();
        let (method, target) = (request.method().to_owned(), request.target().to_owned());
        self.record.line(format!("{} runs {attempt}: {method} {target}", self.id));
        let run = Run { at, attempt: attempt.clone(), target, method };
        self.runs.lock().unwrap_or_else(|error| error.into_inner()).push(run);
        self.running.fetch_add(1, Ordering::Relaxed);
        thread::sleep(self.work);
        let running = self.running.fetch_sub(1, Ordering::Relaxed);
        fields.push((wire::name("signature"), format!("signature.{}.{attempt}", self.id)));
        fields.push((wire::name("load"), format!("{},0,{SLOTS}", running.min(SLOTS))));
        http::response(200, &fields, &body_of(&attempt))
    }
}
