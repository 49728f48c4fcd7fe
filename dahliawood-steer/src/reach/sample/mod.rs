//! Choice of the targets to which a VM opens connections to learn whether it reaches any.

use rand::Rng;
use rand::seq::SliceRandom;

/// Draws at most `most` items, from as many failure domains as possible; `domain_of` tells the domain
/// of an item.
pub fn spread<T, D: Eq>(
    mut items: Vec<T>,
    domain_of: impl Fn(&T) -> D,
    most: usize,
    rng: &mut impl Rng,
) -> Vec<T> {
    items.shuffle(rng);
    let mut sampled: Vec<T> = Vec::new();
    while sampled.len() < most && !items.is_empty() {
        // One of each domain a round; what is passed over waits for the next one.
        let mut seen: Vec<D> = Vec::new();
        let mut rest = Vec::new();
        for item in items {
            let domain = domain_of(&item);
            if sampled.len() < most && !seen.contains(&domain) {
                seen.push(domain);
                sampled.push(item);
            } else {
                rest.push(item);
            }
        }
        items = rest;
    }
    sampled
}
