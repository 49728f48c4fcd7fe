//! The daemon's processes: their settings, their start with the command of the deploy file, signals,
//! and their end.

use crate::record::Record;
use crate::wire;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `run` of the role in deploy/system.toml.
const DAEMON: &str = "target/release/dahliawoodd";

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The processes that this script started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Where the search for free ports goes on; below the range of the ports of outgoing connections.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

pub fn signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two numbers; the process was started, and not yet waited for, by this one.
    let _sent = unsafe { kill(pid as i32, signal) };
}

/// Ends all processes that this script started.
pub fn end_all() {
    let started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
    for pid in started.iter() {
        signal(*pid, SIGKILL);
    }
}

/// Ends everything, with the exit code for a case that could not run, after `limit`.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the script takes too long");
        end_all();
        std::process::exit(2);
    });
}

/// Copies standard input to a file: the reader of a daemon's log.
pub fn sink(path: &str) {
    let Ok(mut file) = File::options().create(true).append(true).open(path) else {
        return;
    };
    let mut bytes = [0; 4096];
    while let Ok(count) = std::io::stdin().read(&mut bytes) {
        if count == 0 || file.write_all(&bytes[..count]).is_err() {
            return;
        }
    }
}

fn free_ports(count: u16) -> Result<u16, String> {
    let start = 20_000 + (std::process::id() % 100) as u16 * 100;
    let _begun = NEXT_PORT.compare_exchange(0, start, Ordering::Relaxed, Ordering::Relaxed);
    for _ in 0..500 {
        let first = NEXT_PORT.fetch_add(count, Ordering::Relaxed);
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if first < 32_000 && (first..first + count).all(is_free) {
            return Ok(first);
        }
    }
    Err("there are no free ports".to_owned())
}

/// One daemon, with its place and its addresses.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    first_port: u16,
    folder: PathBuf,
    child: Option<Child>,
    log: Option<Child>,
    record: Arc<Record>,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Vm {
    /// A daemon that is not started; `folder` takes its settings and its log.
    pub fn new(record: &Arc<Record>, folder: &PathBuf, name: &str, zone: &str, region: &str) -> Result<Self, String> {
        let first_port = free_ports(7)?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            region: region.to_owned(),
            front: local(first_port),
            ready: local(first_port + 1),
            directory: local(first_port + 2),
            first_port,
            folder: folder.clone(),
            child: None,
            log: None,
            record: Arc::clone(record),
        })
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    /// Writes the settings file, as on DEPLOY.md ("Settings of a process").
    pub fn write_settings(&self, store: SocketAddr, zones: &[(&str, &str)], bounds: &str, is_first: bool) -> Result<(), String> {
        let Self { name, zone, region, front, ready, directory, .. } = self;
        let control = local(self.first_port + 3);
        let (first, last) = (self.first_port + 4, self.first_port + 6);
        let zones: String = zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let text = format!(
            r#"node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{region}"
internal_ports = [{first},{last}]
seeds = []
bootstrap = {is_first}
in_failure_budget = false
discovery = "platform"
entry = "directory"
heartbeat_s = 1.5
contracts = ["base","drain","config","cost","retry","recover","places","tenants","quota","platform"]
bounds = [{bounds}]
[zones]
{zones}[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 1
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_s = 1
"#
        );
        fs::write(self.settings_path(), text).map_err(|error| format!("settings: {error}"))
    }

    /// Starts the daemon; its standard output goes to a process of its own that writes it to a file.
    pub fn start(&mut self) -> Result<(), String> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{}.log", self.name));
        let reader = Command::new(own).arg("sink").arg(&log).stdin(Stdio::piped()).stdout(Stdio::null()).spawn();
        let mut reader = reader.map_err(|error| format!("the log's reader: {error}"))?;
        let pipe = reader.stdin.take().ok_or("the log's reader has no pipe")?;
        let errors = File::options().create(true).append(true).open(self.folder.join(format!("{}.err", self.name)));
        let mut command = Command::new(DAEMON);
        command.env_clear().env(wire::name("settings"), self.settings_path());
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(pipe);
        command.stderr(errors.map_err(|error| error.to_string())?);
        let child = command.spawn().map_err(|error| format!("{DAEMON}: {error}"))?;
        let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
        started.extend([child.id(), reader.id()]);
        drop(started);
        self.record.line(format!("{} is started", self.name));
        (self.child, self.log) = (Some(child), Some(reader));
        Ok(())
    }

    /// Sends a signal to the daemon.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            self.record.line(format!("{} gets signal {number}", self.name));
            signal(child.id(), number);
        }
    }

    /// Sends a signal to the reader of the daemon's log.
    pub fn signal_log(&self, number: i32) {
        if let Some(log) = &self.log {
            self.record.line(format!("the reader of {}'s log gets signal {number}", self.name));
            signal(log.id(), number);
        }
    }

    /// Waits for the end of the daemon and of the reader of its log.
    pub fn wait(&mut self) {
        for child in [self.child.take(), self.log.take()].into_iter().flatten() {
            let mut child = child;
            let _status = child.wait();
            let mut started = STARTED.lock().unwrap_or_else(|error| error.into_inner());
            started.retain(|pid| *pid != child.id());
        }
    }

    /// Writes the ends of the daemon's log and error output into the record.
    pub fn record_errors(&self) {
        for kind in ["log", "err"] {
            let path = self.folder.join(format!("{}.{kind}", self.name));
            let text = fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().rev().take(5) {
                self.record.line(format!("{} {kind}: {line}", self.name));
            }
        }
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        self.signal_log(SIGCONT);
        self.signal(SIGKILL);
        self.wait();
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let Some(mut connection) = crate::http::Connection::open(self.ready, limit) else {
            return false;
        };
        let call = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        let is_sent = connection.send(call.as_bytes());
        let answer = connection.read(Some(Instant::now() + limit));
        is_sent && answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
