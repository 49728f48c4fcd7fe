//! Calls another gateway, with a deadline on each call.

use crate::client::error::{CallError, CallSnafu};
use crate::client::{CallOptions, PeerConnection};
use crate::gateway::message::{self, ShareAnswer, ShareReport, SpaceAnswer};
use crate::generated::peer_capnp::gateway_peer;
use snafu::ResultExt;
use std::net::SocketAddr;

/// A connection to another gateway; after any error it is to be dropped and made anew.
pub struct GatewayClient {
    client: gateway_peer::Client,
    connection: PeerConnection,
}

/// Connects to the gateway at `address`.
///
/// # Errors
/// Fails where no connection is made within the deadline.
pub async fn connect(
    address: SocketAddr,
    options: CallOptions,
) -> Result<GatewayClient, CallError> {
    let (client, connection) = PeerConnection::open(address, options).await?;
    Ok(GatewayClient { client, connection })
}

impl GatewayClient {
    /// Reports what this VM needs, and answers the shares that it may use.
    ///
    /// # Errors
    /// Fails where the call fails or no answer comes within the deadline.
    pub async fn shares(&self, report: &ShareReport) -> Result<ShareAnswer, CallError> {
        let mut request = self.client.shares_request();
        let count = message::length(report.entries.len()).context(CallSnafu)?;
        request.get().set_from(&report.from);
        request.get().set_life(report.life);
        let age = u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX);
        request.get().set_age_ms(age);
        request.get().set_is_leaving(report.is_leaving);
        message::write_needs(&report.entries, request.get().init_entries(count));
        let response = self.connection.bounded(request.send().promise).await?;
        let results = response.get().context(CallSnafu)?;
        let list = results.get_entries().context(CallSnafu)?;
        Ok(ShareAnswer {
            is_head: results.get_is_head(),
            life: results.get_life(),
            entries: message::read_shares(list).context(CallSnafu)?,
        })
    }

    /// All keys that the other VM knows, without the values up to a revision.
    ///
    /// # Errors
    /// Fails where the call fails or no answer comes within the deadline.
    pub async fn space(&self, above: u64) -> Result<SpaceAnswer, CallError> {
        let mut request = self.client.space_request();
        request.get().set_above(above);
        let response = self.connection.bounded(request.send().promise).await?;
        let results = response.get().context(CallSnafu)?;
        let list = results.get_keys().context(CallSnafu)?;
        Ok(SpaceAnswer {
            revision: results.get_revision(),
            is_settled: results.get_is_settled(),
            keys: message::read_keys(list).context(CallSnafu)?,
        })
    }
}
