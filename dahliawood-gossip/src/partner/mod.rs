//! Whom a VM tells what it has heard.
//!
//! The VMs form a ring by the hashes of their names. A VM's partners are those at distances of powers
//! of two, so that it keeps few connections however many VMs there are.

use rand::Rng;

/// Partners that are told in one round.
const FANOUT: usize = 2;

/// Selects the partners of the VM with the hash `own` for one round, as positions in `ring`, which
/// holds the hashes of all VMs in ascending order.
pub fn select(ring: &[u64], own: u64, random: &mut impl Rng) -> Vec<usize> {
    let start = ring.partition_point(|hash| *hash <= own);
    let is_listed = start > 0 && ring[start - 1] == own;
    let others = ring.len() - usize::from(is_listed);
    let distances = (0..usize::BITS).map(|power| 1 << power);
    let distances: Vec<usize> = distances
        .take_while(|distance| *distance <= others)
        .collect();
    let amount = FANOUT.min(distances.len());
    let chosen = rand::seq::index::sample(random, distances.len(), amount);
    // The VM after this one is at distance one.
    let position = |index| (start + distances[index] - 1) % ring.len();
    chosen.into_iter().map(position).collect()
}
