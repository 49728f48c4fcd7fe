//! Periodic work of the control thread.

use crate::clock;
use crate::control::{ControlState, apply};
use async_std::task;
use dahliawood_steer::placement::{choose, spillover};
use std::rc::Rc;

/// Number of ticks between two removals of idle connections from the pool.
const SWEEP_TICKS: u32 = 2;

/// Runs the periodic work until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut ticks = 0_u32;
    loop {
        task::sleep(spillover::STEP_INTERVAL).await;
        let now = clock::now();
        apply::update_vm_count(&state);
        choose::adjust_spillover(&mut state.shared.placement(), &state.shared.location(), now);
        let expired = state.view.borrow_mut().expire(now);
        apply::apply_changes(&state, &expired);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            state.shared.pool.sweep();
        }
    }
}
