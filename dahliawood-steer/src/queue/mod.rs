//! Requests that wait at an entry VM for a slot of a service, fairly by customer.
//!
//! The queue sits at the VM, not at the target, so that a request can still go elsewhere or be
//! refused as not run. Customers take turns by weight (start-time fair queueing); within one, the
//! oldest goes first. A request that its customer's turns cannot bring to a slot before its
//! deadline is refused at once: on arrival, or as soon as others push it behind. The forecast
//! rests on the rate at which slots are known to come free, so a rate given too high lets a
//! request wait in vain up to its deadline.

use dahliawood_model::FastMap;
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::stamp::TimeStamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The soonest time after which a caller is told to come back.
pub const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitEntry<T> {
    /// The customer, `None` on a route that is open to all.
    pub customer: Option<CustomerKey>,
    /// The customer's weight at this VM, at least 1; see `lookup::LookupTable::local_weight`.
    pub weight: u32,
    /// The latest time at which it is still of use to start it.
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
    /// When to come back.
    pub retry_after: Duration,
}

/// How badly a VM needs slots: the weights of customers that wait there, over the slots it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuePressure {
    /// Weights of the customers that have requests waiting, added up.
    pub weight: u64,
    /// Slots of the service that the VM may use.
    pub slots: u32,
}

impl QueuePressure {
    /// Whether a slot is fairer at `asker` than here: customers there would still have fewer slots
    /// for their weight than those here.
    pub fn yields_to(self, asker: Self) -> bool {
        let here = u128::from(self.weight) * u128::from(asker.slots + 1);
        let there = u128::from(asker.weight) * u128::from(self.slots.saturating_sub(1));
        here < there || (self.weight == 0 && asker.weight > 0)
    }
}

/// The requests of one customer.
#[derive(Clone, Debug)]
struct CustomerLine<T> {
    weight: u32,
    /// Virtual time up to which the customer has been served.
    served: f64,
    entries: VecDeque<WaitEntry<T>>,
}

/// The requests that wait for one service.
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    lines: FastMap<Option<CustomerKey>, CustomerLine<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            lines: FastMap::default(),
            virtual_time: 0.0,
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
        let line = self.lines.get(&customer);
        line.map_or(0, |line| line.entries.len())
    }

    /// The pressure of what waits on `slots` slots of this VM.
    pub fn pressure(&self, slots: u32) -> QueuePressure {
        let waiting = self.lines.values().filter(|line| !line.entries.is_empty());
        QueuePressure {
            weight: waiting.map(|line| u64::from(line.weight)).sum(),
            slots,
        }
    }

    /// Requests that go before the one at `position` of a customer's line, in all lines.
    fn ahead(&self, customer: Option<CustomerKey>, weight: u32, position: usize) -> f64 {
        let share = (position + 1) as f64 / f64::from(weight);
        let others = self.lines.iter().filter(|(key, _)| **key != customer);
        let others = others.map(|(_, line)| {
            let turns = share * f64::from(line.weight);
            turns.min(line.entries.len() as f64)
        });
        others.sum::<f64>() + position as f64
    }
}

/// Takes in a request, or refuses it where it would not start before its deadline.
///
/// `per_second` is the rate at which slots of this VM come free.
///
/// # Errors
///
/// The request itself, with the time after which to come back.
pub fn push<T>(
    queue: &mut WaitQueue<T>,
    entry: WaitEntry<T>,
    per_second: f64,
    now: TimeStamp,
) -> Result<(), RefusedEntry<T>> {
    let weight = entry.weight.max(1);
    let position = queue.customer_len(entry.customer);
    let wait = wait_time(queue.ahead(entry.customer, weight, position), per_second);
    if now.after(wait) > entry.deadline {
        return Err(refused(entry, wait, now));
    }
    let virtual_time = queue.virtual_time;
    let line = queue
        .lines
        .entry(entry.customer)
        .or_insert_with(|| CustomerLine {
            weight,
            served: virtual_time,
            entries: VecDeque::new(),
        });
    if line.entries.is_empty() {
        line.served = line.served.max(virtual_time);
    }
    line.weight = weight;
    line.entries.push_back(entry);
    queue.len += 1;
    Ok(())
}

/// Takes out the request whose turn it is; one whose deadline has passed counts as its turn too,
/// and is left to [`refuse_late`].
pub fn pop<T>(queue: &mut WaitQueue<T>) -> Option<WaitEntry<T>> {
    let waiting = queue
        .lines
        .iter()
        .filter(|(_, line)| !line.entries.is_empty());
    let next = waiting
        .min_by(|(a_key, a), (b_key, b)| a.served.total_cmp(&b.served).then(a_key.cmp(b_key)));
    let customer = *next?.0;
    let line = queue.lines.get_mut(&customer)?;
    let entry = line.entries.pop_front()?;
    queue.virtual_time = line.served;
    line.served += 1.0 / f64::from(line.weight);
    queue.len -= 1;
    if queue.len == 0 {
        queue.lines.clear();
    }
    Some(entry)
}

/// Puts a request that found no slot after all back to the head of its customer's line.
pub fn requeue<T>(queue: &mut WaitQueue<T>, entry: WaitEntry<T>) {
    let virtual_time = queue.virtual_time;
    let weight = entry.weight.max(1);
    let line = queue
        .lines
        .entry(entry.customer)
        .or_insert_with(|| CustomerLine {
            weight,
            served: virtual_time + 1.0 / f64::from(weight),
            entries: VecDeque::new(),
        });
    line.served -= 1.0 / f64::from(line.weight);
    line.entries.push_front(entry);
    queue.len += 1;
}

/// Takes out the requests that can no longer start before their deadline. Run it each tick.
pub fn refuse_late<T>(
    queue: &mut WaitQueue<T>,
    per_second: f64,
    now: TimeStamp,
) -> Vec<RefusedEntry<T>> {
    let mut late = Vec::new();
    let mut customers: Vec<_> = queue.lines.keys().copied().collect();
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
        let weight = queue.lines[&customer].weight;
        let wait = wait_time(queue.ahead(customer, weight, position), per_second);
        let Some(line) = queue.lines.get_mut(&customer) else {
            break;
        };
        let starts = now.after(wait);
        if starts <= line.entries[position].deadline {
            position += 1;
            continue;
        }
        late.extend(
            line.entries
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

fn wait_time(ahead: f64, per_second: f64) -> Duration {
    if ahead <= 0.0 && per_second > 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(ahead / per_second).unwrap_or(Duration::MAX)
}
