//! Limits a daemon to its share of the call rate that the store accepts from the whole fleet.
//!
//! The store's rate limits do not grow with the fleet, so each daemon calls at the fleet's rate
//! divided by the number of live VMs. Each daemon uses the number of VMs that it sees itself. While
//! that number lags behind a fleet that has just grown, the store rejects calls, and callers back
//! off.

use crate::client;
use crate::clock;
use dahliawood_model::stamp;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Whether a call writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// The call does not write; watches are reads.
    Read,
    /// The call writes.
    Write,
}

/// Rate limits for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Writes per second of the whole fleet.
    pub writes_per_second: f64,
    /// Reads per second of the whole fleet.
    pub reads_per_second: f64,
    /// Longest wait; a call that would have to wait longer is rejected.
    pub max_wait: Duration,
}

impl Default for BudgetOptions {
    /// Four fifths of 500 writes and 2,000 reads; the rest is reserved for operators.
    fn default() -> Self {
        Self {
            writes_per_second: 400.0,
            reads_per_second: 1_600.0,
            max_wait: Duration::from_secs(5),
        }
    }
}

/// Token bucket for calls; its level drops below zero while callers wait for their reserved calls.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: stamp::TimeStamp,
}

/// The call budget of one daemon.
#[derive(Clone, Debug)]
pub struct CallBudget {
    options: BudgetOptions,
    live_vms: usize,
    reads: TokenBucket,
    writes: TokenBucket,
}

impl CallBudget {
    /// A full budget, in a fleet of `live_vms` VMs.
    pub fn new(options: BudgetOptions, live_vms: usize, now: stamp::TimeStamp) -> Self {
        let full = TokenBucket {
            tokens: f64::MAX,
            refilled_at: now,
        };
        Self {
            options,
            live_vms,
            reads: full,
            writes: full,
        }
    }

    /// Sets the number of live VMs.
    pub fn set_live_vms(&mut self, live_vms: usize) {
        self.live_vms = live_vms;
    }

    /// Calls per second that this daemon may make.
    pub fn rate(&self, kind: CallKind) -> f64 {
        let fleet = match kind {
            CallKind::Read => self.options.reads_per_second,
            CallKind::Write => self.options.writes_per_second,
        };
        fleet / self.live_vms.max(1) as f64
    }

    /// Reserves a call and returns how long to wait before making it; `None`, without a
    /// reservation, if that is longer than [`BudgetOptions::max_wait`].
    pub fn reserve(&mut self, kind: CallKind, now: stamp::TimeStamp) -> Option<Duration> {
        let rate = self.rate(kind);
        let max_wait = self.options.max_wait;
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let elapsed = now.since(bucket.refilled_at).as_secs_f64();
        // The burst is the number of calls of one second, and at least one.
        let tokens = (bucket.tokens + elapsed * rate).min(rate.max(1.0));
        let missing = (1.0 - tokens).max(0.0) / rate;
        let wait = Duration::from_secs_f64(missing);
        if wait > max_wait {
            return None;
        }
        *bucket = TokenBucket {
            tokens: tokens - 1.0,
            refilled_at: bucket.refilled_at.max(now),
        };
        Some(wait)
    }
}

/// Wraps a client so that its calls wait until `budget` allows them. A call that would have to wait
/// too long is not sent and fails with [`client::error::StoreError::RateLimited`].
pub fn limit(
    client: &client::StoreClient,
    budget: &Arc<Mutex<CallBudget>>,
    time: &clock::TimeSource,
) -> client::StoreClient {
    let limiter = CallLimiter {
        budget: Arc::clone(budget),
        time: time.clone(),
    };
    client::StoreClient {
        get: limiter.limit(&client.get, CallKind::Read),
        put: limiter.limit(&client.put, CallKind::Write),
        delete: limiter.limit(&client.delete, CallKind::Write),
        list: limiter.limit(&client.list, CallKind::Read),
        watch: limiter.limit(&client.watch, CallKind::Read),
        grant_lease: limiter.limit(&client.grant_lease, CallKind::Write),
        renew_lease: limiter.limit(&client.renew_lease, CallKind::Write),
        revoke_lease: limiter.limit(&client.revoke_lease, CallKind::Write),
        live: limiter.limit(&client.live, CallKind::Read),
    }
}

#[derive(Clone)]
struct CallLimiter {
    budget: Arc<Mutex<CallBudget>>,
    time: clock::TimeSource,
}

impl CallLimiter {
    fn limit<A: Send + 'static, T: Send + 'static>(
        &self,
        call: &client::StoreCall<A, T>,
        kind: CallKind,
    ) -> client::StoreCall<A, T> {
        let limiter = self.clone();
        let call = Arc::clone(call);
        Arc::new(move |argument| {
            let limiter = limiter.clone();
            let call = Arc::clone(&call);
            Box::pin(async move {
                limiter.wait(kind).await?;
                call(argument).await
            })
        })
    }

    async fn wait(&self, kind: CallKind) -> Result<(), client::error::StoreError> {
        let now = (self.time.now)();
        let wait = {
            let mut budget = self.budget.lock().expect("no holder of the lock panics");
            budget.reserve(kind, now)
        };
        let wait = wait.ok_or(client::error::StoreError::RateLimited)?;
        if !wait.is_zero() {
            (self.time.sleep)(wait).await;
        }
        Ok(())
    }
}
