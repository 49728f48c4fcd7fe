//! A stand-in for a target: runs at most `slots` requests at once, sheds the requests above that
//! with 503, and logs every request that it runs.
//!
//! The query of a request may set the size of the response body, `?bytes=N`, and how long the
//! request runs, `?delay_ms=N`.

use async_std::task;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Upper bound on the response size that a request may ask for, bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// How a target behaves unless the query of a request overrides it.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// The target's name, which its response records carry.
    pub name: String,
    /// The most requests that run at once.
    pub slots: usize,
    /// How long a request runs.
    pub delay: Duration,
    /// Size of a response body, bytes; with 0 the body is the [`RunRecord`] of the request as JSON.
    pub bytes: usize,
}

/// A request that a target ran, as the target received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The target's name.
    pub target: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, Vec<String>>,
    /// The body's length, bytes.
    pub body_bytes: usize,
}

/// The request log and the load counters of a target.
#[derive(Debug, Default)]
pub struct TargetLog {
    /// Every request that ran, in order of its start.
    pub runs: Vec<RunRecord>,
    /// Requests running now.
    pub running: usize,
    /// The most requests that ran at once so far.
    pub peak: usize,
    /// Requests shed because all slots were taken.
    pub shed: usize,
}

/// A running target.
#[derive(Clone, Debug)]
pub struct TargetHandle {
    /// Address that the target listens on.
    pub address: SocketAddr,
    log: Arc<Mutex<TargetLog>>,
}

impl TargetHandle {
    /// Locks and returns the log of the target.
    ///
    /// # Panics
    /// Panics where a thread panicked while it held the log.
    pub fn log(&self) -> MutexGuard<'_, TargetLog> {
        self.log
            .lock()
            .expect("no thread panics while it holds the log")
    }
}

/// The overrides in the query of a request.
#[derive(Debug, Default, Deserialize)]
struct AnswerQuery {
    bytes: Option<usize>,
    delay_ms: Option<u64>,
}

/// The state that all request handlers share.
#[derive(Clone)]
struct TargetState {
    options: TargetOptions,
    handle: TargetHandle,
}

/// Frees the slot of a request when dropped, also where the request is cancelled or fails.
struct SlotGuard(TargetHandle);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.log().running -= 1;
    }
}

/// Starts a target on `address`; port 0 takes a free one.
///
/// # Errors
/// Fails where the address cannot be bound.
pub fn start(address: SocketAddr, options: TargetOptions) -> io::Result<TargetHandle> {
    let listener = TcpListener::bind(address)?;
    // Accepted connections inherit TCP_NODELAY. Without it, the body of a response waits for the
    // client's delayed acknowledgement of the head.
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    let handle = TargetHandle {
        address: listener.local_addr()?,
        log: Arc::default(),
    };
    let mut app = tide::with_state(TargetState {
        options,
        handle: handle.clone(),
    });
    app.at("/").all(answer);
    app.at("/*path").all(answer);
    task::spawn(async move { app.listen(listener).await });
    Ok(handle)
}

/// Handles one request: takes a slot, waits for the delay, and builds the response.
async fn answer(mut request: tide::Request<TargetState>) -> tide::Result {
    let body = request.body_bytes().await?;
    let state = request.state().clone();
    let Some(_guard) = take_slot(&state, &request, body.len()) else {
        let shed = tide::Response::builder(tide::StatusCode::ServiceUnavailable);
        return Ok(shed
            .header("Retry-After", "1")
            .body("all slots are taken")
            .build());
    };
    let query: AnswerQuery = request.query().unwrap_or_default();
    task::sleep(
        query
            .delay_ms
            .map_or(state.options.delay, Duration::from_millis),
    )
    .await;
    let size = query
        .bytes
        .unwrap_or(state.options.bytes)
        .min(MAX_ANSWER_BYTES);
    if size == 0 {
        let record = record_of(&state, &request, body.len());
        return Ok(tide::Response::builder(200)
            .body(tide::Body::from_json(&record)?)
            .build());
    }
    let body = vec![b'x'; size];
    Ok(tide::Response::builder(200)
        .content_type("application/octet-stream")
        .body(body)
        .build())
}

/// Takes a slot and logs the request; counts it as shed and returns `None` where all slots are
/// taken.
fn take_slot(
    state: &TargetState,
    request: &tide::Request<TargetState>,
    body_bytes: usize,
) -> Option<SlotGuard> {
    let record = record_of(state, request, body_bytes);
    let mut log = state.handle.log();
    if log.running >= state.options.slots {
        log.shed += 1;
        return None;
    }
    log.running += 1;
    log.peak = log.peak.max(log.running);
    log.runs.push(record);
    Some(SlotGuard(state.handle.clone()))
}

/// The log record of a request.
fn record_of(
    state: &TargetState,
    request: &tide::Request<TargetState>,
    body_bytes: usize,
) -> RunRecord {
    let headers = request.iter().map(|(name, values)| {
        let values = values
            .iter()
            .map(|value| value.as_str().to_owned())
            .collect();
        (name.as_str().to_owned(), values)
    });
    let url = request.url();
    let query = url
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    RunRecord {
        target: state.options.name.clone(),
        method: request.method().to_string(),
        uri: format!("{}{query}", url.path()),
        headers: headers.collect(),
        body_bytes,
    }
}
