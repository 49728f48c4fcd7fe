//! Rendezvous hashing (highest random weight): assigns customers to home VMs (see
//! [`crate::lookup`]).
//!
//! Every process computes the same scores from names alone, so all agree on the home VMs without
//! exchanging messages, and the loss of a VM moves only the customers that it was home to.

/// FNV-1a offset basis, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime, 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The hash of a name, equal in every process and release.
pub fn name_hash(name: &[u8]) -> u64 {
    let folded = name.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix(folded)
}

/// Score of a VM for a customer, both given by name hash; the VM with the highest score is the
/// home.
pub fn score(customer: u64, vm: u64) -> u64 {
    mix(customer ^ vm.rotate_left(32))
}

/// Distance of a node from a key in weighted rendezvous hashing: the nearest node is chosen, and
/// each node is the nearest to a share of keys that is proportional to its weight.
pub fn weighted_distance(key: u64, node: u64, weight: f64) -> f64 {
    let uniform = (score(key, node) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / weight
}

/// The finaliser of splitmix64.
fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
