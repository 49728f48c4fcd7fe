//! A planned stop of one VM in calm: the process is told to terminate, and requests come all through its
//! grace time, on connections that were kept open and on new ones.

use crate::instance::{self, TargetInstance};
use crate::keyspace;
use crate::operator_config;
use crate::soak::vm::{VmPlace, VmProcess};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::reader::ConnectionReader;
use dahliawood_wire::raw::write;
use futures::future;
use futures::io::AsyncWriteExt;
use rustix::process::Signal;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const SERVICE: &str = "service";
const KEY: &str = "key";
/// Targets, so many that none is short of room.
const TARGETS: usize = 30;
/// Longest time that a route allows, seconds: beyond the grace time.
const ROUTE_TIMEOUT_S: f64 = 8.0;
/// How long a caller waits: until the process is gone.
const CALLER_TIMEOUT: Duration = Duration::from_secs(9);
/// Time between two requests after the signal, and the time of the last one.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const LAST_REQUEST: Duration = Duration::from_millis(5_800);
/// Until when new connections are opened.
const LAST_CONNECTION: Duration = Duration::from_millis(2_100);
/// How long the process may take to start.
const START_TIME: Duration = Duration::from_secs(20);
/// Upper bound on the head and on the body of a response, bytes.
const MESSAGE_BYTES: usize = 1 << 20;

/// A request after the signal.
#[derive(Clone, Debug)]
pub struct StopRecord {
    /// Path, unique for each request.
    pub path: String,
    /// Whether it may run at most once.
    pub is_write: bool,
    /// When it was sent, from the signal on.
    pub sent: Duration,
    /// Time from then to its end.
    pub taken: Duration,
    /// Status of the response; `None` if the connection ended before it was complete.
    pub status: Option<u16>,
    /// Whether a target ran it.
    pub has_run: bool,
}

/// How one request is sent.
#[derive(Clone, Copy, Debug)]
struct StopRequest {
    at: Duration,
    is_write: bool,
    /// Whether the connection was open, and had carried a request, before the signal.
    is_kept: bool,
}

struct StopCaller {
    stream: TcpStream,
    reader: ConnectionReader<TcpStream>,
}

impl StopCaller {
    async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let reader = ConnectionReader::new(stream.clone());
        Ok(Self { stream, reader })
    }

    /// Sends a request; returns the status, `None` if the connection ends first.
    async fn call(&mut self, method: &str, path: &str) -> Option<u16> {
        let mut fields = FieldList::default();
        fields.push("Host", "host.example");
        fields.push("X-Dahliawood-Attempt-Id", path.replace('/', "-"));
        fields.push("X-Dahliawood-Deadline-Ms", "8000");
        fields.push("Authorization", format!("Token {KEY}"));
        let bytes = write::request(method, path, &fields, b"");
        self.stream.write_all(&bytes).await.ok()?;
        let head = self.reader.response_head(MESSAGE_BYTES).await.ok()??;
        let framing = head.framing(method).ok()?;
        self.reader.body(framing, MESSAGE_BYTES).await.ok()?;
        Some(head.status)
    }
}

/// Starts a VM, targets that take `processing` for each request and a store; tells the VM to terminate,
/// and returns the requests that came after that.
///
/// # Errors
/// Fails if a process or a stand-in cannot be started.
pub async fn play(
    program: &Path,
    work_dir: &Path,
    processing: Duration,
) -> io::Result<Vec<StopRecord>> {
    let store = keyspace::start().await?;
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let target = instance::start(&format!("target-{index}")).await?;
        store.put(&target.key(), &target.entry(SERVICE, "a-1"));
        targets.push(target);
    }
    let mut routes = [
        operator_config::route("/read/", "idempotent", false, SERVICE),
        operator_config::route("/write/", "non_idempotent", false, SERVICE),
    ];
    for route in &mut routes {
        route["action"]["timeout_s"] = ROUTE_TIMEOUT_S.into();
    }
    let customers = [operator_config::customer("customer", KEY, 1_000, 1_000)];
    let document = operator_config::document(1, &routes, &customers, &[SERVICE]);
    store.put("op/config", &document);
    std::fs::create_dir_all(work_dir)?;
    let place = VmPlace {
        name: "vm-1",
        domain: 0,
        domains: 1,
        is_large: true,
    };
    let mut vm = VmProcess::new(program, work_dir, place, store.address)?;
    vm.start()?;
    let front = vm.addresses.front;
    wait_until_served(front).await?;
    let mut requests = Vec::new();
    let count = LAST_REQUEST.as_millis() / REQUEST_INTERVAL.as_millis();
    for index in 0..=count as u32 {
        let request = StopRequest {
            at: REQUEST_INTERVAL * index,
            is_write: index % 2 == 0,
            is_kept: index % 4 < 2,
        };
        requests.push(request);
    }
    let mut kept = Vec::new();
    for (index, request) in requests.iter().enumerate() {
        kept.push(match request.is_kept {
            true => {
                let mut caller = StopCaller::connect(front).await?;
                let _first = caller.call("GET", &format!("/read/before-{index}")).await;
                Some(caller)
            }
            false => None,
        });
    }
    for target in &targets {
        target.set_processing_time(processing);
    }
    let signalled = Instant::now();
    vm.signal(Signal::TERM)?;
    let sending = requests
        .into_iter()
        .zip(kept)
        .map(|(request, caller)| send(front, signalled, request, caller));
    let mut records: Vec<StopRecord> = future::join_all(sending)
        .await
        .into_iter()
        .flatten()
        .collect();
    let runs: Vec<_> = targets.iter().flat_map(TargetInstance::runs).collect();
    for record in &mut records {
        record.has_run = runs.iter().any(|run| run.head.target == record.path);
    }
    Ok(records)
}

/// Waits until the VM serves requests.
async fn wait_until_served(front: SocketAddr) -> io::Result<()> {
    let started = Instant::now();
    while started.elapsed() < START_TIME {
        if let Ok(mut caller) = StopCaller::connect(front).await
            && caller.call("GET", "/read/start").await == Some(200)
        {
            return Ok(());
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    Err(io::Error::other("the VM does not serve requests"))
}

/// Sends a request at its time; `None` if no connection could be made.
async fn send(
    front: SocketAddr,
    signalled: Instant,
    request: StopRequest,
    caller: Option<StopCaller>,
) -> Option<StopRecord> {
    let mut caller = if let Some(caller) = caller {
        caller
    } else {
        task::sleep(request.at.min(LAST_CONNECTION)).await;
        StopCaller::connect(front).await.ok()?
    };
    task::sleep(request.at.saturating_sub(signalled.elapsed())).await;
    let (method, kind) = match request.is_write {
        true => ("POST", "write"),
        false => ("GET", "read"),
    };
    let path = format!("/{kind}/at-{}", request.at.as_millis());
    let sent = signalled.elapsed();
    let status = timeout(CALLER_TIMEOUT, caller.call(method, &path)).await;
    Some(StopRecord {
        path,
        is_write: request.is_write,
        sent,
        taken: signalled.elapsed().saturating_sub(sent),
        status: status.ok().flatten(),
        has_run: false,
    })
}
