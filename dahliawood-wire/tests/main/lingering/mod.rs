//! Lingering closes, whose peers close, send on, stay or fail.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_wire::lingering::{self, LingerEnd, LingerOptions};
use dahliawood_wire::stream::WireStream;
use futures::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

const OPTIONS: LingerOptions = LingerOptions {
    time: Duration::from_secs(20),
    bytes: 256 * 1024,
};

/// Connected sockets.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let far = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (near, _) = listener.accept().await.unwrap();
    (near, far.unwrap())
}

async fn close(near: &mut TcpStream, options: LingerOptions) -> LingerEnd {
    lingering::close(near, WireStream::shutdown_write, options).await
}

/// A peer that always has more bytes and counts those that were read.
#[derive(Default)]
struct EndlessStream {
    read: usize,
    is_shut_down: Cell<bool>,
}

impl AsyncRead for EndlessStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        assert!(self.is_shut_down.get(), "the sending side is closed first");
        self.read += output.len();
        Poll::Ready(Ok(output.len()))
    }
}

/// Guards against the failure of the tests of bytes without end: a peer that sends without end was read for
/// as long as it was waited for, at the cost of all others.
#[async_std::test]
async fn a_peer_that_sends_without_end_is_read_up_to_a_bound_of_bytes() {
    let mut stream = EndlessStream::default();
    let shutdown = |stream: &EndlessStream| {
        stream.is_shut_down.set(true);
        Ok(())
    };
    let end = lingering::close(&mut stream, shutdown, OPTIONS).await;
    assert_eq!(end, LingerEnd::TooManyBytes);
    assert!(stream.read < OPTIONS.bytes * 2, "{} bytes", stream.read);
}

#[async_std::test]
async fn what_was_written_arrives_though_the_peer_sends_on_before_it_reads() {
    let (mut near, mut far) = connection().await;
    near.write_all(b"the last response").await.unwrap();
    let closing = task::spawn(async move { close(&mut near, OPTIONS).await });
    for _ in 0..10 {
        far.write_all(&[b'a'; 1_000]).await.unwrap();
        task::sleep(Duration::from_millis(5)).await;
    }
    let mut received = Vec::new();
    far.read_to_end(&mut received).await.expect("no reset");
    assert_eq!(received, b"the last response");
    drop(far);
    assert_eq!(closing.await, LingerEnd::PeerClosed);
}

#[async_std::test]
async fn a_peer_that_stays_is_waited_for_up_to_a_bound_of_time() {
    let (mut near, far) = connection().await;
    let options = LingerOptions {
        time: Duration::from_millis(50),
        ..OPTIONS
    };
    let end = close(&mut near, options).await;
    assert_eq!(end, LingerEnd::TimedOut);
    drop(far);
}

#[async_std::test]
async fn a_connection_that_is_reset_meanwhile_has_failed() {
    let (mut near, far) = connection().await;
    near.write_all(b"unread").await.unwrap();
    let mut first = [0];
    let mut input = &far;
    input.read_exact(&mut first).await.unwrap();
    let closing = task::spawn(async move { close(&mut near, OPTIONS).await });
    task::sleep(Duration::from_millis(20)).await;
    drop(far);
    assert_eq!(closing.await, LingerEnd::Failed);
}
