//! A caller: asks which VMs to use, keeps the answer for its time to live, and sends requests there.
//!
//! It goes on to the next VM that it was told where one takes no connection, and asks again where
//! none does. A request that may have run is not sent again unless it is idempotent.

use dahliawood_wire::{client, pool};
use futures::AsyncReadExt;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Who calls what.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// VMs to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The caller's key, none for routes that are open to all.
    pub key: Option<String>,
    /// The service.
    pub service: String,
}

/// One request to make.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerOutcome {
    /// Status, `None` without a whole answer.
    pub status: Option<StatusCode>,
    /// The type of the problem document, where the answer is one.
    pub problem: Option<String>,
    /// Bytes of the answer's body.
    pub bytes: usize,
    /// From the first try to the last byte.
    pub latency: Duration,
    /// Requests sent.
    pub tries: usize,
}

/// A caller with its look-up answer and its connections.
pub struct FleetCaller {
    options: CallerOptions,
    pool: pool::TargetPool,
    answer: Option<CachedAnswer>,
}

struct CachedAnswer {
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

/// A whole answer from one VM.
struct WholeAnswer {
    status: StatusCode,
    body: Vec<u8>,
    is_problem: bool,
}

/// Why one VM gave none.
struct NoAnswer {
    may_have_run: bool,
}

impl FleetCaller {
    /// A caller that has asked nothing yet.
    pub fn new(options: CallerOptions) -> Self {
        let pool = pool::TargetPool::new(pool::PoolOptions::default());
        Self {
            options,
            pool,
            answer: None,
        }
    }

    /// Makes one request.
    pub async fn call(&mut self, request: &CallerRequest) -> CallerOutcome {
        let start = Instant::now();
        let mut tries = 0;
        for vm in self.vms().await {
            tries += 1;
            match self.exchange(vm, request).await {
                Ok(answer) => return outcome(&answer, start, tries),
                Err(failure) if failure.may_have_run && !request.is_idempotent => break,
                Err(_) => self.answer = None,
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

    /// The VMs to use, from the cached answer or a new look-up; the seeds where no VM answers.
    async fn vms(&mut self) -> Vec<SocketAddr> {
        if let Some(answer) = &self.answer
            && answer.expires > Instant::now()
        {
            return answer.vms.clone();
        }
        for seed in self.options.seeds.clone() {
            if let Some(answer) = self.look_up(seed).await {
                let vms = answer.vms.clone();
                self.answer = Some(answer);
                return vms;
            }
        }
        self.options.seeds.clone()
    }

    /// Asks one VM.
    async fn look_up(&self, vm: SocketAddr) -> Option<CachedAnswer> {
        let request = CallerRequest {
            method: Method::Get,
            path: format!("/v1/lookup?service={}", self.options.service),
            body: Vec::new(),
            is_idempotent: true,
        };
        let answer = self.exchange(vm, &request).await.ok()?;
        if answer.status != StatusCode::Ok {
            return None;
        }
        let json: LookupJson = serde_json::from_slice(&answer.body).ok()?;
        let vms = json
            .vms
            .iter()
            .filter_map(|vm| vm.url.strip_prefix("http://")?.parse().ok());
        let expires = Instant::now() + Duration::from_millis(json.ttl_ms);
        Some(CachedAnswer {
            vms: vms.collect(),
            expires,
        })
    }

    /// One exchange with one VM, to the last byte of its answer.
    async fn exchange(
        &self,
        vm: SocketAddr,
        request: &CallerRequest,
    ) -> Result<WholeAnswer, NoAnswer> {
        let url = Url::parse(&format!("http://{vm}{}", request.path));
        let mut sent = Request::new(
            request.method,
            url.map_err(|_| NoAnswer {
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
            response_timeout: ANSWER_TIMEOUT,
            ..client::ExchangeOptions::default()
        };
        let choice = pool::ConnectionChoice::Any;
        let exchanged = self.pool.exchange(vm, choice, sent, &options).await;
        let mut response = exchanged
            .map_err(|error| NoAnswer {
                may_have_run: error.verdict() != dahliawood_fate::verdict::RunVerdict::NotRun,
            })?
            .response;
        let mut body = Vec::new();
        let read = response.read_to_end(&mut body).await;
        read.map_err(|_| NoAnswer { may_have_run: true })?;
        let is_problem = response
            .header("content-type")
            .is_some_and(|value| value.as_str().starts_with("application/problem+json"));
        Ok(WholeAnswer {
            status: response.status(),
            body,
            is_problem,
        })
    }
}

/// The outcome of a request that got a whole answer.
fn outcome(answer: &WholeAnswer, start: Instant, tries: usize) -> CallerOutcome {
    let problem = answer
        .is_problem
        .then(|| serde_json::from_slice::<ProblemJson>(&answer.body));
    CallerOutcome {
        status: Some(answer.status),
        problem: problem.and_then(Result::ok).map(|problem| problem.r#type),
        bytes: answer.body.len(),
        latency: start.elapsed(),
        tries,
    }
}
