//! A key in clear, as its owner holds it.

use crate::keys;
use snafu::Snafu;
use std::fmt;

/// A key in clear. `Debug` shows its id alone, and there is no `Display`.
#[derive(Clone, PartialEq, Eq)]
pub struct PlaintextKey {
    /// Public id.
    pub id: String,
    /// Secret bytes.
    pub secret: [u8; keys::SECRET_BYTES],
}

impl PlaintextKey {
    /// The text that the owner presents. Whoever calls this must not log or keep the result.
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

/// A presented text is no key.
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
