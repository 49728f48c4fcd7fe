//! Requests that wait for a slot, first come first served within a service.

use dahliawood_model::FastMap;
use dahliawood_model::keys::ServiceKey;
use futures::channel::oneshot;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The most requests that wait for one service on one VM.
const MOST_WAITING: usize = 512;

/// Everyone who waits, by service.
#[derive(Debug, Default)]
pub struct WaiterTable {
    queues: Mutex<FastMap<ServiceKey, VecDeque<oneshot::Sender<()>>>>,
}

impl WaiterTable {
    /// Joins the end of a service's queue, `None` where it is full.
    pub fn join(&self, service: ServiceKey) -> Option<oneshot::Receiver<()>> {
        let mut queues = self.lock();
        let queue = queues.entry(service).or_default();
        queue.retain(|waiter| !waiter.is_canceled());
        if queue.len() >= MOST_WAITING {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        queue.push_back(sender);
        Some(receiver)
    }

    /// Wakes the first of a service's queue that still waits.
    pub fn wake(&self, service: ServiceKey) {
        let mut queues = self.lock();
        let Some(queue) = queues.get_mut(&service) else {
            return;
        };
        while let Some(waiter) = queue.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
    }

    /// How many wait for a service.
    pub fn waiting(&self, service: ServiceKey) -> u32 {
        self.lock()
            .get(&service)
            .map_or(0, |queue| queue.len() as u32)
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceKey, VecDeque<oneshot::Sender<()>>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
