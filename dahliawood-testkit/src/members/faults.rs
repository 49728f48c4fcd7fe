//! What the network does to messages.

use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A cut between two regions, both ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionCut {
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
    pub repeat: f64,
    /// One-way delay within a region.
    pub near: Duration,
    /// One-way delay between regions.
    pub far: Duration,
    /// The most that is added to the delay of a single message.
    pub jitter: Duration,
    /// Links that are cut.
    pub cuts: Vec<RegionCut>,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            repeat: 0.0,
            near: Duration::from_micros(500),
            far: Duration::from_millis(35),
            jitter: Duration::from_millis(2),
            cuts: Vec::new(),
        }
    }
}

impl NetworkFaults {
    /// How many copies of a message from one region to another arrive.
    pub(super) fn copies(&self, regions: (usize, usize), rng: &mut StdRng) -> u32 {
        let is_cut = self
            .cuts
            .iter()
            .any(|cut| regions == (cut.one, cut.other) || regions == (cut.other, cut.one));
        if is_cut || rng.random_bool(self.loss) {
            return 0;
        }
        1 + u32::from(rng.random_bool(self.repeat))
    }

    /// How long a message takes.
    pub(super) fn delay(&self, regions: (usize, usize), rng: &mut StdRng) -> Duration {
        let base = if regions.0 == regions.1 {
            self.near
        } else {
            self.far
        };
        base + self.jitter.mul_f64(rng.random_range(0.0..1.0))
    }
}
