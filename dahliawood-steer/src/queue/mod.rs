//! Fair queue of requests that wait at an entry VM for a slot of a service.
//!
//! Requests queue at the VM, not at the target, so that they can still go to another target or be
//! refused as not run. Start-time fair queueing serves customers by weight; each customer's
//! requests are served in FIFO order. A request that is not expected to get a slot before its
//! deadline is refused at once: on arrival, or later when other requests move ahead of it. The
//! expected wait is derived from the rate at which slots become free; if that rate is
//! overestimated, a request may wait until its deadline and still not run.

pub mod fair;

use crate::queue::fair::{FairTag, VirtualTime};
use dahliawood_model::FastMap;
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum retry delay told to a refused caller.
pub const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitEntry<T> {
    /// The customer, `None` on a route that is open to all.
    pub customer: Option<CustomerKey>,
    /// The customer's weight at this VM, at least 1; see `lookup::LookupTable::local_weight`.
    pub weight: u32,
    /// The latest time at which it may start.
    pub deadline: TimeStamp,
    /// The request itself.
    pub item: T,
}

/// A request that is refused without having run.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedEntry<T> {
    /// The request itself.
    pub item: T,
    /// Its customer.
    pub customer: Option<CustomerKey>,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Demand for slots of a service at one VM: the weights of waiting customers against its slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuePressure {
    /// Sum of the weights of customers with waiting requests.
    pub weight: u64,
    /// Slots of the service that the VM may use.
    pub slots: u32,
}

impl QueuePressure {
    /// Whether this VM should lend a slot to `borrower`: after that, customers there would still
    /// have fewer slots per weight than customers here, or no customer waits here at all.
    pub fn should_lend_to(self, borrower: Self) -> bool {
        let here = u128::from(self.weight) * u128::from(borrower.slots + 1);
        let there = u128::from(borrower.weight) * u128::from(self.slots.saturating_sub(1));
        here < there || (self.weight == 0 && borrower.weight > 0)
    }
}

/// The requests of one customer.
#[derive(Clone, Debug)]
struct CustomerBacklog<T> {
    tag: FairTag,
    entries: VecDeque<WaitEntry<T>>,
}

/// The requests that wait for one service.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    backlogs: FastMap<Option<CustomerKey>, CustomerBacklog<T>>,
    virtual_time: VirtualTime,
    len: usize,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            backlogs: FastMap::default(),
            virtual_time: VirtualTime::default(),
            len: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The number of requests of one customer that wait.
    pub fn customer_len(&self, customer: Option<CustomerKey>) -> usize {
        let backlog = self.backlogs.get(&customer);
        backlog.map_or(0, |backlog| backlog.entries.len())
    }

    /// The demand of the waiting requests on this VM's `slots` slots.
    pub fn pressure(&self, slots: u32) -> QueuePressure {
        let waiting = self
            .backlogs
            .values()
            .filter(|backlog| !backlog.entries.is_empty());
        QueuePressure {
            weight: waiting.map(|backlog| u64::from(backlog.tag.weight())).sum(),
            slots,
        }
    }

    /// Number of requests, over all backlogs, that are served before the one at `position` in a
    /// customer's backlog.
    fn ahead(&self, customer: Option<CustomerKey>, weight: u32, position: usize) -> f64 {
        let share = (position + 1) as f64 / f64::from(weight);
        let others = self.backlogs.iter().filter(|(key, _)| **key != customer);
        let others = others.map(|(_, backlog)| {
            let turns = share * f64::from(backlog.tag.weight());
            turns.min(backlog.entries.len() as f64)
        });
        others.sum::<f64>() + position as f64
    }
}

/// Enqueues a request, or refuses it if it would not start before its deadline.
///
/// `per_second` is the rate at which slots of this VM become free.
///
/// # Errors
///
/// The refused request, with the delay after which the caller may retry.
pub fn push<T>(
    queue: &mut WaitQueue<T>,
    entry: WaitEntry<T>,
    per_second: f64,
    now: TimeStamp,
) -> Result<(), RefusedEntry<T>> {
    let weight = entry.weight.max(1);
    let position = queue.customer_len(entry.customer);
    let wait = fair::wait_time(queue.ahead(entry.customer, weight, position), per_second);
    if now.after(wait) > entry.deadline {
        return Err(refused(entry, wait, now));
    }
    let virtual_time = queue.virtual_time;
    let backlog = queue
        .backlogs
        .entry(entry.customer)
        .or_insert_with(|| CustomerBacklog {
            tag: FairTag::new(weight, virtual_time),
            entries: VecDeque::new(),
        });
    if backlog.entries.is_empty() {
        backlog.tag.rejoin(virtual_time);
    }
    backlog.tag.set_weight(weight);
    backlog.entries.push_back(entry);
    queue.len += 1;
    Ok(())
}

/// Removes the next request, even one whose deadline has passed: only [`refuse_late`] checks
/// deadlines.
pub fn pop<T>(queue: &mut WaitQueue<T>) -> Option<WaitEntry<T>> {
    let waiting = queue
        .backlogs
        .iter()
        .filter(|(_, backlog)| !backlog.entries.is_empty());
    let next = waiting
        .map(|(key, backlog)| (backlog.tag.turn(0), *key))
        .min_by(|(a, a_key), (b, b_key)| a.total_cmp(b).then(a_key.cmp(b_key)));
    let customer = next?.1;
    let backlog = queue.backlogs.get_mut(&customer)?;
    let entry = backlog.entries.pop_front()?;
    backlog.tag.serve(&mut queue.virtual_time);
    queue.len -= 1;
    if queue.len == 0 {
        queue.backlogs.clear();
    }
    Some(entry)
}

/// Puts a popped request that got no slot back at the head of its customer's backlog.
pub fn requeue<T>(queue: &mut WaitQueue<T>, entry: WaitEntry<T>) {
    let mut virtual_time = queue.virtual_time;
    let weight = entry.weight.max(1);
    let backlog = queue.backlogs.entry(entry.customer).or_insert_with(|| {
        let mut tag = FairTag::new(weight, virtual_time);
        tag.serve(&mut virtual_time);
        let entries = VecDeque::new();
        CustomerBacklog { tag, entries }
    });
    backlog.tag.take_back();
    backlog.entries.push_front(entry);
    queue.len += 1;
}

/// Removes the requests that can no longer start before their deadline. Call it every tick.
pub fn refuse_late<T>(
    queue: &mut WaitQueue<T>,
    per_second: f64,
    now: TimeStamp,
) -> Vec<RefusedEntry<T>> {
    let mut late = Vec::new();
    let mut customers: Vec<_> = queue.backlogs.keys().copied().collect();
    customers.sort_unstable();
    for customer in customers {
        late.append(&mut refuse_late_of(queue, customer, per_second, now));
    }
    late
}

fn refuse_late_of<T>(
    queue: &mut WaitQueue<T>,
    customer: Option<CustomerKey>,
    per_second: f64,
    now: TimeStamp,
) -> Vec<RefusedEntry<T>> {
    let mut late = Vec::new();
    let mut position = 0;
    while position < queue.customer_len(customer) {
        let weight = queue.backlogs[&customer].tag.weight();
        let wait = fair::wait_time(queue.ahead(customer, weight, position), per_second);
        let Some(backlog) = queue.backlogs.get_mut(&customer) else {
            break;
        };
        let starts = now.after(wait);
        if starts <= backlog.entries[position].deadline {
            position += 1;
            continue;
        }
        late.extend(
            backlog
                .entries
                .remove(position)
                .map(|entry| refused(entry, wait, now)),
        );
        queue.len -= 1;
    }
    late
}

fn refused<T>(entry: WaitEntry<T>, wait: Duration, now: TimeStamp) -> RefusedEntry<T> {
    let excess = now.after(wait).since(entry.deadline);
    RefusedEntry {
        item: entry.item,
        customer: entry.customer,
        retry_after: excess.max(SHORTEST_RETRY),
    }
}
