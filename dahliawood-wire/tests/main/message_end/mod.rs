//! Tests of where messages end: for the raw reader and for the one of async-h1.

mod reference;
mod spoiled;

use crate::pieces;
use dahliawood_wire::head;
use dahliawood_wire::head_end::HeadKind;
use dahliawood_wire::raw::error::ReadError;
use futures::executor::block_on;

const HEAD_BYTES: usize = 4 * 1024;

/// Heads whose lines end in several ways, or have other bytes that two parsers take differently.
const AMBIGUOUS: [&str; 12] = [
    "START\nA: b\n\nrest\r\n\r\n",
    "START\nA: b\r\n\r\n",
    "START\r\nA: b\n\r\n",
    "START\r\nA: b\n\nrest: c\r\n\r\n",
    "START\r\nA: b\r\n\n",
    "START\r\nA: b\rC: d\r\n\r\n",
    "START\r\nA: b\r\r\n\r\n",
    "START\r\nA: b\0\r\n\r\n",
    "START\r\nA: \u{b}b\r\n\r\n",
    "START\r\nA : b\r\n\r\n",
    "START\r\nA: b\r\n C: d\r\n\r\n",
    "\nSTART\r\nA: b\r\n\r\n",
];

fn start_line(text: &str, start: &str) -> Vec<u8> {
    text.replace("START", start).into_bytes()
}

/// Guards against review/6: the parser took a line feed alone for the end of a line and so ended the
/// head early, while the reader dropped all bytes up to the next CR LF CR LF, the first part of the body.
#[test]
fn a_head_that_two_parsers_end_differently_is_refused() {
    for text in AMBIGUOUS {
        let response = start_line(text, "HTTP/1.1 200 OK");
        let mut reader = pieces::reader(&[&response]);
        let read = block_on(reader.response_head(HEAD_BYTES));
        let is_refused = matches!(read, Err(ReadError::Malformed { .. }));
        assert!(is_refused, "response {text:?}: {read:?}");
        let request = start_line(text, "POST /a HTTP/1.1");
        let mut reader = pieces::reader(&[&request]);
        let read = block_on(reader.request_head(HEAD_BYTES));
        let is_refused = matches!(read, Err(ReadError::Malformed { .. }));
        assert!(is_refused, "request {text:?}: {read:?}");
    }
}

/// The reader of async-h1 and the raw one find the same ends.
#[test]
fn both_readers_end_a_head_at_the_same_byte() {
    let whole = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n\r\n\r\nrest";
    let end = head::find_end(HeadKind::Response, whole.as_bytes(), HEAD_BYTES).unwrap();
    assert_eq!(end, whole.find("\r\n\r\n").map(|at| at + 4));
    for text in AMBIGUOUS
        .iter()
        .filter(|text| !text.contains(" :") && !text.contains("\n "))
    {
        let response = start_line(text, "HTTP/1.1 200 OK");
        let found = head::find_end(HeadKind::Response, &response, HEAD_BYTES);
        assert!(found.is_err(), "{text:?}: {found:?}");
    }
}

/// Empty lines before a request are skipped, at any cut, but not without end.
#[test]
fn empty_lines_before_a_request_are_skipped_within_the_bound() {
    let bytes = b"\r\n\r\n\r\nGET /a HTTP/1.1\r\nHost: b\r\n\r\n";
    for cut in 0..bytes.len() {
        let (first, second) = bytes.split_at(cut);
        let mut reader = pieces::reader(&[first, second]);
        let head = block_on(reader.request_head(HEAD_BYTES)).unwrap().unwrap();
        assert_eq!(head.target, "/a");
    }
    let lines = b"\r\n".repeat(HEAD_BYTES);
    let mut reader = pieces::reader(&[&lines]);
    let read = block_on(reader.request_head(HEAD_BYTES));
    assert!(
        matches!(read, Err(ReadError::HeadTooLarge { .. })),
        "{read:?}"
    );
    let mut reader = pieces::reader(&[b"\r\nHTTP/1.1 200 OK\r\n\r\n"]);
    let read = block_on(reader.response_head(HEAD_BYTES));
    assert!(matches!(read, Err(ReadError::Malformed { .. })), "{read:?}");
}

/// Guards against a proper response being refused: a recipient ignores the extensions of chunks that it does
/// not know (RFC 9112, section 7.1.1), but not without end.
#[test]
fn extensions_of_chunks_are_ignored_within_their_bound() {
    let response = |extension: &str| {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        format!("{head}2;{extension}\r\nab\r\n0;{extension}\r\n\r\n")
    };
    let read = |text: &str| {
        let mut reader = pieces::reader(&[text.as_bytes()]);
        block_on(async {
            let head = reader.response_head(HEAD_BYTES).await?.unwrap();
            reader.body(head.framing("GET")?, HEAD_BYTES).await
        })
    };
    assert_eq!(read(&response("name=\"some value\"")).unwrap(), b"ab");
    for extension in ["a\n", "a\rb", "a\0", &"a".repeat(5_000)] {
        let read = read(&response(extension));
        assert!(matches!(read, Err(ReadError::Chunks { .. })), "{read:?}");
    }
}
