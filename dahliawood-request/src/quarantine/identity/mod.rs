//! What makes a request the repetition of an earlier one.

use sha2::{Digest, Sha256};
use std::fmt;

/// Identity of a request: a hash of its customer, method, host, path and body, the same at all VMs.
/// Neither keys nor bodies can be derived from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestIdentity(pub u128);

/// The parts of a request that make up its identity.
#[derive(Clone, Copy, Debug)]
pub struct IdentityParts<'a> {
    /// Name of the customer, empty for a request without one.
    pub customer: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The whole body, in pieces; how it is divided makes no difference.
    pub body: &'a [&'a [u8]],
}

impl RequestIdentity {
    /// The identity of a request with the given parts.
    pub fn new(parts: &IdentityParts<'_>) -> Self {
        let texts = [parts.customer, parts.method, parts.host, parts.path];
        let mut hasher = Sha256::new();
        for text in texts {
            hasher.update((text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        let length: usize = parts.body.iter().map(|piece| piece.len()).sum();
        hasher.update((length as u64).to_le_bytes());
        for piece in parts.body {
            hasher.update(piece);
        }
        let digest = hasher.finalize();
        let bytes = digest.iter().take(size_of::<u128>());
        Self(bytes.fold(0, |hash, byte| hash << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for RequestIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
