//! Case 11: a backend answers a long request before it has read all of it, without a length, and its
//! connection is reset halfway through the answer.

use crate::Setting;
use crate::backend;
use crate::fleet::{BOUNDS, Place, Record, Vm};
use crate::http;
use crate::names;
use crate::store::Store;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Requests that are sent, one after the other.
const REQUESTS: usize = 40;
/// One answer in this many is broken off: 5 in 100, the largest dose for answers without a length.
const BROKEN_EACH: usize = 20;
/// Bytes of a request's body; `max_body_bytes` allows 64 MiB.
const REQUEST_BYTES: usize = 12 << 20;
/// Bytes of an answer's body.
const ANSWER_BYTES: usize = 200_000;
/// What the backend reads of a request before it answers.
const READ_FIRST: usize = 64 << 10;

const CONFIG: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"tenants":[],"listeners":[{"host":"hulo84.example","rule_set":[
{"name":"r-e9itfrz","kind":"non_idempotent","target_latency_s":2,"priority":1,"auth_exempt":false,
"session_affinity":false,"match":{"prefix":"/xapu221/"},"action":{"service":"wuno96b","timeout_s":5,
"max_attempts":2,"allowed_regions":[]}}]}],"clusters":[{"name":"wuno96b","health_path":"/health",
"max_connections":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":6.2}]}"#;

pub fn run(setting: &Setting) -> io::Result<usize> {
    let store = Store::start()?;
    store.put("@document", CONFIG);
    let served = Arc::new(AtomicUsize::new(0));
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        let (record, served) = (setting.record.clone(), Arc::clone(&served));
        let has_trouble = setting.has_trouble;
        backend::start(&store, (id, "wuno96b", "taipei-a", 3), move |stream| {
            let _ = serve(stream, id, &record, &served, has_trouble);
        })?;
    }
    let place = Place {
        zone: "taipei-a",
        region: "tw-north",
    };
    let mut vm = Vm::start(&setting.folder.0, "front-taipei-a-1", place, &store, BOUNDS)?;
    vm.wait_until_ready()?;
    thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        match send(vm.front, &id) {
            Ok(Answer {
                status,
                body,
                is_complete,
            }) => {
                let is_whole = body == answer_body(&id);
                let note = format!(
                    "client: {id} answered {status}, {} of {ANSWER_BYTES} bytes, complete: {is_complete}, \
                     as the backend's: {is_whole}",
                    body.len()
                );
                setting.record.note(&note);
                let is_success = (200..300).contains(&status) && is_complete;
                answered += usize::from(is_success && is_whole);
                if is_success && !is_whole {
                    setting.record.note(&format!(
                        "MIXED: {id} is a success without the backend's whole body"
                    ));
                    broken += 1;
                }
            }
            Err(error) => setting
                .record
                .note(&format!("client: {id} got no answer: {error}")),
        }
    }
    // Without the answers that were to be whole the case says nothing.
    if answered < REQUESTS * 3 / 4 {
        return Err(io::Error::other(format!(
            "only {answered} requests were answered whole"
        )));
    }
    Ok(broken)
}

/// The body of the answer to a request.
fn answer_body(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(ANSWER_BYTES).collect()
}

/// A backend's side of a connection.
fn serve(
    stream: TcpStream,
    own_id: &str,
    record: &Record,
    served: &AtomicUsize,
    has_trouble: bool,
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
        let number = served.fetch_add(1, Ordering::Relaxed);
        let is_broken = has_trouble && number % BROKEN_EACH == BROKEN_EACH / 2;
        http::read_body(&mut input, READ_FIRST.min(length))?;
        record.note(&format!(
            "backend {own_id}: runs {id}, to be broken off: {is_broken}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n@attempt-id: {id}\r\n@signature: {id}.1\r\n\
             Connection: close\r\n\r\n"
        );
        output.write_all(names::fill(&head).as_bytes())?;
        let body = answer_body(&id);
        let (first, rest) = body.split_at(ANSWER_BYTES / 2);
        output.write_all(first)?;
        thread::sleep(Duration::from_millis(50));
        if is_broken {
            // Bytes of the request are unread, so that the end of the connection is a reset.
            record.note(&format!(
                "backend {own_id}: the connection of {id} is reset halfway"
            ));
            return Ok(());
        }
        output.write_all(rest)?;
        io::copy(
            &mut input.by_ref().take((length - READ_FIRST) as u64),
            &mut io::sink(),
        )?;
        return Ok(());
    }
    Ok(())
}

struct Answer {
    status: u16,
    body: Vec<u8>,
    /// Whether the answer came up to its end, by its own framing.
    is_complete: bool,
}

/// Sends a request on a new connection, and reads the answer while the body is sent.
fn send(front: SocketAddr, id: &str) -> io::Result<Answer> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let mut output = stream.try_clone()?;
    let head = format!(
        "POST /xapu221/2f HTTP/1.1\r\nHost: hulo84.example\r\n@attempt-id: {id}\r\n\
         @deadline: 5000\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    let sending = thread::spawn(move || {
        output.write_all(names::fill(&head).as_bytes())?;
        output.write_all(&vec![b'q'; REQUEST_BYTES])
    });
    let mut input = BufReader::new(stream);
    let head = http::read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    let is_complete = match head.length() {
        Some(length) => {
            input.take(length as u64).read_to_end(&mut body)?;
            body.len() == length
        }
        None => input.read_to_end(&mut body).is_ok(),
    };
    let _ = sending.join();
    Ok(Answer {
        status: head.status(),
        body,
        is_complete,
    })
}
