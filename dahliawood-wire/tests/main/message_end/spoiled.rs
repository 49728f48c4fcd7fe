//! Proper messages that are spoiled in a few places: the reader reads what the reference reads, or nothing.

use super::reference::{self, Message};
use crate::pieces;
use dahliawood_wire::raw::error::ReadError;
use dahliawood_wire::raw::reader::ConnectionReader;
use futures::executor::block_on;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

const HEAD_BYTES: usize = 4 * 1024;
const BODY_BYTES: usize = 64 * 1024;
/// Messages that are drawn.
const DRAWN: usize = 30_000;
/// Of so many spoiled messages one is read at each cut.
const CUT_EACH: usize = 20;

/// What spoils a message, in place of some of its bytes or between them.
const SPOILERS: [&str; 26] = [
    "\n",
    "\r",
    "\r\n",
    "\n\n",
    "\r\n\r\n",
    "\r\r\n",
    "\n\r\n",
    "\0",
    "\t",
    " ",
    ":",
    ";",
    ",",
    "+",
    "-",
    "0",
    "1",
    "f",
    "\u{b}",
    "\u{7f}",
    "\u{a0}",
    "Content-Length: 2\r\n",
    "Transfer-Encoding: chunked\r\n",
    "HTTP/1.0",
    "0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
];
const STARTS: [&str; 10] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200",
    "HTTP/1.0 200 OK",
    "HTTP/1.1 204 None",
    "HTTP/1.1 304 Same",
    "HTTP/1.1 205 Reset",
    "HTTP/1.1 503 Full",
    "HTTP/1.1 404 No\u{e9}",
    "HTTP/1.1 599 ?",
    "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK",
];
const REQUESTS: [&str; 4] = [
    "GET /a HTTP/1.1",
    "POST /a?b=c HTTP/1.1",
    "\r\nPUT /%2f HTTP/1.1",
    "POST /a HTTP/1.0",
];
const BODIES: [&str; 6] = [
    "",
    "a",
    "some body",
    "first\r\n\r\nsecond",
    "first\n\nsecond",
    "HTTP/1.1 200 OK\r\n\r\nbody",
];

/// The seed, unless `DAHLIAWOOD_TEST_SEED` sets another.
fn seed() -> u64 {
    let set = std::env::var("DAHLIAWOOD_TEST_SEED").ok();
    set.map_or(6, |text| text.parse().expect("the seed is a number"))
}

fn chunked(rng: &mut StdRng, body: &str) -> String {
    let mut text = String::new();
    let mut left = body;
    while !left.is_empty() {
        let (piece, rest) = left.split_at(rng.random_range(1..=left.len()));
        let extension = ["", ";a", ";a=b", ";a=\"b c\""].choose(rng).unwrap();
        write!(text, "{:x}{extension}\r\n{piece}\r\n", piece.len()).unwrap();
        left = rest;
    }
    let trailers = ["", "T: u\r\n", "T: u\r\nV: w\r\n"].choose(rng).unwrap();
    format!("{text}0\r\n{trailers}\r\n")
}

/// A proper message, and whether a further one follows it.
fn proper(rng: &mut StdRng, is_request: bool) -> String {
    let starts: &[&str] = if is_request { &REQUESTS } else { &STARTS };
    let start = *starts.choose(rng).unwrap();
    let body = *BODIES.choose(rng).unwrap();
    let is_bodiless = start.contains(" 204") || start.contains(" 304");
    let fields = ["", "A: b\r\n", "A:\tb \r\nC:\r\n"].choose(rng).unwrap();
    let framed = match rng.random_range(0..3) {
        _ if is_bodiless => "\r\n".to_owned(),
        0 if !start.contains("HTTP/1.0") => {
            format!("Transfer-Encoding: chunked\r\n\r\n{}", chunked(rng, body))
        }
        1 if !is_request => format!("\r\n{body}"),
        _ => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
    };
    format!("{start}\r\n{fields}{framed}")
}

fn spoil(rng: &mut StdRng, message: &str) -> Vec<u8> {
    let mut bytes = message.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..=3) {
        let at = rng.random_range(0..=bytes.len());
        let end = (at + rng.random_range(0..3)).min(bytes.len());
        let spoiler = SPOILERS.choose(rng).unwrap();
        let (replaced, added) = match rng.random_range(0..3) {
            0 => (at..end, *spoiler),
            1 => (at..at, *spoiler),
            _ => (at..end, ""),
        };
        bytes.splice(replaced, added.bytes());
    }
    bytes
}

/// What the product reads at the start of a connection that carries `pieces` and then ends.
fn product(pieces: &[&[u8]], is_request: bool) -> Result<Message, ReadError> {
    let mut reader = pieces::reader(pieces);
    block_on(read(&mut reader, is_request))
}

async fn read(
    reader: &mut ConnectionReader<pieces::PieceStream>,
    is_request: bool,
) -> Result<Message, ReadError> {
    let (start, fields, framing) = if is_request {
        let head = reader.request_head(HEAD_BYTES).await?;
        let head = head.ok_or(ReadError::Truncated)?;
        let start = format!("{} {}", head.method, head.target);
        let framing = head.framing()?;
        (start, head.fields, framing)
    } else {
        let head = reader.response_head(HEAD_BYTES).await?;
        let head = head.ok_or(ReadError::Truncated)?;
        let framing = head.framing("GET")?;
        (head.status.to_string(), head.fields, framing)
    };
    let body = reader.body(framing, BODY_BYTES).await?;
    let fields = fields.iter();
    let fields = fields.map(|field| (field.name.clone(), field.value.clone()));
    Ok(Message {
        start,
        fields: fields.collect(),
        body,
        rest: reader.received().to_vec(),
    })
}

/// Guards against two readers that understand the same bytes differently (review/6 as a class).
#[test]
fn a_spoiled_message_is_read_as_the_reference_reads_it_or_not_at_all() {
    let mut rng = StdRng::seed_from_u64(seed());
    let (mut whole, mut refused) = (0, 0);
    for number in 0..DRAWN {
        let is_request = number % 2 == 0;
        let message = proper(&mut rng, is_request);
        let expected = reference::read(message.as_bytes(), is_request);
        let read = product(&[message.as_bytes()], is_request);
        assert_eq!(read.ok(), expected, "a proper message: {message:?}");
        assert!(expected.is_some(), "the reference refuses {message:?}");
        let spoiled = spoil(&mut rng, &message);
        let expected = reference::read(&spoiled, is_request);
        let text = String::from_utf8_lossy(&spoiled).into_owned();
        match product(&[&spoiled], is_request) {
            Ok(read) => {
                assert_eq!(Some(read), expected, "{text:?}");
                whole += 1;
            }
            Err(_) => refused += 1,
        }
        if number % CUT_EACH == 0 {
            check_cuts(&spoiled, is_request);
        }
    }
    assert!(
        whole > DRAWN / 10 && refused > DRAWN / 10,
        "{whole} whole, {refused} refused"
    );
}

/// A message in two pieces is read as in one, wherever it is cut.
fn check_cuts(bytes: &[u8], is_request: bool) {
    let without_rest = |read: Result<Message, ReadError>| {
        let read = read.ok();
        read.map(|message| (message.start, message.fields, message.body))
    };
    let whole = without_rest(product(&[bytes], is_request));
    for cut in 0..=bytes.len() {
        let (first, second) = bytes.split_at(cut);
        let parts = without_rest(product(&[first, second], is_request));
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(parts, whole, "cut at {cut}: {text:?}");
    }
}
