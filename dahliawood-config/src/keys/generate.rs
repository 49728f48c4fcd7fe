//! Making a new key from random bytes that the caller supplies.

use crate::keys;
use dahliawood_model::tables;

/// Length of the random part behind a generated id, bytes.
const ID_BYTES: usize = 6;

/// Random bytes for one key; each call needs fresh ones from a cryptographic source.
#[derive(Clone)]
pub struct KeyEntropy {
    /// For the public id.
    pub id: [u8; ID_BYTES],
    /// For the secret.
    pub secret: [u8; keys::SECRET_BYTES],
    /// For the salt of the hash.
    pub salt: [u8; keys::SALT_BYTES],
}

/// A new key: what its owner gets, once, and what the file keeps.
#[derive(Clone, Debug)]
pub struct NewKey {
    /// For the owner.
    pub plaintext: keys::PlaintextKey,
    /// For the file.
    pub hash: tables::KeyHash,
}

/// Makes a key of `random`.
pub fn generate(random: &KeyEntropy) -> NewKey {
    let plaintext = keys::PlaintextKey {
        id: hex::encode(random.id),
        secret: random.secret,
    };
    let hash = keys::hash_key(&plaintext, random.salt);
    NewKey { plaintext, hash }
}
