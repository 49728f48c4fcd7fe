//! An in-memory connection with configurable read sizes, and the seed of the property tests.
#![allow(dead_code)]

use dahliawood_wire::stream::WireStream;
use futures::io::{AsyncRead, AsyncWrite};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

/// Seed of the property tests; overridden by `DAHLIAWOOD_TEST_SEED`.
pub fn seed() -> u64 {
    std::env::var("DAHLIAWOOD_TEST_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(20_261_203)
}

/// A proptest configuration with a fixed seed.
pub fn property_config(cases: u32) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed()),
        ..proptest::test_runner::Config::default()
    }
}

#[derive(Default)]
struct PipeState {
    bytes: VecDeque<u8>,
    pieces: VecDeque<usize>,
    ended: bool,
    reader: Option<Waker>,
}

type SharedPipe = Arc<Mutex<PipeState>>;

/// Ends the pipe when the last clone of its writer is dropped.
struct PipeCloser(SharedPipe);

impl Drop for PipeCloser {
    fn drop(&mut self) {
        end(&self.0);
    }
}

fn end(pipe: &SharedPipe) {
    let mut state = pipe.lock().unwrap();
    state.ended = true;
    if let Some(reader) = state.reader.take() {
        reader.wake();
    }
}

/// One end of an in-memory connection; clones share it.
#[derive(Clone)]
pub struct PipeEnd {
    input: SharedPipe,
    output: Arc<PipeCloser>,
}

/// Creates a connection. Each read of the first end returns at most the next size in `pieces`;
/// later reads are not limited.
pub fn connection(pieces: Vec<usize>) -> (PipeEnd, PipeEnd) {
    let first = SharedPipe::default();
    let second = SharedPipe::default();
    first.lock().unwrap().pieces = pieces.into();
    let near = PipeEnd {
        input: first.clone(),
        output: Arc::new(PipeCloser(second.clone())),
    };
    let far = PipeEnd {
        input: second,
        output: Arc::new(PipeCloser(first)),
    };
    (near, far)
}

impl AsyncRead for PipeEnd {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.input.lock().unwrap();
        if state.bytes.is_empty() && !state.ended {
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let piece = state.pieces.pop_front().unwrap_or(usize::MAX).max(1);
        let count = piece.min(output.len()).min(state.bytes.len());
        for (slot, byte) in output.iter_mut().zip(state.bytes.drain(..count)) {
            *slot = byte;
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for PipeEnd {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.output.0.lock().unwrap();
        if state.ended {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        state.bytes.extend(bytes);
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        end(&self.output.0);
        Poll::Ready(Ok(()))
    }
}

impl WireStream for PipeEnd {
    fn shutdown_write(&self) -> io::Result<()> {
        end(&self.output.0);
        Ok(())
    }
}
