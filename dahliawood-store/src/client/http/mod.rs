//! Client over HTTP/1.1 and JSON.
//!
//! A read that fails on a reused connection is retried once on a new one. A write is sent only
//! once. After any failure all idle connections are closed.

use super::error;
use super::pool;
use crate::protocol;
use async_std::future;
use http_types::{Method, Request, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Options for connecting to the service.
#[derive(Clone, Copy, Debug)]
pub struct HttpOptions {
    /// Address of the service.
    pub address: SocketAddr,
    /// Longest time for a call; a watch may take its wait in addition.
    pub deadline: Duration,
    /// Number of idle connections to keep.
    pub idle_connections: usize,
}

impl HttpOptions {
    /// Options for `address` with a deadline of one second.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            deadline: Duration::from_secs(1),
            idle_connections: 4,
        }
    }
}

/// The complete response to a call.
struct HttpResponse {
    status: StatusCode,
    body: Vec<u8>,
}

/// One call, which is encoded for each attempt.
#[derive(Clone)]
struct HttpCall {
    method: Method,
    path: String,
    query: Vec<(&'static str, String)>,
    body: Option<String>,
    deadline: Duration,
}

struct HttpClient {
    options: HttpOptions,
    pool: pool::ConnectionPool,
}

/// Builds a client for the service at `options.address`.
pub fn http(options: HttpOptions) -> super::StoreClient {
    let client = Arc::new(HttpClient {
        pool: pool::ConnectionPool::new(options.address, options.idle_connections),
        options,
    });
    super::StoreClient {
        get: call(&client, |client, key: String| {
            client.get_key(&key, Vec::new(), Duration::ZERO)
        }),
        put: call(&client, HttpClient::put),
        delete: call(&client, |client, delete: super::DeleteCall| {
            client.delete(&delete)
        }),
        list: call(&client, |client, prefix: String| {
            let call = client
                .call(Method::Get, "/v1/list")
                .query("prefix", &prefix);
            client.fetch(call)
        }),
        watch: call(&client, |client, watch: super::WatchCall| {
            client.watch(&watch)
        }),
        grant_lease: call(&client, |client, ttl: Duration| {
            let ttl_ms = ttl.as_millis() as u64;
            let call = client.call(Method::Post, "/v1/leases");
            client.fetch(call.json(&protocol::LeaseBody { ttl_ms }))
        }),
        renew_lease: call(&client, |client, lease: u64| {
            let call = client.call(Method::Post, &format!("/v1/leases/{lease}"));
            client.fetch(call)
        }),
        revoke_lease: call(&client, |client, lease: u64| {
            let call = client.call(Method::Delete, &format!("/v1/leases/{lease}"));
            client.execute(call)
        }),
        live: call(
            &client,
            |client, ()| -> super::StoreFuture<protocol::LiveList> {
                let call = client.call(Method::Get, "/v1/live");
                client.fetch(call)
            },
        ),
    }
}

fn call<A: 'static, T: 'static>(
    client: &Arc<HttpClient>,
    run: impl Fn(Arc<HttpClient>, A) -> super::StoreFuture<T> + Send + Sync + 'static,
) -> super::StoreCall<A, T> {
    let client = Arc::clone(client);
    Arc::new(move |argument| run(Arc::clone(&client), argument))
}

impl HttpCall {
    fn query(mut self, name: &'static str, value: &impl ToString) -> Self {
        self.query.push((name, value.to_string()));
        self
    }

    fn json(mut self, body: &impl Serialize) -> Self {
        let text = serde_json::to_string(body).expect("protocol documents serialize to JSON");
        self.body = Some(text);
        self
    }

    fn encode(&self, address: SocketAddr) -> Result<Request, error::StoreError> {
        let mut url = Url::parse(&format!("http://{address}{}", self.path)).map_err(|error| {
            error::StoreError::Invalid {
                reason: error.to_string(),
            }
        })?;
        if !self.query.is_empty() {
            url.query_pairs_mut().extend_pairs(&self.query);
        }
        let mut request = Request::new(self.method, url);
        request.insert_header("host", address.to_string());
        if let Some(body) = &self.body {
            request.set_body(body.as_str());
        }
        Ok(request)
    }

    fn is_read(&self) -> bool {
        self.method == Method::Get
    }
}

impl HttpClient {
    fn call(&self, method: Method, path: &str) -> HttpCall {
        HttpCall {
            method,
            path: path.to_owned(),
            query: Vec::new(),
            body: None,
            deadline: self.options.deadline,
        }
    }

    fn get_key<T: DeserializeOwned + Send + 'static>(
        self: Arc<Self>,
        key: &str,
        query: Vec<(&'static str, String)>,
        wait: Duration,
    ) -> super::StoreFuture<T> {
        let mut call = self.call(Method::Get, &key_path(key));
        call.query = query;
        call.deadline += wait;
        self.fetch(call)
    }

    fn watch(self: Arc<Self>, watch: &super::WatchCall) -> super::StoreFuture<protocol::KeyEntry> {
        let query = vec![
            ("after", watch.after.to_string()),
            ("wait_ms", watch.wait.as_millis().to_string()),
        ];
        self.get_key(&watch.key, query, watch.wait)
    }

    fn put(self: Arc<Self>, put: super::PutCall) -> super::StoreFuture<u64> {
        let call = self
            .call(Method::Put, &key_path(&put.key))
            .json(&protocol::PutBody {
                value: put.value,
                expected: put.expected,
                lease: put.lease,
            });
        let response = self.fetch::<protocol::VersionBody>(call);
        Box::pin(async move { response.await.map(|body| body.version) })
    }

    fn delete(self: Arc<Self>, delete: &super::DeleteCall) -> super::StoreFuture<()> {
        let mut call = self.call(Method::Delete, &key_path(&delete.key));
        if let Some(expected) = delete.expected {
            call = call.query("expected", &expected);
        }
        self.execute(call)
    }

    fn fetch<T: DeserializeOwned + Send + 'static>(
        self: Arc<Self>,
        call: HttpCall,
    ) -> super::StoreFuture<T> {
        Box::pin(async move {
            let body = self.send(&call).await?;
            serde_json::from_slice(&body).context(error::MalformedSnafu)
        })
    }

    fn execute(self: Arc<Self>, call: HttpCall) -> super::StoreFuture<()> {
        Box::pin(async move { self.send(&call).await.map(drop) })
    }

    async fn send(&self, call: &HttpCall) -> Result<Vec<u8>, error::StoreError> {
        let ends_at = Instant::now() + call.deadline;
        let connection = self.pool.take(call.deadline).await?;
        let may_retry = connection.is_reused && call.is_read();
        let first = self.exchange(call, connection, ends_at).await;
        let response = match first {
            Err(error::StoreError::ConnectionLost { .. }) if may_retry => {
                let connection = self.pool.open(remaining_until(ends_at)).await?;
                self.exchange(call, connection, ends_at).await?
            }
            first => first?,
        };
        check_status(response)
    }

    async fn exchange(
        &self,
        call: &HttpCall,
        connection: pool::PooledStream,
        ends_at: Instant,
    ) -> Result<HttpResponse, error::StoreError> {
        let request = call.encode(self.options.address)?;
        let stream = connection.stream;
        let response = future::timeout(
            remaining_until(ends_at),
            read_response(stream.clone(), request),
        )
        .await;
        match response {
            Ok(Ok(response)) => {
                self.pool.give_back(stream);
                Ok(response)
            }
            Ok(Err(error)) => {
                self.pool.clear();
                Err(error)
            }
            Err(_elapsed) => {
                self.pool.clear();
                Err(error::StoreError::Timeout {
                    deadline: call.deadline,
                })
            }
        }
    }
}

async fn read_response(
    stream: async_std::net::TcpStream,
    request: Request,
) -> Result<HttpResponse, error::StoreError> {
    let mut response = async_h1::connect(stream, request)
        .await
        .map_err(|error| connection_lost(&error))?;
    let length = response.len();
    let body = response
        .body_bytes()
        .await
        .map_err(|error| connection_lost(&error))?;
    // If the connection closes early, the body reader reports a normal end of the body.
    if length.is_some_and(|length| length != body.len()) {
        return error::ConnectionLostSnafu {
            reason: "the answer ended early",
        }
        .fail();
    }
    Ok(HttpResponse {
        status: response.status(),
        body,
    })
}

fn connection_lost(error: &http_types::Error) -> error::StoreError {
    error::StoreError::ConnectionLost {
        reason: error.to_string(),
    }
}

fn check_status(response: HttpResponse) -> Result<Vec<u8>, error::StoreError> {
    match response.status {
        status if status.is_success() => Ok(response.body),
        StatusCode::Conflict => {
            let body: protocol::VersionBody =
                serde_json::from_slice(&response.body).context(error::MalformedSnafu)?;
            error::ConflictSnafu {
                found: body.version,
            }
            .fail()
        }
        StatusCode::TooManyRequests => error::RateLimitedSnafu.fail(),
        StatusCode::PayloadTooLarge => error::TooLargeSnafu.fail(),
        StatusCode::NotFound => error::LeaseExpiredSnafu.fail(),
        status => error::StatusSnafu {
            status: u16::from(status),
        }
        .fail(),
    }
}

/// The path of a key; all bytes except slashes, ASCII letters, digits, `-`, `_` and `.` are
/// percent-encoded.
fn key_path(key: &str) -> String {
    let is_immediate = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.".contains(&byte);
    let encoded: String = key
        .bytes()
        .map(|byte| {
            if is_immediate(byte) {
                char::from(byte).to_string()
            } else {
                format!("%{byte:02X}")
            }
        })
        .collect();
    format!("/v1/kv/{encoded}")
}

fn remaining_until(ends_at: Instant) -> Duration {
    ends_at.saturating_duration_since(Instant::now())
}
