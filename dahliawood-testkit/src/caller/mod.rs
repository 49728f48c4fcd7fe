//! A client of the fleet: looks up which VMs to use, caches the answer for its time to live, and
//! sends requests to these VMs.
//!
//! Where an exchange with one VM fails, the caller discards the cached look-up and tries the next
//! VM of the list. A request that may have run is not sent again unless it is idempotent.

use dahliawood_wire::{client, pool};
use futures::AsyncReadExt;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The settings of a caller.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Addresses of the VMs that the first look-up goes to.
    pub seeds: Vec<SocketAddr>,
    /// The API key that requests carry; `None` for routes that need no key.
    pub key: Option<String>,
    /// The name of the service that is looked up.
    pub service: String,
}

/// One request to make.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, empty for none.
    pub body: Vec<u8>,
    /// Whether the request may run more than once, and so may be retried.
    pub is_idempotent: bool,
}

/// The result of one request, retries included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerOutcome {
    /// Status of the response; `None` where no complete response arrived.
    pub status: Option<StatusCode>,
    /// The type of the problem document, where the response is one.
    pub problem: Option<String>,
    /// Length of the response body, bytes.
    pub bytes: usize,
    /// Time from the first try to the last byte of the response.
    pub latency: Duration,
    /// Exchanges attempted, one for each VM that was tried.
    pub tries: usize,
}

/// A caller with its cached look-up and its connection pool.
pub struct FleetCaller {
    options: CallerOptions,
    pool: pool::TargetPool,
    lookup: Option<CachedLookup>,
}

struct CachedLookup {
    vms: Vec<SocketAddr>,
    expires: Instant,
}

#[derive(Deserialize)]
struct LookupJson {
    ttl_ms: u64,
    vms: Vec<VmJson>,
}

#[derive(Deserialize)]
struct VmJson {
    url: String,
}

#[derive(Deserialize)]
struct ProblemJson {
    r#type: String,
}

/// A response that one VM sent completely.
struct CompleteResponse {
    status: StatusCode,
    body: Vec<u8>,
    is_problem: bool,
}

/// An exchange with one VM that brought no complete response.
struct ExchangeFailure {
    may_have_run: bool,
}

impl FleetCaller {
    /// Creates a caller without a cached look-up.
    pub fn new(options: CallerOptions) -> Self {
        let pool = pool::TargetPool::new(pool::PoolOptions::default());
        Self {
            options,
            pool,
            lookup: None,
        }
    }

    /// Sends one request, to one VM after the other until one of them answers.
    pub async fn call(&mut self, request: &CallerRequest) -> CallerOutcome {
        let start = Instant::now();
        let mut tries = 0;
        for vm in self.vms().await {
            tries += 1;
            match self.exchange(vm, request).await {
                Ok(response) => return outcome(&response, start, tries),
                Err(failure) if failure.may_have_run && !request.is_idempotent => break,
                Err(_) => self.lookup = None,
            }
        }
        let latency = start.elapsed();
        CallerOutcome {
            status: None,
            problem: None,
            bytes: 0,
            latency,
            tries,
        }
    }

    /// The VMs to use, from the cached look-up or a new one; the seed VMs where no VM answers.
    async fn vms(&mut self) -> Vec<SocketAddr> {
        if let Some(lookup) = &self.lookup
            && lookup.expires > Instant::now()
        {
            return lookup.vms.clone();
        }
        for seed in self.options.seeds.clone() {
            if let Some(lookup) = self.look_up(seed).await {
                let vms = lookup.vms.clone();
                self.lookup = Some(lookup);
                return vms;
            }
        }
        self.options.seeds.clone()
    }

    /// Sends a look-up to one VM; `None` where it fails or the VM answers with an error.
    async fn look_up(&self, vm: SocketAddr) -> Option<CachedLookup> {
        let request = CallerRequest {
            method: Method::Get,
            path: format!("/v1/lookup?service={}", self.options.service),
            body: Vec::new(),
            is_idempotent: true,
        };
        let response = self.exchange(vm, &request).await.ok()?;
        if response.status != StatusCode::Ok {
            return None;
        }
        let json: LookupJson = serde_json::from_slice(&response.body).ok()?;
        let vms = json
            .vms
            .iter()
            .filter_map(|vm| vm.url.strip_prefix("http://")?.parse().ok());
        let expires = Instant::now() + Duration::from_millis(json.ttl_ms);
        Some(CachedLookup {
            vms: vms.collect(),
            expires,
        })
    }

    /// Sends a request to one VM and reads the complete response.
    async fn exchange(
        &self,
        vm: SocketAddr,
        request: &CallerRequest,
    ) -> Result<CompleteResponse, ExchangeFailure> {
        let url = Url::parse(&format!("http://{vm}{}", request.path));
        let mut sent = Request::new(
            request.method,
            url.map_err(|_| ExchangeFailure {
                may_have_run: false,
            })?,
        );
        if let Some(key) = &self.options.key {
            sent.insert_header("authorization", format!("Bearer {key}"));
        }
        if !request.body.is_empty() {
            sent.set_body(request.body.clone());
        }
        let options = client::ExchangeOptions {
            response_timeout: RESPONSE_TIMEOUT,
            ..client::ExchangeOptions::default()
        };
        let choice = pool::ConnectionChoice::Any;
        let exchanged = self.pool.exchange(vm, choice, sent, &options).await;
        let mut response = exchanged
            .map_err(|error| ExchangeFailure {
                may_have_run: error.verdict() != dahliawood_request::verdict::RunVerdict::NotRun,
            })?
            .response;
        let mut body = Vec::new();
        let read = response.read_to_end(&mut body).await;
        read.map_err(|_| ExchangeFailure { may_have_run: true })?;
        let is_problem = response
            .header("content-type")
            .is_some_and(|value| value.as_str().starts_with("application/problem+json"));
        Ok(CompleteResponse {
            status: response.status(),
            body,
            is_problem,
        })
    }
}

/// The outcome of a request that got a complete response.
fn outcome(response: &CompleteResponse, start: Instant, tries: usize) -> CallerOutcome {
    let problem = response
        .is_problem
        .then(|| serde_json::from_slice::<ProblemJson>(&response.body));
    CallerOutcome {
        status: Some(response.status),
        problem: problem.and_then(Result::ok).map(|problem| problem.r#type),
        bytes: response.body.len(),
        latency: start.elapsed(),
        tries,
    }
}
