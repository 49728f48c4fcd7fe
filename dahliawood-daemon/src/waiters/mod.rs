//! Requests that wait for a slot: a fair queue for each service, dispatched whenever a slot or a
//! loan comes free.

use crate::front::flight::TargetFlight;
use crate::front::refusal::RefusalCause;
use dahliawood_model::FastMap;
use dahliawood_model::keys::{ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::queue;
use futures::channel::oneshot;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The most requests that wait for one service on one VM.
const MAX_WAITING: usize = 4_096;

/// What a waiting request is given in the end.
pub type SlotResult = Result<TargetFlight, RefusalCause>;

/// A request that waits.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Targets that it was tried at.
    pub tried: Vec<TargetKey>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Who is told of its turn.
    pub sender: oneshot::Sender<SlotResult>,
}

/// Everyone who waits, by service.
#[derive(Debug, Default)]
pub struct WaiterTable {
    queues: Mutex<FastMap<ServiceKey, queue::WaitQueue<WaitingRequest>>>,
}

/// What a dispatcher made of the request whose turn it is.
pub enum DispatchStep {
    /// It was given its turn.
    Delivered,
    /// There is no slot for it yet.
    NoSlot(queue::WaitEntry<WaitingRequest>),
}

impl WaiterTable {
    /// Joins a service's queue.
    ///
    /// # Errors
    /// Refused at once: it would not get a slot before its deadline, or the queue is full.
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

    /// Gives turns in order, for as long as `deliver` finds slots.
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

    /// Refuses those that can no longer get a slot before their deadline.
    pub fn refuse_late(&self, service: ServiceKey, slots_per_second: f64, now: TimeStamp) {
        let late = match self.lock().get_mut(&service) {
            Some(queue) => queue::refuse_late(queue, slots_per_second, now),
            None => return,
        };
        for refused in late {
            // Who waited may have left.
            let _unsent = refused
                .item
                .sender
                .send(Err(RefusalCause::Busy(refused.retry_after)));
        }
    }

    /// How many wait for a service.
    pub fn waiting(&self, service: ServiceKey) -> u32 {
        self.lock()
            .get(&service)
            .map_or(0, |queue| queue.len() as u32)
    }

    /// Services that someone waits for.
    pub fn waiting_services(&self) -> Vec<ServiceKey> {
        let queues = self.lock();
        let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(service, _)| *service).collect()
    }

    /// The request whose turn it is, among those that still wait.
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
