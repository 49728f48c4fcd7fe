//! A bounded queue of one VM that is shared fairly between customers.
//!
//! Customers are served by weighted deficit round robin. Within a customer, short work (look-ups,
//! small writes) and long work (downloads) wait in two lanes, so that neither starves the other. A
//! request that cannot begin before its deadline is refused at once. A request whose deadline
//! passes while it waits is returned as expired and has not run.

use dahliawood_model::{keys, stamp};
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of the time after which a refused caller may try again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// How much work a request is expected to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostClass {
    /// A look-up or a small write.
    Short,
    /// A download of many bytes.
    Long,
}

/// The bounds and rates of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueOptions {
    /// Requests that may wait for one customer.
    pub max_waiting: usize,
    /// Cost that a customer of weight one is served in a round.
    pub quantum: u64,
    /// Cost that the VM serves in a second.
    pub cost_rate: u64,
}

/// A request that waits in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// The customer that sent it.
    pub customer: keys::CustomerKey,
    /// Expected cost, in the unit of [`QueueOptions::cost_rate`].
    pub cost: u64,
    /// The lane that it waits in.
    pub class: CostClass,
    /// The time from which it is too late to begin.
    pub deadline: stamp::TimeStamp,
    /// Data of the caller.
    pub item: T,
}

/// Whether a request was queued.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueOutcome<T> {
    /// The request waits.
    Queued,
    /// The request cannot begin in time, or too many requests wait. It has not run.
    Refused {
        /// The caller's data of the request.
        item: T,
        /// How long the caller should wait before it tries again.
        retry_after: Duration,
    },
}

/// What [`FairQueue::pop`] removes from the queue.
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
    /// Cost of the short work served less cost of the long work served, since a lane was last
    /// empty.
    short_lead: i64,
    backlog: u64,
}

/// Queues of all customers.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    options: QueueOptions,
    customers: Vec<CustomerQueue<T>>,
    /// Customers with waiting requests, in the order in which they are served.
    active: VecDeque<keys::CustomerKey>,
}

impl<T> FairQueue<T> {
    /// Creates empty queues for customers with these weights, in the order of the customers' keys.
    pub fn new(options: QueueOptions, weights: impl IntoIterator<Item = u32>) -> Self {
        let customers = weights.into_iter().map(|weight| CustomerQueue {
            weight: u64::from(weight.max(1)),
            deficit: 0,
            short: VecDeque::new(),
            long: VecDeque::new(),
            short_lead: 0,
            backlog: 0,
        });
        Self {
            options,
            customers: customers.collect(),
            active: VecDeque::new(),
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
        self.active.is_empty()
    }

    /// Queues a request if it can begin before its deadline. A request of an unknown customer is
    /// refused.
    pub fn push(&mut self, request: QueuedRequest<T>, now: stamp::TimeStamp) -> QueueOutcome<T> {
        let wait = self.expected_wait(request.customer, request.cost);
        let queue = self.customers.get_mut(request.customer.0 as usize);
        let max_waiting = self.options.max_waiting;
        let queue = queue.filter(|queue| queue.short.len() + queue.long.len() < max_waiting);
        let in_time = now.after(wait) < request.deadline;
        let Some(queue) = queue.filter(|_| in_time) else {
            return QueueOutcome::Refused {
                item: request.item,
                retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            };
        };
        if queue.short.is_empty() && queue.long.is_empty() {
            queue.deficit = 0;
            queue.short_lead = 0;
            self.active.push_back(request.customer);
        }
        queue.backlog += request.cost;
        match request.class {
            CostClass::Short => queue.short.push_back(request),
            CostClass::Long => queue.long.push_back(request),
        }
        QueueOutcome::Queued
    }

    /// How long a request of `customer` would wait if the customer got its fair share of the VM.
    fn expected_wait(&self, customer: keys::CustomerKey, cost: u64) -> Duration {
        let Some(queue) = self.customers.get(customer.0 as usize) else {
            return MAX_RETRY_AFTER;
        };
        let others = self.active.iter().filter(|other| **other != customer);
        let others = others.map(|other| self.customers[other.0 as usize].weight);
        let weights = others.sum::<u64>() + queue.weight;
        let ahead = u128::from(queue.backlog + cost) * u128::from(weights);
        let rate = u128::from(queue.weight) * u128::from(self.options.cost_rate.max(1));
        let micros = ahead * 1_000_000 / rate;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Removes the requests that are too late, and the next request to serve.
    pub fn pop(&mut self, now: stamp::TimeStamp) -> NextRequest<T> {
        let mut expired = Vec::new();
        while let Some(customer) = self.active.front().copied() {
            let queue = &mut self.customers[customer.0 as usize];
            queue.expire(now, &mut expired);
            let Some(cost) = queue.next_cost() else {
                self.active.pop_front();
                continue;
            };
            if queue.deficit < cost {
                queue.deficit += queue.weight * self.options.quantum.max(1);
                self.active.rotate_left(1);
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

    /// Whether the next request is a short one. The lane that has been served less goes first.
    fn short_is_next(&self) -> bool {
        !self.short.is_empty() && (self.long.is_empty() || self.short_lead <= 0)
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
        self.short_lead = self.short_lead.saturating_add(lead);
        if self.short.is_empty() || self.long.is_empty() {
            self.short_lead = 0;
        }
        self.backlog -= request.cost;
        Some(request)
    }
}
