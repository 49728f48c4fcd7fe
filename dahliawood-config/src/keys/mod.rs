//! Callers' keys: their text forms, how they are made, and how a presented one is verified.
//!
//! A key in clear is `dw_<id>_<secret>`: a public id of lower-case letters and digits, and a
//! secret of 32 random bytes in lower-case hex. A file holds `<id>:sha256:<salt>:<digest>`, where
//! the digest is SHA-256 over salt and secret. The secret is random and long, so one round of a
//! fast hash is enough; this would not do for passwords.

mod clear;
mod grant;
mod hash;
mod index;

pub use clear::{ClearKey, ClearKeyError};
pub use grant::{KeyGrant, KeyRandom, generate};
pub use hash::{HashTextError, hash_from_text, hash_of, hash_text};
pub use index::KeyIndex;

/// What every key in clear starts with.
pub const CLEAR_PREFIX: &str = "dw_";
/// Length of a secret, bytes.
pub const SECRET_BYTES: usize = 32;
/// Length of a salt, bytes.
pub const SALT_BYTES: usize = 16;
/// Length of a digest, bytes.
pub const DIGEST_BYTES: usize = 32;
/// The most characters of a public id.
pub const ID_CHARS_MAX: usize = 32;

/// Whether `id` is a public id: one to [`ID_CHARS_MAX`] lower-case letters, digits and dashes.
pub fn is_key_id(id: &str) -> bool {
    let is_letter = |letter: u8| matches!(letter, b'a'..=b'z' | b'0'..=b'9' | b'-');
    (1..=ID_CHARS_MAX).contains(&id.len()) && id.bytes().all(is_letter)
}

/// The bytes of `text` in lower-case hex, `None` where it is anything else.
fn from_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let is_lower_hex = |letter: u8| matches!(letter, b'0'..=b'9' | b'a'..=b'f');
    if !text.bytes().all(is_lower_hex) {
        return None;
    }
    let mut bytes = [0; N];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(bytes)
}
