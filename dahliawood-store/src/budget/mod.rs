//! A daemon's fair share of the calls that the store takes from the whole fleet.
//!
//! The rates of the store do not grow with the fleet, so each daemon calls at the fleet's rate
//! divided by the number of live VMs. The number is each daemon's own view: where it lags behind
//! a fleet that has just grown, the store refuses calls for a while, which backs callers off.

use crate::client;
use crate::clock;
use dahliawood_model::stamp;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Whether a call changes anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// It does not; a watch is one such call.
    Read,
    /// It does.
    Write,
}

/// What the fleet may use together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Writes a second of the whole fleet.
    pub writes_per_second: f64,
    /// Reads a second of the whole fleet.
    pub reads_per_second: f64,
    /// A call that would have to wait longer is refused.
    pub longest_wait: Duration,
}

impl Default for BudgetOptions {
    /// Four fifths of 500 writes and 2,000 reads; the rest is for operators.
    fn default() -> Self {
        Self {
            writes_per_second: 400.0,
            reads_per_second: 1_600.0,
            longest_wait: Duration::from_secs(5),
        }
    }
}

/// Calls that may be made, as a bucket whose level goes below zero while callers wait.
#[derive(Clone, Copy, Debug)]
struct CallBucket {
    level: f64,
    filled_at: stamp::TimeStamp,
}

/// The share of one daemon.
#[derive(Clone, Debug)]
pub struct CallBudget {
    options: BudgetOptions,
    live_vms: usize,
    reads: CallBucket,
    writes: CallBucket,
}

impl CallBudget {
    /// A full budget in a fleet of `live_vms`.
    pub fn new(options: BudgetOptions, live_vms: usize, now: stamp::TimeStamp) -> Self {
        let full = CallBucket {
            level: f64::MAX,
            filled_at: now,
        };
        Self {
            options,
            live_vms,
            reads: full,
            writes: full,
        }
    }

    /// Takes in how many VMs live.
    pub fn set_live_vms(&mut self, live_vms: usize) {
        self.live_vms = live_vms;
    }

    /// Calls a second that this daemon may make.
    pub fn rate(&self, kind: CallKind) -> f64 {
        let fleet = match kind {
            CallKind::Read => self.options.reads_per_second,
            CallKind::Write => self.options.writes_per_second,
        };
        fleet / self.live_vms.max(1) as f64
    }

    /// Reserves a call and returns how long to wait before it; `None` where that is too long.
    pub fn reserve(&mut self, kind: CallKind, now: stamp::TimeStamp) -> Option<Duration> {
        let rate = self.rate(kind);
        let longest = self.options.longest_wait;
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let elapsed = now.since(bucket.filled_at).as_secs_f64();
        // At least one call at once, at most those of a second.
        let level = (bucket.level + elapsed * rate).min(rate.max(1.0));
        let missing = (1.0 - level).max(0.0) / rate;
        let wait = Duration::from_secs_f64(missing);
        if wait > longest {
            return None;
        }
        *bucket = CallBucket {
            level: level - 1.0,
            filled_at: bucket.filled_at.max(now),
        };
        Some(wait)
    }
}

/// A client whose calls wait for their turn in `budget`; one that would wait too long fails with
/// [`client::error::StoreError::RateLimited`] and is not sent.
pub fn limit(
    client: &client::StoreClient,
    budget: &Arc<Mutex<CallBudget>>,
    time: &clock::TimeSource,
) -> client::StoreClient {
    let turn = CallTurn {
        budget: Arc::clone(budget),
        time: time.clone(),
    };
    client::StoreClient {
        get: turn.limit(&client.get, CallKind::Read),
        put: turn.limit(&client.put, CallKind::Write),
        delete: turn.limit(&client.delete, CallKind::Write),
        list: turn.limit(&client.list, CallKind::Read),
        watch: turn.limit(&client.watch, CallKind::Read),
        grant_lease: turn.limit(&client.grant_lease, CallKind::Write),
        renew_lease: turn.limit(&client.renew_lease, CallKind::Write),
        revoke_lease: turn.limit(&client.revoke_lease, CallKind::Write),
        live: turn.limit(&client.live, CallKind::Read),
    }
}

#[derive(Clone)]
struct CallTurn {
    budget: Arc<Mutex<CallBudget>>,
    time: clock::TimeSource,
}

impl CallTurn {
    fn limit<A: Send + 'static, T: Send + 'static>(
        &self,
        call: &client::StoreCall<A, T>,
        kind: CallKind,
    ) -> client::StoreCall<A, T> {
        let turn = self.clone();
        let call = Arc::clone(call);
        Arc::new(move |argument| {
            let turn = turn.clone();
            let call = Arc::clone(&call);
            Box::pin(async move {
                turn.wait(kind).await?;
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
