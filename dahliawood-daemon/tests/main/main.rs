//! Tests of the HTTP front end with a fleet in one process, called over raw TCP sockets.

mod budget;
mod caller;
mod unresponsive;

use async_std::task;
use dahliawood_testkit::fleet;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

const FILE_TEXT: &str = include_str!("../../../examples/lianguang.toml");
/// Size of a streamed response in bytes: more than the socket buffers on its way hold.
const STREAMED_BYTES: usize = 64 * 1024 * 1024;
/// How long a caller leaves its response unread: longer than a VM that shuts down waits for new
/// requests.
const READER_DELAY: Duration = Duration::from_secs(7);
/// Number of targets of the catalogue service in the example file.
const CATALOGUE_TARGETS: u8 = 20;
/// Number of callers that stream at the same time.
const CALLERS: usize = 4;

fn start(text: &str) -> fleet::EmbeddedFleet {
    let options = fleet::FleetOptions {
        file_text: text.to_owned(),
        vms: 3,
        delay: Duration::from_millis(1),
    };
    task::block_on(fleet::start(&options)).expect("the fleet starts")
}

fn ask(address: SocketAddr, bytes: &[u8]) -> caller::RawAnswer {
    let mut stream = caller::send(address, bytes).expect("the VM accepts the connection");
    caller::read(&mut stream)
}

#[test]
fn a_malformed_head_gets_400() {
    let fleet = start(FILE_TEXT);
    let answer = ask(fleet.daemons[0].listen, b"no head at all\r\n\r\n");
    assert_eq!(answer.status, Some(400));
    assert!(answer.is_whole());
}

#[test]
fn a_64_kib_head_gets_431() {
    let fleet = start(FILE_TEXT);
    let filler = "x".repeat(64 * 1024);
    let head = format!("GET /catalogue HTTP/1.1\r\nHost: vm\r\nX-Filler: {filler}\r\n\r\n");
    let answer = ask(fleet.daemons[0].listen, head.as_bytes());
    assert_eq!(answer.status, Some(431));
    assert!(answer.is_whole());
}

#[test]
fn a_stalled_body_gets_400_and_reaches_no_target() {
    let fleet = start(FILE_TEXT);
    let head = format!(
        "POST /confirmations HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer {}\r\n\
         Content-Length: 100\r\n\r\nten bytes.",
        caller::KEY
    );
    let answer = ask(fleet.daemons[0].listen, head.as_bytes());
    assert_eq!(answer.status, Some(400));
    let runs = fleet.targets.iter().map(|target| target.log().runs.len());
    assert_eq!(runs.sum::<usize>(), 0);
}

/// The configuration file with each target of the catalogue service moved to its own loopback
/// address and the given port.
fn with_catalogue_at(text: &str, port: u16) -> String {
    let parts: Vec<_> = text.split("address = \"").collect();
    let moved = |index: usize, part: &str| {
        let (_, rest) = part.split_once('"').expect("the address ends with a quote");
        format!("127.9.0.{}:{port}\"{rest}", index + 1)
    };
    let is_catalogue = |before: &str| {
        let name = before.rsplit("name = \"").next();
        name.is_some_and(|name| name.starts_with("catalogue-"))
    };
    let pairs = parts.windows(2).enumerate();
    let later = pairs.map(|(index, pair)| match is_catalogue(pair[0]) {
        true => moved(index, pair[1]),
        false => pair[1].to_owned(),
    });
    let all: Vec<_> = std::iter::once(parts[0].to_owned()).chain(later).collect();
    all.join("address = \"")
}

#[test]
fn unreachable_targets_give_503_and_not_run() {
    let fleet = start(FILE_TEXT);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let port = listener
        .local_addr()
        .expect("the listener has an address")
        .port();
    drop(listener);
    let text = with_catalogue_at(&fleet.text, port);
    task::block_on(fleet.apply(&text)).expect("the file is accepted");
    task::block_on(fleet.wait_for_revision(2)).expect("the file is in force");
    let answer = ask(
        fleet.daemons[0].listen,
        caller::get("/catalogue/a").as_bytes(),
    );
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, Some(503), "{body}");
    assert!(answer.is_whole());
    assert!(answer.header("retry-after").is_some());
    assert!(body.contains("\"ran\":\"not-run\""), "{body}");
}

/// Starts callers that stream large responses; returns the threads that read them.
fn stream(address: SocketAddr) -> Vec<thread::JoinHandle<caller::RawAnswer>> {
    let head = caller::get(&format!("/drawings/a?bytes={STREAMED_BYTES}"));
    let start = |_| {
        let mut stream =
            caller::send(address, head.as_bytes()).expect("the VM accepts the connection");
        // The response has begun and does not fit into the socket buffers.
        stream.peek(&mut [0]).expect("the response begins");
        thread::spawn(move || {
            thread::sleep(READER_DELAY);
            caller::read(&mut stream)
        })
    };
    (0..CALLERS).map(start).collect()
}

#[test]
fn graceful_shutdown_finishes_streamed_responses() {
    let mut fleet = start(FILE_TEXT);
    let daemon = fleet.daemons.remove(0);
    let streams = stream(daemon.listen);
    let outcome = task::block_on(daemon.shutdown());
    assert_eq!(outcome.cut, 0);
    for stream in streams {
        let answer = stream.join().expect("the caller thread does not panic");
        assert_eq!(answer.status, Some(200));
        assert_eq!(answer.body.len(), STREAMED_BYTES);
        assert!(answer.is_whole());
    }
}

#[test]
fn a_truncated_response_is_never_taken_as_complete() {
    let mut fleet = start(FILE_TEXT);
    let daemon = fleet.daemons.remove(0);
    let streams = stream(daemon.listen);
    task::block_on(daemon.abort());
    let answers = streams
        .into_iter()
        .map(|stream| stream.join().expect("the caller thread does not panic"));
    let answers: Vec<_> = answers.collect();
    for answer in &answers {
        let length = answer.header("content-length");
        assert_eq!(length, Some(STREAMED_BYTES.to_string()));
        assert!(answer.body.len() <= STREAMED_BYTES);
    }
    assert!(answers.iter().any(|answer| !answer.is_whole()));
}

#[test]
fn an_unresponsive_connection_fails_no_request() {
    let fleet = start(FILE_TEXT);
    let port = unresponsive::start(CATALOGUE_TARGETS);
    let text = with_catalogue_at(&fleet.text, port);
    task::block_on(fleet.apply(&text)).expect("the file is accepted");
    task::block_on(fleet.wait_for_revision(2)).expect("the file is in force");
    // One request more than there are targets, so that a connection is reused.
    for _ in 0..=CATALOGUE_TARGETS {
        let head = caller::get("/catalogue/a");
        let answer = ask(fleet.daemons[0].listen, head.as_bytes());
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, Some(200), "{body}");
        assert!(answer.is_whole());
    }
}
