//! The delays and faults of the simulated network.

use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A network partition between two regions, in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionPartition {
    /// Index of one region.
    pub one: usize,
    /// Index of the other region.
    pub other: usize,
}

/// Delays and faults of the network; the default has delays only.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFaults {
    /// Share of messages that are lost, 0 to 1.
    pub loss: f64,
    /// Share of messages that arrive twice, 0 to 1.
    pub duplication: f64,
    /// One-way delay within a region.
    pub intra_region_delay: Duration,
    /// One-way delay between regions.
    pub inter_region_delay: Duration,
    /// Upper bound of the random delay added to each message.
    pub jitter: Duration,
    /// Pairs of regions that cannot reach each other.
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
    /// Draws how many copies of a message from one region to another arrive: 0, 1 or 2.
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

    /// Draws the delay of one message.
    pub(super) fn delay(&self, regions: (usize, usize), rng: &mut StdRng) -> Duration {
        let base = if regions.0 == regions.1 {
            self.intra_region_delay
        } else {
            self.inter_region_delay
        };
        base + self.jitter.mul_f64(rng.random_range(0.0..1.0))
    }
}
