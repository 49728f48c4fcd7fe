//! Generation of a key from random bytes that the caller supplies.

use crate::keys;
use dahliawood_model::tables;

/// Number of random bytes that a generated id encodes.
const ID_BYTES: usize = 6;

/// Random bytes for one key. Each key needs new bytes from a cryptographically secure source.
#[derive(Clone)]
pub struct KeyEntropy {
    /// Bytes of the public id.
    pub id: [u8; ID_BYTES],
    /// The secret.
    pub secret: [u8; keys::SECRET_BYTES],
    /// Salt of the hash.
    pub salt: [u8; keys::SALT_BYTES],
}

/// A generated key: the plaintext for its owner, shown once, and the hash for the file.
#[derive(Clone, Debug)]
pub struct NewKey {
    /// The plaintext key for the owner.
    pub plaintext: keys::PlaintextKey,
    /// The hash for the configuration file.
    pub hash: tables::KeyHash,
}

/// Generates a key from `random`.
pub fn generate(random: &KeyEntropy) -> NewKey {
    let plaintext = keys::PlaintextKey {
        id: hex::encode(random.id),
        secret: random.secret,
    };
    let hash = keys::hash_key(&plaintext, random.salt);
    NewKey { plaintext, hash }
}
