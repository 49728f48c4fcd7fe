//! Ends of connections: callers that disconnect, a VM that shuts down, requests that fail after
//! part of them was sent.

use crate::support;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_request::verdict::RunVerdict;
use dahliawood_wire::{client, server};
use futures::future;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use http_types::{Body, Request, Response, Url};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

const REQUEST: &[u8] = b"POST /path HTTP/1.1\r\nHost: vm\r\nContent-Length: 4\r\n\r\ntext";

/// Sets its flag when it is dropped.
struct DropFlag(Arc<AtomicBool>);

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[async_std::test]
async fn handler_is_dropped_when_caller_disconnects() {
    let (near, mut caller) = support::connection(Vec::new());
    let dropped = Arc::new(AtomicBool::new(false));
    let flag = dropped.clone();
    let handler = move |mut request: Request| {
        let flag = DropFlag(flag.clone());
        async move {
            request.body_string().await.unwrap();
            future::pending::<()>().await;
            drop(flag);
            Response::new(200)
        }
    };
    caller.write_all(REQUEST).await.unwrap();
    drop(caller);
    let options = server::ConnectionOptions::default();
    let outcome = server::connection(near, &options, || false, handler).await;
    assert_eq!(
        outcome.unwrap().end,
        server::ConnectionEnd::CallerDisconnected
    );
    assert!(dropped.load(Ordering::Relaxed));
}

#[async_std::test]
async fn closing_vm_answers_then_closes_connection() {
    let (near, mut caller) = support::connection(Vec::new());
    let handler = |_| async { Response::new(200) };
    caller.write_all(REQUEST).await.unwrap();
    let caller_side = async move {
        let mut response = String::new();
        caller.read_to_string(&mut response).await.unwrap();
        response
    };
    let options = server::ConnectionOptions::default();
    let served = server::connection(near, &options, || true, handler);
    let (outcome, response) = future::join(served, caller_side).await;
    assert_eq!(outcome.unwrap().end, server::ConnectionEnd::Closed);
    assert!(response.contains("connection: close\r\n"), "{response}");
}

#[async_std::test]
async fn closing_vm_closes_idle_connections() {
    let (near, caller) = support::connection(Vec::new());
    let options = server::ConnectionOptions {
        closing_keep_alive: Duration::ZERO,
        drain_timeout: Duration::ZERO,
        ..server::ConnectionOptions::default()
    };
    let handler = |_| async { Response::new(200) };
    let outcome = server::connection(near, &options, || true, handler).await;
    assert_eq!(outcome.unwrap().end, server::ConnectionEnd::Closed);
    drop(caller);
}

/// Guards against a lingering close that never closed the sending side of a real connection: callers saw the
/// end only when the wait for theirs was over.
#[async_std::test]
async fn a_caller_sees_the_end_before_it_closes_its_side() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (near, _) = listener.accept().await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    let handler = |_| async { Response::new(200) };
    let options = server::ConnectionOptions {
        drain_timeout: Duration::from_secs(20),
        ..server::ConnectionOptions::default()
    };
    let serving =
        task::spawn(async move { server::connection(near, &options, || true, handler).await });
    let mut response = String::new();
    let ended = timeout(Duration::from_secs(5), caller.read_to_string(&mut response)).await;
    assert!(matches!(ended, Ok(Ok(_))), "{ended:?}");
    drop(caller);
    let outcome = serving.await.unwrap();
    assert_eq!(outcome.end, server::ConnectionEnd::Closed);
}

/// Yields its bytes, then fails or stays pending.
struct FaultyReader {
    bytes: &'static [u8],
    fails: bool,
}

impl futures::io::AsyncRead for FaultyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes.is_empty() {
            return if self.fails {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            } else {
                Poll::Pending
            };
        }
        let count = self.bytes.len().min(output.len());
        output[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes = &self.bytes[count..];
        Poll::Ready(Ok(count))
    }
}

fn request(bytes: &'static [u8], fails: bool) -> Request {
    let mut request = Request::post(Url::parse("http://target/path").unwrap());
    let reader = futures::io::BufReader::new(FaultyReader { bytes, fails });
    request.set_body(Body::from_reader(reader, Some(100)));
    request
}

#[async_std::test]
async fn early_response_is_used_and_closes_connection() {
    let (near, mut target) = support::connection(Vec::new());
    let reused = Arc::new(AtomicBool::new(true));
    let end = reused.clone();
    let on_end = move |reusable| end.store(reusable, Ordering::Relaxed);
    let target_side = task::spawn(async move {
        let mut head = [0; 16];
        target.read_exact(&mut head).await.unwrap();
        let response = b"HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n";
        target.write_all(response).await.unwrap();
        target
    });
    let options = client::ExchangeOptions::default();
    let outcome = client::exchange(near, request(b"part", false), &options, on_end).await;
    assert_eq!(outcome.unwrap().response.status(), 413);
    assert!(!reused.load(Ordering::Relaxed));
    drop(target_side.await);
}

#[async_std::test]
async fn failed_request_body_is_never_complete_at_target() {
    let (near, mut target) = support::connection(Vec::new());
    let options = client::ExchangeOptions::default();
    let exchanged = client::exchange(near, request(b"part", true), &options, |_| {}).await;
    let error = exchanged.unwrap_err();
    assert!(error.is_request_body_error());
    let mut seen = Vec::new();
    target.read_to_end(&mut seen).await.unwrap();
    assert!(!seen.ends_with(&[b'x'; 100]) && seen.len() < 200);
    let expected = match seen.len() {
        0 => RunVerdict::NotRun,
        _ => RunVerdict::MayHaveRun,
    };
    assert_eq!(error.verdict(), expected);
}

#[async_std::test]
async fn connection_with_unsolicited_bytes_is_not_used() {
    let (near, mut target) = support::connection(Vec::new());
    let late = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    target.write_all(late).await.unwrap();
    let options = client::ExchangeOptions::default();
    let request = Request::get(Url::parse("http://target/path").unwrap());
    let exchanged = client::exchange(near, request, &options, |_| {}).await;
    assert_eq!(exchanged.unwrap_err().verdict(), RunVerdict::NotRun);
    let mut seen = Vec::new();
    target.read_to_end(&mut seen).await.unwrap();
    assert!(seen.is_empty());
}

fn expecting(fallback: client::expectation::ExpectFallback) -> client::ExchangeOptions {
    client::ExchangeOptions {
        expect_continue: Some(client::expectation::ExpectOptions {
            timeout: Duration::from_millis(30),
            fallback,
        }),
        ..client::ExchangeOptions::default()
    }
}

fn post_request() -> Request {
    let mut request = Request::post(Url::parse("http://target/filings").unwrap());
    request.set_body("filing");
    request
}

/// Runs an exchange with a target that sends `first` and then `second`, where given; returns what
/// the target received, and the status or the verdict of the exchange.
async fn converse(
    options: client::ExchangeOptions,
    first: Option<&'static [u8]>,
    second: Option<&'static [u8]>,
) -> (String, Result<u16, RunVerdict>) {
    let (near, mut target) = support::connection(Vec::new());
    let target_side = async move {
        let mut seen = vec![0; 4096];
        let mut count = target.read(&mut seen).await.unwrap();
        if let Some(first) = first {
            target.write_all(first).await.unwrap();
        }
        if let Some(second) = second {
            count += target.read(&mut seen[count..]).await.unwrap();
            target.write_all(second).await.unwrap();
        }
        if first.is_some() || second.is_some() {
            target.close().await.unwrap();
        }
        let mut rest = Vec::new();
        target.read_to_end(&mut rest).await.unwrap();
        String::from_utf8([&seen[..count], &rest[..]].concat()).unwrap()
    };
    let client_side = async {
        let exchanged = client::exchange(near, post_request(), &options, |_| {}).await;
        exchanged
            .map(|outcome| outcome.response.status().into())
            .map_err(|error| error.verdict())
    };
    future::join(target_side, client_side).await
}

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const CREATED: &[u8] = b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n";

#[async_std::test]
async fn body_is_sent_after_100_continue() {
    let options = expecting(client::expectation::ExpectFallback::Fail);
    let (seen, outcome) = converse(options, Some(CONTINUE), Some(CREATED)).await;
    assert_eq!(outcome, Ok(201));
    assert!(seen.contains("expect: 100-continue\r\n") && seen.ends_with("filing"));
}

#[async_std::test]
async fn target_closing_before_100_continue_has_not_run_request() {
    let options = expecting(client::expectation::ExpectFallback::Fail);
    let (seen, outcome) = converse(options, Some(b""), None).await;
    assert_eq!(outcome, Err(RunVerdict::NotRun));
    assert!(!seen.contains("filing\r\n\r\n") && !seen.ends_with("filing"));
}

#[async_std::test]
async fn target_closing_after_100_continue_may_have_run_request() {
    let options = expecting(client::expectation::ExpectFallback::Fail);
    let (_, outcome) = converse(options, Some(CONTINUE), Some(b"")).await;
    assert_eq!(outcome, Err(RunVerdict::MayHaveRun));
}

#[async_std::test]
async fn unresponsive_target_without_100_continue_has_not_run_request() {
    let options = expecting(client::expectation::ExpectFallback::Fail);
    let (seen, outcome) = converse(options, None, None).await;
    assert_eq!(outcome, Err(RunVerdict::NotRun));
    assert!(!seen.ends_with("filing"));
}

#[async_std::test]
async fn body_is_sent_to_target_without_100_continue_support() {
    let options = expecting(client::expectation::ExpectFallback::SendBody);
    let (seen, outcome) = converse(options, None, Some(CREATED)).await;
    assert_eq!(outcome, Ok(201));
    assert!(seen.ends_with("filing"));
}
