//! Answers that break off and go on from another target.

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

/// How the target that is asked for the rest goes wrong, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    OtherVersion,
    WholeInstead,
    OtherRange,
    /// As many bytes as are missing, but others.
    ShiftedRange,
    NoAnswer,
}

fn body() -> Vec<u8> {
    (0..TOTAL).map(|index| b'a' + (index % 23) as u8).collect()
}

/// Bytes of an answer from `from` on, of which `sent` of its body are sent.
fn answer(from: usize, sent: usize, fault: Fault) -> Vec<u8> {
    let etag = if fault == Fault::OtherVersion {
        "\"v2\""
    } else {
        "\"v1\""
    };
    let (status, from) = match (from, fault) {
        (0, _) | (_, Fault::WholeInstead) => ("200 OK", 0),
        (_, Fault::OtherRange) => ("206 Partial Content", from - 1),
        _ => ("206 Partial Content", from),
    };
    let left = TOTAL - from;
    let shift = usize::from(fault == Fault::ShiftedRange && from > 0);
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

async fn ask(raw: Vec<u8>, range: Option<resume::ResumeRange>) -> Option<Response> {
    let (near, mut target) = support::connection(Vec::new());
    let mut request = Request::get(Url::parse("http://target/pack").unwrap());
    if let Some(range) = &range {
        range.apply_to(&mut request);
    }
    let answered = async move {
        let mut seen = [0; 1024];
        let count = futures::io::AsyncReadExt::read(&mut target, &mut seen)
            .await
            .unwrap();
        if let Some(range) = range {
            let asked = format!("range: bytes={}-\r\n", range.from);
            assert!(String::from_utf8_lossy(&seen[..count]).contains(&asked));
        }
        target.write_all(&raw).await.unwrap();
    };
    let options = client::ExchangeOptions::default();
    let asked = client::exchange(near, request, &options, |_| {});
    let (exchanged, ()) = futures::future::join(asked, answered).await;
    exchanged.ok().map(|outcome| outcome.response)
}

/// Reads an answer that breaks off after the first of `sent` and is resumed with the others.
fn read(sent: &[usize], fault: Fault) -> Option<Vec<u8>> {
    let mut pieces = sent.iter().copied();
    let first = answer(0, pieces.next().unwrap(), Fault::Nothing);
    let rest = Mutex::new(pieces.collect::<Vec<_>>().into_iter());
    let again = move |range: resume::ResumeRange| -> BoxFuture<'static, Option<Response>> {
        let piece = rest.lock().unwrap().next();
        async move {
            let piece = piece.filter(|_| fault != Fault::NoAnswer)?;
            ask(answer(range.from, piece, fault), Some(range)).await
        }
        .boxed()
    };
    task::block_on(async {
        let response = ask(first, None).await.unwrap();
        let most = sent.len() as u32 - 1;
        let mut response = resume::resumable(response, Method::Get, false, most, Box::new(again));
        response.body_bytes().await.ok()
    })
}

proptest! {
    #![proptest_config(support::property_config(256))]

    #[test]
    fn resumed_body_is_exact_or_fails(
        sent in prop::collection::vec(1..300_usize, 1..5),
        fault in prop_oneof![
            4 => Just(Fault::Nothing),
            1 => Just(Fault::OtherVersion),
            1 => Just(Fault::WholeInstead),
            1 => Just(Fault::OtherRange),
            1 => Just(Fault::ShiftedRange),
            1 => Just(Fault::NoAnswer),
        ],
    ) {
        let whole = sent.iter().sum::<usize>() >= TOTAL;
        let expected = (whole && fault == Fault::Nothing).then(body);
        prop_assert_eq!(read(&sent, fault), expected);
    }
}

#[test]
fn response_without_strong_validator_is_unchanged() {
    let mut response = Response::new(200);
    response.insert_header("etag", "W/\"v1\"");
    response.set_body("text");
    let again = |_| -> BoxFuture<'static, Option<Response>> { unreachable!("never asked") };
    let mut response = resume::resumable(response, Method::Get, false, 1, Box::new(again));
    assert_eq!(task::block_on(response.body_string()).unwrap(), "text");
}
