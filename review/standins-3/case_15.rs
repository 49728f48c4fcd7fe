//! Case 15: clients that keep their connections open after a longer request, on a VM with little memory.

use crate::Setting;
use crate::backend;
use crate::fleet::{BRAGA_BOUNDS, Place, Vm};
use crate::http;
use crate::names;
use crate::store::Store;
use std::collections::BTreeSet;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the smallest VM of the site, bytes. A process that exceeds it is killed.
const MEMORY: u64 = 160 << 20;
/// Connections that are kept at most; the VM has 4,100 descriptors.
const KEPT: usize = 1_500;
/// The pause between two of these clients, so that all come within four fifths of `idle_timeout_s`.
const CLIENT_PAUSE: Duration = Duration::from_millis(7);
/// Bytes of the body that each of them sends; `max_body_bytes` allows 64 MiB.
const REQUEST_BYTES: usize = 70_000;
/// Clients that have one small request at a time on their connections, all the while.
const STEADY: usize = 20;
/// What a backend works for these.
const WORK: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"tenants":[],"listeners":[{"host":"jepu9.example","rule_set":[
{"name":"r-6sz9frg","kind":"idempotent","target_latency_s":0.4,"priority":2,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/lepu270/"},"action":{"service":"huvo11a","timeout_s":3,
"max_attempts":2,"allowed_regions":[]}},
{"name":"r-e9itfrz","kind":"non_idempotent","target_latency_s":0.5,"priority":1,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/xapu221/"},"action":{"service":"wuno96b","timeout_s":4,
"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"huvo11a","health_path":"/health",
"max_connections":1560,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60},{"name":"wuno96b",
"health_path":"/health","max_connections":1560,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60}]}"#;

/// Requests of the steady clients that backends have begun with.
type Begun = Arc<Mutex<BTreeSet<String>>>;

pub fn run(setting: &Setting) -> io::Result<usize> {
    let store = Store::start()?;
    store.put("@document", CONFIG);
    let begun: Begun = Arc::default();
    for number in 0..8 {
        let begun = Arc::clone(&begun);
        let zone = if number % 2 == 0 {
            "taipei-a"
        } else {
            "taoyuan-b"
        };
        let service = if number < 4 { "huvo11a" } else { "wuno96b" };
        let id = format!("i-{number:08x}");
        let own_id = id.clone();
        backend::start(&store, (&id, service, zone, 40), move |stream| {
            let _ = serve(stream, &own_id, &begun);
        })?;
    }
    let place = Place {
        zone: "taipei-a",
        region: "tw-north",
    };
    let mut vm = Vm::start(
        &setting.folder.0,
        "front-taipei-a-1",
        place,
        &store,
        BRAGA_BOUNDS,
    )?;
    vm.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let steady = (0..STEADY).map(|number| {
        let (record, begun) = (setting.record.clone(), Arc::clone(&begun));
        let (is_over, lost, front) = (Arc::clone(&is_over), Arc::clone(&lost), vm.front);
        thread::spawn(move || {
            let Err((id, error)) = steady_client(number, front, &is_over) else {
                return;
            };
            let was_passed_on = begun.lock().unwrap().contains(&id);
            lost.fetch_add(usize::from(was_passed_on), Ordering::Relaxed);
            record.note(&format!(
                "LOST: {id} has no answer ({error}), passed on: {was_passed_on}"
            ));
        })
    });
    let steady: Vec<_> = steady.collect();
    thread::sleep(Duration::from_secs(2));
    let was_killed = keep_connections(setting, &vm)?;
    is_over.store(!was_killed, Ordering::Relaxed);
    for client in steady {
        let _ = client.join();
    }
    // The rule allows three.
    let lost = lost.load(Ordering::Relaxed);
    Ok(if lost > 3 { lost } else { 0 })
}

/// Has one client after the other send a longer request and keep its connection; without the disruption it
/// closes the connection. Returns whether the platform has killed the VM's process for its memory.
fn keep_connections(setting: &Setting, vm: &Vm) -> io::Result<bool> {
    let mut kept = Vec::new();
    let mut answered = 0;
    let begun = Instant::now();
    for number in 0..KEPT {
        let (status, stream) = upload(vm.front, number)?;
        answered += usize::from(status == 200);
        if setting.has_trouble {
            kept.push(stream);
        }
        thread::sleep(CLIENT_PAUSE);
        let memory = vm.memory().unwrap_or(0);
        if number % 100 == 0 || memory > MEMORY {
            setting.record.note(&format!(
                "{} connections are kept, {answered} requests answered 200 in {:.1} s, the VM has {} KiB in memory",
                kept.len(),
                begun.elapsed().as_secs_f64(),
                memory >> 10
            ));
        }
        if memory > MEMORY {
            setting
                .record
                .note("the platform kills the VM's process, which exceeds its memory");
            vm.signal("KILL")?;
            return Ok(true);
        }
    }
    if answered < KEPT * 9 / 10 {
        return Err(io::Error::other("too few requests were answered"));
    }
    Ok(false)
}

fn serve(stream: TcpStream, own_id: &str, begun: &Begun) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut input)? {
        http::read_body(&mut input, head.length().unwrap_or(0))?;
        if backend::is_misdirected(&head, own_id) {
            output.write_all(backend::misdirected(own_id).as_bytes())?;
            continue;
        }
        let id = backend::attempt_id(&head);
        if head.method() == "GET" {
            begun.lock().unwrap().insert(id.to_owned());
            thread::sleep(WORK);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\n@attempt-id: {id}\r\n@signature: {id}.1\r\n\
             Content-Length: 4\r\n\r\ndone"
        );
        output.write_all(names::fill(&answer).as_bytes())?;
    }
    Ok(())
}

/// Sends one request with a longer body; returns the status of the answer, and the connection.
fn upload(front: SocketAddr, number: usize) -> io::Result<(u16, TcpStream)> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let head = format!(
        "POST /xapu221/2f HTTP/1.1\r\nHost: jepu9.example\r\n@attempt-id: ffff{number:012x}\r\n\
         @deadline: 4000\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    stream.write_all(names::fill(&head).as_bytes())?;
    stream.write_all(&vec![b'q'; REQUEST_BYTES])?;
    let mut input = BufReader::new(stream.try_clone()?);
    let head = http::read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    http::read_body(&mut input, head.length().unwrap_or(0))?;
    Ok((head.status(), stream))
}

/// Sends one small request after the other on one connection; fails with the id of the first without an answer.
fn steady_client(
    number: usize,
    front: SocketAddr,
    is_over: &AtomicBool,
) -> Result<(), (String, io::Error)> {
    let first = format!("{number:04x}{:012x}", 0);
    let connected = TcpStream::connect(front)
        .and_then(|stream| Ok((stream.try_clone()?, BufReader::new(stream))));
    let (mut output, mut input) = connected.map_err(|error| (first, error))?;
    for count in 0_u64.. {
        let id = format!("{number:04x}{count:012x}");
        let request = format!(
            "GET /lepu270/{count} HTTP/1.1\r\nHost: jepu9.example\r\n@attempt-id: {id}\r\n\
             @deadline: 3000\r\n\r\n"
        );
        let mut exchange = || {
            output.write_all(names::fill(&request).as_bytes())?;
            let head = http::read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let mut body = Vec::new();
            let length = head.length().unwrap_or(0);
            (&mut input).take(length as u64).read_to_end(&mut body)?;
            if body.len() < length {
                Err(io::ErrorKind::UnexpectedEof.into())
            } else {
                Ok(())
            }
        };
        exchange().map_err(|error: io::Error| (id, error))?;
        if is_over.load(Ordering::Relaxed) {
            break;
        }
    }
    Ok(())
}
