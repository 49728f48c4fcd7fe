//! A key in clear, as its owner holds it.

use crate::keys;
use snafu::Snafu;
use std::fmt;

/// A key in clear. `Debug` shows its id alone, and there is no `Display`.
#[derive(Clone, PartialEq, Eq)]
pub struct ClearKey {
    /// Public id.
    pub id: String,
    /// Secret bytes.
    pub secret: [u8; keys::SECRET_BYTES],
}

impl ClearKey {
    /// The text that the owner presents. Whoever calls this must not log or keep the result.
    pub fn reveal(&self) -> String {
        let secret = hex::encode(self.secret);
        format!("{}{}_{secret}", keys::CLEAR_PREFIX, self.id)
    }
}

impl fmt::Debug for ClearKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ClearKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A presented text is no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a key of the form dw_ID_SECRET"))]
pub struct ClearKeyError;

impl std::str::FromStr for ClearKey {
    type Err = ClearKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, secret) = text
            .strip_prefix(keys::CLEAR_PREFIX)
            .and_then(|rest| rest.split_once('_'))
            .ok_or(ClearKeyError)?;
        if !keys::is_key_id(id) {
            return Err(ClearKeyError);
        }
        let secret = keys::from_hex(secret).ok_or(ClearKeyError)?;
        let id = id.to_owned();
        Ok(Self { id, secret })
    }
}
