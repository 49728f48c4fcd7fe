//! All keys in force, by their public id.

use crate::keys::{self, hash};
use dahliawood_model::keys::CustomerKey;
use dahliawood_model::{FastMap, tables};
use subtle::ConstantTimeEq;

/// Whose key it is, and the hash that its secret has to match.
#[derive(Clone, Debug)]
struct IndexEntry {
    customer: CustomerKey,
    hash: tables::KeyHash,
}

/// Which customer a presented key belongs to.
///
/// Built once for each revision; a withdrawn key is one that the next index does not hold.
/// The fast hasher is safe here: callers only look ids up, operators alone put them in.
#[derive(Clone, Debug)]
pub struct KeyIndex {
    entries: FastMap<String, IndexEntry>,
    /// Compared with where an id is unknown, so that it takes as long as a known one.
    dummy: tables::KeyHash,
}

impl KeyIndex {
    /// Indexes all keys of `config`.
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

    /// The customer whose key `presented` is, `None` where it is no key in force.
    ///
    /// The digests are compared in constant time, and an unknown id costs one hash and one
    /// comparison as a known one does. A text that is no key at all is refused before that; it
    /// tells nothing about any key.
    pub fn verify(&self, presented: &str) -> Option<CustomerKey> {
        let key: keys::PlaintextKey = presented.parse().ok()?;
        let entry = self.entries.get(&key.id);
        let expected = entry.map_or(&self.dummy, |entry| &entry.hash);
        let digest = hash::digest(&expected.salt, &key.secret);
        let equal = bool::from(digest.ct_eq(&expected.digest));
        entry.filter(|_| equal).map(|entry| entry.customer)
    }

    /// Whether a key with this public id is in force.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// The number of keys in force.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is in force.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
