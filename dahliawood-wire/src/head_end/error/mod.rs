//! Errors of finding the end of a head.

/// A head contains a byte that is not allowed at its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("byte {byte:#04x} is not allowed in a head here"))]
pub struct HeadByteError {
    /// The byte.
    pub byte: u8,
}
