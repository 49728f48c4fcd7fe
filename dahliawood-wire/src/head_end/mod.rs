//! Finds the end of a message's head: the one place that decides it, for requests and responses, for
//! the raw reader and for async-h1.
//!
//! RFC 9112, section 2.2, lets a recipient take a line feed alone for the end of a line. The parsers of
//! the heads do so, others do not, and a head that ends at different places for two readers makes part
//! of a body a head, or the reverse. Here a line ends with CR LF alone, and a head with any other line
//! feed, carriage return or control character is not a head, so that no parser can find another end.

pub mod error;

use error::HeadByteError;

/// Which kind of message a head begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadKind {
    /// A request: empty lines may come before it (RFC 9112, section 2.2).
    Request,
    /// A response: nothing may come before it.
    Response,
}

/// The length of the head at the start of `bytes`, `None` if its end has not arrived. The first
/// `scanned` bytes were found to be allowed and without the end.
///
/// # Errors
/// The head contains a byte that is not allowed there.
pub fn find(kind: HeadKind, bytes: &[u8], scanned: usize) -> Result<Option<usize>, HeadByteError> {
    let mut previous = scanned.checked_sub(1).and_then(|last| bytes.get(last));
    for (index, byte) in bytes.iter().enumerate().skip(scanned) {
        let follows_return = previous == Some(&b'\r');
        let is_allowed = match byte {
            b'\n' => follows_return,
            b'\r' if index == 0 => kind == HeadKind::Request,
            b'\r' | b'\t' => !follows_return,
            byte => !follows_return && !byte.is_ascii_control(),
        };
        if !is_allowed {
            return Err(HeadByteError { byte: *byte });
        }
        if *byte == b'\n' && bytes[..=index].ends_with(b"\r\n\r\n") {
            return Ok(Some(index + 1));
        }
        previous = Some(byte);
    }
    Ok(None)
}
