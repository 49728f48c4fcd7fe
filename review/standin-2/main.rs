//! The scripts of review/6 on: `standin CASE RECORD`, with `TROUBLE=0` for the run without the disruption.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod daemon;
mod names;
mod store;
mod wire;

use backend::{Arrivals, Backend, Garble};
use daemon::{Client, Daemon};
use std::collections::HashMap;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use store::Store;

/// Backends of the service, and those that leave: the last ones by their ids.
const BACKENDS: usize = 56;
const LEAVING: usize = 7;
/// How far the store's second replica is behind: "may be seconds old".
const LAG: Duration = Duration::from_secs(2);
/// `drain_s` and `contact_s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// How long a leaving backend goes on serving: `drain_s` "and a little longer (at times many seconds)".
const STAY: Duration = Duration::from_secs(14);
/// Backends of the case of spoiled answers, half of them faulty, and which of their answers they spoil: the figures of
/// the sheet's `garble` "unframed" (x 0.05 for 5 s, of half of the backends).
const GARBLE_BACKENDS: usize = 12;
const GARBLED_ONE_IN: u32 = 20;
const GARBLE_TIME: Duration = Duration::from_secs(5);
/// Backends of the case of late heartbeats, and those whose heartbeats are lost: a third of the writes, as the sheets'
/// `platform_lost` (x 0.35) has it.
const HEARTBEAT_BACKENDS: usize = 12;
const HEARTBEATS_LOST: usize = 4;
/// From the lost answers on: when the backends say that they leave (the store has been stable for `contact_s` by
/// then), when the lost heartbeats are carried out (at most 6 s late), and when the next ones come.
const REPORT_AFTER: Duration = Duration::from_millis(3_200);
const CARRIED_OUT_AFTER: Duration = Duration::from_millis(5_000);
const NEXT_HEARTBEAT: Duration = Duration::from_millis(6_200);
/// Connections of clients to each daemon, and the pause of each between two requests.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(100);

/// What is written to the record.
type Record = Arc<Mutex<(Instant, Vec<String>)>>;

fn note(record: &Record, text: &str) {
    let mut record = record.lock().expect("no panic");
    let at = record.0.elapsed().as_secs_f64();
    record.1.push(format!("{at:8.3} {text}"));
}

/// Writes down which requests ran, in the order of time.
fn note_arrivals(record: &Record, arrivals: &[backend::Arrival]) {
    let mut record = record.lock().expect("no panic");
    let begun = record.0;
    let lines = arrivals.iter().map(|arrival| {
        let at = arrival.at.duration_since(begun).as_secs_f64();
        format!("{at:8.3} run: {} at i-{:03}", arrival.id, arrival.backend)
    });
    let lines: Vec<String> = lines.collect();
    record.1.extend(lines);
    record.1.sort();
}

/// A request that a client sent.
struct Sent {
    daemon: usize,
    at: Instant,
}

/// What clients share.
#[derive(Default)]
struct Load {
    next: AtomicU64,
    is_over: AtomicBool,
    /// Successes whose body is not the whole one of the backend.
    wrong: AtomicU64,
    sent: Mutex<HashMap<String, Sent>>,
}

fn client(load: Arc<Load>, record: Record, daemon: usize, address: std::net::SocketAddr) {
    let mut client = Client::new(address);
    while !load.is_over.load(Ordering::SeqCst) {
        let number = load.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let (method, path) = match number % 2 {
            0 => ("GET", "/read/7f"),
            _ => ("POST", "/write/7f"),
        };
        let sent = Sent { daemon, at: Instant::now() };
        load.sent.lock().expect("no panic").insert(id.clone(), sent);
        let answer = client.send(method, path, &id, if method == "GET" { "" } else { "a line" });
        let ended = answer.as_ref().map(wire::Message::status);
        note(&record, &format!("client: {method} {id} to daemon {daemon} ends with {ended:?}"));
        if let Ok(answer) = answer
            && answer.status() == 200
            && answer.body != backend::BODY.as_bytes()
        {
            let signature = answer.field(names::name("signature"));
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            note(&record, &format!("WRONG: {id} gets 200, signature {signature:?}, body {text:?}"));
            load.wrong.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(PAUSE);
    }
}

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"tenants":[{"name":"tenant-1","api_keys":["key-of-tenant-1"],"priority":0,"rate_per_s":0,"burst_size":0,"allowed_regions":[]}],"listeners":[{"host":"books.example","rule_set":[{"name":"read","kind":"idempotent","target_latency_s":0.5,"priority":1,"auth_exempt":false,"session_affinity":false,"match":{"prefix":"/read/"},"action":{"service":"books","timeout_s":2,"max_attempts":2,"allowed_regions":[]}},{"name":"write","kind":"non_idempotent","target_latency_s":0.5,"priority":1,"auth_exempt":false,"session_affinity":false,"match":{"prefix":"/write/"},"action":{"service":"books","timeout_s":2,"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"books","health_path":"/health","max_connections":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":6.2}]}"#;

/// The three daemons of the deployment, ready.
fn start_daemons(
    record: &Record,
    store: std::net::SocketAddr,
    folder: &Path,
) -> Result<Vec<Daemon>, String> {
    let places = [
        ("front-taipei-a-1", "taipei-a"),
        ("front-taoyuan-b-1", "taoyuan-b"),
        ("front-hsinchu-c-1", "hsinchu-c"),
    ];
    let daemons = places.iter().map(|(name, zone)| Daemon::new(name, zone, store, folder));
    let mut daemons: Vec<Daemon> = daemons.collect();
    for daemon in &mut daemons {
        daemon.start(true).map_err(|error| format!("cannot start the daemon: {error}"))?;
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", daemon.name));
        }
    }
    note(record, "all daemons are ready");
    Ok(daemons)
}

fn start_clients(
    record: &Record,
    load: &Arc<Load>,
    daemons: &[Daemon],
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (place, daemon) in daemons.iter().enumerate() {
        for _ in 0..CLIENTS {
            let (load, record, front) = (Arc::clone(load), Arc::clone(record), daemon.front);
            clients.push(thread::spawn(move || client(load, record, place, front)));
        }
    }
    clients
}

/// Ends the load, and looks whether all daemons still run.
fn finish(
    load: &Load,
    clients: Vec<thread::JoinHandle<()>>,
    daemons: &mut [Daemon],
) -> Result<(), String> {
    load.is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ended = client.join();
    }
    for daemon in daemons {
        if !daemon.is_running() {
            return Err(format!("{} has ended by itself", daemon.name));
        }
    }
    Ok(())
}

/// Half of the backends spoil one answer in twenty for five seconds. Returns whether the rule broke, or why the
/// case could not run.
fn lines(record: &Record, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start(Duration::ZERO, Arc::new(|_| {}));
    let arrivals: Arrivals = Arc::default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
    let garble = Arc::new(Garble { one_in: GARBLED_ONE_IN, ..Garble::default() });
    store.put(names::name("document"), CONFIG);
    let backends: Vec<Backend> = (0..GARBLE_BACKENDS)
        .map(|number| {
            let garble = (number % 2 == 0).then(|| Arc::clone(&garble));
            Backend::start(number, Arc::clone(&arrivals), garble)
        })
        .collect();
    for backend in &backends {
        store.put(&format!("servers/{}", backend.id), &backend.entry("ready", 1, now.as_millis()));
    }
    let mut daemons = start_daemons(record, address, folder)?;
    let load = Arc::new(Load::default());
    let clients = start_clients(record, &load, &daemons);
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        note(record, "six of twelve backends begin to spoil one answer in twenty");
        garble.is_on.store(true, Ordering::SeqCst);
    }
    thread::sleep(GARBLE_TIME);
    garble.is_on.store(false, Ordering::SeqCst);
    note(record, "no more answers are spoiled");
    thread::sleep(Duration::from_secs(3));
    finish(&load, clients, &mut daemons)?;

    let arrivals = arrivals.lock().expect("no panic");
    note_arrivals(record, &arrivals);
    let spoiled = garble.spoiled.lock().expect("no panic");
    let wrong = load.wrong.load(Ordering::SeqCst);
    note(record, &format!("{} requests ran, spoiled answers to {spoiled:?}", arrivals.len()));
    note(record, &format!("{wrong} successes with a body that is not the backend's whole body"));
    if arrivals.len() < 500 || (has_trouble && spoiled.len() < 3) {
        return Err("too few requests".to_owned());
    }
    Ok(wrong > 0)
}

/// The store loses the answers to heartbeats of four of twelve backends, and carries these out 5 s later, when the
/// backends have said that they leave. Returns whether the rule broke, or why the case could not run.
fn heartbeat(record: &Record, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start(Duration::ZERO, Arc::new(|_| {}));
    let arrivals: Arrivals = Arc::default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
    let born = now.as_millis();
    store.put(names::name("document"), CONFIG);
    let backends: Vec<Backend> = (0..HEARTBEAT_BACKENDS)
        .map(|number| Backend::start(number, Arc::clone(&arrivals), None))
        .collect();
    let put = |backend: &Backend, state: &str, sequence: u32, what: &str| {
        store.put(&format!("servers/{}", backend.id), &backend.entry(state, sequence, born));
        note(record, &format!("store: {} is {state}, sequence {sequence}: {what}", backend.id));
    };
    backends.iter().for_each(|backend| put(backend, "ready", 1, "registered"));
    let mut daemons = start_daemons(record, address, folder)?;
    let load = Arc::new(Load::default());
    let clients = start_clients(record, &load, &daemons);
    thread::sleep(Duration::from_secs(6));

    // An entry changes when more than its `sequence` does, so that other heartbeats change nothing.
    let leaving = HEARTBEAT_BACKENDS - HEARTBEATS_LOST..HEARTBEAT_BACKENDS;
    let lost_at = Instant::now();
    if has_trouble {
        note(record, "the answers to heartbeats with sequence 5 are lost, they are not carried out yet");
    }
    let until = |at: Duration| thread::sleep(at.saturating_sub(lost_at.elapsed()));
    until(REPORT_AFTER);
    for backend in &backends[leaving.clone()] {
        backend.leave();
        put(backend, "draining", 7, "acknowledged");
    }
    let acked = Instant::now();
    until(CARRIED_OUT_AFTER);
    if has_trouble {
        for backend in &backends[leaving.clone()] {
            put(backend, "ready", 5, "the late heartbeat is carried out");
        }
    }
    until(NEXT_HEARTBEAT);
    for backend in &backends[leaving.clone()] {
        put(backend, "draining", 9, "the next heartbeat");
    }
    thread::sleep(Duration::from_secs(4));
    finish(&load, clients, &mut daemons)?;

    let arrivals = arrivals.lock().expect("no panic");
    note_arrivals(record, &arrivals);
    let late = arrivals.iter().filter(|arrival| {
        leaving.contains(&arrival.backend) && arrival.at >= acked + DRAIN
    });
    let late: Vec<f64> =
        late.map(|arrival| arrival.at.duration_since(acked).as_secs_f64()).collect();
    let (first, last) = (late.first(), late.last());
    note(record, &format!(
        "{} late requests at leaving backends, from {first:?} s to {last:?} s after the acknowledgement",
        late.len()
    ));
    if arrivals.len() < 500 {
        return Err("too few requests".to_owned());
    }
    Ok(!late.is_empty())
}

/// A daemon is killed and started again just after backends said that they leave. Returns whether the rule
/// broke, or why the case could not run.
fn pages(record: &Record, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let log_record = Arc::clone(record);
    let (store, address) = Store::start(LAG, Arc::new(move |text| note(&log_record, &text)));
    let arrivals: Arrivals = Arc::default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
    let born = now.as_millis();
    store.put(names::name("document"), CONFIG);
    let backends: Vec<Backend> =
        (0..BACKENDS).map(|number| Backend::start(number, Arc::clone(&arrivals), None)).collect();
    for backend in &backends {
        store.put(&format!("servers/{}", backend.id), &backend.entry("ready", 1, born));
    }
    // So that the second replica has all this too.
    thread::sleep(LAG + Duration::from_millis(500));

    let mut daemons = start_daemons(record, address, folder)?;
    let load = Arc::new(Load::default());
    let clients = start_clients(record, &load, &daemons);
    thread::sleep(Duration::from_secs(6));

    let leaving = BACKENDS - LEAVING..BACKENDS;
    for backend in &backends[leaving.clone()] {
        backend.leave();
        store.put(&format!("servers/{}", backend.id), &backend.entry("draining", 2, born));
        note(record, &format!("store: {} is draining, acknowledged", backend.id));
    }
    let acked = Instant::now();
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        note(record, "daemon 0 gets SIGKILL");
        daemons[0].kill();
        thread::sleep(Duration::from_millis(500));
        daemons[0].start(false).map_err(|error| format!("cannot start the daemon: {error}"))?;
        note(record, "daemon 0 is started again");
    }
    thread::sleep(STAY.saturating_sub(acked.elapsed()));
    for backend in &backends[leaving.clone()] {
        store.remove(&format!("servers/{}", backend.id));
        backend.end();
        note(record, &format!("{} has ended", backend.id));
    }
    thread::sleep(Duration::from_secs(2));
    finish(&load, clients, &mut daemons)?;

    let sent = load.sent.lock().expect("no panic");
    let arrivals = arrivals.lock().expect("no panic");
    note_arrivals(record, &arrivals);
    let mut late = [0; 3];
    let (mut first, mut calm) = (None, 0);
    for arrival in arrivals.iter() {
        let Some(origin) = sent.get(&arrival.id) else { continue };
        // In touch: the daemon's process ran for `contact_s` before the request was sent.
        let in_touch_from = daemons[origin.daemon].started + CONTACT;
        let is_in_touch = origin.at >= in_touch_from;
        calm += usize::from(is_in_touch && origin.daemon == 0 && origin.at > acked);
        if !leaving.contains(&arrival.backend) || !is_in_touch || arrival.at < acked + DRAIN {
            continue;
        }
        late[origin.daemon] += 1;
        let after = arrival.at.duration_since(acked).as_secs_f64();
        first.get_or_insert(after);
        note(record, &format!(
            "LATE: {} from daemon {} reached i-{:03} {after:.3} s after its draining was acknowledged",
            arrival.id, origin.daemon, arrival.backend
        ));
    }
    note(record, &format!("daemon 0: {calm} requests after the acknowledgement, in touch"));
    note(record, &format!("late requests from each daemon: {late:?}, the first after {first:?} s"));
    if calm < 50 {
        return Err("too few requests through daemon 0".to_owned());
    }
    Ok(late.iter().sum::<usize>() > 0)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record: Record = Arc::new(Mutex::new((Instant::now(), Vec::new())));
    let folder = std::env::temp_dir().join(format!("review-{:016x}", daemon::random()));
    let outcome = match (case.as_str(), fs::create_dir_all(&folder)) {
        ("pages", Ok(())) => pages(&record, &folder, has_trouble),
        ("lines", Ok(())) => lines(&record, &folder, has_trouble),
        ("heartbeat", Ok(())) => heartbeat(&record, &folder, has_trouble),
        (_, Err(error)) => Err(format!("no temporary folder: {error}")),
        (case, _) => Err(format!("no such case: {case}")),
    };
    let _removed = fs::remove_dir_all(&folder);
    let (text, code) = match &outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    note(&record, &text);
    println!("{text}");
    let lines = record.lock().expect("no panic").1.join("\n");
    let written = fs::File::create(path).and_then(|mut file| writeln!(file, "{lines}"));
    match written {
        Ok(()) => ExitCode::from(code),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            ExitCode::from(2)
        }
    }
}
