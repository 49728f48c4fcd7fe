//! Case 14: a VM gets SIGTERM while backends read long requests slowly.

use crate::Setting;
use crate::backend;
use crate::fleet::{BRAGA_BOUNDS, Place, Record, Vm};
use crate::http;
use crate::names;
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients, each with one request.
const CLIENTS: usize = 4;
/// Bytes of a request's body; `max_body_bytes` allows 64 MiB.
const REQUEST_BYTES: usize = 8 << 20;
/// What a backend reads at first.
const READ_FIRST: usize = 64 << 10;
/// What a backend works: a slow reader before it reads on, any other when it has read the whole request.
const WORK: Duration = Duration::from_millis(1_500);
/// The clients' deadline, which is the longest of the site's non-idempotent requests.
const DEADLINE: Duration = Duration::from_secs(4);
/// How long after the requests were sent the VM gets the signal.
const SIGNAL_AFTER: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"tenants":[],"listeners":[{"host":"hulo84.example","rule_set":[
{"name":"r-e9itfrz","kind":"non_idempotent","target_latency_s":3,"priority":1,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/xapu221/"},"action":{"service":"wuno96b","timeout_s":4,
"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"wuno96b","health_path":"/health",
"max_connections":390,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60}]}"#;

/// The requests that backends began with, and whether they lost the connection before they had read them.
type Begun = Arc<Mutex<BTreeMap<String, bool>>>;

pub fn run(setting: &Setting) -> io::Result<usize> {
    let store = Store::start()?;
    store.put("@document", CONFIG);
    let begun: Begun = Arc::default();
    let has_trouble = setting.has_trouble;
    for (id, zone) in [("i-7f3a91c2", "taipei-a"), ("i-02d9e6b4", "taoyuan-b")] {
        let (record, begun) = (setting.record.clone(), Arc::clone(&begun));
        backend::start(&store, (id, "wuno96b", zone, 6), move |stream| {
            let _ = serve(stream, id, has_trouble, &record, &begun);
        })?;
    }
    let north = "tw-north";
    let mut vms = Vec::new();
    for (name, zone) in [
        ("front-taipei-a-1", "taipei-a"),
        ("front-taoyuan-b-1", "taoyuan-b"),
    ] {
        vms.push(Vm::start(
            &setting.folder.0,
            name,
            Place {
                zone,
                region: north,
            },
            &store,
            BRAGA_BOUNDS,
        )?);
    }
    for vm in &mut vms {
        vm.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let front = vms[0].front;
    let clients = (0..CLIENTS).map(|number| {
        let record = setting.record.clone();
        thread::spawn(move || send(front, &format!("{number:016x}"), &record))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(SIGNAL_AFTER);
    setting
        .record
        .note(&format!("{} gets SIGTERM", vms[0].name));
    vms[0].signal("TERM")?;
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default())
        .collect();
    thread::sleep(Duration::from_secs(1));
    let begun = begun.lock().unwrap();
    if begun.is_empty() {
        return Err(io::Error::other("no request reached a backend"));
    }
    let mut broken = 0;
    for (number, (status, age)) in answers.into_iter().enumerate() {
        let id = format!("{number:016x}");
        let was_cut = begun.get(&id).copied().unwrap_or(false);
        if was_cut && status != 200 && age < DEADLINE {
            broken += 1;
            setting.record.note(&format!(
                "LOST: {id} was broken off while its backend was at work, and answered {status} after {} ms",
                age.as_millis()
            ));
        }
    }
    Ok(broken)
}

fn serve(
    stream: TcpStream,
    own_id: &str,
    is_slow_reader: bool,
    record: &Record,
    begun: &Begun,
) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut input)? {
        let length = head.length().unwrap_or(0);
        if backend::is_misdirected(&head, own_id) {
            http::read_body(&mut input, length)?;
            output.write_all(backend::misdirected(own_id).as_bytes())?;
            continue;
        }
        let id = backend::attempt_id(&head).to_owned();
        record.note(&format!("backend {own_id}: begins {id}"));
        begun.lock().unwrap().insert(id.clone(), false);
        http::read_body(&mut input, READ_FIRST.min(length))?;
        if is_slow_reader {
            thread::sleep(WORK);
        }
        let rest = length.saturating_sub(READ_FIRST) as u64;
        let read = io::copy(&mut input.by_ref().take(rest), &mut io::sink());
        if !matches!(read, Ok(count) if count == rest) {
            record.note(&format!(
                "backend {own_id}: the connection of {id} was cut while it read the request"
            ));
            begun.lock().unwrap().insert(id, true);
            return Ok(());
        }
        if !is_slow_reader {
            thread::sleep(WORK);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\n@attempt-id: {id}\r\n@signature: {id}.1\r\n\
             Content-Length: 4\r\n\r\ndone"
        );
        output.write_all(names::fill(&answer).as_bytes())?;
        record.note(&format!("backend {own_id}: answered {id}"));
    }
    Ok(())
}

/// Sends a request, and returns the status of the answer, 0 for none, and how long it took.
fn send(front: SocketAddr, id: &str, record: &Record) -> (u16, Duration) {
    let sent_at = Instant::now();
    let status = exchange(front, id).unwrap_or(0);
    let age = sent_at.elapsed();
    record.note(&format!(
        "client: {id} answered {status} after {} ms",
        age.as_millis()
    ));
    (status, age)
}

fn exchange(front: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let head = format!(
        "POST /xapu221/2f HTTP/1.1\r\nHost: hulo84.example\r\n@attempt-id: {id}\r\n\
         @deadline: {}\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n",
        DEADLINE.as_millis()
    );
    stream.write_all(names::fill(&head).as_bytes())?;
    stream.write_all(&vec![b'q'; REQUEST_BYTES])?;
    let head = http::read_head(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(head.status())
}
