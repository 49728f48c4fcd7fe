//! The salted hash of a key and its text form.

use crate::keys;
use dahliawood_model::tables;
use sha2::Digest;
use snafu::Snafu;

const ALGORITHM: &str = "sha256";

/// The reason why a text is not the hash of a key. The error never contains the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HashTextError {
    /// The text may be a plaintext key.
    #[snafu(display("what may be a key in clear"))]
    PlaintextKey,
    /// The text resembles a hash, but one of its parts is invalid.
    #[snafu(display("a malformed key hash"))]
    Malformed,
}

/// The hash of `key` with `salt`.
pub fn hash_key(key: &keys::PlaintextKey, salt: [u8; keys::SALT_BYTES]) -> tables::KeyHash {
    tables::KeyHash {
        id: key.id.clone(),
        salt,
        digest: digest(&salt, &key.secret),
    }
}

/// Formats a hash as `ID:sha256:SALT:DIGEST`.
pub fn format_hash(hash: &tables::KeyHash) -> String {
    let salt = hex::encode(hash.salt);
    let digest = hex::encode(hash.digest);
    format!("{}:{ALGORITHM}:{salt}:{digest}", hash.id)
}

/// Parses `ID:sha256:SALT:DIGEST`.
///
/// # Errors
/// Fails if the text has another form. The error distinguishes a possible plaintext key from a
/// malformed hash.
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

/// SHA-256 of the salt followed by the secret.
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
