//! Identity of a VM: its name, its addresses and its incarnation, and the hash functions over
//! names.

use std::net::SocketAddr;

/// FNV-1a offset basis, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime, 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Identifies a VM in messages: the hash of its name, equal in every process.
///
/// Two names with the same hash would be taken for one VM; among a thousand names the probability
/// is below one in 10^13.
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

    /// The rendezvous score of another VM as a watcher of this one; the highest score is preferred.
    pub(crate) fn score(self, other: Self) -> u64 {
        mix(self.0 ^ other.0.rotate_left(32))
    }
}

/// Properties of a VM that stay constant while its process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmProfile {
    /// Name, unique among VMs.
    pub name: String,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for peers.
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

/// State that a VM reports about itself, as sent by the VM or forwarded by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelfReport {
    /// The VM.
    pub tag: VmTag,
    /// Identifies the start of a process under that name; higher for each start.
    pub incarnation: u64,
    /// Version of the report within the incarnation. The VM raises it to refute votes against it
    /// and to announce that it leaves.
    pub counter: u32,
    /// The configuration revision that the VM has in force, 0 for none.
    pub revision: u64,
    /// Whether the VM is shutting down.
    pub leaving: bool,
}

/// The finalizer of splitmix64.
pub(crate) fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A small pseudo-random generator for the selection of members; equal seeds give equal selections.
#[derive(Clone, Debug)]
pub(crate) struct SelectionRng {
    state: u64,
}

impl SelectionRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// A number below `bound`; 0 if the bound is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let drawn = mix(self.state);
        drawn.checked_rem(bound as u64).unwrap_or(0) as usize
    }
}
