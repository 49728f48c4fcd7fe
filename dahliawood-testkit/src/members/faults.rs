//! What the network does to messages.

use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A cut between two regions, both ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionPartition {
    /// One region.
    pub one: usize,
    /// The other.
    pub other: usize,
}

/// What the network does.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFaults {
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
    pub duplication: f64,
    /// One-way delay within a region.
    pub intra_region_delay: Duration,
    /// One-way delay between regions.
    pub inter_region_delay: Duration,
    /// The most that is added to the delay of a single message.
    pub jitter: Duration,
    /// Links that are cut.
    pub partitions: Vec<RegionPartition>,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            intra_region_delay: Duration::from_micros(500),
            inter_region_delay: Duration::from_millis(35),
            jitter: Duration::from_millis(2),
            partitions: Vec::new(),
        }
    }
}

impl NetworkFaults {
    /// How many copies of a message from one region to another arrive.
    pub(super) fn copies(&self, regions: (usize, usize), rng: &mut StdRng) -> u32 {
        let is_partitioned = self
            .partitions
            .iter()
            .any(|pair| regions == (pair.one, pair.other) || regions == (pair.other, pair.one));
        if is_partitioned || rng.random_bool(self.loss) {
            return 0;
        }
        1 + u32::from(rng.random_bool(self.duplication))
    }

    /// How long a message takes.
    pub(super) fn delay(&self, regions: (usize, usize), rng: &mut StdRng) -> Duration {
        let base = if regions.0 == regions.1 {
            self.intra_region_delay
        } else {
            self.inter_region_delay
        };
        base + self.jitter.mul_f64(rng.random_range(0.0..1.0))
    }
}
