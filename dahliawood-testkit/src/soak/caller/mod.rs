//! The callers of the soak: they keep connections open and record the outcome of each request.

use crate::soak::configuration::{EXTRAS, ROUTES, SoakKey, SoakRoute};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::head::ResponseHead;
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::io::AsyncWriteExt;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The deadline that a request states to the VM, milliseconds; shorter than [`RESPONSE_TIMEOUT`].
const DEADLINE_MS: &str = "2000";
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection may be idle and be used again: four fifths of the limit where the configuration
/// has none.
const KEPT_TIME: Duration = Duration::from_secs(12);
/// Upper bound of the random pause between two requests, milliseconds.
const MAX_PAUSE_MS: u64 = 30;
/// Share of requests to write, of those with the key of the small customer, and of those on routes, and
/// with keys, that some versions lack.
const WRITE_SHARE: f64 = 0.4;
const SMALL_SHARE: f64 = 0.2;
const EXTRA_SHARE: f64 = 0.15;
/// Share of requests that take longer at the target.
const SLOW_SHARE: f64 = 0.05;
/// Upper bound on the head and on the body of a response, bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response arrived.
    Response {
        /// Status of the response.
        status: u16,
        /// Whether the body belongs to this request: the target echoes the request's path.
        has_own_body: bool,
    },
    /// The connection closed before the response was complete.
    Closed,
    /// No complete response arrived in time.
    TimedOut,
    /// No connection was made, so nothing was sent.
    NotSent,
}

/// A request with its outcome.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Path, unique for each request.
    pub path: String,
    /// Whether the request is not idempotent and so may run at most once.
    pub is_write: bool,
    /// The route that matches the path.
    pub route: SoakRoute,
    /// The API key.
    pub key: SoakKey,
    /// Index of the VM that the request was sent to.
    pub vm: usize,
    /// When the connection was made that carried it, `None` if none was.
    pub connected: Option<Instant>,
    /// When the caller began to send the request.
    pub sent: Instant,
    /// When the caller had the outcome.
    pub ended: Instant,
    /// The outcome.
    pub outcome: RequestOutcome,
}

impl CallerRecord {
    /// Whether every version allows the request, and no limit is reached.
    pub fn is_always_allowed(&self) -> bool {
        !matches!(self.route, SoakRoute::Extra(_)) && self.key == SoakKey::Large
    }

    /// Whether the request was answered with status 200.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, RequestOutcome::Response { status: 200, .. })
    }
}

/// A caller that keeps at most one open connection to each VM.
pub struct SoakCaller {
    rng: StdRng,
    index: usize,
    fronts: Vec<SocketAddr>,
    connections: Vec<Option<Connection>>,
    /// When the latest connection to each VM was made.
    connected: Vec<Option<Instant>>,
}

/// A connection that carries one request at a time.
pub(super) struct Connection {
    stream: TcpStream,
    reader: ConnectionReader<TcpStream>,
    /// When it was made or carried a response last.
    used: Instant,
}

impl SoakCaller {
    /// Creates a caller. Its requests are drawn from the seed and its index.
    pub fn new(seed: u64, index: usize, fronts: Vec<SocketAddr>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32),
            index,
            connections: fronts.iter().map(|_| None).collect(),
            connected: vec![None; fronts.len()],
            fronts,
        }
    }

    /// Sends requests until a time and returns their records.
    pub async fn run(mut self, until: Instant) -> Vec<CallerRecord> {
        let mut records = Vec::new();
        while Instant::now() < until {
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            task::sleep(Duration::from_millis(pause)).await;
            let record = self.request(records.len()).await;
            records.push(record);
        }
        records
    }

    async fn request(&mut self, count: usize) -> CallerRecord {
        let (route, key) = (self.draw_route(), self.draw_key());
        let is_write = matches!(route, SoakRoute::Write(_));
        let vm = self.rng.random_range(0..self.fronts.len());
        let pace = if self.rng.random_bool(SLOW_SHARE) {
            "slow"
        } else {
            "quick"
        };
        let prefix = route.prefix();
        let path = format!("{prefix}echo/{pace}/{}-{count}", self.index);
        let sent = Instant::now();
        let exchange = self.exchange(vm, &path, is_write, key);
        let outcome = timeout(RESPONSE_TIMEOUT, exchange).await;
        let outcome = outcome.unwrap_or(RequestOutcome::TimedOut);
        if outcome == RequestOutcome::TimedOut {
            self.connections[vm] = None;
        }
        CallerRecord {
            path,
            is_write,
            route,
            key,
            vm,
            connected: self.connected[vm],
            sent,
            ended: Instant::now(),
            outcome,
        }
    }

    fn draw_route(&mut self) -> SoakRoute {
        if self.rng.random_bool(EXTRA_SHARE) {
            return SoakRoute::Extra(self.rng.random_range(0..EXTRAS));
        }
        let place = self.rng.random_range(0..ROUTES);
        match self.rng.random_bool(WRITE_SHARE) {
            true => SoakRoute::Write(place),
            false => SoakRoute::Read(place),
        }
    }

    fn draw_key(&mut self) -> SoakKey {
        if self.rng.random_bool(SMALL_SHARE) {
            return SoakKey::Small;
        }
        match self.rng.random_bool(EXTRA_SHARE) {
            true => SoakKey::Extra(self.rng.random_range(0..EXTRAS)),
            false => SoakKey::Large,
        }
    }

    /// Connects to a VM, and records when.
    async fn connect(&mut self, vm: usize) -> Option<Connection> {
        self.connected[vm] = None;
        let connection = connect(self.fronts[vm]).await?;
        self.connected[vm] = Some(Instant::now());
        Some(connection)
    }

    async fn exchange(
        &mut self,
        vm: usize,
        path: &str,
        is_write: bool,
        key: SoakKey,
    ) -> RequestOutcome {
        let kept = self.connections[vm].take();
        let kept = kept.filter(|kept| kept.used.elapsed() < KEPT_TIME);
        let mut connection = match kept {
            Some(connection) => connection,
            None => match self.connect(vm).await {
                Some(connection) => connection,
                None => return RequestOutcome::NotSent,
            },
        };
        let affinity_key = self.rng.random_range(0..40_u32);
        let bytes = encode_request(path, affinity_key, is_write, key);
        let Some((head, body)) = connection.exchange(&bytes).await else {
            return RequestOutcome::Closed;
        };
        self.connections[vm] = (!head.says_close()).then_some(connection);
        RequestOutcome::Response {
            status: head.status,
            has_own_body: body == path.as_bytes(),
        }
    }
}

/// Connects; `None` where that fails or takes longer than [`CONNECT_TIMEOUT`].
pub(super) async fn connect(address: SocketAddr) -> Option<Connection> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    let reader = ConnectionReader::new(stream.clone());
    let used = Instant::now();
    Some(Connection {
        stream,
        reader,
        used,
    })
}

fn encode_request(path: &str, affinity_key: u32, is_write: bool, key: SoakKey) -> Vec<u8> {
    let mut fields = FieldList::default();
    fields.push("Host", "host.example");
    fields.push("X-Dahliawood-Attempt-Id", path);
    fields.push("X-Dahliawood-Deadline-Ms", DEADLINE_MS);
    let affinity_key = format!("X-Dahliawood-Affinity-Key={affinity_key}");
    fields.push("Cookie", affinity_key);
    fields.push("Authorization", format!("Token {}", key.text()));
    match is_write {
        true => write::request("POST", path, &fields, path.as_bytes()),
        false => write::request("GET", path, &fields, b""),
    }
}

impl Connection {
    /// Sends a request and reads the response; `None` where the connection fails or closes first.
    pub(super) async fn exchange(&mut self, request: &[u8]) -> Option<(ResponseHead, Vec<u8>)> {
        self.stream.write_all(request).await.ok()?;
        let head = self.reader.response_head(MAX_MESSAGE_BYTES).await.ok()??;
        let framing = head.framing("GET").ok()?;
        let body = self.reader.body(framing, MAX_MESSAGE_BYTES).await.ok()?;
        self.used = Instant::now();
        Some((head, body))
    }
}
