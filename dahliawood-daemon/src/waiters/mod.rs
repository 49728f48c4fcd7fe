//! Requests that wait for a slot at a target: one fair queue per service.
//!
//! A queue is dispatched whenever a slot is released or a loan arrives.

use crate::front::flight::TargetFlight;
use crate::front::refusal::RefusalCause;
use dahliawood_model::FastMap;
use dahliawood_model::keys::{ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::queue;
use futures::channel::oneshot;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The maximum number of requests that wait for one service on one VM.
const MAX_WAITING: usize = 4_096;

/// The final result for a waiting request: a slot or a refusal.
pub type SlotResult = Result<TargetFlight, RefusalCause>;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Targets at which the request was attempted before.
    pub tried: Vec<TargetKey>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Sends the result to the waiting request.
    pub sender: oneshot::Sender<SlotResult>,
}

/// The queues of waiting requests, by service.
#[derive(Debug, Default)]
pub struct WaiterTable {
    queues: Mutex<FastMap<ServiceKey, queue::WaitQueue<WaitingRequest>>>,
}

/// The outcome of dispatching the next request of a queue.
pub enum DispatchStep {
    /// The request got its result, or its caller had gone.
    Delivered,
    /// No slot is free for the request; it goes back to its queue.
    NoSlot(queue::WaitEntry<WaitingRequest>),
}

impl WaiterTable {
    /// Adds a request to the queue of a service; `slots_per_second` is the rate at which slots of
    /// the service are released.
    ///
    /// # Errors
    /// Fails with [`RefusalCause::Busy`] if the request would not get a slot before its deadline,
    /// or the queue is full.
    pub fn enqueue(
        &self,
        service: ServiceKey,
        entry: queue::WaitEntry<WaitingRequest>,
        slots_per_second: f64,
        now: TimeStamp,
    ) -> Result<(), RefusalCause> {
        let mut queues = self.lock();
        let queue = queues.entry(service).or_default();
        if queue.len() >= MAX_WAITING {
            return Err(RefusalCause::Busy(queue::SHORTEST_RETRY));
        }
        let result = queue::push(queue, entry, slots_per_second, now);
        result.map_err(|refused| RefusalCause::Busy(refused.retry_after))
    }

    /// Passes the requests of a service to `deliver` in queue order until it finds no free slot.
    pub fn dispatch(
        &self,
        service: ServiceKey,
        mut deliver: impl FnMut(queue::WaitEntry<WaitingRequest>) -> DispatchStep,
    ) {
        while let Some(entry) = self.pop(service) {
            if let DispatchStep::NoSlot(entry) = deliver(entry) {
                queue::requeue(self.lock().entry(service).or_default(), entry);
                return;
            }
        }
    }

    /// Refuses waiting requests that can no longer get a slot before their deadlines.
    pub fn refuse_late(&self, service: ServiceKey, slots_per_second: f64, now: TimeStamp) {
        let late = match self.lock().get_mut(&service) {
            Some(queue) => queue::refuse_late(queue, slots_per_second, now),
            None => return,
        };
        for refused in late {
            // The caller of the waiting request may have disconnected.
            let _unsent = refused
                .item
                .sender
                .send(Err(RefusalCause::Busy(refused.retry_after)));
        }
    }

    /// The number of requests that wait for a service.
    pub fn waiting(&self, service: ServiceKey) -> u32 {
        self.lock()
            .get(&service)
            .map_or(0, |queue| queue.len() as u32)
    }

    /// The services for which requests wait.
    pub fn waiting_services(&self) -> Vec<ServiceKey> {
        let queues = self.lock();
        let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(service, _)| *service).collect()
    }

    /// Removes the next request of a queue, skipping those whose callers have gone.
    fn pop(&self, service: ServiceKey) -> Option<queue::WaitEntry<WaitingRequest>> {
        let mut queues = self.lock();
        let queue = queues.get_mut(&service)?;
        loop {
            let entry = queue::pop(queue)?;
            if !entry.item.sender.is_canceled() {
                return Some(entry);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceKey, queue::WaitQueue<WaitingRequest>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
