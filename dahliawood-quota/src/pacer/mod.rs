//! Pacing of the bytes that a VM puts on a link.
//!
//! Every byte counts, relayed and retried answers and control messages included. A sender reserves
//! a chunk just before it writes it and waits where the chunk has to wait. A chunk that is reserved
//! and not written is lost: giving it back would let a window have it twice.

use crate::manager::{self, effect};
use crate::{amount, limit};
use dahliawood_model::stamp;

/// The most bytes to reserve at once.
const CHUNK_MOST: u64 = 256 * 1024;
/// The part of a link's burst that one chunk may take.
const CHUNKS_PER_BURST: u64 = 64;
/// The fewest bytes that are worth a reservation.
const CHUNK_LEAST: u64 = 1_500;

/// The bytes to reserve at once on a link with these terms, never more than its burst.
pub fn chunk_bytes(terms: limit::LimitTerms) -> u64 {
    let burst = terms.burst().whole();
    let part = burst / CHUNKS_PER_BURST;
    part.clamp(CHUNK_LEAST, CHUNK_MOST).min(burst)
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
