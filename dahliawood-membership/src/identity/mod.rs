//! Who a VM is: its name, where it is, and which life of that name it lives.

use std::net::SocketAddr;

/// FNV-1a offset basis, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime, 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A VM's name in messages: the hash of the name, equal in every process.
///
/// Two names with the same hash would be taken for one VM; among a thousand names the chance is
/// below one in 10^13.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:016x}")]
pub struct VmTag(pub u64);

impl VmTag {
    /// The tag of a name.
    pub fn of(name: &str) -> Self {
        let folded = name.bytes().fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Self(mix(folded))
    }

    /// The rendezvous score of another VM for this one; the highest is preferred.
    pub(crate) fn score(self, other: Self) -> u64 {
        mix(self.0 ^ other.0.rotate_left(32))
    }
}

/// What does not change while a VM lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmProfile {
    /// Name, unique among VMs.
    pub name: String,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// The name of its failure domain.
    pub domain: String,
    /// The name of its region.
    pub region: String,
}

impl VmProfile {
    /// The tag of the name.
    pub fn tag(&self) -> VmTag {
        VmTag::of(&self.name)
    }
}

/// What a VM says of itself, or what is passed on of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeRecord {
    /// Which VM.
    pub tag: VmTag,
    /// Which start of a process under that name: higher for each start.
    pub incarnation: u64,
    /// Raised by the VM itself to refute votes against it, and to announce that it leaves.
    pub counter: u32,
    /// The revision that it has in force, 0 for none.
    pub revision: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// The finaliser of splitmix64.
pub(crate) fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A small generator for random choices of members; equal seeds give equal choices.
#[derive(Clone, Debug)]
pub(crate) struct ChoiceRng {
    state: u64,
}

impl ChoiceRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// A number below `bound`, 0 where the bound is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let drawn = mix(self.state);
        drawn.checked_rem(bound as u64).unwrap_or(0) as usize
    }
}
