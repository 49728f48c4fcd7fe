//! Relays a target's response to a caller. A truncated response must never look complete to the
//! caller.

use crate::support;
use async_std::task;
use dahliawood_wire::{client, server};
use futures::future;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response, StatusCode};
use proptest::prelude::*;
use std::sync::Mutex;

/// Two pipelined requests: bytes after a truncated response must not look like its missing part.
const REQUESTS: &[u8] = b"GET /path HTTP/1.1\r\nHost: vm\r\n\r\n\
    GET /second HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
/// Length of the second response, in bytes; longer than any response of the target.
const SECOND_BYTES: usize = 400_000;

/// What the caller concludes about the first response.
#[derive(Debug, PartialEq, Eq)]
enum SeenResponse {
    Complete(Vec<u8>),
    Truncated,
    Refused,
}

/// Classifies raw bytes without using the code under test.
fn classify(raw: &[u8]) -> SeenResponse {
    let Some(end) = raw.windows(4).position(|window| window == b"\r\n\r\n") else {
        return SeenResponse::Truncated;
    };
    let head = String::from_utf8_lossy(&raw[..end]).to_lowercase();
    let body = &raw[end + 4..];
    if !head.starts_with("http/1.1 200 ") {
        return SeenResponse::Refused;
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map(|length| length.parse::<usize>().unwrap());
    let complete = match length {
        Some(length) => body.get(..length).map(<[u8]>::to_vec),
        None => unchunk(body),
    };
    complete.map_or(SeenResponse::Truncated, SeenResponse::Complete)
}

/// The content of a chunked body, or `None` if its last chunk is missing.
fn unchunk(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..line]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(line + 2..line + 2 + size)?);
        rest = rest.get(line + 4 + size..)?;
    }
}

/// Relays a response; the target sends only the bytes `sent` and then closes.
fn relay(sent: &[u8], pieces: Vec<usize>) -> SeenResponse {
    let (near_target, mut target) = support::connection(pieces);
    let (near_caller, mut caller) = support::connection(Vec::new());
    let connection = Mutex::new(Some(near_target));
    let handler = |_: Request| forward(connection.lock().unwrap().take());
    let served = async {
        let options = server::ConnectionOptions::default();
        drop(server::connection(near_caller, &options, || false, handler).await);
    };
    let target_side = async move {
        let mut request = vec![0; 4096];
        let count = target.read(&mut request).await.unwrap();
        assert!(request[..count].ends_with(b"\r\n\r\n"));
        target.write_all(sent).await.unwrap();
    };
    let caller_side = async move {
        caller.write_all(REQUESTS).await.unwrap();
        let mut raw = Vec::new();
        caller.read_to_end(&mut raw).await.unwrap();
        raw
    };
    let ((), (), raw) = task::block_on(future::join3(served, target_side, caller_side));
    classify(&raw)
}

/// The target's response for the first request, a locally generated one for the second.
async fn forward(connection: Option<support::PipeEnd>) -> Response {
    let Some(connection) = connection else {
        let mut second = Response::new(StatusCode::Ok);
        second.set_body(vec![b'X'; SECOND_BYTES]);
        return second;
    };
    let url = http_types::Url::parse("http://target/path").unwrap();
    let options = client::ExchangeOptions::default();
    let exchanged = client::exchange(connection, Request::get(url), &options, |_| {}).await;
    exchanged.map_or_else(
        |_| Response::new(StatusCode::BadGateway),
        |outcome| outcome.response,
    )
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|index| b'a' + (index % 26) as u8).collect()
}

/// A response with this body, in chunks of `chunk` bytes or with a declared length.
fn response_bytes(body: &[u8], chunk: Option<usize>) -> Vec<u8> {
    let mut raw = b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n".to_vec();
    match chunk {
        None => {
            raw.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
            raw.extend(body);
        }
        Some(size) => {
            raw.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for piece in body.chunks(size) {
                raw.extend(format!("{:x}\r\n", piece.len()).bytes());
                raw.extend(piece);
                raw.extend(b"\r\n");
            }
            raw.extend(b"0\r\n\r\n");
        }
    }
    raw
}

#[test]
fn response_truncated_at_any_byte_is_never_complete() {
    for chunk in [None, Some(7)] {
        let body = body(60);
        let raw = response_bytes(&body, chunk);
        for cut in 0..raw.len() {
            let seen = relay(&raw[..cut], Vec::new());
            assert!(
                !matches!(seen, SeenResponse::Complete(_)),
                "cut at {cut}: {seen:?}"
            );
        }
        assert_eq!(relay(&raw, Vec::new()), SeenResponse::Complete(body));
    }
}

proptest! {
    #![proptest_config(support::property_config(64))]

    #[test]
    fn large_response_is_complete_only_if_all_bytes_arrive(
        length in 60_000..300_000_usize,
        chunk in prop::option::of(1_000..90_000_usize),
        cut in 0.0..1.1_f64,
        pieces in prop::collection::vec(1..40_000_usize, 0..20),
    ) {
        let body = body(length);
        let raw = response_bytes(&body, chunk);
        let sent = raw.len().min((raw.len() as f64 * cut) as usize);
        let seen = relay(&raw[..sent], pieces);
        if sent == raw.len() {
            prop_assert!(seen == SeenResponse::Complete(body));
        } else {
            prop_assert!(!matches!(seen, SeenResponse::Complete(_)));
        }
    }

    #[test]
    fn response_does_not_depend_on_read_sizes(
        length in 0..200_usize,
        chunk in prop::option::of(1..50_usize),
        pieces in prop::collection::vec(1..5_usize, 0..400),
    ) {
        let body = body(length);
        let raw = response_bytes(&body, chunk);
        prop_assert_eq!(relay(&raw, pieces), SeenResponse::Complete(body));
    }

    #[test]
    fn pipelined_requests_do_not_depend_on_read_sizes(
        requests in prop::collection::vec((0..60_usize, prop::option::of(1..20_usize)), 1..6),
        pieces in prop::collection::vec(1..9_usize, 0..400),
    ) {
        let mut raw = Vec::new();
        let mut expected = Vec::new();
        for (length, chunk) in &requests {
            let body = body(*length);
            raw.extend(b"POST /echo HTTP/1.1\r\nHost: vm\r\n");
            let framed = response_bytes(&body, *chunk);
            let framing = framed.windows(6).position(|window| window == b"200 OK").unwrap();
            raw.extend(&framed[framing + 8..]);
            expected.push(body);
        }
        prop_assert_eq!(converse(raw, pieces), expected);
    }
}

/// Sends the requests in `raw` and returns the bodies that the handler received.
fn converse(raw: Vec<u8>, pieces: Vec<usize>) -> Vec<Vec<u8>> {
    let (near, mut caller) = support::connection(pieces);
    let seen = Mutex::new(Vec::new());
    let handler = |mut request: Request| {
        let seen = &seen;
        async move {
            let body = request.body_bytes().await.unwrap();
            seen.lock().unwrap().push(body);
            Response::new(200)
        }
    };
    let options = server::ConnectionOptions {
        cancel_on_disconnect: false,
        ..server::ConnectionOptions::default()
    };
    let served = async {
        server::connection(near, &options, || false, handler)
            .await
            .unwrap();
    };
    let caller_side = async move {
        caller.write_all(&raw).await.unwrap();
        caller.close().await.unwrap();
        let mut responses = Vec::new();
        caller.read_to_end(&mut responses).await.unwrap();
    };
    task::block_on(future::join(served, caller_side));
    seen.into_inner().unwrap()
}
