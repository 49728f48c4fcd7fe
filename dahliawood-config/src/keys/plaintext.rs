//! A plaintext key, as its owner presents it.

use crate::keys;
use snafu::Snafu;
use std::fmt;

/// A plaintext key. `Debug` prints only its id, and there is no `Display`, so that logs do not
/// contain the secret.
#[derive(Clone, PartialEq, Eq)]
pub struct PlaintextKey {
    /// Public id.
    pub id: String,
    /// The secret.
    pub secret: [u8; keys::SECRET_BYTES],
}

impl PlaintextKey {
    /// The text that the owner presents. The caller must not log or store the result.
    pub fn reveal(&self) -> String {
        let secret = hex::encode(self.secret);
        format!("{}{}_{secret}", keys::KEY_PREFIX, self.id)
    }
}

impl fmt::Debug for PlaintextKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlaintextKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A text does not have the form of a plaintext key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a key of the form dw_ID_SECRET"))]
pub struct PlaintextKeyError;

impl std::str::FromStr for PlaintextKey {
    type Err = PlaintextKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, secret) = text
            .strip_prefix(keys::KEY_PREFIX)
            .and_then(|rest| rest.split_once('_'))
            .ok_or(PlaintextKeyError)?;
        if !keys::is_key_id(id) {
            return Err(PlaintextKeyError);
        }
        let secret = keys::from_hex(secret).ok_or(PlaintextKeyError)?;
        let id = id.to_owned();
        Ok(Self { id, secret })
    }
}
