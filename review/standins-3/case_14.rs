//! Case 14: the reader of a VM's standard output stops reading for a while.

use crate::Setting;
use crate::backend;
use crate::fleet::{BOUNDS, Place, Record, Vm};
use crate::http;
use crate::store::Store;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{ChildStdout, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Clients, each with one request at a time.
const CLIENTS: usize = 16;
/// The pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
/// What a backend works; one request in four is refused as the backend is full.
const WORK: Duration = Duration::from_millis(50);
const SHED_EACH: usize = 4;
/// The route's timeout and the clients' deadline.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long after the timeout an answer may come at the latest.
const SLACK: Duration = Duration::from_millis(500);
/// When the reader stops, after the start of traffic, and for how long.
const STALL_AT: Duration = Duration::from_secs(5);
const STALL: Duration = Duration::from_secs(50);
/// How long traffic goes on after that.
const AFTER: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"tenants":[],"listeners":[{"host":"jepu9.example","rule_set":[
{"name":"r-6sz9frg","kind":"idempotent","target_latency_s":0.25,"priority":2,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/lepu270/"},"action":{"service":"huvo11a","timeout_s":2,
"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"huvo11a","health_path":"/health",
"max_connections":390,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":60}]}"#;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    answered: AtomicUsize,
    /// Requests without an answer at their timeout, and those of them without one half a second later.
    late: AtomicUsize,
    missing: AtomicUsize,
}

pub fn run(setting: &Setting) -> io::Result<usize> {
    let store = Store::start()?;
    store.put("op/config", CONFIG);
    let served = Arc::new(AtomicUsize::new(0));
    for (id, zone) in [("i-7f3a91c2", "taipei-a"), ("i-02d9e6b4", "taoyuan-b"), ("i-5c1e77d0", "taipei-a")] {
        let served = Arc::clone(&served);
        backend::start(&store, (id, "huvo11a", zone, 12), move |stream| {
            let _ = serve(stream, id, &served);
        })?;
    }
    let place = Place { zone: "taipei-a", region: "tw-north" };
    let folder = &setting.folder.0;
    let name = "front-taipei-a-1";
    let mut vm = Vm::start_logging(folder, name, place, &store, BOUNDS, Stdio::piped())?;
    let is_stalled = Arc::new(AtomicBool::new(false));
    if let Some(output) = vm.take_output() {
        let is_stalled = Arc::clone(&is_stalled);
        thread::spawn(move || read_log(output, &is_stalled));
    }
    vm.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let counts = Arc::new(Counts::default());
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|number| {
        let (record, counts, is_over) = (setting.record.clone(), Arc::clone(&counts), Arc::clone(&is_over));
        let front = vm.front;
        thread::spawn(move || client(number, front, &record, &counts, &is_over))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(STALL_AT);
    if setting.has_trouble {
        setting.record.note("the reader of the VM's standard output stops");
        is_stalled.store(true, Ordering::Relaxed);
    }
    thread::sleep(STALL);
    setting.record.note("the reader goes on");
    is_stalled.store(false, Ordering::Relaxed);
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let (late, missing) = (count(&counts.late), count(&counts.missing));
    setting.record.note(&format!(
        "sent {}, answered {}, without an answer at the timeout {late}, half a second later {missing}",
        count(&counts.sent),
        count(&counts.answered),
    ));
    if count(&counts.answered) < 100 {
        return Err(io::Error::other("too few requests were answered"));
    }
    Ok(if missing * 2 > late { missing } else { 0 })
}

/// Reads the VM's log, but for the time of the stall.
fn read_log(mut output: ChildStdout, is_stalled: &AtomicBool) {
    let mut piece = [0; 4096];
    loop {
        while is_stalled.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        if !matches!(output.read(&mut piece), Ok(count) if count > 0) {
            return;
        }
    }
}

fn serve(stream: TcpStream, own_id: &str, served: &AtomicUsize) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut input)? {
        http::read_body(&mut input, head.length().unwrap_or(0))?;
        let id = backend::attempt_id(&head);
        if backend::is_misdirected(&head, own_id) {
            output.write_all(backend::misdirected(own_id).as_bytes())?;
        } else if served.fetch_add(1, Ordering::Relaxed) % SHED_EACH == 0 {
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Dahliawood-Attempt-Id: {id}\r\n\
                 X-Dahliawood-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            output.write_all(answer.as_bytes())?;
        } else {
            thread::sleep(WORK);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Dahliawood-Attempt-Id: {id}\r\nX-Dahliawood-Response-Signature: {id}.1\r\n\
                 Content-Length: 4\r\n\r\ndone"
            );
            output.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}

/// Sends one request after the other, each on a new connection.
fn client(number: usize, front: SocketAddr, record: &Record, counts: &Counts, is_over: &AtomicBool) {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{number:04x}{count:012x}");
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let sent_at = Instant::now();
        let answered = exchange(front, &id);
        let age = sent_at.elapsed();
        if let Ok(status) = &answered {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            record.note(&format!("client: {id} answered {status} after {} ms", age.as_millis()));
        }
        if age >= TIMEOUT {
            counts.late.fetch_add(1, Ordering::Relaxed);
        }
        if answered.is_err() && age >= TIMEOUT + SLACK {
            counts.missing.fetch_add(1, Ordering::Relaxed);
            record.note(&format!("CONFIG: {id} has no answer {} ms after it was sent", age.as_millis()));
        }
        thread::sleep(CLIENT_PAUSE);
    }
}

fn exchange(front: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(TIMEOUT + SLACK))?;
    let head = format!(
        "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Dahliawood-Attempt-Id: {id}\r\n\
         X-Dahliawood-Deadline-Ms: {}\r\nConnection: close\r\n\r\n",
        TIMEOUT.as_millis()
    );
    stream.write_all(head.as_bytes())?;
    let head = http::read_head(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(head.status())
}
