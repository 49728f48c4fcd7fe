//! Tests of responses that are interrupted and resumed from another target.

use crate::support;
use async_std::task;
use dahliawood_wire::{client, resume};
use futures::FutureExt;
use futures::future::BoxFuture;
use futures::io::AsyncWriteExt;
use http_types::{Method, Request, Response, Url};
use proptest::prelude::*;
use std::fmt::Write;
use std::sync::Mutex;

const TOTAL: usize = 500;

/// The fault of the target that receives the range request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetFault {
    NoFault,
    OtherVersion,
    WholeInstead,
    OtherRange,
    /// The right number of bytes, but from another offset.
    ShiftedRange,
    NoResponse,
}

fn body() -> Vec<u8> {
    (0..TOTAL).map(|index| b'a' + (index % 23) as u8).collect()
}

/// The bytes of a response whose body begins at offset `from` and is truncated after `sent` bytes.
fn response_bytes(from: usize, sent: usize, fault: TargetFault) -> Vec<u8> {
    let etag = if fault == TargetFault::OtherVersion {
        "\"v2\""
    } else {
        "\"v1\""
    };
    let (status, from) = match (from, fault) {
        (0, _) | (_, TargetFault::WholeInstead) => ("200 OK", 0),
        (_, TargetFault::OtherRange) => ("206 Partial Content", from - 1),
        _ => ("206 Partial Content", from),
    };
    let left = TOTAL - from;
    let shift = usize::from(fault == TargetFault::ShiftedRange && from > 0);
    let from = from - shift;
    let mut raw = format!("HTTP/1.1 {status}\r\nETag: {etag}\r\nContent-Length: {left}\r\n");
    if status.starts_with("206") {
        let last = from + left - 1;
        write!(raw, "Content-Range: bytes {from}-{last}/{TOTAL}\r\n").unwrap();
    }
    raw += "\r\n";
    let mut raw = raw.into_bytes();
    raw.extend(&body()[from..(from + sent).min(from + left)]);
    raw
}

async fn exchange(raw: Vec<u8>, range: Option<resume::ResumeRange>) -> Option<Response> {
    let (near, mut target) = support::connection(Vec::new());
    let mut request = Request::get(Url::parse("http://target/pack").unwrap());
    if let Some(range) = &range {
        range.apply_to(&mut request);
    }
    let target_side = async move {
        let mut seen = [0; 1024];
        let count = futures::io::AsyncReadExt::read(&mut target, &mut seen)
            .await
            .unwrap();
        if let Some(range) = range {
            let expected = format!("range: bytes={}-\r\n", range.from);
            assert!(String::from_utf8_lossy(&seen[..count]).contains(&expected));
        }
        target.write_all(&raw).await.unwrap();
    };
    let options = client::ExchangeOptions::default();
    let client_side = client::exchange(near, request, &options, |_| {});
    let (exchanged, ()) = futures::future::join(client_side, target_side).await;
    exchanged.ok().map(|outcome| outcome.response)
}

/// Reads a response that is interrupted after `sent[0]` bytes and resumed with the other entries.
fn read(sent: &[usize], fault: TargetFault) -> Option<Vec<u8>> {
    let mut pieces = sent.iter().copied();
    let first = response_bytes(0, pieces.next().unwrap(), TargetFault::NoFault);
    let rest = Mutex::new(pieces.collect::<Vec<_>>().into_iter());
    let fetch = move |range: resume::ResumeRange| -> BoxFuture<'static, Option<Response>> {
        let piece = rest.lock().unwrap().next();
        async move {
            let piece = piece.filter(|_| fault != TargetFault::NoResponse)?;
            exchange(response_bytes(range.from, piece, fault), Some(range)).await
        }
        .boxed()
    };
    task::block_on(async {
        let response = exchange(first, None).await.unwrap();
        let max_retries = sent.len() as u32 - 1;
        let mut response =
            resume::resumable(response, Method::Get, false, max_retries, Box::new(fetch));
        response.body_bytes().await.ok()
    })
}

proptest! {
    #![proptest_config(support::property_config(256))]

    #[test]
    fn resumed_body_is_exact_or_fails(
        sent in prop::collection::vec(1..300_usize, 1..5),
        fault in prop_oneof![
            4 => Just(TargetFault::NoFault),
            1 => Just(TargetFault::OtherVersion),
            1 => Just(TargetFault::WholeInstead),
            1 => Just(TargetFault::OtherRange),
            1 => Just(TargetFault::ShiftedRange),
            1 => Just(TargetFault::NoResponse),
        ],
    ) {
        let whole = sent.iter().sum::<usize>() >= TOTAL;
        let expected = (whole && fault == TargetFault::NoFault).then(body);
        prop_assert_eq!(read(&sent, fault), expected);
    }
}

#[test]
fn response_without_strong_validator_is_unchanged() {
    let mut response = Response::new(200);
    response.insert_header("etag", "W/\"v1\"");
    response.set_body("text");
    let fetch =
        |_| -> BoxFuture<'static, Option<Response>> { unreachable!("fetch is never called") };
    let mut response = resume::resumable(response, Method::Get, false, 1, Box::new(fetch));
    assert_eq!(task::block_on(response.body_string()).unwrap(), "text");
}
