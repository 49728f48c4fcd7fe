//! Bounded queues of one VM, shared fairly between customers.
//!
//! Deficit round robin by weight over customers, and inside a customer over two lanes: short work
//! (look-ups, postings) and long work (downloads), so that neither starves the other. A request
//! whose wait cannot end before its deadline is refused at once; one whose deadline passes while it
//! waits comes back as expired, and has not run.

use dahliawood_model::{keys, stamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of the time after which a refused caller may try again.
const RETRY_LEAST: Duration = Duration::from_millis(10);
const RETRY_MOST: Duration = Duration::from_secs(60);

/// How much work a request is expected to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostClass {
    /// A look-up, a posting, a filing.
    Short,
    /// A download of many bytes.
    Long,
}

/// How a queue works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueOptions {
    /// Requests that may wait for one customer.
    pub max_waiting: usize,
    /// Cost that a customer of weight one may be served in a round.
    pub quantum: u64,
    /// Cost that the VM serves in a second.
    pub cost_rate: u64,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// Whose.
    pub customer: keys::CustomerKey,
    /// Expected cost, in the unit of [`QueueOptions::cost_rate`].
    pub cost: u64,
    /// Which lane.
    pub class: CostClass,
    /// When it is too late to begin.
    pub deadline: stamp::TimeStamp,
    /// What the driver keeps with it.
    pub item: T,
}

/// Whether a request was queued.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueOutcome<T> {
    /// It waits.
    Queued,
    /// It cannot begin in time, or too many wait; it has not run.
    Refused {
        /// What was to be queued.
        item: T,
        /// When it may be worth another try.
        retry_after: Duration,
    },
}

/// What a queue hands out.
#[derive(Clone, Debug, PartialEq)]
pub struct NextRequest<T> {
    /// The request to serve now.
    pub next: Option<QueuedRequest<T>>,
    /// Requests whose deadline has passed; none of them has run.
    pub expired: Vec<QueuedRequest<T>>,
}

/// The queue of one customer.
#[derive(Clone, Debug)]
struct CustomerQueue<T> {
    weight: u64,
    deficit: u64,
    short: VecDeque<QueuedRequest<T>>,
    long: VecDeque<QueuedRequest<T>>,
    /// Cost served of short work less that of long work, since either lane was empty.
    lead: i64,
    backlog: u64,
}

/// Queues of all customers.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    options: QueueOptions,
    customers: Vec<CustomerQueue<T>>,
    /// Customers with waiting requests, the next to serve first.
    round: VecDeque<keys::CustomerKey>,
}

impl<T> FairQueue<T> {
    /// Empty queues; customers are known by their weights, in the order of their keys.
    pub fn new(options: QueueOptions, weights: impl IntoIterator<Item = u32>) -> Self {
        let customers = weights.into_iter().map(|weight| CustomerQueue {
            weight: u64::from(weight.max(1)),
            deficit: 0,
            short: VecDeque::new(),
            long: VecDeque::new(),
            lead: 0,
            backlog: 0,
        });
        Self {
            options,
            customers: customers.collect(),
            round: VecDeque::new(),
        }
    }

    /// Sets the cost that the VM serves in a second, as measured.
    pub fn set_cost_rate(&mut self, cost_rate: u64) {
        self.options.cost_rate = cost_rate;
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        let lanes = self.customers.iter();
        lanes
            .map(|queue| queue.short.len() + queue.long.len())
            .sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.round.is_empty()
    }

    /// Queues a request whose wait can end in time; a customer that is not known is refused.
    pub fn push(&mut self, request: QueuedRequest<T>, now: stamp::TimeStamp) -> QueueOutcome<T> {
        let wait = self.expected_wait(request.customer, request.cost);
        let queue = self.customers.get_mut(request.customer.0 as usize);
        let most = self.options.max_waiting;
        let queue = queue.filter(|queue| queue.short.len() + queue.long.len() < most);
        let in_time = now.after(wait) < request.deadline;
        let Some(queue) = queue.filter(|_| in_time) else {
            return QueueOutcome::Refused {
                item: request.item,
                retry_after: wait.clamp(RETRY_LEAST, RETRY_MOST),
            };
        };
        if queue.short.is_empty() && queue.long.is_empty() {
            queue.deficit = 0;
            queue.lead = 0;
            self.round.push_back(request.customer);
        }
        queue.backlog += request.cost;
        match request.class {
            CostClass::Short => queue.short.push_back(request),
            CostClass::Long => queue.long.push_back(request),
        }
        QueueOutcome::Queued
    }

    /// How long a request of `customer` would wait at its fair share of the VM.
    fn expected_wait(&self, customer: keys::CustomerKey, cost: u64) -> Duration {
        let Some(queue) = self.customers.get(customer.0 as usize) else {
            return RETRY_MOST;
        };
        let others = self.round.iter().filter(|other| **other != customer);
        let others = others.map(|other| self.customers[other.0 as usize].weight);
        let weights = others.sum::<u64>() + queue.weight;
        let ahead = u128::from(queue.backlog + cost) * u128::from(weights);
        let rate = u128::from(queue.weight) * u128::from(self.options.cost_rate.max(1));
        let micros = ahead * 1_000_000 / rate;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Takes out what is too late, and the next request to serve.
    pub fn pop(&mut self, now: stamp::TimeStamp) -> NextRequest<T> {
        let mut expired = Vec::new();
        while let Some(customer) = self.round.front().copied() {
            let queue = &mut self.customers[customer.0 as usize];
            queue.expire(now, &mut expired);
            let Some(cost) = queue.next_cost() else {
                self.round.pop_front();
                continue;
            };
            if queue.deficit < cost {
                queue.deficit += queue.weight * self.options.quantum.max(1);
                self.round.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let next = queue.take_next();
            return NextRequest { next, expired };
        }
        NextRequest {
            next: None,
            expired,
        }
    }
}

impl<T> CustomerQueue<T> {
    fn expire(&mut self, now: stamp::TimeStamp, expired: &mut Vec<QueuedRequest<T>>) {
        for lane in [&mut self.short, &mut self.long] {
            let is_late = |request: &QueuedRequest<T>| request.deadline <= now;
            while lane.front().is_some_and(is_late) {
                let late = lane.pop_front().expect("the lane has a front");
                self.backlog -= late.cost;
                expired.push(late);
            }
        }
    }

    /// Whether the next request is a short one: the lane that is behind goes first.
    fn short_is_next(&self) -> bool {
        !self.short.is_empty() && (self.long.is_empty() || self.lead <= 0)
    }

    fn next_cost(&self) -> Option<u64> {
        let lane = if self.short_is_next() {
            &self.short
        } else {
            &self.long
        };
        lane.front().map(|request| request.cost)
    }

    fn take_next(&mut self) -> Option<QueuedRequest<T>> {
        let is_short = self.short_is_next();
        let lane = if is_short {
            &mut self.short
        } else {
            &mut self.long
        };
        let request = lane.pop_front()?;
        let cost = i64::try_from(request.cost).unwrap_or(i64::MAX);
        let lead = if is_short { cost } else { -cost };
        self.lead = self.lead.saturating_add(lead);
        if self.short.is_empty() || self.long.is_empty() {
            self.lead = 0;
        }
        self.backlog -= request.cost;
        Some(request)
    }
}
