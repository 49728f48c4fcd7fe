//! Errors of chunked framing.

/// Why a chunked body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum ChunkError {
    /// A byte that the framing does not allow at its position.
    #[snafu(display("byte {byte:#04x} is not allowed in chunk framing here"))]
    Byte {
        /// The byte.
        byte: u8,
    },
    /// A chunk size without digits or with too many.
    #[snafu(display("a chunk size has from 1 to 15 digits"))]
    Size,
    /// Extensions that exceed the length limit.
    #[snafu(display("extensions of chunks are shorter than 4 KiB"))]
    Extensions,
    /// Trailers that exceed the length limit or are not ASCII.
    #[snafu(display("trailers are ASCII and shorter than 4 KiB"))]
    Trailers,
}
