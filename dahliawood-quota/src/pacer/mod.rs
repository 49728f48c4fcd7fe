//! Pacing of the bytes that a VM sends over a link.
//!
//! Every byte counts, including relayed answers, retried answers and control messages. A sender
//! reserves a chunk just before it writes it, and waits if the reservation has to wait. A chunk
//! that is reserved and not written is lost: if it were returned, one window could use it twice.

use crate::manager::{self, effect};
use crate::{amount, limit};
use dahliawood_model::stamp;

/// The most bytes to reserve at once.
const MAX_CHUNK_BYTES: u64 = 256 * 1024;
/// One chunk takes at most the link's burst divided by this.
const CHUNKS_PER_BURST: u64 = 64;
/// The fewest bytes that are worth a reservation.
const MIN_CHUNK_BYTES: u64 = 1_500;

/// The number of bytes to reserve at once on a link with these terms, never more than its burst.
pub fn chunk_bytes(terms: limit::LimitTerms) -> u64 {
    let burst = terms.burst().whole();
    let part = burst / CHUNKS_PER_BURST;
    part.clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES).min(burst)
}

/// Reserves `bytes` on a link, at most [`chunk_bytes`] at a time.
pub fn reserve_bytes(
    manager: &mut manager::QuotaManager,
    link: limit::LimitKey,
    bytes: u64,
    deadline: stamp::TimeStamp,
    now: stamp::TimeStamp,
) -> effect::Admission {
    manager.admit_amount(link, amount::TokenAmount::from_whole(bytes), deadline, now)
}
