//! Message bodies whose declared length is enforced.

use futures::io::{AsyncRead, BufReader};
use http_types::Body;
use http_types::headers::{CONTENT_TYPE, Headers};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Capacity of the read buffer of a body, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// A body that `reader` yields, of `length` bytes or of unknown length.
pub(crate) fn buffered<R>(reader: R, length: Option<usize>) -> Body
where
    R: AsyncRead + Unpin + Send + Sync + 'static,
{
    let buffer = length.unwrap_or(BUFFER_BYTES).min(BUFFER_BYTES);
    Body::from_reader(BufReader::with_capacity(buffer, reader), length)
}

/// Reads `left` more bytes of a body and fails if the body ends earlier.
struct LengthReader {
    body: Body,
    left: usize,
}

impl AsyncRead for LengthReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.body).poll_read(context, output);
        if let Poll::Ready(Ok(count)) = polled {
            if count == 0 && self.left > 0 && !output.is_empty() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            self.left = self.left.saturating_sub(count);
        }
        polled
    }
}

/// Makes reading a body fail with `UnexpectedEof` if it ends before its declared length.
///
/// Without this, async-h1 writes a body that is too short and reports the message as complete.
pub fn with_checked_length(body: Body) -> Body {
    match body.len() {
        None | Some(0) => body,
        Some(length) => {
            let mime = body.mime().clone();
            let reader = LengthReader { body, left: length };
            let mut body = buffered(reader, Some(length));
            body.set_mime(mime);
            body
        }
    }
}

/// Calls `set`, which sets the body of a message, without adding a content type to the message.
///
/// `http-types` adds the content type of the body if the message has none; in a 304 response that
/// would change the type of the representation that the caller has cached.
pub(crate) fn replace<M>(message: &mut M, set: impl FnOnce(&mut M))
where
    M: AsMut<Headers>,
{
    let has_content_type = message.as_mut().get(CONTENT_TYPE).is_some();
    set(message);
    if !has_content_type {
        message.as_mut().remove(CONTENT_TYPE);
    }
}

/// An empty body that declares `length` bytes, for responses of which only the head is sent.
pub(crate) fn head_only(length: Option<usize>) -> Body {
    Body::from_reader(futures::io::empty(), length)
}
