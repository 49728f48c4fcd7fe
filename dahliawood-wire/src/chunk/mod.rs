//! Finds the end of a chunked body, so that async-h1 receives no byte after it.
//!
//! async-h1 decodes the chunks, but its decoder has four faults: it reads past the end of the body,
//! stops without a wake-up on trailers that arrive in pieces, treats an empty size line as the last
//! chunk, and panics on trailers that are not ASCII. The scanner checks the bytes before async-h1
//! reads them, which prevents all four.

pub mod error;

use crate::head_end::{self, HeadKind};
use error::ChunkError;

/// Maximum number of hexadecimal digits in a chunk size; 15 digits cannot overflow 64 bits.
const MAX_SIZE_DIGITS: u32 = 15;
/// Maximum length of the trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 4 * 1024;
/// Maximum length of all chunk extensions of a body, in bytes.
const MAX_EXTENSION_BYTES: u32 = 4 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ScanState {
    Size {
        size: u64,
        digits: u32,
    },
    /// After the size, up to the end of its line: extensions, which are not known and so ignored.
    Extension {
        size: u64,
    },
    SizeEnd {
        size: u64,
    },
    Data {
        left: u64,
    },
    DataCr,
    DataLf,
    Trailers,
    Done,
}

/// Scans the framing of one chunked body.
#[derive(Clone, Copy, Debug)]
pub struct ChunkScanner {
    state: ScanState,
    /// Bytes that extensions may still take.
    extension_bytes: u32,
}

impl Default for ChunkScanner {
    fn default() -> Self {
        Self {
            state: ScanState::Size { size: 0, digits: 0 },
            extension_bytes: 0,
        }
    }
}

impl ChunkScanner {
    /// A scanner of a body whose chunks may have extensions, which a recipient ignores if it does not know
    /// them (RFC 9112, section 7.1.1). The decoder of async-h1 must not get them.
    pub fn with_extensions() -> Self {
        Self {
            extension_bytes: MAX_EXTENSION_BYTES,
            ..Self::default()
        }
    }

    /// Whether the body was scanned up to its last byte.
    pub fn is_done(&self) -> bool {
        self.state == ScanState::Done
    }

    /// Performs one step for a reader that keeps only content: returns how many bytes at the start
    /// of `bytes` are consumed, and whether they are content. Zero means that more bytes are
    /// needed.
    ///
    /// # Errors
    /// The framing is malformed.
    pub fn scan_content(&mut self, bytes: &[u8]) -> Result<(usize, bool), ChunkError> {
        let (limit, is_content) = match self.state {
            ScanState::Data { left } => (usize::try_from(left).unwrap_or(usize::MAX), true),
            ScanState::Trailers => (MAX_TRAILER_BYTES, false),
            _ => (1, false),
        };
        Ok((self.scan(bytes, limit)?, is_content))
    }

    /// Returns how many bytes at the start of `bytes` belong to the body and may be passed on now,
    /// at most `limit`.
    ///
    /// Zero means that more bytes are needed, or that the body has ended. Trailers are passed on in
    /// one piece, separate from the chunks before them.
    ///
    /// # Errors
    /// The framing is malformed, or its trailers exceed `limit`.
    pub fn scan(&mut self, bytes: &[u8], limit: usize) -> Result<usize, ChunkError> {
        let mut count = 0;
        while count < bytes.len().min(limit) {
            if self.state == ScanState::Trailers {
                break;
            }
            if self.is_done() {
                return Ok(count);
            }
            let rest = &bytes[count..bytes.len().min(limit)];
            count += self.step(rest)?;
        }
        if count == 0 && self.state == ScanState::Trailers {
            return self.scan_trailers(bytes, limit);
        }
        Ok(count)
    }

    fn step(&mut self, rest: &[u8]) -> Result<usize, ChunkError> {
        let byte = rest[0];
        self.state = match (self.state, byte) {
            (ScanState::Data { left }, _) => {
                let taken = left.min(rest.len() as u64);
                self.state = match left - taken {
                    0 => ScanState::DataCr,
                    left => ScanState::Data { left },
                };
                return Ok(taken as usize);
            }
            (ScanState::Size { digits: 0, .. }, b'\r') => return Err(ChunkError::Size),
            (ScanState::Size { size, .. } | ScanState::Extension { size }, b'\r') => {
                ScanState::SizeEnd { size }
            }
            (ScanState::Size { size, digits: 1.. }, b';') if self.extension_bytes > 0 => {
                ScanState::Extension { size }
            }
            (ScanState::Extension { size }, byte) => {
                self.scan_extension(byte)?;
                ScanState::Extension { size }
            }
            (ScanState::Size { size, digits }, _) => next_digit(size, digits, byte)?,
            (ScanState::SizeEnd { size: 0 }, b'\n') => ScanState::Trailers,
            (ScanState::SizeEnd { size }, b'\n') => ScanState::Data { left: size },
            (ScanState::DataCr, b'\r') => ScanState::DataLf,
            (ScanState::DataLf, b'\n') => ScanState::default_size(),
            _ => return Err(ChunkError::Byte { byte }),
        };
        Ok(1)
    }

    fn scan_extension(&mut self, byte: u8) -> Result<(), ChunkError> {
        let is_allowed = byte == b'\t' || !byte.is_ascii_control();
        if !is_allowed {
            return Err(ChunkError::Byte { byte });
        }
        let left = self.extension_bytes.checked_sub(1);
        self.extension_bytes = left.ok_or(ChunkError::Extensions)?;
        Ok(())
    }

    fn scan_trailers(&mut self, bytes: &[u8], limit: usize) -> Result<usize, ChunkError> {
        // Trailers end as a head does.
        let end = match bytes.starts_with(b"\r\n") {
            true => Ok(Some(2)),
            false => head_end::find(HeadKind::Request, bytes, 0),
        };
        match end.map_err(|_| ChunkError::Trailers)? {
            Some(end) if end <= limit.min(MAX_TRAILER_BYTES) && bytes[..end].is_ascii() => {
                self.state = ScanState::Done;
                Ok(end)
            }
            None if bytes.len() < MAX_TRAILER_BYTES => Ok(0),
            _ => Err(ChunkError::Trailers),
        }
    }
}

impl ScanState {
    fn default_size() -> Self {
        Self::Size { size: 0, digits: 0 }
    }
}

fn next_digit(size: u64, digits: u32, byte: u8) -> Result<ScanState, ChunkError> {
    let digit = (byte as char)
        .to_digit(16)
        .ok_or(ChunkError::Byte { byte })?;
    if digits == MAX_SIZE_DIGITS {
        return Err(ChunkError::Size);
    }
    Ok(ScanState::Size {
        size: size * 16 + u64::from(digit),
        digits: digits + 1,
    })
}
