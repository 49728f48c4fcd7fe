//! The facts that one VM has heard, and how often it still passes them on.

use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::cmp::Reverse;
use std::hash::Hash;
use std::time::Duration;

/// Rounds in which a VM passes on what it has heard.
const ROUNDS: u32 = 8;
/// How long a fact is known as heard, and not taken for a new one.
const MEMORY_TIME: Duration = Duration::from_secs(10);
/// Most facts that are known at a time; more are not passed on.
const MAX_RUMORS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RumorRecord<F> {
    fact: F,
    heard_at: TimeStamp,
    rounds_left: u32,
}

/// Facts of type `F`, each told apart by a key of type `K`.
#[derive(Clone, Debug)]
pub struct RumorSet<K, F> {
    records: FastMap<K, RumorRecord<F>>,
}

impl<K, F> Default for RumorSet<K, F> {
    fn default() -> Self {
        Self {
            records: FastMap::default(),
        }
    }
}

impl<K: Copy + Eq + Hash, F: Copy> RumorSet<K, F> {
    /// Records a fact that this VM saw or was told; returns whether it is new.
    pub fn hear(&mut self, key: K, fact: F, now: TimeStamp) -> bool {
        if self.records.contains_key(&key) || self.records.len() >= MAX_RUMORS {
            return false;
        }
        let record = RumorRecord {
            fact,
            heard_at: now,
            rounds_left: ROUNDS,
        };
        self.records.insert(key, record);
        true
    }

    /// Whether there is something to pass on.
    pub fn has_news(&self) -> bool {
        self.records.values().any(|record| record.rounds_left > 0)
    }

    /// The facts to pass on in this round, at most `most`; those first that were passed on least.
    pub fn take_round(&mut self, most: usize) -> Vec<F> {
        let due = self.records.values_mut();
        let mut due: Vec<_> = due.filter(|record| record.rounds_left > 0).collect();
        due.sort_by_key(|record| Reverse(record.rounds_left));
        let taken = due.into_iter().take(most);
        taken
            .map(|record| {
                record.rounds_left -= 1;
                record.fact
            })
            .collect()
    }

    /// The facts that are still passed on, at most `most`, for a VM that has called; those first that
    /// were passed on least.
    pub fn news(&self, most: usize) -> Vec<F> {
        let due = self.records.values();
        let mut due: Vec<_> = due.filter(|record| record.rounds_left > 0).collect();
        due.sort_by_key(|record| Reverse(record.rounds_left));
        due.into_iter()
            .take(most)
            .map(|record| record.fact)
            .collect()
    }

    /// Drops facts that were heard long ago.
    pub fn expire(&mut self, now: TimeStamp) {
        self.records
            .retain(|_, record| now.since(record.heard_at) < MEMORY_TIME);
    }
}
