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
const FULL_LIFE: Duration = Duration::from_millis(250);

/// Waiting requests by customer; dropping the senders resumes the requests.
pub type WaitingRequests = FastMap<String, Vec<oneshot::Sender<()>>>;

#[derive(Debug, Default)]
struct AskBoard {
    waiting: WaitingRequests,
    /// Customers whose limit is used up, each with the time until which that is assumed.
    full: FastMap<String, TimeStamp>,
    has_head: bool,
}

/// Requests that wait for the coordinator; the traffic thread adds them, the control thread takes
/// them out.
#[derive(Debug)]
pub struct RoomAsks {
    board: Mutex<AskBoard>,
    bell: (Sender<()>, Receiver<()>),
}

impl Default for RoomAsks {
    fn default() -> Self {
        Self {
            board: Mutex::default(),
            bell: bounded(1),
        }
    }
}

impl RoomAsks {
    fn lock(&self) -> MutexGuard<'_, AskBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; the receiver resolves, with or without an error, once the coordinator has
    /// been asked. Returns `None` if waiting is of no use now: no coordinator answers, or the
    /// customer's limit was found used up a moment ago.
    pub fn ask(&self, customer: &str, now: TimeStamp) -> Option<oneshot::Receiver<()>> {
        let mut board = self.lock();
        let is_full = board.full.get(customer).is_some_and(|until| now < *until);
        if is_full || !board.has_head {
            return None;
        }
        let (answered, wait) = oneshot::channel();
        let waiting = board.waiting.entry(customer.to_owned());
        waiting.or_default().push(answered);
        // One pending wake-up is enough.
        let _rung = self.bell.0.try_send(());
        Some(wait)
    }

    /// Records that a customer's request got no room although the coordinator was asked.
    pub fn note_full(&self, customer: &str, now: TimeStamp) {
        let until = now.after(FULL_LIFE);
        self.lock().full.insert(customer.to_owned(), until);
    }

    /// Records whether a coordinator answers.
    pub fn set_head(&self, has_head: bool) {
        self.lock().has_head = has_head;
    }

    /// Whether a coordinator answers.
    pub fn has_head(&self) -> bool {
        self.lock().has_head
    }

    /// Waits until a request is added.
    pub async fn rung(&self) {
        // The channel stays open, because the queue owns the sender too.
        let _rung = self.bell.1.recv().await;
    }

    /// Takes all waiting requests out of the queue.
    pub fn take(&self) -> WaitingRequests {
        std::mem::take(&mut self.lock().waiting)
    }
}
