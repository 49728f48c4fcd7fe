//! Validation of message heads, before and after async-h1 parses them.

pub mod error;

use crate::chunk;
use crate::head_end::{self, HeadKind};
use error::HeadError;
use http_types::headers::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, Headers, TRANSFER_ENCODING,
};
use http_types::{Method, Request, Response, StatusCode};

/// The only supported transfer encoding.
const CHUNKED: &str = "chunked";
/// Value of `Expect` from a caller that waits for an interim response before it sends its body.
const CONTINUE: &str = "100-continue";
/// Characters that would change the path or the authority of the URL if `Host` contained them.
const FORBIDDEN_HOST_CHARS: &[char] = &['/', '?', '#', '@', '\\', ' ', ','];

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug)]
pub enum BodyFraming {
    /// The body has this many bytes left.
    Length(u64),
    /// The body is chunked.
    Chunked(chunk::ChunkScanner),
}

impl BodyFraming {
    /// No body.
    pub const NONE: Self = Self::Length(0);

    /// Whether the body has been read to its end.
    pub fn is_ended(&self) -> bool {
        match self {
            Self::Length(left) => *left == 0,
            Self::Chunked(scanner) => scanner.is_done(),
        }
    }
}

/// The length of the head at the start of `bytes`, or `None` if the head is incomplete.
///
/// # Errors
/// The head is longer than `bound`, or contains a byte on which async-h1 panics or misjudges the
/// end of the head.
pub fn find_end(kind: HeadKind, bytes: &[u8], bound: usize) -> Result<Option<usize>, HeadError> {
    let end =
        head_end::find(kind, bytes, 0).map_err(|error| HeadError::Byte { byte: error.byte })?;
    let head = &bytes[..end.unwrap_or(bytes.len())];
    if head.len() > bound {
        return Err(HeadError::TooLarge { bound });
    }
    match head.iter().find(|byte| !byte.is_ascii()) {
        Some(byte) => Err(HeadError::Byte { byte: *byte }),
        None => Ok(end),
    }
}

/// The framing of a request body.
///
/// # Errors
/// The framing or `Host` is ambiguous, so that two parsers may interpret it differently, or the
/// expectation is unknown.
pub fn request_framing(request: &Request) -> Result<BodyFraming, HeadError> {
    check_host(request.as_ref())?;
    check_expectation(request)?;
    Ok(declared_framing(request.as_ref())?.unwrap_or(BodyFraming::NONE))
}

/// The framing of the body of a response to `method`.
///
/// # Errors
/// The framing is ambiguous or not declared.
pub fn response_framing(response: &Response, method: Method) -> Result<BodyFraming, HeadError> {
    if is_bodiless(response.status(), method) {
        return Ok(BodyFraming::NONE);
    }
    let framing = declared_framing(response.as_ref())?.ok_or(HeadError::MissingLength)?;
    // In responses, async-h1 recognises `chunked` in lower case only, and otherwise assumes that
    // there is no body.
    match response.header(TRANSFER_ENCODING) {
        Some(encodings) if encodings.as_str() != CHUNKED => Err(HeadError::Encoding),
        _ => Ok(framing),
    }
}

/// Whether a head contains a header of this name.
pub(crate) fn has_header(head: &[u8], name: &HeaderName) -> bool {
    let name = name.as_str().as_bytes();
    head.split(|byte| *byte == b'\n').any(|line| {
        line.get(..name.len())
            .is_some_and(|start| start.eq_ignore_ascii_case(name))
            && line.get(name.len()) == Some(&b':')
    })
}

/// Whether a response with this status to this method has no body, whatever it declares.
pub fn is_bodiless(status: StatusCode, method: Method) -> bool {
    method == Method::Head
        || status.is_informational()
        || matches!(status, StatusCode::NoContent | StatusCode::NotModified)
}

/// Whether the caller waits for an interim response before it sends its body.
pub fn expects_continue(request: &Request) -> bool {
    request
        .header(EXPECT)
        .is_some_and(|values| values.as_str().eq_ignore_ascii_case(CONTINUE))
}

/// Whether the sender declares this the last message of its connection (`Connection: close`).
pub fn says_close(headers: &Headers) -> bool {
    header_tokens(headers, &CONNECTION).any(|token| token.eq_ignore_ascii_case("close"))
}

/// The comma-separated tokens in all values of a header.
pub fn header_tokens<'a>(headers: &'a Headers, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    headers
        .get(name)
        .into_iter()
        .flat_map(|values| values.iter())
        .flat_map(|value| value.as_str().split(','))
        .map(str::trim)
        .filter(|token| !token.is_empty())
}

/// Whether the headers announce a body, whatever the status says.
pub fn announces_body(headers: &Headers) -> bool {
    headers.get(CONTENT_LENGTH).is_some() || headers.get(TRANSFER_ENCODING).is_some()
}

fn declared_framing(headers: &Headers) -> Result<Option<BodyFraming>, HeadError> {
    match (headers.get(CONTENT_LENGTH), headers.get(TRANSFER_ENCODING)) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(HeadError::Length),
        (Some(lengths), None) => match lengths.iter().count() {
            1 => parse_length(lengths.as_str()).map(|length| Some(BodyFraming::Length(length))),
            _ => Err(HeadError::Length),
        },
        (None, Some(encodings)) => {
            let single = encodings.iter().count() == 1;
            if single && encodings.as_str().eq_ignore_ascii_case(CHUNKED) {
                Ok(Some(BodyFraming::Chunked(chunk::ChunkScanner::default())))
            } else {
                Err(HeadError::Encoding)
            }
        }
    }
}

fn parse_length(value: &str) -> Result<u64, HeadError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::Length);
    }
    value
        .parse()
        .ok()
        .filter(|length| usize::try_from(*length).is_ok())
        .ok_or(HeadError::Length)
}

fn check_host(headers: &Headers) -> Result<(), HeadError> {
    let hosts = headers.get(HOST).ok_or(HeadError::Host)?;
    let plain = !hosts.as_str().contains(FORBIDDEN_HOST_CHARS);
    if plain && hosts.iter().count() == 1 {
        Ok(())
    } else {
        Err(HeadError::Host)
    }
}

fn check_expectation(request: &Request) -> Result<(), HeadError> {
    if request.header(EXPECT).is_some() && !expects_continue(request) {
        return Err(HeadError::Expectation);
    }
    Ok(())
}
