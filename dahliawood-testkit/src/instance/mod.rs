//! A stand-in for a target of the users' platform: one that registers, checks whom a request is
//! meant for, names the try that it answers, and can be told to misbehave.

use crate::serving;
use async_std::net::TcpStream;
use async_std::task;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::head::RequestHead;
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::io::AsyncWriteExt;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The longest message, bytes.
const MESSAGE_BYTES: usize = 1 << 20;
/// Requests with this in their path are answered with it.
const ECHO_PATH: &str = "/echo/";
/// Requests with this in their path are worked on for longer.
const SLOW_PATH: &str = "/slow/";
const SLOW_WORK: Duration = Duration::from_millis(900);

/// What a target does with the requests that it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceBehavior {
    /// It answers each.
    #[default]
    Normal,
    /// It is full: it refuses each and says that it has not run.
    Overloaded,
    /// It runs each and closes the connection without an answer.
    NoResponse,
    /// It runs each and breaks the answer off in the middle.
    Truncated,
    /// It answers with the id of another try first, and with its own then.
    StaleFirst,
    /// It sends bytes after each answer that belong to nothing.
    TrailingBytes,
    /// It gives the length of no answer and ends the connection instead.
    Unframed,
    /// It runs each and reports a failure.
    Failing,
    /// It runs each without end.
    Hanging,
}

/// A request that reached a target and was run there.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When it came.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct InstanceState {
    behavior: InstanceBehavior,
    work: Duration,
    runs: Vec<RunRequest>,
    disconnects: usize,
}

/// The target; clones share it.
#[derive(Clone, Debug)]
pub struct TargetInstance {
    /// Its id.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<Mutex<InstanceState>>,
}

/// Starts a target on a free port of loopback.
///
/// # Errors
/// No port can be bound.
pub async fn start(id: &str) -> io::Result<TargetInstance> {
    let (listener, address) = serving::listen().await?;
    let instance = TargetInstance {
        id: id.to_owned(),
        address,
        state: Arc::default(),
    };
    let served = instance.clone();
    serving::accept(listener, move |stream| served.clone().serve(stream));
    Ok(instance)
}

impl TargetInstance {
    fn lock(&self) -> MutexGuard<'_, InstanceState> {
        serving::lock(&self.state)
    }

    /// Sets what it does with requests.
    pub fn set_behavior(&self, behavior: InstanceBehavior) {
        self.lock().behavior = behavior;
    }

    /// Sets how long it works on each request.
    pub fn set_processing_time(&self, work: Duration) {
        self.lock().work = work;
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<RunRequest> {
        self.lock().runs.clone()
    }

    /// Connections that were closed by the other side while a request ran.
    pub fn disconnects(&self) -> usize {
        self.lock().disconnects
    }

    /// The key that it registers under.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// What it registers with.
    pub fn entry(&self, service: &str, domain: &str) -> Value {
        json!({
            "address": self.address.to_string(),
            "born": 1,
            "info": {"service": service, "version": "v1", "zone": domain, "slots": 3},
            "status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
        })
    }

    async fn serve(self, stream: TcpStream) {
        let mut reader = ConnectionReader::new(stream.clone());
        let mut output = stream;
        while let Ok(Some(head)) = reader.request_head(MESSAGE_BYTES).await {
            let Ok(framing) = head.framing() else { return };
            let Ok(body) = reader.body(framing, MESSAGE_BYTES).await else {
                return;
            };
            let is_slow = head.target.contains(SLOW_PATH);
            let (bytes, is_last) = self.answer(head, body);
            if self.lock().behavior == InstanceBehavior::Hanging {
                reader.wait_for_close(MESSAGE_BYTES).await;
                self.lock().disconnects += 1;
                return;
            }
            let work = match is_slow {
                true => SLOW_WORK,
                false => self.lock().work,
            };
            if !work.is_zero() {
                task::sleep(work).await;
            }
            let written = output.write_all(&bytes).await;
            if is_last || written.is_err() {
                // Bytes reach the other side before the end of the connection.
                task::sleep(Duration::from_millis(5)).await;
                return;
            }
        }
    }

    /// The bytes of an answer, and whether the connection ends after them.
    fn answer(&self, head: RequestHead, body: Vec<u8>) -> (Vec<u8>, bool) {
        let get = |name: &str| head.fields.get(name).unwrap_or_default().to_owned();
        let mut state = self.lock();
        if get("X-Dahliawood-Expected-Instance") != self.id {
            return (refusal(421), false);
        }
        if state.behavior == InstanceBehavior::Overloaded {
            return (refusal(503), false);
        }
        let attempt = get("X-Dahliawood-Attempt-Id");
        let text = match head.target.contains(ECHO_PATH) {
            true => head.target.clone(),
            false => format!("run by {}", self.id),
        };
        let at = Instant::now();
        state.runs.push(RunRequest { head, body, at });
        let whole = |attempt: &str, status| {
            let mut fields = FieldList::default();
            fields.push("X-Dahliawood-Attempt-Id", attempt);
            fields.push("X-Dahliawood-Response-Signature", "signature");
            fields.push("X-Dahliawood-Server-Load", "1,0,3");
            write::response(status, &fields, text.as_bytes(), false)
        };
        let own = whole(&attempt, 200);
        match state.behavior {
            InstanceBehavior::NoResponse => (Vec::new(), true),
            InstanceBehavior::Truncated => (own[..own.len() - 3].to_vec(), true),
            InstanceBehavior::StaleFirst => ([whole("another", 200), own].concat(), false),
            InstanceBehavior::TrailingBytes => {
                ([own, b"HTTP/1.1 200 OK\r\n\r\n".to_vec()].concat(), false)
            }
            InstanceBehavior::Unframed => (without_length(&own), true),
            InstanceBehavior::Failing => (whole(&attempt, 500), false),
            _ => (own, false),
        }
    }
}

fn refusal(status: u16) -> Vec<u8> {
    let mut fields = FieldList::default();
    fields.push("X-Dahliawood-Not-Executed", "1");
    write::response(status, &fields, b"", false)
}

fn without_length(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    let lines = text.split("\r\n");
    let kept: Vec<&str> = lines
        .filter(|line| !line.starts_with("Content-Length"))
        .collect();
    kept.join("\r\n").into_bytes()
}
