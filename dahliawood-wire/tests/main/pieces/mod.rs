//! A connection whose bytes arrive in given pieces.

use dahliawood_wire::raw::reader::ConnectionReader;
use futures::io::AsyncRead;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A connection that yields the given pieces; a piece that is `None` makes one read pending.
pub struct PieceStream(VecDeque<Option<Vec<u8>>>);

impl PieceStream {
    /// A connection that yields `pieces` and ends.
    pub fn new(pieces: &[Option<&[u8]>]) -> Self {
        let pieces = pieces.iter().map(|piece| piece.map(<[u8]>::to_vec));
        // An empty piece would be the end.
        Self(
            pieces
                .filter(|piece| piece.as_deref() != Some(&[]))
                .collect(),
        )
    }
}

impl AsyncRead for PieceStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.0.pop_front() {
            None => Poll::Ready(Ok(0)),
            Some(None) => Poll::Pending,
            Some(Some(mut piece)) => {
                let count = piece.len().min(output.len());
                output[..count].copy_from_slice(&piece[..count]);
                if count < piece.len() {
                    self.0.push_front(Some(piece.split_off(count)));
                }
                Poll::Ready(Ok(count))
            }
        }
    }
}

/// A reader of a connection that yields `pieces`.
pub fn reader(pieces: &[&[u8]]) -> ConnectionReader<PieceStream> {
    let pieces: Vec<_> = pieces.iter().copied().map(Some).collect();
    ConnectionReader::new(PieceStream::new(&pieces))
}
