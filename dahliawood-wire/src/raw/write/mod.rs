//! Encodes requests and responses as bytes.

use crate::raw::fields::FieldList;
use std::io::Write;

/// Initial capacity for the head and a small body of a message, in bytes.
const INITIAL_BYTES: usize = 1024;

/// Encodes a request with its body; `fields` must not declare any framing.
pub fn request(method: &str, target: &str, fields: &FieldList, body: &[u8]) -> Vec<u8> {
    let mut bytes = request_head(method, target, fields, body.len(), body.len());
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes the head of a request with a body of `length` bytes, with capacity for `room` bytes more;
/// `fields` must not declare any framing.
pub fn request_head(
    method: &str,
    target: &str,
    fields: &FieldList,
    length: usize,
    room: usize,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_BYTES + room);
    append(&mut bytes, format_args!("{method} {target} HTTP/1.1\r\n"));
    write_fields(&mut bytes, fields);
    if length > 0 || !matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        append(&mut bytes, format_args!("Content-Length: {length}\r\n"));
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes a response with its body; `fields` must not declare any framing.
///
/// If `is_head` is set, the response answers a `HEAD` request and only its head is encoded.
pub fn response(status: u16, fields: &FieldList, body: &[u8], is_head: bool) -> Vec<u8> {
    let room = if is_head { 0 } else { body.len() };
    let mut bytes = response_head(status, fields, body.len(), room);
    bytes.extend_from_slice(&body[..room]);
    bytes
}

/// Encodes the head of a response with a body of `length` bytes, with capacity for `room` bytes more;
/// `fields` must not declare any framing.
pub fn response_head(status: u16, fields: &FieldList, length: usize, room: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_BYTES + room);
    let reason = reason(status);
    append(&mut bytes, format_args!("HTTP/1.1 {status} {reason}\r\n"));
    write_fields(&mut bytes, fields);
    if !matches!(status, 204 | 304) {
        append(&mut bytes, format_args!("Content-Length: {length}\r\n"));
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn write_fields(bytes: &mut Vec<u8>, fields: &FieldList) {
    for field in fields.iter() {
        if field.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        bytes.extend_from_slice(field.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&field.value);
        bytes.extend_from_slice(b"\r\n");
    }
}

fn append(bytes: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    // Writing to a `Vec` cannot fail.
    let _written = bytes.write_fmt(text);
}

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
    http_types::StatusCode::try_from(status).map_or("", |status| status.canonical_reason())
}
