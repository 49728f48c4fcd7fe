//! Which VMs are the homes of a limit: rendezvous hash over the members of the share document.

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

/// The rank of an address for a limit; the incarnation has no part in it, so that a replaced VM
/// gets its homes back.
fn rank(tag: limit::LimitTag, address: SocketAddr) -> u64 {
    let host = match address.ip() {
        IpAddr::V4(host) => u64::from(host.to_bits()),
        IpAddr::V6(host) => fold_host(host.to_bits()),
    };
    mix(tag.0 ^ mix(host ^ u64::from(address.port()).rotate_left(PORT_BITS)))
}

/// Where a port is placed beside an IPv4 host.
const PORT_BITS: u32 = 32;

fn fold_host(bits: u128) -> u64 {
    mix((bits >> u64::BITS) as u64) ^ bits as u64
}

/// The homes of a limit among `members`, best first: distinct failure domains come before a
/// second VM of the same one, and VMs that are leaving have none.
pub fn home_vms<'a>(
    tag: limit::LimitTag,
    rule: &limit::HomeRule,
    members: &'a [member::MemberEntry],
) -> Vec<&'a member::MemberEntry> {
    let staying = || members.iter().filter(|member| !member.leaving);
    let inside = |member: &&member::MemberEntry| {
        rule.region
            .as_ref()
            .is_none_or(|region| *region == member.region)
    };
    let mut homes: Vec<_> = staying().filter(inside).collect();
    if homes.is_empty() {
        homes = staying().collect();
    }
    homes.sort_by_cached_key(|member| (rank(tag, member.id.address), member.id));
    homes.dedup_by_key(|member| member.id.address);
    let homes = spread_domains(&homes);
    let most = match rule.homes_max {
        0 => homes.len(),
        most => most as usize,
    };
    homes.into_iter().take(most).collect()
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

/// Orders homes for a caller of `region`: those in its region first, otherwise by rank.
pub fn near_first<'a>(
    mut homes: Vec<&'a member::MemberEntry>,
    region: &str,
) -> Vec<&'a member::MemberEntry> {
    homes.sort_by_key(|home| home.region != region);
    homes
}
