//! Maps a client address to a place by longest prefix match.
//!
//! The build step flattens nested blocks into disjoint ranges, so that a look-up is one binary
//! search. A table of `n` blocks holds at most `2 n + 1` ranges: 8 bytes each for IPv4
//! and 20 for IPv6. The table is rebuilt as a whole when the blocks change.

use dahliawood_model::keys::{ArenaKey, PlaceKey};
use dahliawood_model::tables;
use std::net::IpAddr;

/// Marks a range without a place.
const NO_PLACE: u32 = u32::MAX;
/// Bits of an IPv4 address.
const V4_BITS: u32 = 32;
/// Bits of an IPv6 address.
const V6_BITS: u32 = 128;

/// Places by client address, for both address families.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    v4: RangeList<u32>,
    v6: RangeList<u128>,
}

/// Disjoint ranges, sorted by first address; each ends where the next one starts.
#[derive(Clone, Debug, Default)]
struct RangeList<A> {
    starts: Vec<A>,
    places: Vec<u32>,
}

/// A block as a range of integers.
#[derive(Clone, Copy, Debug)]
struct BlockRange {
    first: u128,
    last: u128,
    place: u32,
}

impl PrefixTable {
    /// Builds the table from blocks with their places.
    ///
    /// If a block occurs more than once, its first place wins. Bits of an address below its
    /// prefix are ignored, and a prefix beyond the family's length is taken as that length.
    pub fn build(blocks: impl IntoIterator<Item = (tables::ClientBlock, PlaceKey)>) -> Self {
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (block, place) in blocks {
            let place = place.index() as u32;
            match block.address {
                IpAddr::V4(address) => {
                    let address = u128::from(address.to_bits());
                    v4.push(BlockRange::new(address, block.prefix, V4_BITS, place));
                }
                IpAddr::V6(address) => {
                    v6.push(BlockRange::new(
                        address.to_bits(),
                        block.prefix,
                        V6_BITS,
                        place,
                    ));
                }
            }
        }
        Self {
            v4: flatten(v4, |address| address as u32),
            v6: flatten(v6, |address| address),
        }
    }

    /// The place of `client`, `None` if no block contains it. An IPv4 address mapped into IPv6 is
    /// looked up as IPv4.
    pub fn place_of(&self, client: IpAddr) -> Option<PlaceKey> {
        match client.to_canonical() {
            IpAddr::V4(address) => self.v4.place_of(address.to_bits()),
            IpAddr::V6(address) => self.v6.place_of(address.to_bits()),
        }
    }

    /// Memory used by the ranges, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes()
    }
}

impl BlockRange {
    fn new(address: u128, prefix: u8, bits: u32, place: u32) -> Self {
        let host_bits = bits - u32::from(prefix).min(bits);
        let host_mask = u128::MAX
            .checked_shr(V6_BITS - host_bits)
            .unwrap_or_default();
        Self {
            first: address & !host_mask,
            last: address | host_mask,
            place,
        }
    }
}

impl<A: Copy + Ord> RangeList<A> {
    fn place_of(&self, address: A) -> Option<PlaceKey> {
        let after = self.starts.partition_point(|start| *start <= address);
        let place = *self.places.get(after.checked_sub(1)?)?;
        (place != NO_PLACE).then(|| PlaceKey::from_index(place as usize))
    }

    fn push(&mut self, start: A, place: u32) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.places.pop();
        }
        if self.places.last() != Some(&place) {
            self.starts.push(start);
            self.places.push(place);
        }
    }

    fn memory_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<A>() + self.places.capacity() * size_of::<u32>()
    }
}

/// Turns nested blocks into disjoint ranges: sweeps over them with a stack of the enclosing blocks.
fn flatten<A: Copy + Ord>(mut blocks: Vec<BlockRange>, narrow: fn(u128) -> A) -> RangeList<A> {
    blocks.sort_by_key(|block| (block.first, std::cmp::Reverse(block.last)));
    blocks.dedup_by_key(|block| (block.first, block.last));
    let mut list = RangeList {
        starts: Vec::with_capacity(blocks.len()),
        places: Vec::with_capacity(blocks.len()),
    };
    let mut open: Vec<BlockRange> = Vec::new();
    for block in blocks {
        close_before(&mut open, Some(block.first), &mut list, narrow);
        list.push(narrow(block.first), block.place);
        open.push(block);
    }
    close_before(&mut open, None, &mut list, narrow);
    list.starts.shrink_to_fit();
    list.places.shrink_to_fit();
    list
}

/// Closes the open blocks that end before `limit`, or all of them without a limit.
fn close_before<A: Copy + Ord>(
    open: &mut Vec<BlockRange>,
    limit: Option<u128>,
    list: &mut RangeList<A>,
    narrow: fn(u128) -> A,
) {
    while let Some(block) = open.pop_if(|block| limit.is_none_or(|limit| block.last < limit)) {
        let outer = open.last().map_or(NO_PLACE, |outer| outer.place);
        let Some(next) = block.last.checked_add(1) else {
            continue;
        };
        let past_family = size_of::<A>() == size_of::<u32>() && next > u128::from(u32::MAX);
        if !past_family {
            list.push(narrow(next), outer);
        }
    }
}
