//! Tests of the server loop, the pool and one-shot calls over TCP sockets.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use dahliawood_wire::{client, one_shot, pool, server};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use futures::stream::StreamExt;
use http_types::{Request, Response, Url};
use std::net::SocketAddr;
use std::time::Duration;

async fn echo(mut request: Request) -> Response {
    let mut response = Response::new(200);
    response.insert_header("x-path", request.url().path());
    response.set_body(request.take_body());
    response
}

/// Starts a server in this process that echoes request bodies.
pub async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            task::spawn(async move {
                let options = server::ConnectionOptions::default();
                server::connection(stream, &options, || false, echo).await
            });
        }
    });
    address
}

#[async_std::test]
async fn one_shot_call_returns_response() {
    let address = echo_server().await;
    let url = format!("http://{address}/some/path?x=1");
    let mut options = one_shot::CallOptions::new("POST", &url);
    options.body = "text";
    let outcome = one_shot::call(&options).await.unwrap();
    assert_eq!(outcome.status, 200);
    assert_eq!(outcome.header("x-path"), Some("/some/path"));
    assert_eq!(outcome.text(), "text");
}

#[async_std::test]
async fn connection_is_reused_after_response_body_is_read() {
    let address = echo_server().await;
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    for round in 0..3 {
        let text = format!("round {round}");
        let read = exchange(&pool, address, pool::ConnectionChoice::Any, &text).await;
        assert_eq!(read, text);
        assert_eq!(pool.count(address), pool::PoolCount { open: 1, idle: 1 });
    }
    exchange(&pool, address, pool::ConnectionChoice::Fresh, "fresh").await;
    assert_eq!(pool.count(address), pool::PoolCount { open: 2, idle: 2 });
}

async fn exchange(
    pool: &pool::TargetPool,
    address: SocketAddr,
    choice: pool::ConnectionChoice,
    text: &str,
) -> String {
    let mut request = Request::post(Url::parse(&format!("http://{address}/")).unwrap());
    request.set_body(text);
    let options = client::ExchangeOptions::default();
    let outcome = pool.exchange(address, choice, request, &options).await;
    let mut response = outcome.unwrap().response;
    response.body_string().await.unwrap()
}

#[async_std::test]
async fn unread_response_closes_connection() {
    let address = echo_server().await;
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    let mut request = Request::post(Url::parse(&format!("http://{address}/")).unwrap());
    request.set_body("text");
    let options = client::ExchangeOptions::default();
    let choice = pool::ConnectionChoice::Any;
    let outcome = pool.exchange(address, choice, request, &options).await;
    assert_eq!(pool.count(address), pool::PoolCount { open: 1, idle: 0 });
    drop(outcome);
    assert_eq!(pool.count(address), pool::PoolCount { open: 0, idle: 0 });
}

#[async_std::test]
async fn exhausted_pool_reports_not_run() {
    let address = echo_server().await;
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    pool.set_limit(address, 1);
    let held = pool.checkout(address, pool::ConnectionChoice::Any).await;
    let request = Request::get(Url::parse(&format!("http://{address}/")).unwrap());
    let options = client::ExchangeOptions::default();
    let choice = pool::ConnectionChoice::Any;
    let error = pool
        .exchange(address, choice, request, &options)
        .await
        .unwrap_err();
    assert_eq!(error.verdict().to_string(), "not-run");
    drop(held);
    exchange(&pool, address, pool::ConnectionChoice::Any, "again").await;
}

#[async_std::test]
async fn unresponsive_connection_closes_other_idle_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = task::spawn(async move {
        let mut streams: Vec<TcpStream> = Vec::new();
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().await.unwrap();
            respond_once(&mut stream).await;
            streams.push(stream);
        }
        streams
    });
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    for _ in 0..2 {
        exchange(&pool, address, pool::ConnectionChoice::Fresh, "").await;
    }
    assert_eq!(pool.count(address).idle, 2);
    let request = Request::get(Url::parse(&format!("http://{address}/")).unwrap());
    let options = client::ExchangeOptions {
        response_timeout: Duration::from_millis(50),
        ..client::ExchangeOptions::default()
    };
    let choice = pool::ConnectionChoice::Any;
    let error = pool.exchange(address, choice, request, &options).await;
    assert_eq!(error.unwrap_err().verdict().to_string(), "may-have-run");
    assert_eq!(pool.count(address), pool::PoolCount::default());
    exchange(&pool, address, pool::ConnectionChoice::Any, "").await;
    assert_eq!(pool.count(address), pool::PoolCount { open: 1, idle: 1 });
    drop(target.await);
}

async fn respond_once(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let mut piece = [0; 1024];
    while !seen.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = stream.read(&mut piece).await.unwrap();
        seen.extend_from_slice(&piece[..count]);
    }
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(response).await.unwrap();
}

#[async_std::test]
async fn hedged_try_detects_unresponsive_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = task::spawn(async move {
        let mut streams: Vec<TcpStream> = Vec::new();
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().await.unwrap();
            respond_once(&mut stream).await;
            streams.push(stream);
        }
        streams
    });
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    for _ in 0..2 {
        exchange(&pool, address, pool::ConnectionChoice::Fresh, "").await;
    }
    let request = |at| Request::get(Url::parse(&format!("http://{at}/")).unwrap());
    let options = client::ExchangeOptions::default();
    let hedge = pool::hedge::HedgeOptions {
        after: Duration::from_millis(20),
    };
    let outcome = pool
        .exchange_hedged(address, request, &options, hedge, || Some(address))
        .await
        .unwrap();
    assert_eq!(outcome.response.status(), 200);
    drop(outcome);
    assert_eq!(pool.count(address), pool::PoolCount { open: 1, idle: 1 });
    drop(target.await);
}

#[async_std::test]
async fn hedged_try_without_permission_is_not_sent() {
    let address = echo_server().await;
    let pool = pool::TargetPool::new(pool::PoolOptions::default());
    exchange(&pool, address, pool::ConnectionChoice::Any, "").await;
    let request = |at| Request::get(Url::parse(&format!("http://{at}/")).unwrap());
    let options = client::ExchangeOptions::default();
    let hedge = pool::hedge::HedgeOptions {
        after: Duration::ZERO,
    };
    let outcome = pool
        .exchange_hedged(address, request, &options, hedge, || None)
        .await;
    assert!(outcome.is_ok());
    assert_eq!(pool.count(address).open, 1);
}

#[async_std::test]
async fn refusal_reaches_caller_that_is_still_sending() {
    let address = echo_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "GET / HTTP/1.1\r\nHost: vm\r\nX-Large: {}\r\n\r\n",
        "a".repeat(65_536)
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    assert!(response.ends_with("\"ran\":\"not-run\"}"), "{response}");
}
