//! Client for the calls to another gateway, with a deadline on each call.

use crate::client::error::{CallError, CallSnafu};
use crate::client::{CallOptions, PeerConnection};
use crate::gateway::loads::{LoadsRequest, LoadsResponse};
use crate::gateway::message::{
    self, ChangesRequest, ChangesResponse, CopyDate, KeyspaceChanges, KeyspaceSnapshot,
    PartRequest, ShareReport, ShareResponse, SightingMessage, ValuePart,
};
use crate::generated::peer_capnp::gateway_peer;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection to another gateway; after any error the caller must drop it and open a new one.
pub struct GatewayClient {
    client: gateway_peer::Client,
    connection: PeerConnection,
}

/// Connects to the gateway at `address`.
///
/// # Errors
/// Fails if no connection can be opened within the deadline.
pub async fn connect(
    address: SocketAddr,
    options: CallOptions,
) -> Result<GatewayClient, CallError> {
    let (client, connection) = PeerConnection::open(address, options).await?;
    Ok(GatewayClient { client, connection })
}

impl GatewayClient {
    /// Reports what this VM's customers need, and returns the shares that this VM may use.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn shares(&self, report: &ShareReport) -> Result<ShareResponse, CallError> {
        let mut request = self.client.shares_request();
        let count = message::list_length(report.entries.len()).context(CallSnafu)?;
        request.get().set_from(&report.from);
        request.get().set_life(report.incarnation);
        let age = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
        request.get().set_age_ms(age);
        request.get().set_is_leaving(report.is_leaving);
        request.get().set_wants_table(report.wants_table);
        request.get().set_has_table(report.has_table);
        request.get().set_has_absent(report.has_absent);
        message::write_needs(&report.entries, request.get().init_entries(count));
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        let list = results.get_entries().context(CallSnafu)?;
        let table = results.get_table().context(CallSnafu)?;
        let table = match results.get_has_table() {
            true => Some(message::read_shares(table).context(CallSnafu)?),
            false => None,
        };
        Ok(ShareResponse {
            is_coordinator: results.get_is_head(),
            incarnation: results.get_life(),
            entries: message::read_shares(list).context(CallSnafu)?,
            table,
        })
    }

    /// Fetches all keys that the other VM knows; values are left out for keys whose last write has
    /// a revision up to `above`, and long ones if the caller `takes_parts`.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn keyspace(
        &self,
        above: u64,
        takes_parts: bool,
    ) -> Result<KeyspaceSnapshot, CallError> {
        let mut request = self.client.space_request();
        request.get().set_above(above);
        request.get().set_takes_parts(takes_parts);
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        let list = results.get_keys().context(CallSnafu)?;
        Ok(KeyspaceSnapshot {
            revision: results.get_revision(),
            is_settled: results.get_is_settled(),
            keys: message::read_keys(list).context(CallSnafu)?,
            date: results.get_is_dated().then(|| CopyDate {
                offset_millis: results.get_date_offset_ms(),
                stamp: results.get_date_stamp(),
            }),
            answers: message::read_answers(results.get_answers().context(CallSnafu)?),
        })
    }

    /// Waits for news of the key space.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the wait and the deadline.
    pub async fn changes(&self, call: ChangesRequest) -> Result<ChangesResponse, CallError> {
        let mut request = self.client.changes_request();
        request.get().set_after(call.after);
        let wait_ms = u32::try_from(call.wait.as_millis()).unwrap_or(u32::MAX);
        request.get().set_wait_ms(wait_ms);
        request.get().set_known_stamp(call.known_stamp.unwrap_or(0));
        request.get().set_takes_parts(call.takes_parts);
        let response = self
            .connection
            .with_longer_deadline(call.wait, request.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        if !results.get_is_current() {
            return Ok(ChangesResponse::NotCurrent);
        }
        if results.get_is_too_old() {
            return Ok(ChangesResponse::TooOld);
        }
        let list = results.get_changes().context(CallSnafu)?;
        Ok(ChangesResponse::Changes(KeyspaceChanges {
            revision: results.get_revision(),
            settles_in: Duration::from_millis(results.get_settles_in_ms().into()),
            changes: message::read_changes(list).context(CallSnafu)?,
            date: results.get_is_dated().then(|| CopyDate {
                offset_millis: results.get_date_offset_ms(),
                stamp: results.get_date_stamp(),
            }),
            answers: message::read_answers(results.get_answers().context(CallSnafu)?),
        }))
    }

    /// Fetches a part of a key's value, within `time` beyond the deadline of a call.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives in time.
    pub async fn part(&self, call: &PartRequest, time: Duration) -> Result<ValuePart, CallError> {
        let mut request = self.client.part_request();
        request.get().set_key(&call.key);
        request.get().set_revision(call.revision);
        request.get().set_offset(call.offset);
        request.get().set_most(call.most);
        let response = self
            .connection
            .with_longer_deadline(time, request.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        Ok(ValuePart {
            length: results.get_length(),
            data: results.get_data().context(CallSnafu)?.to_vec(),
        })
    }

    /// Tells the other VM what this one has seen, and returns what that one has; `is_new` if this VM
    /// has just started.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn sightings(
        &self,
        is_new: bool,
        told: &[SightingMessage],
    ) -> Result<Vec<SightingMessage>, CallError> {
        let mut request = self.client.sightings_request();
        request.get().set_is_new(is_new);
        let count = message::list_length(told.len()).context(CallSnafu)?;
        message::write_sightings(told, request.get().init_entries(count));
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        let list = results.get_entries().context(CallSnafu)?;
        message::read_sightings(list).context(CallSnafu)
    }

    /// Tells a collector the loads that this VM has seen, and returns what the collector has learned.
    ///
    /// # Errors
    /// Fails if the call fails or no response arrives within the deadline.
    pub async fn loads(&self, told: &LoadsRequest) -> Result<LoadsResponse, CallError> {
        let mut request = self.client.loads_request();
        told.write(request.get()).context(CallSnafu)?;
        let response = self
            .connection
            .with_deadline(request.send().promise)
            .await?;
        let results = response.get().context(CallSnafu)?;
        LoadsResponse::read(results).context(CallSnafu)
    }
}
