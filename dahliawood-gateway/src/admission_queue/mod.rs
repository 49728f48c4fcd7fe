//! Requests that wait while the coordinator is asked for a larger allocation of their customer's
//! limit.
//!
//! This handles a load pattern in which a customer's requests are spread over so many VMs that the
//! fraction allocated to each VM in advance is less than one request. A request waits for at most
//! one response of the coordinator; if that leaves no room for the request, the customer's next
//! requests are refused at once for a short time.

use async_std::channel::{Receiver, Sender, bounded};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use futures::channel::oneshot;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a customer's limit is assumed to be used up after a request got no room.
const EXHAUSTED_TTL: Duration = Duration::from_millis(250);

/// Waiting requests by customer; dropping the senders resumes the requests.
pub type WaitingRequests = FastMap<String, Vec<oneshot::Sender<()>>>;

#[derive(Debug, Default)]
struct QueueState {
    waiting: WaitingRequests,
    /// Customers whose limit is used up, each with the time until which that is assumed.
    exhausted: FastMap<String, TimeStamp>,
    has_coordinator: bool,
}

/// Requests that wait for the coordinator; the traffic thread adds them, the control thread takes
/// them out.
#[derive(Debug)]
pub struct AdmissionQueue {
    state: Mutex<QueueState>,
    wakeup: (Sender<()>, Receiver<()>),
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            wakeup: bounded(1),
        }
    }
}

impl AdmissionQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; the receiver resolves, with or without an error, once the coordinator has
    /// been asked. Returns `None` if waiting is of no use now: no coordinator answers, or the
    /// customer's limit was found used up a moment ago.
    pub fn enqueue(&self, customer: &str, now: TimeStamp) -> Option<oneshot::Receiver<()>> {
        let mut state = self.lock();
        let is_exhausted = state
            .exhausted
            .get(customer)
            .is_some_and(|until| now < *until);
        if is_exhausted || !state.has_coordinator {
            return None;
        }
        let (resume, wait) = oneshot::channel();
        let waiting = state.waiting.entry(customer.to_owned());
        waiting.or_default().push(resume);
        // One pending wake-up is enough.
        let _woken = self.wakeup.0.try_send(());
        Some(wait)
    }

    /// Records that a customer's request got no room although the coordinator was asked.
    pub fn mark_exhausted(&self, customer: &str, now: TimeStamp) {
        let until = now.after(EXHAUSTED_TTL);
        self.lock().exhausted.insert(customer.to_owned(), until);
    }

    /// Records whether a coordinator answers.
    pub fn set_coordinator_available(&self, has_coordinator: bool) {
        self.lock().has_coordinator = has_coordinator;
    }

    /// Whether a coordinator answers.
    pub fn has_coordinator(&self) -> bool {
        self.lock().has_coordinator
    }

    /// Waits until a request is added.
    pub async fn wait_for_request(&self) {
        // The channel stays open, because the queue owns the sender too.
        let _woken = self.wakeup.1.recv().await;
    }

    /// Takes all waiting requests out of the queue.
    pub fn take(&self) -> WaitingRequests {
        std::mem::take(&mut self.lock().waiting)
    }
}
