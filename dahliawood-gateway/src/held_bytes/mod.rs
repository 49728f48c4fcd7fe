//! Bytes of bodies that this VM holds in memory for callers and targets.
//!
//! This handles a load pattern in which callers or targets read or send slowly, so that bodies stay in
//! memory for seconds. All of them count in a budget until they are dropped. So that others do not pay
//! for slow peers, small bodies have a reserve, and callers that make too little progress while a
//! budget is short are disconnected.

use dahliawood_model::FastMap;
use dahliawood_wire::raw::budget::ByteBudget;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Memory for all bodies, bytes. The allocator may keep as much again of what has been freed, and all
/// of it must stay within the 160 MB of the smallest VM.
const BODY_BYTES: usize = 64 << 20;
/// Most that bodies of requests may take, from their first byte until their end, bytes: all of it, so that
/// the longest body that configurations allow fits.
const REQUEST_BYTES: usize = 64 << 20;
/// The part of it that bodies of responses may take, from their first byte until they are written,
/// bytes.
const RESPONSE_BYTES: usize = 48 << 20;
/// Memory beside that for small bodies, bytes: 64 of the longest ones, or some thousand
/// typical ones.
const SMALL_RESERVE: usize = 4 << 20;
/// Bodies of requests that are being sent to one target, bytes. The target holds them too, and those
/// that other VMs send; a longer body is sent alone.
const TARGET_BYTES: usize = 16 << 20;
/// Time in which a slow caller must make progress while memory is short.
pub const PROGRESS_TIME: Duration = Duration::from_secs(1);
/// Bytes that a caller must send or receive in [`PROGRESS_TIME`] while memory is short. A VM's link
/// carries at least 20 times as many.
pub const PROGRESS_BYTES: usize = 64 << 10;

/// The budgets of one VM.
#[derive(Debug)]
pub struct HeldBytes {
    /// For bodies of requests.
    pub requests: ByteBudget,
    /// For bodies of responses.
    pub responses: ByteBudget,
    by_target: Mutex<FastMap<SocketAddr, usize>>,
}

/// Bytes that are being sent to a target; dropping it ends that.
#[derive(Debug)]
pub struct TargetShare<'a> {
    held: &'a HeldBytes,
    target: SocketAddr,
    bytes: usize,
}

impl Default for HeldBytes {
    fn default() -> Self {
        let whole = ByteBudget::with_reserve(BODY_BYTES, SMALL_RESERVE);
        Self {
            requests: whole.part(REQUEST_BYTES),
            responses: whole.part(RESPONSE_BYTES),
            by_target: Mutex::default(),
        }
    }
}

impl HeldBytes {
    /// Takes room for a body that is sent to a target, `None` if too much is being sent there. The
    /// only body of a target always has room.
    pub fn send(&self, target: SocketAddr, bytes: usize) -> Option<TargetShare<'_>> {
        let mut by_target = self
            .by_target
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let sending = by_target.get(&target).copied().unwrap_or_default();
        let sum = sending.saturating_add(bytes);
        if sending > 0 && bytes > 0 && sum > TARGET_BYTES {
            return None;
        }
        if bytes > 0 {
            by_target.insert(target, sum);
        }
        Some(TargetShare {
            held: self,
            target,
            bytes,
        })
    }
}

impl Drop for TargetShare<'_> {
    fn drop(&mut self) {
        let by_target = &self.held.by_target;
        let mut by_target = by_target.lock().unwrap_or_else(PoisonError::into_inner);
        let left = by_target.get(&self.target).copied().unwrap_or_default();
        match left.saturating_sub(self.bytes) {
            0 => by_target.remove(&self.target),
            left => by_target.insert(self.target, left),
        };
    }
}
