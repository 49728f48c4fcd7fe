//! Making a new key from random bytes that the caller supplies.

use crate::keys;
use dahliawood_model::tables;

/// Length of the random part behind a generated id, bytes.
const ID_BYTES: usize = 6;

/// Random bytes for one key; each call needs fresh ones from a cryptographic source.
#[derive(Clone)]
pub struct KeyRandom {
    /// For the public id.
    pub id: [u8; ID_BYTES],
    /// For the secret.
    pub secret: [u8; keys::SECRET_BYTES],
    /// For the salt of the hash.
    pub salt: [u8; keys::SALT_BYTES],
}

/// A new key: what its owner gets, once, and what the file keeps.
#[derive(Clone, Debug)]
pub struct KeyGrant {
    /// For the owner.
    pub clear: keys::ClearKey,
    /// For the file.
    pub hash: tables::KeyHash,
}

/// Makes a key of `random`.
pub fn generate(random: &KeyRandom) -> KeyGrant {
    let clear = keys::ClearKey {
        id: hex::encode(random.id),
        secret: random.secret,
    };
    let hash = keys::hash_of(&clear, random.salt);
    KeyGrant { clear, hash }
}
