//! Case 12: a VM gets SIGTERM while clients have several requests on a connection.

use crate::Setting;
use crate::backend;
use crate::fleet::{LARGE_BOUNDS, Place, Record, Vm};
use crate::http;
use crate::link::{self, Terms};
use crate::names;
use crate::store::Store;
use std::collections::BTreeSet;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One way to clients 8 ms, and the narrowest link of a machine 12 Mbit/s.
const LINK: Terms = Terms {
    delay: Duration::from_millis(8),
    rate: 12e6 / 8.0,
};
/// Clients of the VM that is stopped.
const CLIENTS: usize = 2;
/// How often a client sends a look-up.
const INTERVAL: Duration = Duration::from_millis(25);
/// Every this many requests, a client sends one for a download instead.
const DOWNLOAD_EACH: usize = 20;
/// Requests that a client has on its connection at most.
const MOST_OPEN: usize = 8;
/// Bytes of the answer to a look-up, and to a download, which has 540,000 at most.
const LOOKUP_BYTES: usize = 1_500;
const DOWNLOAD_BYTES: usize = 300_000;
/// What a backend works.
const WORK: Duration = Duration::from_millis(100);
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_100);
/// When the signal is sent, after the start of traffic.
const SIGNAL_AT: Duration = Duration::from_secs(4);
/// How long traffic goes on after that.
const AFTER: Duration = Duration::from_secs(7);

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"tenants":[],"listeners":[{"host":"jepu9.example","rule_set":[
{"name":"r-6sz9frg","kind":"idempotent","target_latency_s":0.437,"priority":2,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/lepu270/"},"action":{"service":"huvo11a","timeout_s":3.2,
"max_attempts":2,"allowed_regions":[]}},
{"name":"r-2hw8kqe","kind":"download","target_latency_s":0.525,"priority":2,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/fiti832/"},"action":{"service":"kafi81c","timeout_s":3.2,
"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"huvo11a","health_path":"/health",
"max_connections":390,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60},{"name":"kafi81c",
"health_path":"/health","max_connections":390,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60}]}"#;

/// What clients and backends saw.
#[derive(Default)]
struct Seen {
    /// Requests that a backend answered whole.
    served: Mutex<BTreeSet<String>>,
    /// Requests that a client got a whole answer to.
    answered: AtomicUsize,
    broken: AtomicUsize,
}

pub fn run(setting: &Setting) -> io::Result<usize> {
    let store = Store::start()?;
    store.put("@document", CONFIG);
    let seen = Arc::new(Seen::default());
    for (id, service, zone) in [
        ("i-7f3a91c2", "huvo11a", "taipei-a"),
        ("i-02d9e6b4", "huvo11a", "taoyuan-b"),
        ("i-5c1e77d0", "huvo11a", "taipei-a"),
        ("i-9ab03f15", "huvo11a", "taoyuan-b"),
        ("i-11f0a2c8", "kafi81c", "taipei-a"),
        ("i-c20d48e7", "kafi81c", "taoyuan-b"),
    ] {
        let (record, seen) = (setting.record.clone(), Arc::clone(&seen));
        backend::start(&store, (id, service, zone, 12), move |stream| {
            let _ = serve(stream, id, &record, &seen);
        })?;
    }
    let north = "tw-north";
    let places = [
        ("front-taipei-a-1", "taipei-a"),
        ("front-taoyuan-b-1", "taoyuan-b"),
    ];
    let mut vms = Vec::new();
    for (name, zone) in places {
        vms.push(Vm::start(
            &setting.folder.0,
            name,
            Place {
                zone,
                region: north,
            },
            &store,
            LARGE_BOUNDS,
        )?);
    }
    for vm in &mut vms {
        vm.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(2));
    let address = link::start(vms[0].front, LINK)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|number| {
        let (record, seen, is_over) = (
            setting.record.clone(),
            Arc::clone(&seen),
            Arc::clone(&is_over),
        );
        thread::spawn(move || client(number, address, &record, &seen, &is_over))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(SIGNAL_AT);
    if setting.has_trouble {
        setting
            .record
            .note(&format!("{} gets SIGTERM", vms[0].name));
        vms[0].signal("TERM")?;
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if seen.answered.load(Ordering::Relaxed) < 100 {
        return Err(io::Error::other("too few requests were answered"));
    }
    Ok(seen.broken.load(Ordering::Relaxed))
}

fn serve(stream: TcpStream, own_id: &str, record: &Record, seen: &Seen) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut input)? {
        http::read_body(&mut input, head.length().unwrap_or(0))?;
        if backend::is_misdirected(&head, own_id) {
            output.write_all(backend::misdirected(own_id).as_bytes())?;
            continue;
        }
        let id = backend::attempt_id(&head).to_owned();
        record.note(&format!("backend {own_id}: runs {id}"));
        thread::sleep(WORK);
        let length = answer_length(head.target());
        let head = format!(
            "HTTP/1.1 200 OK\r\n@attempt-id: {id}\r\n@signature: {id}.1\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        output.write_all(names::fill(&head).as_bytes())?;
        output.write_all(&vec![b'p'; length])?;
        record.note(&format!("backend {own_id}: answered {id} whole"));
        seen.served.lock().unwrap().insert(id);
    }
    Ok(())
}

fn answer_length(target: &str) -> usize {
    match target.starts_with("/fiti832/") {
        true => DOWNLOAD_BYTES,
        false => LOOKUP_BYTES,
    }
}

/// The requests that wait for an answer on a connection, the oldest first: id, target, and when it was sent.
type Open = Arc<Mutex<Vec<(String, String, Instant)>>>;

/// Sends requests on one connection, further ones before the first is answered, until a response closes
/// the connection; then goes on with a new one until none can be opened.
fn client(number: usize, address: SocketAddr, record: &Record, seen: &Seen, is_over: &AtomicBool) {
    let mut connections = 0;
    while !is_over.load(Ordering::Relaxed) {
        connections += 1;
        let name = format!("{number:02x}{connections:04x}");
        if connection(&name, address, record, seen, is_over).is_err() {
            thread::sleep(Duration::from_millis(200));
        }
    }
}

fn connection(
    name: &str,
    address: SocketAddr,
    record: &Record,
    seen: &Seen,
    is_over: &AtomicBool,
) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let mut output = stream.try_clone()?;
    let open: Open = Arc::default();
    let is_closing = Arc::new(AtomicBool::new(false));
    let reading = {
        let (open, is_closing) = (Arc::clone(&open), Arc::clone(&is_closing));
        thread::spawn(move || read_answers(stream, &open, &is_closing))
    };
    let mut count = 0;
    let mut sent = Ok(());
    while !is_over.load(Ordering::Relaxed) && !is_closing.load(Ordering::Relaxed) && sent.is_ok() {
        if open.lock().unwrap().len() < MOST_OPEN {
            count += 1;
            let id = format!("{name}{count:010x}");
            let target = match count % DOWNLOAD_EACH {
                2 => format!("/fiti832/{count}"),
                _ => format!("/lepu270/{count}"),
            };
            open.lock()
                .unwrap()
                .push((id.clone(), target.clone(), Instant::now()));
            let request = format!(
                "GET {target} HTTP/1.1\r\nHost: jepu9.example\r\n@attempt-id: {id}\r\n\
                 @deadline: {}\r\n\r\n",
                DEADLINE.as_millis()
            );
            sent = output.write_all(names::fill(&request).as_bytes());
        }
        thread::sleep(INTERVAL);
    }
    let answered = reading.join().unwrap_or(0);
    seen.answered.fetch_add(answered, Ordering::Relaxed);
    if answered > 0 {
        record.note(&format!(
            "client: connection {name} ended after {answered} whole answers"
        ));
    }
    if is_over.load(Ordering::Relaxed) {
        return Ok(());
    }
    for (id, target, sent_at) in open.lock().unwrap().iter() {
        let is_served = seen.served.lock().unwrap().contains(id);
        let age = sent_at.elapsed();
        if is_served && age < DEADLINE {
            let millis = age.as_millis();
            record.note(&format!(
                "LOST: {id} ({target}) was answered whole by its backend; its connection ended {millis} ms after \
                 it was sent, without that answer"
            ));
            seen.broken.fetch_add(1, Ordering::Relaxed);
        }
    }
    sent
}

/// Reads the answers of a connection to its end, and returns how many were whole.
fn read_answers(stream: TcpStream, open: &Open, is_closing: &AtomicBool) -> usize {
    let mut input = BufReader::new(stream);
    let mut answered = 0;
    while let Ok(Some(head)) = http::read_head(&mut input) {
        let says_close = head
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if says_close {
            is_closing.store(true, Ordering::Relaxed);
        }
        let mut body = Vec::new();
        let length = head.length().unwrap_or(0);
        let _ = (&mut input).take(length as u64).read_to_end(&mut body);
        if body.len() < length {
            break;
        }
        let mut open = open.lock().unwrap();
        if !open.is_empty() {
            open.remove(0);
        }
        answered += 1;
        if says_close {
            break;
        }
    }
    is_closing.store(true, Ordering::Relaxed);
    answered
}
