//! Callers' access keys: text forms, generation and verification.
//!
//! A plaintext key is `dw_<id>_<secret>`: a public id (see [`is_key_id`]), and a secret of 32
//! random bytes in lower-case hex. The configuration file contains `<id>:sha256:<salt>:<digest>`,
//! where the digest is SHA-256 of the salt followed by the secret. One round of a fast hash is
//! enough, because the secret is long and random; passwords would need a slow hash.
//!
//! Error reports call a plaintext key a key in clear.

mod generate;
mod hash;
mod index;
mod plaintext;

pub use generate::{KeyEntropy, NewKey, generate};
pub use hash::{HashTextError, format_hash, hash_key, parse_hash};
pub use index::KeyIndex;
pub use plaintext::{PlaintextKey, PlaintextKeyError};

/// Prefix of every plaintext key.
pub const KEY_PREFIX: &str = "dw_";
/// Length of a secret, bytes.
pub const SECRET_BYTES: usize = 32;
/// Length of a salt, bytes.
pub const SALT_BYTES: usize = 16;
/// Length of a digest, bytes.
pub const DIGEST_BYTES: usize = 32;
/// Maximum number of characters of a public id.
pub const ID_MAX_CHARS: usize = 32;

/// Whether `id` is a public id: one to [`ID_MAX_CHARS`] lower-case letters, digits and dashes.
pub fn is_key_id(id: &str) -> bool {
    let is_id_byte = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    (1..=ID_MAX_CHARS).contains(&id.len()) && id.bytes().all(is_id_byte)
}

/// Decodes `N` bytes from lower-case hex; `None` if `text` has another form or length.
fn from_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let is_lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if !text.bytes().all(is_lower_hex) {
        return None;
    }
    let mut bytes = [0; N];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}
