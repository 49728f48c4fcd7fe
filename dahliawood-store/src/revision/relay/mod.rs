//! Between a VM that reaches the store and a peer that does not.
//!
//! The transport is the daemon's. It carries to the peer what [`SharedKeeper::proposed`],
//! [`SharedKeeper::accepted`] and [`SharedKeeper::file`] say here, and brings back the peer's
//! [`SharedKeeper::status`], which [`report`] writes in its place.
//!
//! [`SharedKeeper::proposed`]: super::SharedKeeper::proposed
//! [`SharedKeeper::accepted`]: super::SharedKeeper::accepted
//! [`SharedKeeper::file`]: super::SharedKeeper::file
//! [`SharedKeeper::status`]: super::SharedKeeper::status

use crate::client::error::StoreError;
use crate::client::{PutCall, StoreClient};
use crate::status::StatusLine;

/// What became of a peer's line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It was written.
    Written,
    /// The store holds one as new, or newer.
    Old,
}

/// Writes the line of a peer that does not reach the store.
///
/// # Errors
///
/// The call that failed; the line can be reported again.
///
/// # Panics
///
/// Never: a line has a JSON form.
pub async fn report(client: &StoreClient, line: &StatusLine) -> Result<ReportOutcome, StoreError> {
    let key = StatusLine::key(&line.vm);
    let entry = (client.get)(key.clone()).await?;
    let found = entry
        .value
        .and_then(|value| serde_json::from_str(&value).ok());
    if found.is_some_and(|found: StatusLine| !line.is_newer_than(&found)) {
        return Ok(ReportOutcome::Old);
    }
    let call = PutCall {
        key,
        value: serde_json::to_string(line).expect("a line has a JSON form"),
        expected: Some(entry.version),
        lease: None,
    };
    (client.put)(call).await?;
    Ok(ReportOutcome::Written)
}
