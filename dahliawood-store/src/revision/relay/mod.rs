//! Between a VM that reaches the store and a peer that does not.
//!
//! The transport is the daemon's. It carries to the peer what [`SharedTracker::proposed`],
//! [`SharedTracker::accepted`] and [`SharedTracker::file`] say here, and brings back the peer's
//! [`SharedTracker::status`], which [`report`] writes in its place.
//!
//! [`SharedTracker::proposed`]: super::SharedTracker::proposed
//! [`SharedTracker::accepted`]: super::SharedTracker::accepted
//! [`SharedTracker::file`]: super::SharedTracker::file
//! [`SharedTracker::status`]: super::SharedTracker::status

use crate::client;
use crate::status;

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
pub async fn report(
    client: &client::StoreClient,
    line: &status::StatusLine,
) -> Result<ReportOutcome, client::error::StoreError> {
    let key = status::StatusLine::key(&line.vm);
    let entry = (client.get)(key.clone()).await?;
    let found = entry
        .value
        .and_then(|value| serde_json::from_str(&value).ok());
    if found.is_some_and(|found: status::StatusLine| !line.is_newer_than(&found)) {
        return Ok(ReportOutcome::Old);
    }
    let call = client::PutCall {
        key,
        value: serde_json::to_string(line).expect("a line has a JSON form"),
        expected: Some(entry.version),
        lease: None,
    };
    (client.put)(call).await?;
    Ok(ReportOutcome::Written)
}
