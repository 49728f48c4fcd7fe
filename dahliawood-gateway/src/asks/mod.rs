//! Requests that wait for room in a customer's limit while the head is asked for more.
//!
//! Load pattern that this answers: a customer's requests are spread so thin over many VMs that the
//! parts given out beforehand hold less than one. A request waits for one answer of the head at
//! most; where that gives nothing, the next ones are refused at once for a moment.

use async_std::channel::{Receiver, Sender, bounded};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use futures::channel::oneshot;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a customer is taken to have no room after the head had none.
const FULL_LIFE: Duration = Duration::from_millis(250);

/// Requests that wait, by customer; they go on once these are dropped.
pub type WaitingRequests = FastMap<String, Vec<oneshot::Sender<()>>>;

#[derive(Debug, Default)]
struct AskBoard {
    waiting: WaitingRequests,
    /// Customers without room, each with the time until which that is believed.
    full: FastMap<String, TimeStamp>,
    has_head: bool,
}

/// What waits for the head; the traffic thread adds, the control thread takes.
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

    /// Asks for room; resolves, in either way, once the head has been asked. `None` where that is
    /// of no use now.
    pub fn ask(&self, customer: &str, now: TimeStamp) -> Option<oneshot::Receiver<()>> {
        let mut board = self.lock();
        let is_full = board.full.get(customer).is_some_and(|until| now < *until);
        if is_full || !board.has_head {
            return None;
        }
        let (answered, wait) = oneshot::channel();
        let waiting = board.waiting.entry(customer.to_owned());
        waiting.or_default().push(answered);
        // One ring that waits is enough.
        let _rung = self.bell.0.try_send(());
        Some(wait)
    }

    /// Notes that the head had no room for a customer.
    pub fn note_full(&self, customer: &str, now: TimeStamp) {
        let until = now.after(FULL_LIFE);
        self.lock().full.insert(customer.to_owned(), until);
    }

    /// Notes whether a head answers.
    pub fn set_head(&self, has_head: bool) {
        self.lock().has_head = has_head;
    }

    /// Whether a head answers.
    pub fn has_head(&self) -> bool {
        self.lock().has_head
    }

    /// Waits until a request asks for room.
    pub async fn rung(&self) {
        // The sender lives as long as this.
        let _rung = self.bell.1.recv().await;
    }

    /// Takes what waits.
    pub fn take(&self) -> WaitingRequests {
        std::mem::take(&mut self.lock().waiting)
    }
}
