//! A client: asks the directory where to connect, and sends requests (PROTOCOL.md, "Ingress",
//! "Requests").

use crate::backend;
use crate::http::{Connection, Failure, Message};
use crate::record::Record;
use crate::wire;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub const HOST: &str = "jepu9.example";
pub const KEY: &str = "tnfzs989anu6wsjnbanf";
/// A key of the same customer, for cases that withdraw it.
pub const LATER_WITHDRAWN_KEY: &str = "qasnmgkcuyj8pjbvk9m6";
/// How long a client waits for one answer of the directory, and for a connection.
const ONE_SECOND: Duration = Duration::from_secs(1);

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// A request to send.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
    /// Whole header lines, each with its end.
    pub extra: &'a str,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A success with the signature and the backend's whole body.
    Served,
    /// Any other complete answer.
    Status(u16),
    /// A success without the signature or with another body.
    Wrong,
    /// No connection was made.
    NoConnection,
    /// The connection ended without a complete answer.
    Closed,
    /// No complete answer before the deadline.
    Late,
}

pub fn new_attempt() -> String {
    format!("a{:06}", ATTEMPTS.fetch_add(1, Ordering::Relaxed) + 1)
}

/// Asks up to three daemons where to connect; `None` if none gives addresses.
pub fn resolve(record: &Record, directories: &[SocketAddr], region: &str, zone: &str) -> Option<Vec<SocketAddr>> {
    for address in directories.iter().take(3) {
        let answer = ask(*address, region, zone);
        let addresses: Vec<SocketAddr> = match &answer {
            Ok(answer) if answer.status() == 200 => addresses(&answer.text()),
            _ => Vec::new(),
        };
        let seen = match &answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.text().trim_end()),
            Err(failure) => format!("{failure:?}"),
        };
        record.line(format!("look-up for {zone} at {address}: {seen}"));
        if !addresses.is_empty() {
            return Some(addresses);
        }
    }
    None
}

fn ask(address: SocketAddr, region: &str, zone: &str) -> Result<Message, Failure> {
    let until = Instant::now() + ONE_SECOND;
    let mut connection = Connection::open(address, ONE_SECOND).ok_or(Failure::Closed)?;
    let call = format!(
        "GET /api/resolve?name={HOST}&region={region}&zone={zone} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    );
    match connection.send(call.as_bytes()) {
        true => connection.read(Some(until)),
        false => Err(Failure::Closed),
    }
}

fn addresses(body: &str) -> Vec<SocketAddr> {
    let list = body.split_once("\"addresses\":[").map_or("", |(_, rest)| rest);
    let list = list.split(']').next().unwrap_or_default();
    let texts = list.split(',').map(|text| text.trim().trim_matches('"'));
    texts.filter_map(|text| text.parse().ok()).collect()
}

/// The bytes of a request.
pub fn encode(request: &Request<'_>, attempt: &str) -> Vec<u8> {
    let Request { method, target, key, deadline, body, extra } = request;
    let millis = deadline.as_millis();
    let (id_name, deadline_name) = (wire::name("attempt-id"), wire::name("deadline"));
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{id_name}: {attempt}\r\n{deadline_name}: {millis}\r\nAuthorization: Token {key}\r\n{extra}"
    );
    if !body.is_empty() || *method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// What an answer to an attempt amounts to.
pub fn judge(answer: &Result<Message, Failure>, attempt: &str) -> Outcome {
    match answer {
        Ok(answer) if (200..300).contains(&answer.status()) => {
            let is_signed = answer.field(wire::name("signature")).is_some();
            match is_signed && answer.body == backend::body_of(attempt) {
                true => Outcome::Served,
                false => Outcome::Wrong,
            }
        }
        Ok(answer) => Outcome::Status(answer.status()),
        Err(Failure::Closed) => Outcome::Closed,
        Err(Failure::Late) => Outcome::Late,
    }
}

/// Sends a request on a new connection; also returns how long it took.
pub fn send(record: &Record, address: SocketAddr, request: &Request<'_>) -> (Outcome, Duration) {
    let attempt = new_attempt();
    let started = Instant::now();
    let Some(mut connection) = Connection::open(address, ONE_SECOND) else {
        record.line(format!("{attempt} to {address}: no connection"));
        return (Outcome::NoConnection, started.elapsed());
    };
    let until = Instant::now() + request.deadline;
    let is_sent = connection.send(&encode(request, &attempt));
    let answer = match is_sent {
        true => connection.read(Some(until)),
        false => Err(Failure::Closed),
    };
    let (outcome, taken) = (judge(&answer, &attempt), started.elapsed());
    record.line(format!(
        "{attempt} {} {} to {address}: {outcome:?} after {} ms",
        request.method,
        request.target,
        taken.as_millis()
    ));
    (outcome, taken)
}
