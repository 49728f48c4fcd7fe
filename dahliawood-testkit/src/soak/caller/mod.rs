//! Callers that keep connections open, and write down what became of each request.

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

/// The key of the customer whose limit is not reached.
pub const LARGE_KEY: &str = "key-large";
/// The key of the customer whose limit is passed all the time.
pub const SMALL_KEY: &str = "key-small";
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// What it tells the VM of that.
const DEADLINE_MS: &str = "2000";
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest pause between two requests, milliseconds.
const PAUSE_MS: u64 = 30;
/// The share of requests that targets work on for longer.
const SLOW_SHARE: f64 = 0.05;
/// The longest answer, bytes.
const MESSAGE_BYTES: usize = 1 << 20;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// With an answer.
    Answer {
        /// Its status.
        status: u16,
        /// Whether its body is the one for this request.
        is_own: bool,
    },
    /// The connection ended.
    Closed,
    /// Nothing came in time.
    TimedOut,
    /// No connection was made.
    NotSent,
}

/// One request.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// Its path, which no other request has.
    pub path: String,
    /// Whether it may run once at most.
    pub is_write: bool,
    /// Whether it is of the customer with the small limit.
    pub is_small: bool,
    /// The VM that it was sent to.
    pub vm: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: CallerEnd,
}

impl CallerRecord {
    /// Whether it was answered with success.
    pub fn is_served(&self) -> bool {
        matches!(self.end, CallerEnd::Answer { status: 200, .. })
    }
}

/// A caller with one connection to each VM.
pub struct SoakCaller {
    random: StdRng,
    index: usize,
    fronts: Vec<SocketAddr>,
    connections: Vec<Option<Connection>>,
}

/// A connection with one request at a time.
pub(super) struct Connection {
    stream: TcpStream,
    reader: ConnectionReader<TcpStream>,
}

impl SoakCaller {
    /// A caller that sends nothing yet.
    pub fn new(seed: u64, index: usize, fronts: Vec<SocketAddr>) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed ^ (index as u64 + 1) << 32),
            index,
            connections: fronts.iter().map(|_| None).collect(),
            fronts,
        }
    }

    /// Sends requests until a time, and answers what became of them.
    pub async fn run(mut self, until: Instant) -> Vec<CallerRecord> {
        let mut records = Vec::new();
        while Instant::now() < until {
            let pause = self.random.random_range(0..PAUSE_MS);
            task::sleep(Duration::from_millis(pause)).await;
            let record = self.request(records.len()).await;
            records.push(record);
        }
        records
    }

    async fn request(&mut self, count: usize) -> CallerRecord {
        let is_write = self.random.random_bool(0.4);
        let is_small = self.random.random_bool(0.2);
        let vm = self.random.random_range(0..self.fronts.len());
        let kind = if is_write { "write" } else { "read" };
        let pace = if self.random.random_bool(SLOW_SHARE) {
            "slow"
        } else {
            "quick"
        };
        let path = format!("/{kind}/echo/{pace}/{}-{count}", self.index);
        let sent = Instant::now();
        let end = timeout(PATIENCE, self.exchange(vm, &path, is_write, is_small)).await;
        let end = end.unwrap_or(CallerEnd::TimedOut);
        if end == CallerEnd::TimedOut {
            self.connections[vm] = None;
        }
        CallerRecord {
            path,
            is_write,
            is_small,
            vm,
            sent,
            ended: Instant::now(),
            end,
        }
    }

    async fn exchange(
        &mut self,
        vm: usize,
        path: &str,
        is_write: bool,
        is_small: bool,
    ) -> CallerEnd {
        let mut connection = match self.connections[vm].take() {
            Some(connection) => connection,
            None => match connect(self.fronts[vm]).await {
                Some(connection) => connection,
                None => return CallerEnd::NotSent,
            },
        };
        let object = self.random.random_range(0..40_u32);
        let bytes = message(path, object, is_write, is_small);
        let Some((head, body)) = connection.exchange(&bytes).await else {
            return CallerEnd::Closed;
        };
        self.connections[vm] = (!head.says_close()).then_some(connection);
        CallerEnd::Answer {
            status: head.status,
            is_own: body == path.as_bytes(),
        }
    }
}

/// Connects, `None` where that fails or takes long.
pub(super) async fn connect(address: SocketAddr) -> Option<Connection> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    let reader = ConnectionReader::new(stream.clone());
    Some(Connection { stream, reader })
}

fn message(path: &str, object: u32, is_write: bool, is_small: bool) -> Vec<u8> {
    let key = if is_small { SMALL_KEY } else { LARGE_KEY };
    let mut fields = FieldList::default();
    fields.push("Host", "host.example");
    fields.push("X-Dahliawood-Attempt-Id", path);
    fields.push("X-Dahliawood-Deadline-Ms", DEADLINE_MS);
    let object = format!("X-Dahliawood-Affinity-Key={object}");
    fields.push("Cookie", object);
    fields.push("Authorization", format!("Token {key}"));
    match is_write {
        true => write::request("POST", path, &fields, path.as_bytes()),
        false => write::request("GET", path, &fields, b""),
    }
}

impl Connection {
    /// Sends a request and reads the answer, `None` where the connection ends before that.
    pub(super) async fn exchange(&mut self, request: &[u8]) -> Option<(ResponseHead, Vec<u8>)> {
        self.stream.write_all(request).await.ok()?;
        let head = self.reader.response_head(MESSAGE_BYTES).await.ok()??;
        let framing = head.framing("GET").ok()?;
        let body = self.reader.body(framing, MESSAGE_BYTES).await.ok()?;
        Some((head, body))
    }
}
