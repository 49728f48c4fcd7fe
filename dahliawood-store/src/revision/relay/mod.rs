//! Relays revisions and statuses between a VM that reaches the store and a peer that does not.
//!
//! The daemon provides the transport. It sends the results of [`SharedTracker::proposed`],
//! [`SharedTracker::accepted`] and [`SharedTracker::file`] to the peer, and returns the peer's
//! [`SharedTracker::status`], which [`report`] writes to the store on the peer's behalf.
//!
//! [`SharedTracker::proposed`]: super::SharedTracker::proposed
//! [`SharedTracker::accepted`]: super::SharedTracker::accepted
//! [`SharedTracker::file`]: super::SharedTracker::file
//! [`SharedTracker::status`]: super::SharedTracker::status

use crate::client;
use crate::status;

/// Result of reporting a peer's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The status was written.
    Written,
    /// The store already holds a status of the peer that is as new or newer.
    Old,
}

/// Writes the status of a peer that does not reach the store.
///
/// # Errors
///
/// Returns the error of the call that failed; the status can be reported again.
///
/// # Panics
///
/// Never: a status always serializes to JSON.
pub async fn report(
    client: &client::StoreClient,
    status: &status::VmStatus,
) -> Result<ReportOutcome, client::error::StoreError> {
    let key = status::VmStatus::key(&status.vm);
    let entry = (client.get)(key.clone()).await?;
    let found = entry
        .value
        .and_then(|value| serde_json::from_str(&value).ok());
    if found.is_some_and(|found: status::VmStatus| !status.is_newer_than(&found)) {
        return Ok(ReportOutcome::Old);
    }
    let call = client::PutCall {
        key,
        value: serde_json::to_string(status).expect("a status serializes to JSON"),
        expected: Some(entry.version),
        lease: None,
    };
    (client.put)(call).await?;
    Ok(ReportOutcome::Written)
}
