//! The requests that wait for one service: their order, and the round of turns in progress.

use crate::placement::waiting::end_rate::EndRate;
use crate::placement::waiting::{RequestRank, WaitKey, WaitingEntry};
use crate::queue::fair::{FairTag, VirtualTime};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::collections::BTreeMap;

/// Starts of more urgent ranks after which a waiting rank has one turn before them: it keeps a fifth of
/// the slots, close to the quarter of the mean service that no route may fall below.
const MAX_PASSES: u32 = 4;
/// All customers of a rank have the same weight.
const WEIGHT: u32 = 1;

/// The waiting requests of one rank.
#[derive(Clone, Debug, Default)]
struct RankQueue {
    keys: Vec<WaitKey>,
    tags: FastMap<u64, FairTag>,
    time: VirtualTime,
    /// Starts of more urgent ranks while requests of this one waited, since its last start.
    passes: u32,
}

/// A pass through the queue in which one request after the other tries to start.
#[derive(Clone, Debug)]
pub(super) struct TurnRound {
    /// The request whose turn it is.
    pub(super) holder: WaitKey,
    pub(super) since: TimeStamp,
    /// Requests that had their turn.
    pub(super) tried: Vec<WaitKey>,
    /// Requests that found no room.
    pub(super) failures: usize,
    /// Whether only those are tried whose targets are expected to have room by now.
    pub(super) is_timed: bool,
    /// Whether a slot may have become free since the round began.
    pub(super) has_news: bool,
}

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceQueue {
    ranks: BTreeMap<RequestRank, RankQueue>,
    pub(super) ends: EndRate,
    pub(super) round: Option<TurnRound>,
    pub(super) last_round: TimeStamp,
}

impl ServiceQueue {
    /// Whether a request that arrives may start although others wait.
    pub(super) fn may_pass(&self, rank: RequestRank) -> bool {
        let mut waiting = self
            .ranks
            .iter()
            .filter(|(_, queue)| !queue.keys.is_empty());
        waiting.all(|(other, queue)| *other > rank && queue.passes < MAX_PASSES)
    }

    pub(super) fn add(&mut self, key: WaitKey, rank: RequestRank, customer: u64) {
        let queue = self.ranks.entry(rank).or_default();
        let time = queue.time;
        let tag = queue.tags.entry(customer);
        tag.or_insert_with(|| FairTag::new(WEIGHT, time))
            .rejoin(time);
        queue.keys.push(key);
    }

    pub(super) fn remove(&mut self, key: WaitKey, rank: RequestRank) {
        let Some(queue) = self.ranks.get_mut(&rank) else {
            return;
        };
        queue.keys.retain(|known| *known != key);
        if queue.keys.is_empty() {
            queue.passes = 0;
            queue.tags.clear();
            queue.time = VirtualTime::default();
        }
    }

    /// Records that a waiting request of a customer starts; call it before [`Self::remove`].
    pub(super) fn serve(&mut self, rank: RequestRank, customer: u64) {
        if let Some(queue) = self.ranks.get_mut(&rank)
            && let Some(tag) = queue.tags.get_mut(&customer)
        {
            tag.serve(&mut queue.time);
        }
    }

    /// Records that a request of a rank starts, whether it waited or not.
    pub(super) fn record_start(&mut self, rank: RequestRank) {
        for (other, queue) in &mut self.ranks {
            if *other == rank {
                queue.passes = 0;
            } else if *other > rank && !queue.keys.is_empty() {
                queue.passes += 1;
            }
        }
    }

    /// All waiting requests in the order in which they may start.
    pub(super) fn order(&self, entries: &FastMap<WaitKey, WaitingEntry>) -> Vec<WaitKey> {
        let mut queues: Vec<&RankQueue> = self.ranks.values().collect();
        // Stable: ranks that were passed over too often first, the others in their order.
        queues.sort_by_key(|queue| match queue.passes >= MAX_PASSES {
            true => u32::MAX - queue.passes,
            false => u32::MAX,
        });
        let ordered = queues.into_iter().flat_map(|queue| queue.order(entries));
        ordered.collect()
    }
}

impl RankQueue {
    /// Its requests by the fair share of their customers, each customer's by latest useful start.
    fn order(&self, entries: &FastMap<WaitKey, WaitingEntry>) -> Vec<WaitKey> {
        let known = self.keys.iter().filter_map(|key| entries.get(key));
        let mut sorted: Vec<&WaitingEntry> = known.collect();
        sorted.sort_by_key(|entry| (entry.limit.latest_start, entry.key));
        let mut positions: FastMap<u64, usize> = FastMap::default();
        let mut turns = Vec::with_capacity(sorted.len());
        for entry in sorted {
            let position = positions.entry(entry.customer).or_default();
            let tag = self.tags.get(&entry.customer);
            turns.push((tag.map_or(0.0, |tag| tag.turn(*position)), entry.key));
            *position += 1;
        }
        // Stable: of equal turns the earlier latest start goes first.
        turns.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        turns.into_iter().map(|(_, key)| key).collect()
    }
}
