//! The salted hash of a key and its text form.

use crate::keys;
use dahliawood_model::tables;
use sha2::Digest;
use snafu::Snafu;

const ALGORITHM: &str = "sha256";

/// Why a text is no hash of a key. The text itself is never repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HashTextError {
    /// It may be a key in clear.
    #[snafu(display("what may be a key in clear"))]
    PlaintextKey,
    /// It has the shape of a hash, but a part of it is wrong.
    #[snafu(display("a malformed key hash"))]
    Malformed,
}

/// The hash of `key` under `salt`.
pub fn hash_key(key: &keys::PlaintextKey, salt: [u8; keys::SALT_BYTES]) -> tables::KeyHash {
    tables::KeyHash {
        id: key.id.clone(),
        salt,
        digest: digest(&salt, &key.secret),
    }
}

/// Writes `ID:sha256:SALT:DIGEST`.
pub fn format_hash(hash: &tables::KeyHash) -> String {
    let salt = hex::encode(hash.salt);
    let digest = hex::encode(hash.digest);
    format!("{}:{ALGORITHM}:{salt}:{digest}", hash.id)
}

/// Reads `ID:sha256:SALT:DIGEST`.
///
/// # Errors
/// Where the text has another form; the error tells a key in clear from a malformed hash.
pub fn parse_hash(text: &str) -> Result<tables::KeyHash, HashTextError> {
    let may_be_plaintext = !text.contains(':') || text.contains(keys::KEY_PREFIX);
    if may_be_plaintext {
        return Err(HashTextError::PlaintextKey);
    }
    let mut parts = text.split(':');
    let mut part = || parts.next().ok_or(HashTextError::Malformed);
    let (id, algorithm, salt, digest) = (part()?, part()?, part()?, part()?);
    let whole = parts.next().is_none() && algorithm == ALGORITHM && keys::is_key_id(id);
    if !whole {
        return Err(HashTextError::Malformed);
    }
    Ok(tables::KeyHash {
        id: id.to_owned(),
        salt: keys::from_hex(salt).ok_or(HashTextError::Malformed)?,
        digest: keys::from_hex(digest).ok_or(HashTextError::Malformed)?,
    })
}

/// SHA-256 over salt and secret.
pub(super) fn digest(
    salt: &[u8; keys::SALT_BYTES],
    secret: &[u8; keys::SECRET_BYTES],
) -> [u8; keys::DIGEST_BYTES] {
    sha2::Sha256::new()
        .chain_update(salt)
        .chain_update(secret)
        .finalize()
        .into()
}
