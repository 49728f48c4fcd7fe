//! Lookup of the valid keys by their public id.

use crate::keys::{self, hash};
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::{FastMap, tables};
use subtle::ConstantTimeEq;

/// The owner of a key, and the hash that the presented secret must match.
#[derive(Clone, Debug)]
struct IndexEntry {
    customer: CustomerKey,
    hash: tables::KeyHash,
}

/// Verifies presented keys and finds their owners.
///
/// An index is built for each revision; a key is withdrawn by its absence from the next index. The
/// fast hasher is safe here, because callers only look up ids and only operators insert them.
#[derive(Clone, Debug)]
pub struct KeyIndex {
    entries: FastMap<String, IndexEntry>,
    /// Compared with for unknown ids, so that they take as long to verify as known ids.
    dummy: tables::KeyHash,
}

impl KeyIndex {
    /// Builds the index of all keys in `config`.
    pub fn build(config: &tables::FleetConfig) -> Self {
        let entries = config
            .customers
            .iter()
            .flat_map(|(customer, spec)| spec.keys.iter().map(move |hash| (customer, hash)))
            .map(|(customer, hash)| {
                let hash = hash.clone();
                (hash.id.clone(), IndexEntry { customer, hash })
            })
            .collect();
        let dummy = tables::KeyHash {
            id: String::new(),
            salt: [0; keys::SALT_BYTES],
            digest: [0; keys::DIGEST_BYTES],
        };
        Self { entries, dummy }
    }

    /// The customer who owns the key `presented`; `None` if it is not a valid key.
    ///
    /// The digests are compared in constant time, and an unknown id costs one hash and one
    /// comparison, like a known id. A text that does not have the form of a key is rejected
    /// earlier; the shorter time reveals nothing about any key.
    pub fn verify(&self, presented: &str) -> Option<CustomerKey> {
        let key: keys::PlaintextKey = presented.parse().ok()?;
        let entry = self.entries.get(&key.id);
        let expected = entry.map_or(&self.dummy, |entry| &entry.hash);
        let digest = hash::digest(&expected.salt, &key.secret);
        let equal = bool::from(digest.ct_eq(&expected.digest));
        entry.filter(|_| equal).map(|entry| entry.customer)
    }

    /// Whether a key with this public id is valid.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// The number of valid keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is valid.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
