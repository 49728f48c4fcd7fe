//! Heads of requests and responses, and the framing of their bodies.

use crate::chunk::ChunkScanner;
use crate::raw::error::ReadError;
use crate::raw::fields::FieldList;

/// Maximum number of fields in a head.
const MAX_FIELDS: usize = 100;
/// Status codes whose responses never have a body.
const BODILESS_STATUSES: [u16; 2] = [NO_CONTENT, 304];
/// Status of a success without a body, which must not announce one (RFC 9110, section 8.6).
const NO_CONTENT: u16 = 204;

/// Statuses of responses.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(usize),
    /// The body is chunked.
    Chunked(ChunkScanner),
    /// The body ends at the close of the connection.
    UntilClose,
}

impl BodyFraming {
    /// No body.
    pub const NONE: Self = Self::Length(0);
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The request target (path and query), exactly as received.
    pub target: String,
    /// Whether the sender uses HTTP/1.0.
    pub is_http10: bool,
    /// The header fields.
    pub fields: FieldList,
}

impl RequestHead {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the sender requests that the connection be closed after the response.
    pub fn wants_close(&self) -> bool {
        let is_kept = self.fields.has_token("connection", "keep-alive");
        self.fields.has_token("connection", "close") || (self.is_http10 && !is_kept)
    }

    /// The framing of the request body.
    ///
    /// # Errors
    /// The framing is ambiguous.
    pub fn framing(&self) -> Result<BodyFraming, ReadError> {
        let declared = declared_framing(&self.fields, self.is_http10);
        declared.map(|framing| framing.unwrap_or(BodyFraming::NONE))
    }
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the sender uses HTTP/1.0.
    pub is_http10: bool,
    /// The header fields.
    pub fields: FieldList,
}

impl ResponseHead {
    /// Whether the connection carries no response after this one: the sender says so, or announces a body
    /// that this status does not have and of which the end can't be known.
    pub fn says_close(&self) -> bool {
        let is_unsound = self.status == NO_CONTENT && self.announces_body();
        self.is_http10 || is_unsound || self.fields.has_token("connection", "close")
    }

    /// Whether the fields announce a body, whatever the status says.
    pub fn announces_body(&self) -> bool {
        let is_framed = |name| self.fields.count(name) > 0;
        is_framed("content-length") || is_framed("transfer-encoding")
    }

    /// The framing of the body of the response to `method`.
    ///
    /// # Errors
    /// The framing is ambiguous.
    pub fn framing(&self, method: &str) -> Result<BodyFraming, ReadError> {
        let declared = declared_framing(&self.fields, self.is_http10)?;
        if method == "HEAD" || BODILESS_STATUSES.contains(&self.status) {
            return Ok(BodyFraming::NONE);
        }
        Ok(declared.unwrap_or(BodyFraming::UntilClose))
    }
}

/// Parses the complete head of a request.
///
/// # Errors
/// The bytes are not valid HTTP/1.1.
pub fn parse_request(bytes: &[u8]) -> Result<RequestHead, ReadError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut storage);
    require_whole(parsed.parse(bytes), bytes)?;
    Ok(RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        is_http10: parsed.version == Some(0),
        fields: fields(parsed.headers),
    })
}

/// Parses the complete head of a response.
///
/// # Errors
/// The bytes are not valid HTTP/1.1.
pub fn parse_response(bytes: &[u8]) -> Result<ResponseHead, ReadError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut storage);
    require_whole(parsed.parse(bytes), bytes)?;
    Ok(ResponseHead {
        status: require_status(parsed.code)?,
        is_http10: parsed.version == Some(0),
        fields: fields(parsed.headers),
    })
}

/// Requires a status that HTTP defines (RFC 9110, section 15): three digits from 100 to 599.
fn require_status(code: Option<u16>) -> Result<u16, ReadError> {
    let status = code.filter(|code| STATUSES.contains(code));
    status.ok_or_else(|| ReadError::malformed("a status is from 100 to 599"))
}

/// Requires that the parser found the end of the head where the reader did.
fn require_whole(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<(), ReadError> {
    match parsed {
        Ok(httparse::Status::Complete(end)) if end == bytes.len() => Ok(()),
        Ok(httparse::Status::Complete(_)) => Err(ReadError::malformed("the head ends early")),
        Ok(httparse::Status::Partial) => Err(ReadError::malformed("the head is not whole")),
        Err(error) => Err(ReadError::malformed(&error)),
    }
}

fn fields(headers: &[httparse::Header<'_>]) -> FieldList {
    let mut list = FieldList::default();
    for header in headers {
        list.push(header.name, header.value);
    }
    list
}

/// The framing that the fields declare; `None` if they declare none. A sender of HTTP/1.0 knows no chunks
/// (RFC 9112, section 6.1).
fn declared_framing(fields: &FieldList, is_http10: bool) -> Result<Option<BodyFraming>, ReadError> {
    let lengths = fields.count("content-length");
    let encodings = fields.count("transfer-encoding");
    match (lengths, encodings) {
        (0, 0) => Ok(None),
        (1, 0) => {
            let value = fields.get("content-length").unwrap_or_default();
            let is_plain = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length = value.parse().ok().filter(|_| is_plain);
            let length = length.ok_or_else(|| ReadError::malformed("a length is digits"))?;
            Ok(Some(BodyFraming::Length(length)))
        }
        (0, 1) if !is_http10 && fields.has_token("transfer-encoding", "chunked") => {
            let value = fields.get("transfer-encoding").unwrap_or_default();
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(ReadError::malformed("an unknown transfer encoding"));
            }
            Ok(Some(BodyFraming::Chunked(ChunkScanner::with_extensions())))
        }
        _ => Err(ReadError::malformed("the body's length is ambiguous")),
    }
}
