//! Counts what is in progress at a VM, some of it up to a bound.

use crate::state::{GatewayState, SharedState};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A counter of the state.
pub type StateCounter = fn(&GatewayState) -> &AtomicUsize;

/// Counts one more until it is dropped.
pub struct CountGuard {
    state: SharedState,
    counter: StateCounter,
}

impl CountGuard {
    /// Counts one more.
    pub fn begin(state: &SharedState, counter: StateCounter) -> Self {
        counter(state).fetch_add(1, Ordering::Relaxed);
        Self {
            state: SharedState::clone(state),
            counter,
        }
    }

    /// Counts one more, `None` if there are `most` already.
    pub fn begin_within(state: &SharedState, counter: StateCounter, most: usize) -> Option<Self> {
        let guard = Self::begin(state, counter);
        (counter(state).load(Ordering::Relaxed) <= most).then_some(guard)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.state).fetch_sub(1, Ordering::Relaxed);
    }
}
