//! Requests that wait at this VM until a target has room for them.
//!
//! Decisions are made by `dahliawood_steer::placement::waiting`; this module tells the queue of events, wakes
//! the tasks of requests whose turn it is or that are refused, and runs the queue's one timer. A request's own
//! task chooses its target, so one whose caller has left takes no slot.

pub(super) mod origin;
pub(super) mod ticket;

use crate::clock;
use crate::forward::waiting::origin::RequestOrigin;
use crate::state::SharedState;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use dahliawood_model::FastMap;
use dahliawood_model::catalog::FleetCatalog;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::rank::RequestRank;
use dahliawood_steer::placement::waiting::{
    JoinRefusal, QueueEvent, WaitEnd, WaitKey, WaitRequest, WaitingQueue,
};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The task of a waiting request.
#[derive(Debug)]
struct WaitingTask {
    /// Gets a message when it is the request's turn and when it is refused.
    wake: Sender<()>,
    /// Why it is refused.
    end: Option<WaitEnd>,
    origin: RequestOrigin,
}

#[derive(Debug, Default)]
struct WaitingState {
    queue: WaitingQueue,
    tasks: FastMap<WaitKey, WaitingTask>,
    /// When the timer fires, `None` if it waits for a request.
    armed: Option<TimeStamp>,
}

impl WaitingState {
    /// Wakes the tasks that the queue's events concern.
    fn deliver(&mut self) {
        for event in self.queue.take_events() {
            let (key, end) = match event {
                QueueEvent::Turn(key) => (key, None),
                QueueEvent::Refused(key, end) => (key, Some(end)),
            };
            if let Some(task) = self.tasks.get_mut(&key) {
                task.end = end.or(task.end);
                // Full if the task has not seen an earlier message; it looks at its state in any case.
                let _pending = task.wake.try_send(());
            }
        }
    }
}

/// The requests that wait at this VM.
#[derive(Debug)]
pub struct WaitingRequests {
    state: Mutex<WaitingState>,
    /// Channel that gets a message when the timer is to fire earlier.
    rearm: (Sender<()>, Receiver<()>),
}

impl Default for WaitingRequests {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            rearm: bounded(1),
        }
    }
}

impl WaitingRequests {
    fn lock(&self) -> MutexGuard<'_, WaitingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the queue, wakes the tasks that this concerns, and has the timer fire earlier if needed.
    fn change<T>(&self, work: impl FnOnce(&mut WaitingState) -> T) -> T {
        let mut state = self.lock();
        let outcome = work(&mut state);
        state.deliver();
        let next = state.queue.next_tick();
        let is_earlier = next.is_some_and(|next| state.armed.is_none_or(|armed| next < armed));
        if is_earlier {
            state.armed = next;
            // Full if the timer is about to look at the queue already.
            let _pending = self.rearm.0.try_send(());
        }
        outcome
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.lock().queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a request that arrives may take a slot before those that wait.
    pub(super) fn may_pass(&self, service: &str, rank: RequestRank) -> bool {
        self.lock().queue.may_pass(service, rank)
    }

    /// Adds a request, unless the configuration in force does not allow it any more.
    fn join(
        &self,
        request: &WaitRequest<'_>,
        origin: RequestOrigin,
        is_allowed: impl FnOnce(&RequestOrigin) -> bool,
        now: TimeStamp,
    ) -> Option<(WaitKey, Receiver<()>)> {
        self.change(|state| {
            if !is_allowed(&origin) {
                return None;
            }
            let key = match state.queue.join(request, now) {
                Ok(key) => key,
                Err(JoinRefusal::NoSlotInTime | JoinRefusal::Full | JoinRefusal::Closed) => {
                    return None;
                }
            };
            let (wake, woken) = bounded(1);
            let task = WaitingTask {
                wake,
                end: None,
                origin,
            };
            state.tasks.insert(key, task);
            Some((key, woken))
        })
    }

    /// Records that a request starts that did not wait.
    pub(super) fn record_direct_start(&self, service: &str, rank: RequestRank) {
        self.lock().queue.record_direct_start(service, rank);
    }

    /// Records that a request of this VM has ended at a target, which frees a slot.
    pub(super) fn record_end(&self, service: &str, now: TimeStamp) {
        self.change(|state| state.queue.record_end(service, now));
    }

    /// Lets waiting requests try again: targets may have room by newer reports of their loads, or requests
    /// go another way from now on.
    pub fn notify_room(&self, now: TimeStamp) {
        self.change(|state| state.queue.record_news(now));
    }

    /// Refuses the requests that a new configuration does not allow as they are.
    pub fn apply_catalog(&self, catalog: &FleetCatalog, now: TimeStamp) {
        self.change(|state| {
            let tasks = state.tasks.iter();
            let refused = tasks.filter(|(_, task)| !task.origin.is_allowed_by(catalog));
            let mut refused: Vec<WaitKey> = refused.map(|(key, _)| *key).collect();
            refused.sort_unstable();
            for key in refused {
                state.queue.refuse(key, WaitEnd::Reconfigured, now);
            }
        });
    }

    /// Refuses all requests, and all that would wait from now on: the VM is shutting down.
    pub fn close(&self, now: TimeStamp) {
        self.change(|state| state.queue.close(now));
    }

    /// Sets the timer; returns when it fires.
    fn arm(&self) -> Option<TimeStamp> {
        let mut state = self.lock();
        state.armed = state.queue.next_tick();
        state.armed
    }
}

/// Runs the timer of the queue until the task is cancelled.
pub async fn run(state: SharedState) {
    let waiting = &state.waiting;
    loop {
        let rearmed = waiting.rearm.1.recv();
        match waiting.arm() {
            // The channel stays open, because the queue owns the sender too.
            None => drop(rearmed.await),
            Some(at) => drop(timeout(at.since(clock::now()), rearmed).await),
        }
        waiting.change(|state| state.queue.tick(clock::now()));
    }
}
