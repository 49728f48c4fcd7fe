//! Case 13: clients that always have some requests waiting on their connections, on a VM with little memory.

use crate::Setting;
use crate::backend;
use crate::fleet::{BRAGA_BOUNDS, Place, Record, Vm};
use crate::http;
use crate::names;
use crate::store::Store;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of the smallest VM of the site, bytes. A process that exceeds it is killed.
const MEMORY: u64 = 160 << 20;
/// Clients, each with one connection, and the requests that each has on it: those that send further requests
/// before the first is answered, and as many as make the same load that do not.
const PIPELINING: Load = Load {
    clients: 20,
    open: 16,
};
const ONE_BY_ONE: Load = Load {
    clients: 160,
    open: 1,
};
/// Bytes of cookies in a request; `max_header_bytes` allows 16,384.
const COOKIE_BYTES: usize = 8_000;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 400;
/// How long the case runs at most.
const LENGTH: Duration = Duration::from_secs(75);
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// What a backend works.
const WORK: Duration = Duration::from_millis(200);

struct Load {
    clients: usize,
    open: usize,
}

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"tenants":[],"listeners":[{"host":"jepu9.example","rule_set":[
{"name":"r-6sz9frg","kind":"idempotent","target_latency_s":0.4,"priority":2,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/lepu270/"},"action":{"service":"huvo11a","timeout_s":3,
"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"huvo11a","health_path":"/health",
"max_connections":1560,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60}]}"#;

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    /// Requests that a backend ran and whose connection ended without their answer.
    lost: AtomicUsize,
}

/// Requests that backends have begun with.
type Begun = Arc<Mutex<BTreeSet<String>>>;

pub fn run(setting: &Setting) -> io::Result<usize> {
    let store = Store::start()?;
    store.put("@document", CONFIG);
    let begun: Begun = Arc::default();
    for number in 0..12 {
        let begun = Arc::clone(&begun);
        let zone = if number % 2 == 0 {
            "taipei-a"
        } else {
            "taoyuan-b"
        };
        let id = format!("i-{number:08x}");
        let own_id = id.clone();
        backend::start(&store, (&id, "huvo11a", zone, 40), move |stream| {
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
    let Load { clients, open } = if setting.has_trouble {
        PIPELINING
    } else {
        ONE_BY_ONE
    };
    let counts = Arc::new(Counts::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = (0..clients).map(|number| {
        let (counts, is_over, begun) = (
            Arc::clone(&counts),
            Arc::clone(&is_over),
            Arc::clone(&begun),
        );
        let (record, front) = (setting.record.clone(), vm.front);
        thread::spawn(move || client(number, open, front, &record, &counts, &begun, &is_over))
    });
    let clients: Vec<_> = clients.collect();
    let started = Instant::now();
    let mut was_killed = false;
    for second in 0.. {
        thread::sleep(Duration::from_millis(500));
        let memory = vm.memory().unwrap_or(0);
        if second % 10 == 0 {
            let answered = counts.answered.load(Ordering::Relaxed);
            setting.record.note(&format!(
                "the VM has {} KiB in memory, {answered} requests answered",
                memory >> 10
            ));
        }
        if memory > MEMORY {
            setting
                .record
                .note("the platform kills the VM's process, which exceeds its memory");
            vm.signal("KILL")?;
            was_killed = true;
            break;
        }
        if started.elapsed() > LENGTH {
            break;
        }
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(!was_killed, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if counts.answered.load(Ordering::Relaxed) < 1_000 {
        return Err(io::Error::other("too few requests were answered"));
    }
    // The rule allows three.
    let lost = counts.lost.load(Ordering::Relaxed);
    Ok(if lost > 3 { lost } else { 0 })
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
        begun.lock().unwrap().insert(id.to_owned());
        thread::sleep(WORK);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n@attempt-id: {id}\r\n@signature: {id}.1\r\n\
             Content-Length: {ANSWER_BYTES}\r\n\r\n{}",
            "p".repeat(ANSWER_BYTES)
        );
        output.write_all(names::fill(&answer).as_bytes())?;
    }
    Ok(())
}

/// Keeps `open` requests on one connection until it ends.
fn client(
    number: usize,
    open: usize,
    front: SocketAddr,
    record: &Record,
    counts: &Counts,
    begun: &Begun,
    is_over: &AtomicBool,
) {
    let mut waiting = VecDeque::new();
    let ended = exchange_all(number, open, front, &mut waiting, counts, is_over);
    if is_over.load(Ordering::Relaxed) {
        return;
    }
    let begun = begun.lock().unwrap();
    let lost = waiting.iter().filter(|id| begun.contains(*id)).count();
    counts.lost.fetch_add(lost, Ordering::Relaxed);
    record.note(&format!(
        "LOST: client {number}: {ended:?}; of {} requests without an answer {lost} had been passed on",
        waiting.len()
    ));
}

fn exchange_all(
    number: usize,
    open: usize,
    front: SocketAddr,
    waiting: &mut VecDeque<String>,
    counts: &Counts,
    is_over: &AtomicBool,
) -> io::Result<()> {
    let stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let cookie = "c".repeat(COOKIE_BYTES);
    let mut count = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        while waiting.len() < open {
            count += 1;
            let id = format!("{number:04x}{count:012x}");
            let request = format!(
                "GET /lepu270/{count} HTTP/1.1\r\nHost: jepu9.example\r\n@attempt-id: {id}\r\n\
                 Cookie: s={cookie}\r\n@deadline: {}\r\n\r\n",
                DEADLINE.as_millis()
            );
            waiting.push_back(id);
            output.write_all(names::fill(&request).as_bytes())?;
        }
        let head = http::read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        let length = head.length().unwrap_or(0);
        (&mut input).take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        waiting.pop_front();
        counts.answered.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
