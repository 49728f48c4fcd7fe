//! A stand-in for a target of the users' platform, with faults.
//!
//! The target has a registration entry for the store, refuses requests whose expected instance is
//! not its own id, and puts the id of the attempt that it answers into each response.

mod response;

use crate::serving;
use async_std::channel::{Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_wire::raw::head::{BodyFraming, RequestHead};
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::future;
use futures::io::AsyncWriteExt;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Upper bound on the head and on the body of a request, bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// A request whose path contains this is answered with its path as the body.
const ECHO_PATH: &str = "/echo/";
/// A request whose path contains this is answered with a body of [`LARGE_BYTES`].
const LARGE_PATH: &str = "/large/";
/// More bytes than the buffers of a connection take.
pub const LARGE_BYTES: usize = 12 << 20;
/// A request whose path contains this takes [`SLOW_PROCESSING_TIME`].
const SLOW_PATH: &str = "/slow/";
/// A request whose path contains this ends the target's process as soon as it begins to run.
const CRASH_PATH: &str = "/crash/";
/// How long after such an end the target starts again, under the same id and address.
const RESTART_TIME: Duration = Duration::from_millis(700);
/// How often the repeated part of a response without end is in one write.
const ENDLESS_PIECES: usize = 2_048;
/// How long a request takes whose path contains [`SLOW_PATH`].
const SLOW_PROCESSING_TIME: Duration = Duration::from_millis(900);

/// After which time a target that reads no bodies closes a connection.
const UNREAD_TIME: Duration = Duration::from_secs(4);

/// The fault of a target, which changes how it responds. With all but `Overloaded`, the target runs
/// and logs each request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InstanceFault {
    /// No fault: responds with 200.
    #[default]
    Off,
    /// Refuses each request with 503 and states that it has not run.
    Overloaded,
    /// Closes the connection without a response.
    NoResponse,
    /// Closes the connection before the last bytes of the response.
    Truncated,
    /// Sends a response that carries another attempt's id before the one that carries the right id.
    StaleFirst,
    /// Sends, after each response, another response head that belongs to no request.
    TrailingBytes,
    /// Sends no Content-Length and ends the response by closing the connection.
    Unframed,
    /// Sends half of a response without Content-Length, and ends the process.
    UnframedCrash,
    /// Sends a second copy of a response when the next request has arrived on the connection.
    LateCopy,
    /// Writes its last refusal on the connection once more when the next request has arrived, and runs that
    /// request.
    RefusalAgain,
    /// Closes the connection in the middle of the head of each response, after the given number of bytes.
    HeadCut(usize),
    /// Responds with 500.
    Failing,
    /// Sends no response and waits until the client closes the connection.
    Hanging,
    /// Refuses each request with 503 and states that it has not run, but never sends the announced body.
    OverloadedWithoutEnd,
    /// Sends a response head that never ends, until the client closes the connection.
    EndlessHead,
    /// Sends a response whose chunked body never ends, until the client closes the connection.
    EndlessBody,
    /// Sends a response without length whose body never ends.
    EndlessUnframed,
    /// Sends informational responses without end.
    EndlessInterim,
    /// Sends a response whose trailers never end.
    EndlessTrailers,
    /// Sends a response in which the extension of a chunk never ends.
    EndlessExtension,
    /// Sends bytes without end that are no response.
    EndlessNoise,
    /// Reads no long body of a request, and closes the connection after some seconds.
    NotReading,
}

impl InstanceFault {
    fn is_refusal(self) -> bool {
        matches!(self, Self::Overloaded | Self::OverloadedWithoutEnd)
    }

    /// The start of a response without end, and what is repeated after it.
    pub fn endless(self) -> Option<(&'static [u8], &'static [u8])> {
        match self {
            Self::EndlessHead => Some((b"HTTP/1.1 200 OK\r\n", b"X-Field: 0123456789abcdef\r\n")),
            Self::EndlessBody => Some((
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"10\r\n0123456789abcdef\r\n",
            )),
            Self::EndlessUnframed => Some((b"HTTP/1.1 200 OK\r\n\r\n", b"0123456789abcdef")),
            Self::EndlessInterim => Some((b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")),
            Self::EndlessTrailers => Some((
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                b"X-Field: 0123456789abcdef\r\n",
            )),
            Self::EndlessExtension => Some((
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;name=",
                b"0123456789abcdef",
            )),
            Self::EndlessNoise => Some((b"", b"0123456789abcdef")),
            _ => None,
        }
    }
}

/// Sends bytes until the client closes the connection.
pub async fn send_endlessly(output: &mut TcpStream, start: &[u8], rest: &[u8]) {
    let repeated = rest.repeat(ENDLESS_PIECES);
    let mut written = output.write_all(start).await;
    while written.is_ok() {
        written = output.write_all(&repeated).await;
    }
}

/// Sends a body of [`LARGE_BYTES`], without holding all of it.
async fn send_large(output: &mut TcpStream) -> io::Result<()> {
    let piece = vec![b'x'; 16 << 10];
    for _ in 0..LARGE_BYTES / piece.len() {
        output.write_all(&piece).await?;
    }
    Ok(())
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Request head.
    pub head: RequestHead,
    /// Request body.
    pub body: Vec<u8>,
    /// When the target had received the whole request.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct InstanceState {
    fault: InstanceFault,
    processing_time: Duration,
    stated_limit: Option<f64>,
    is_leaving: bool,
    /// `Retry-After` of refusals with 503.
    pause: Option<String>,
    refusals: Vec<RunRequest>,
    runs: Vec<RunRequest>,
    disconnects: usize,
    /// Closed when the process ends.
    process: Option<Sender<()>>,
    /// Whether refusals carry no id of the attempt.
    is_anonymous: bool,
}

/// A running target; clones share its state.
#[derive(Clone, Debug)]
pub struct TargetInstance {
    /// The target's instance id.
    pub id: String,
    /// Address that the target listens on.
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
    task::spawn(instance.clone().run_processes(listener));
    Ok(instance)
}

impl TargetInstance {
    fn lock(&self) -> MutexGuard<'_, InstanceState> {
        serving::lock(&self.state)
    }

    /// Sets the target's fault.
    pub fn set_fault(&self, fault: InstanceFault) {
        self.lock().fault = fault;
    }

    /// Sets how long each request takes, except those with `/slow/` in their path.
    pub fn set_processing_time(&self, processing_time: Duration) {
        self.lock().processing_time = processing_time;
    }

    /// Sets the requests a second, from all VMs together, that the target states in its responses.
    pub fn set_stated_limit(&self, limit: Option<f64>) {
        self.lock().stated_limit = limit;
    }

    /// Sets the `Retry-After` of the target's refusals with 503.
    pub fn set_pause(&self, retry_after: Option<&str>) {
        self.lock().pause = retry_after.map(str::to_owned);
    }

    /// The requests that the target refused with a pause, in the order of their arrival.
    pub fn refusals(&self) -> Vec<RunRequest> {
        self.lock().refusals.clone()
    }

    /// Ends a pause: no fault, and no `Retry-After`.
    pub fn end_pause(&self) {
        let mut state = self.lock();
        (state.fault, state.pause) = (InstanceFault::Off, None);
    }

    /// Refusals of the target carry no id of the attempt.
    pub fn set_anonymous(&self) {
        self.lock().is_anonymous = true;
    }

    /// The target states in its responses that it is leaving.
    pub fn set_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// The requests that the target ran, in the order of their arrival.
    pub fn runs(&self) -> Vec<RunRequest> {
        self.lock().runs.clone()
    }

    /// Number of connections that the client closed while [`InstanceFault::Hanging`] held a
    /// request.
    pub fn disconnects(&self) -> usize {
        self.lock().disconnects
    }

    /// The store key of the target's registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The value of the target's registration.
    pub fn entry(&self, service: &str, domain: &str) -> Value {
        json!({
            "address": self.address.to_string(),
            "born": 1,
            "info": {"service": service, "version": "v1", "zone": domain, "slots": 3},
            "status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
        })
    }

    /// Runs one process after the other, the next one some time after the last has crashed.
    async fn run_processes(self, listener: TcpListener) {
        self.run_process(listener).await;
        loop {
            task::sleep(RESTART_TIME).await;
            if let Ok(listener) = TcpListener::bind(self.address).await {
                self.run_process(listener).await;
            }
        }
    }

    /// Serves connections until the process crashes, which ends all of them: nobody listens any more once
    /// a connection has ended.
    async fn run_process(&self, listener: TcpListener) {
        let (process, ended) = bounded(1);
        let (connections, closed) = bounded::<()>(1);
        self.lock().process = Some(process);
        {
            let accepting = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (served, closed) = (self.clone(), closed.clone());
                    task::spawn(async move {
                        future::select(pin!(served.serve(stream)), pin!(closed.recv())).await;
                    });
                }
            };
            future::select(pin!(accepting), pin!(ended.recv())).await;
        }
        connections.close();
    }

    /// Ends the process.
    fn crash(&self) {
        if let Some(process) = &self.lock().process {
            process.close();
        }
    }

    async fn serve(self, stream: TcpStream) {
        let mut reader = ConnectionReader::new(stream.clone());
        let mut output = stream;
        let mut last = Vec::new();
        let mut refusal = Vec::new();
        while let Ok(Some(head)) = reader.request_head(MAX_MESSAGE_BYTES).await {
            let Ok(framing) = head.framing() else { return };
            let is_unread = self.lock().fault == InstanceFault::NotReading;
            if is_unread
                && matches!(framing, BodyFraming::Length(length) if length > MAX_MESSAGE_BYTES)
            {
                task::sleep(UNREAD_TIME).await;
                self.lock().disconnects += 1;
                return;
            }
            let Ok(body) = reader.body(framing, MAX_MESSAGE_BYTES).await else {
                return;
            };
            let endless = self.lock().fault.endless();
            if let Some((start, rest)) = endless {
                send_endlessly(&mut output, start, rest).await;
                self.lock().disconnects += 1;
                return;
            }
            let is_slow = head.target.contains(SLOW_PATH);
            let is_large = head.target.contains(LARGE_PATH);
            let is_crash = head.target.contains(CRASH_PATH);
            let is_refused = self.lock().fault.is_refusal();
            let (mut bytes, is_closing) = self.respond(head, body);
            if is_refused {
                refusal.clone_from(&bytes);
            }
            if self.lock().fault == InstanceFault::RefusalAgain
                && output.write_all(&refusal).await.is_err()
            {
                return;
            }
            if self.lock().fault == InstanceFault::LateCopy {
                let copy = std::mem::replace(&mut last, bytes.clone());
                bytes.splice(0..0, copy);
            }
            if self.lock().fault == InstanceFault::UnframedCrash {
                let _written = output.write_all(&bytes).await;
                self.crash();
                return future::pending().await;
            }
            if is_crash {
                self.crash();
                return future::pending().await;
            }
            if self.lock().fault == InstanceFault::Hanging {
                reader.wait_for_close(MAX_MESSAGE_BYTES).await;
                self.lock().disconnects += 1;
                return;
            }
            let processing_time = match is_slow {
                true => SLOW_PROCESSING_TIME,
                false => self.lock().processing_time,
            };
            if !processing_time.is_zero() {
                task::sleep(processing_time).await;
            }
            let mut written = output.write_all(&bytes).await;
            if is_large && written.is_ok() {
                written = send_large(&mut output).await;
            }
            if is_closing || written.is_err() {
                // Gives the written bytes time to reach the client before the connection closes.
                task::sleep(Duration::from_millis(5)).await;
                return;
            }
        }
    }

    /// Logs a request that runs, and returns the bytes of its response and whether the connection
    /// closes after them.
    fn respond(&self, head: RequestHead, body: Vec<u8>) -> (Vec<u8>, bool) {
        let header = |name: &str| head.fields.get(name).unwrap_or_default().to_owned();
        let mut state = self.lock();
        let attempt = header("X-Dahliawood-Attempt-Id");
        let echoed = Some(attempt.as_str()).filter(|_| !state.is_anonymous);
        if header("X-Dahliawood-Expected-Instance") != self.id {
            return (response::not_executed(421, echoed, &state), false);
        }
        if state.fault.is_refusal() {
            if state.pause.is_some() {
                let at = Instant::now();
                state.refusals.push(RunRequest { head, body, at });
            }
            let response = response::not_executed(503, echoed, &state);
            let bytes = match state.fault {
                InstanceFault::OverloadedWithoutEnd => response::with_missing_body(&response, 10),
                _ => response,
            };
            return (bytes, false);
        }
        let text = match &head.target {
            target if target.contains(ECHO_PATH) => target.clone(),
            target if target.contains(LARGE_PATH) => String::new(),
            _ => format!("run by {}", self.id),
        };
        let is_large = head.target.contains(LARGE_PATH);
        let at = Instant::now();
        let statements = response::statements(&state);
        state.runs.push(RunRequest { head, body, at });
        let respond = |attempt: &str, status| {
            let mut fields = statements.clone();
            fields.push("X-Dahliawood-Attempt-Id", attempt);
            fields.push("X-Dahliawood-Response-Signature", "signature");
            fields.push("X-Dahliawood-Server-Load", "1,0,3");
            write::response(status, &fields, text.as_bytes(), false)
        };
        let matching = match is_large {
            true => response::with_missing_body(&respond(&attempt, 200), LARGE_BYTES),
            false => respond(&attempt, 200),
        };
        match state.fault {
            InstanceFault::NoResponse => (Vec::new(), true),
            InstanceFault::Truncated => (matching[..matching.len() - 3].to_vec(), true),
            InstanceFault::StaleFirst => ([respond("another", 200), matching].concat(), false),
            InstanceFault::TrailingBytes => (
                [matching, b"HTTP/1.1 200 OK\r\n\r\n".to_vec()].concat(),
                false,
            ),
            InstanceFault::Unframed => (response::without_content_length(&matching), true),
            InstanceFault::UnframedCrash => (
                response::without_content_length(&matching[..matching.len() - 3]),
                true,
            ),
            InstanceFault::HeadCut(length) => {
                (matching[..length.min(matching.len())].to_vec(), true)
            }
            InstanceFault::Failing => (respond(&attempt, 500), false),
            _ => (matching, false),
        }
    }
}
