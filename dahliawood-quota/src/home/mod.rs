//! Chooses the homes of a limit: the VMs that should hold its shares, by rendezvous hashing over
//! the members of the share document.

use crate::{limit, member};
use std::net::{IpAddr, SocketAddr};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A 64-bit hash of a name, the same in every process.
pub fn name_hash(name: &str) -> u64 {
    let folded = name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(folded)
}

/// Spreads the bits of `value` (the finalizer of `splitmix64`).
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The rank of an address for a limit; lower ranks come first. It does not depend on the
/// incarnation, so that a restarted VM is a home of the same limits again.
fn rank(tag: limit::LimitTag, address: SocketAddr) -> u64 {
    let host = match address.ip() {
        IpAddr::V4(host) => u64::from(host.to_bits()),
        IpAddr::V6(host) => fold_host(host.to_bits()),
    };
    mix(tag.0 ^ mix(host ^ u64::from(address.port()).rotate_left(PORT_ROTATION)))
}

/// How far a port is rotated, so that its bits do not overlap those of an IPv4 host.
const PORT_ROTATION: u32 = 32;

fn fold_host(bits: u128) -> u64 {
    mix((bits >> u64::BITS) as u64) ^ bits as u64
}

/// The homes of a limit among `members`, in order of rank. Each failure domain is used once before
/// one is used a second time. VMs that are leaving are not homes.
pub fn home_vms<'a>(
    tag: limit::LimitTag,
    rule: &limit::HomeRule,
    members: &'a [member::MemberEntry],
) -> Vec<&'a member::MemberEntry> {
    let staying = || members.iter().filter(|member| !member.leaving);
    let in_region = |member: &&member::MemberEntry| {
        rule.region
            .as_ref()
            .is_none_or(|region| *region == member.region)
    };
    let mut homes: Vec<_> = staying().filter(in_region).collect();
    if homes.is_empty() {
        homes = staying().collect();
    }
    homes.sort_by_cached_key(|member| (rank(tag, member.id.address), member.id));
    homes.dedup_by_key(|member| member.id.address);
    let homes = spread_domains(&homes);
    let max_homes = match rule.homes_max {
        0 => homes.len(),
        max_homes => max_homes as usize,
    };
    homes.into_iter().take(max_homes).collect()
}

fn spread_domains<'a>(homes: &[&'a member::MemberEntry]) -> Vec<&'a member::MemberEntry> {
    let mut rounds: Vec<_> = homes
        .iter()
        .enumerate()
        .map(|(index, home)| {
            let same = |other: &&&member::MemberEntry| other.domain == home.domain;
            (homes[..index].iter().filter(same).count(), index)
        })
        .collect();
    rounds.sort_unstable();
    rounds.into_iter().map(|(_, index)| homes[index]).collect()
}

/// Orders homes for a caller in `region`: those in its region first, otherwise by rank.
pub fn sort_by_region<'a>(
    mut homes: Vec<&'a member::MemberEntry>,
    region: &str,
) -> Vec<&'a member::MemberEntry> {
    homes.sort_by_key(|home| home.region != region);
    homes
}
