//! Bodies whose declared length is checked.

use futures::io::{AsyncRead, BufReader};
use http_types::Body;
use http_types::headers::{CONTENT_TYPE, Headers};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes buffered in front of a body.
const BUFFER_BYTES: usize = 16 * 1024;

/// A body of `length` bytes that `reader` yields, or of unknown length.
pub(crate) fn buffered<R>(reader: R, length: Option<usize>) -> Body
where
    R: AsyncRead + Unpin + Send + Sync + 'static,
{
    let buffer = length.unwrap_or(BUFFER_BYTES).min(BUFFER_BYTES);
    Body::from_reader(BufReader::with_capacity(buffer, reader), length)
}

/// Reads a body of `left` more bytes and fails where it ends before.
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

/// The same body, which fails with `UnexpectedEof` where it ends before its declared length.
///
/// async-h1 writes a body that falls short as it is and calls the message done.
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

/// Sets the body of a message and leaves its content type alone.
///
/// `http-types` adds the type of the body where the message has none; on an answer 304 that would
/// change the type of what a caller has cached.
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

/// A body that declares `length` bytes and has none: for answers of which only the head is sent.
pub(crate) fn head_only(length: Option<usize>) -> Body {
    Body::from_reader(futures::io::empty(), length)
}
